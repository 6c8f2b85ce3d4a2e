//! The layout, the ownership of partitions, and the store calls of both.

use std::time::Duration;

use oriole_types::ids::VmName;
use oriole_types::outcome::RefusalReason;
use rand::RngExt;

use super::{Action, ClaimHome, StoreTarget};
use crate::key::ClaimKey;
use crate::layout::{self, Layout};
use crate::partition::{Partition, PartitionEvent, PendingClaim, StoreCall, StoreOutcome};
use crate::route::preferred_owner;
use crate::value::layout_key;

impl ClaimHome {
    pub(super) fn on_live_agents(&mut self, live: Vec<VmName>) {
        self.live = Some(live);
        for id in 0..self.partitions.len() {
            self.update_ownership(id);
        }
    }

    /// Acquires a partition that this home should own, and abandons the claims of one that another
    /// home should own.
    pub(super) fn update_ownership(&mut self, id: usize) {
        let owner = self.preferred_owner(id as u32).cloned();
        let partition = &mut self.partitions[id];
        if partition.is_ready() {
            return;
        }
        if owner.as_ref() == Some(&self.home.vm) {
            if self.cfg.eager {
                partition.request_ownership();
            }
            return;
        }
        let keys = partition.abandon_pending();
        self.end_keys(keys, RefusalReason::NotHome, owner);
    }

    pub(super) fn preferred_owner(&self, id: u32) -> Option<&VmName> {
        preferred_owner(&self.cfg.pool, id, self.live.as_ref()?)
    }

    pub(super) fn on_layout(&mut self, now: Duration, outcome: StoreOutcome) {
        self.layout_in_flight = false;
        self.layout = match &outcome {
            StoreOutcome::Read(result) => self.layout.after_read(result),
            StoreOutcome::Write(result) => self.layout.after_write(self.cfg.partitions, result),
            StoreOutcome::Delete(_) => self.layout,
        };
        if matches!(
            outcome,
            StoreOutcome::Read(Err(_)) | StoreOutcome::Write(Err(_))
        ) {
            self.next_layout_call_at = now + self.cfg.limits.min_retry_delay * 4;
        }
        if let Some(partitions) = self.layout.partitions() {
            self.create_partitions(now, partitions);
        }
    }

    pub(super) fn create_partitions(&mut self, now: Duration, partitions: u32) {
        let new = |id| Partition::new(id, self.home.clone());
        self.partitions = (0..partitions).map(new).collect();
        for id in 0..self.partitions.len() {
            self.update_ownership(id);
        }
        for pending in std::mem::take(&mut self.awaiting_layout) {
            let id = pending.key.partition(partitions);
            match self.outcome_without_claim(now, id, &pending) {
                Some(outcome) => self.end_claim(pending.key, &outcome),
                None => self.partitions[id as usize].add_pending(pending),
            }
        }
    }

    pub(super) fn on_store(&mut self, now: Duration, id: u32, outcome: StoreOutcome) {
        let jitter: f64 = self.rng.random();
        let Some(partition) = self.partitions.get_mut(id as usize) else {
            return;
        };
        for event in partition.on_store(now, outcome, &self.cfg, jitter) {
            match event {
                PartitionEvent::Durable(keys) => self.start_all(now, keys),
                PartitionEvent::Ready => self.settle_pending(now, id as usize),
            }
        }
        self.drop_abandoned(id as usize);
        if !self.partitions[id as usize].is_ready() {
            self.update_ownership(id as usize);
        }
    }

    /// Removes claims that are pending again after a failed commit and that no call waits for.
    pub(super) fn drop_abandoned(&mut self, id: usize) {
        let table = &self.table;
        let abandoned = |key| table.get(key).is_none_or(|r| r.waiting.is_empty());
        let pending = self.partitions[id].pending().map(|p| p.key);
        let keys: Vec<ClaimKey> = pending.filter(|key| abandoned(*key)).collect();
        for key in keys {
            self.partitions[id].remove_pending(key);
            self.table.remove(key);
        }
    }

    /// Compares pending claims with the loaded claims of the partition: starts the runs of those
    /// that turn out to be committed, and ends the calls of keys that were claimed before or are
    /// too old.
    pub(super) fn settle_pending(&mut self, now: Duration, id: usize) {
        let pending: Vec<PendingClaim> = self.partitions[id].pending().collect();
        for claim in pending {
            let partition = &self.partitions[id];
            let home = partition.lookup(claim.key).and_then(|c| c.home);
            if claim.maybe_committed && home.as_ref() == Some(&self.home) {
                self.partitions[id].remove_pending(claim.key);
                self.start(now, claim.key);
                continue;
            }
            if let Some(outcome) = self.outcome_in_owned_partition(now, partition, &claim) {
                self.partitions[id].remove_pending(claim.key);
                self.end_claim(claim.key, &outcome);
            }
        }
    }

    pub(super) fn wants_layout(&self) -> bool {
        let needed = self.cfg.eager || !self.awaiting_layout.is_empty();
        needed && !self.layout_in_flight && self.layout.partitions().is_none()
    }

    pub(super) fn call_store(&mut self, now: Duration) {
        if self.wants_layout() && now >= self.next_layout_call_at {
            self.layout_in_flight = true;
            let call = self.layout_call();
            self.actions.push(Action::Store(StoreTarget::Layout, call));
        }
        let interval = self.commit_interval();
        for (id, partition) in (0..).zip(&mut self.partitions) {
            if let Some(call) = partition.poll(now, &self.cfg, interval) {
                self.actions
                    .push(Action::Store(StoreTarget::Partition(id), call));
            }
        }
    }

    pub(super) fn layout_call(&self) -> StoreCall {
        let key = layout_key(&self.cfg.pool);
        match self.layout {
            Layout::Absent => StoreCall::Write {
                key,
                value: layout::encode(self.cfg.partitions),
                precondition: layout::CREATE_PRECONDITION,
            },
            Layout::Unread | Layout::Known(_) => StoreCall::Read { key },
        }
    }

    /// Least time between two commits of one partition, so that all homes of the pool together
    /// stay within `pool_commits_per_s`.
    pub(super) fn commit_interval(&self) -> Duration {
        let partitions = self.partitions.len() as f64;
        Duration::from_secs_f64(partitions / self.cfg.limits.pool_commits_per_s)
    }

    /// Removes a claim that is not part of a commit; returns whether there was one.
    pub(super) fn remove_pending(&mut self, key: ClaimKey) -> bool {
        match self.layout.partitions() {
            Some(n) => self.partitions[key.partition(n) as usize].remove_pending(key),
            None => {
                self.awaiting_layout.retain(|p| p.key != key);
                true
            }
        }
    }
}
