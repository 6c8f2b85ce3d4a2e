//! Handles the outcomes of a partition's store calls.

use std::collections::HashSet;
use std::time::Duration;

use oriole_store::error::StoreError;
use oriole_store::store::{StoreVersion, Versioned};
use prost::Message;

use super::claim_index::{ClaimIndex, SegmentInfo};
use super::{InFlight, Partition, PartitionEvent, PendingClaim, State, StoreOutcome};
use crate::config::ClaimsConfig;
use crate::key::ClaimKey;
use crate::value::{Claim, Head, Segment, SegmentId};

/// Segments that a previous owner may have written without recording their numbers in the head; its
/// successor deletes that many.
const MAX_ORPHAN_SEGMENTS: u64 = 2;

impl Partition {
    /// Handles the outcome of the store call in flight.
    ///
    /// `jitter` is in 0..1 and spreads the retries after failed calls.
    pub fn on_store(
        &mut self,
        now: Duration,
        outcome: StoreOutcome,
        cfg: &ClaimsConfig,
        jitter: f64,
    ) -> Vec<PartitionEvent> {
        let Some(in_flight) = self.in_flight.take() else {
            return Vec::new();
        };
        self.schedule_retry(now, &outcome, cfg, jitter);
        match (in_flight, outcome) {
            (InFlight::ReadHead, StoreOutcome::Read(Ok(found))) => self.on_head(now, found, cfg),
            (InFlight::ReadSegment(id), StoreOutcome::Read(Ok(found))) => {
                self.on_segment(now, id, found, cfg)
            }
            (InFlight::Acquire(head), StoreOutcome::Write(Ok(version))) => {
                self.on_own_head(head, version)
            }
            (InFlight::Acquire(_), _) => self.reset_to_unread(),
            (InFlight::Commit(claims, head), StoreOutcome::Write(result)) => {
                self.on_commit(claims, head, result)
            }
            (InFlight::Roll(rolled), StoreOutcome::Write(result)) => {
                self.on_rolled(rolled, result.is_ok())
            }
            (InFlight::Delete(id), StoreOutcome::Delete(Err(_))) => self.retry_delete(id),
            _ => Vec::new(),
        }
    }

    fn schedule_retry(
        &mut self,
        now: Duration,
        outcome: &StoreOutcome,
        cfg: &ClaimsConfig,
        jitter: f64,
    ) {
        let failed = match outcome {
            StoreOutcome::Read(result) => result.is_err(),
            StoreOutcome::Write(result) => {
                matches!(result, Err(e) if *e != StoreError::Conflict)
            }
            StoreOutcome::Delete(result) => result.is_err(),
        };
        if !failed {
            self.retry_delay = Duration::ZERO;
            return;
        }
        let limits = &cfg.limits;
        self.retry_delay =
            (self.retry_delay * 2).clamp(limits.min_retry_delay, limits.max_retry_delay);
        self.next_call_at = now + self.retry_delay.mul_f64(0.5 + jitter / 2.0);
    }

    fn reset_to_unread(&mut self) -> Vec<PartitionEvent> {
        self.state = State::Unread;
        Vec::new()
    }

    fn on_head(
        &mut self,
        now: Duration,
        found: Option<Versioned>,
        cfg: &ClaimsConfig,
    ) -> Vec<PartitionEvent> {
        let Some(found) = found else {
            self.state = State::NotOwned(None);
            return Vec::new();
        };
        // A head that cannot be decoded is never overwritten; it is read again later.
        let Ok(head) = Head::decode(found.value) else {
            self.next_call_at = now + cfg.limits.max_retry_delay;
            return Vec::new();
        };
        if head.is_owned_by(&self.home) {
            return self.on_own_head(head, found.version);
        }
        self.on_other_owners_head(now, head, found.version, cfg)
    }

    fn on_own_head(&mut self, head: Head, version: StoreVersion) -> Vec<PartitionEvent> {
        if head.epoch() == self.index_epoch {
            return self.settle_commits(head, version);
        }
        self.index = ClaimIndex::default();
        self.next_segment = 0;
        self.remove_orphans(&head);
        let remaining = head.segments();
        self.state = State::Loading {
            head,
            version,
            remaining,
        };
        self.finish_loading()
    }

    fn on_other_owners_head(
        &mut self,
        now: Duration,
        head: Head,
        version: StoreVersion,
        cfg: &ClaimsConfig,
    ) -> Vec<PartitionEvent> {
        let unconfirmed = std::mem::take(&mut self.unconfirmed);
        let was_owner = self.index_epoch != 0;
        let mut events = Vec::new();
        if was_owner {
            self.next_call_at = now + cfg.limits.reacquire_delay;
            let epoch = self.index_epoch;
            let (durable, open) = split_committed(&head, epoch, unconfirmed);
            // The others may be durable too if the new owner moved them into a segment. They stay
            // pending until this home owns the partition again or abandons them.
            self.requeue(open);
            events.push(PartitionEvent::Durable(durable));
            self.clear_index();
        }
        self.state = State::NotOwned(Some((head, version)));
        events
    }

    fn clear_index(&mut self) {
        self.index = ClaimIndex::default();
        self.index_epoch = 0;
    }

    /// Schedules the deletion of segments that the previous owner may have written and that no
    /// head lists.
    fn remove_orphans(&mut self, head: &Head) {
        let owners = head.owners.len();
        let Some(previous_epoch) = owners.checked_sub(2).map(|i| head.owners[i].epoch) else {
            return;
        };
        for number in head.next_segment..head.next_segment + MAX_ORPHAN_SEGMENTS {
            let id = SegmentId {
                epoch: previous_epoch,
                number,
            };
            self.index.discard(id);
        }
    }

    fn on_segment(
        &mut self,
        now: Duration,
        id: SegmentId,
        found: Option<Versioned>,
        cfg: &ClaimsConfig,
    ) -> Vec<PartitionEvent> {
        let segment = found.and_then(|f| Segment::decode(f.value).ok());
        // A listed segment can be missing only if the head has been replaced in the meantime.
        let Some(segment) = segment else {
            self.next_call_at = now + cfg.limits.max_retry_delay;
            return self.reset_to_unread();
        };
        self.index.add_segment(id, &segment.claims);
        if let State::Loading { remaining, .. } = &mut self.state {
            remaining.pop_front();
        }
        self.finish_loading()
    }

    fn finish_loading(&mut self) -> Vec<PartitionEvent> {
        match &self.state {
            State::Loading {
                head,
                version,
                remaining,
            } if remaining.is_empty() => {
                let (head, version) = (head.clone(), *version);
                self.index.add(&head.claims);
                self.index_epoch = head.epoch();
                self.index.version = version;
                self.ownership_requested = false;
                self.state = State::Owned { head, version };
                vec![PartitionEvent::Ready]
            }
            _ => Vec::new(),
        }
    }

    fn on_commit(
        &mut self,
        claims: Vec<PendingClaim>,
        head: Head,
        result: Result<StoreVersion, StoreError>,
    ) -> Vec<PartitionEvent> {
        match result {
            Ok(version) => {
                let keys = claims.iter().map(|p| p.key).collect();
                self.apply(head, version);
                vec![PartitionEvent::Durable(keys)]
            }
            Err(e) if e == StoreError::Conflict || e.may_have_written() => {
                self.unconfirmed = claims;
                self.unconfirmed
                    .iter_mut()
                    .for_each(|p| p.maybe_committed = true);
                self.reset_to_unread()
            }
            Err(_) => {
                self.requeue(claims);
                Vec::new()
            }
        }
    }

    fn requeue(&mut self, claims: Vec<PendingClaim>) {
        for claim in claims.into_iter().rev() {
            self.pending.push_front(claim);
        }
    }

    /// Settles the claims of a commit with unknown outcome, after reading back a head of this
    /// home's own epoch.
    ///
    /// The unanswered write may still be applied later. The next commit requires the version read
    /// here, so one of the two writes conflicts and is settled in the same way.
    fn settle_commits(&mut self, head: Head, version: StoreVersion) -> Vec<PartitionEvent> {
        let mut claims = std::mem::take(&mut self.unconfirmed);
        claims.extend(self.pending.drain(..));
        let (durable, open) = split_committed(&head, head.epoch(), claims);
        self.pending = open.into();
        self.apply(head, version);
        vec![PartitionEvent::Durable(durable), PartitionEvent::Ready]
    }

    /// Makes a head read from or written to the store the current one.
    fn apply(&mut self, head: Head, version: StoreVersion) {
        self.index.apply(&head, version);
        self.state = State::Owned { head, version };
    }

    fn on_rolled(&mut self, rolled: SegmentInfo, written: bool) -> Vec<PartitionEvent> {
        self.index.on_rolled(rolled, written);
        Vec::new()
    }

    fn retry_delete(&mut self, id: SegmentId) -> Vec<PartitionEvent> {
        if !matches!(self.state, State::NotOwned(_)) {
            self.index.discard(id);
        }
        Vec::new()
    }
}

/// Splits claims into those that `head` contains as claims of `epoch`, and the others.
fn split_committed(
    head: &Head,
    epoch: u64,
    claims: Vec<PendingClaim>,
) -> (Vec<ClaimKey>, Vec<PendingClaim>) {
    let committed = head.claims.iter().filter(|c| c.epoch == epoch);
    let committed: HashSet<ClaimKey> = committed.filter_map(Claim::claim_key).collect();
    let (durable, open): (Vec<_>, Vec<_>) = claims
        .into_iter()
        .partition(|p| p.maybe_committed && committed.contains(&p.key));
    (durable.into_iter().map(|p| p.key).collect(), open)
}
