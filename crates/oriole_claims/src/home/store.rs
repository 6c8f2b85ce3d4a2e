//! Partitions: the layout, who should own them, and their calls to the store.

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
    pub(super) fn on_live(&mut self, live: Vec<VmName>) {
        self.live = Some(live);
        for id in 0..self.partitions.len() {
            self.place(id);
        }
    }

    /// Acts on the view of who should own a partition.
    pub(super) fn place(&mut self, id: usize) {
        let soft = self.preferred_owner(id as u32).cloned();
        let partition = &mut self.partitions[id];
        if partition.is_ready() {
            return;
        }
        if soft.as_ref() == Some(&self.home.vm) {
            if self.cfg.eager {
                partition.want();
            }
            return;
        }
        let keys = partition.give_up();
        self.end_keys(keys, RefusalReason::NotHome, soft);
    }

    pub(super) fn preferred_owner(&self, id: u32) -> Option<&VmName> {
        preferred_owner(&self.cfg.pool, id, self.live.as_ref()?)
    }

    pub(super) fn on_layout(&mut self, now: Duration, end: StoreOutcome) {
        self.layout_busy = false;
        self.layout = match &end {
            StoreOutcome::Read(end) => self.layout.after_read(end),
            StoreOutcome::Write(end) => self.layout.after_write(self.cfg.partitions, end),
            StoreOutcome::Delete(_) => self.layout,
        };
        if matches!(
            end,
            StoreOutcome::Read(Err(_)) | StoreOutcome::Write(Err(_))
        ) {
            self.layout_at = now + self.cfg.limits.min_retry_delay * 4;
        }
        if let Some(partitions) = self.layout.partitions() {
            self.lay_out(now, partitions);
        }
    }

    pub(super) fn lay_out(&mut self, now: Duration, partitions: u32) {
        let new = |id| Partition::new(id, self.home.clone());
        self.partitions = (0..partitions).map(new).collect();
        for id in 0..self.partitions.len() {
            self.place(id);
        }
        for pending in std::mem::take(&mut self.unplaced) {
            let id = pending.key.partition(partitions);
            match self.opaque_end(now, id, &pending) {
                Some(end) => self.end_claim(pending.key, &end),
                None => self.partitions[id as usize].claim(pending),
            }
        }
    }

    pub(super) fn on_store(&mut self, now: Duration, id: u32, end: StoreOutcome) {
        let jitter: f64 = self.rng.random();
        let Some(partition) = self.partitions.get_mut(id as usize) else {
            return;
        };
        for notice in partition.on_store(now, end, &self.cfg, jitter) {
            match notice {
                PartitionEvent::Durable(keys) => self.start_all(now, keys),
                PartitionEvent::Ready => self.look_up_pending(now, id as usize),
            }
        }
        self.drop_abandoned(id as usize);
        if !self.partitions[id as usize].is_ready() {
            self.place(id as usize);
        }
    }

    /// Takes back claims that came back from a failed commit after all their callers had left.
    pub(super) fn drop_abandoned(&mut self, id: usize) {
        let table = &self.table;
        let abandoned = |key| table.get(key).is_none_or(|r| r.waiting.is_empty());
        let pending = self.partitions[id].pending().map(|p| p.key);
        let keys: Vec<ClaimKey> = pending.filter(|key| abandoned(*key)).collect();
        for key in keys {
            self.partitions[id].withdraw(key);
            self.table.remove(key);
        }
    }

    /// Starts pending claims that a commit carried after all, and ends those of keys that turn out
    /// to be claimed before or too old.
    pub(super) fn look_up_pending(&mut self, now: Duration, id: usize) {
        let pending: Vec<PendingClaim> = self.partitions[id].pending().collect();
        for new in pending {
            let partition = &self.partitions[id];
            let claimed = partition.lookup(new.key).and_then(|c| c.home);
            if new.carried && claimed.as_ref() == Some(&self.home) {
                self.partitions[id].withdraw(new.key);
                self.start(now, new.key);
                continue;
            }
            if let Some(end) = self.claimed_end(now, partition, &new) {
                self.partitions[id].withdraw(new.key);
                self.end_claim(new.key, &end);
            }
        }
    }

    pub(super) fn wants_layout(&self) -> bool {
        let needed = self.cfg.eager || !self.unplaced.is_empty();
        needed && !self.layout_busy && self.layout.partitions().is_none()
    }

    pub(super) fn call_store(&mut self, now: Duration) {
        if self.wants_layout() && now >= self.layout_at {
            self.layout_busy = true;
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
    /// stay within its budget.
    pub(super) fn commit_interval(&self) -> Duration {
        let partitions = self.partitions.len() as f64;
        Duration::from_secs_f64(partitions / self.cfg.limits.pool_commits_per_s)
    }

    /// Takes back a claim that no commit has carried.
    pub(super) fn withdraw(&mut self, key: ClaimKey) -> bool {
        match self.layout.partitions() {
            Some(n) => self.partitions[key.partition(n) as usize].withdraw(key),
            None => {
                self.unplaced.retain(|p| p.key != key);
                true
            }
        }
    }
}
