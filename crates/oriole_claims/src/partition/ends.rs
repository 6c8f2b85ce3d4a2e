//! What a partition learns from the ends of its calls.

use std::collections::HashSet;
use std::time::Duration;

use oriole_store::error::StoreError;
use oriole_store::store::{StoreVersion, Versioned};
use prost::Message;

use super::chain::{Chain, LoadedSegment};
use super::{Busy, Partition, PartitionEvent, PendingClaim, State, StoreOutcome};
use crate::config::ClaimsConfig;
use crate::key::ClaimKey;
use crate::value::{Claim, Head, Segment, SegmentId};

/// Segment numbers past the last one a lost owner recorded that its successor removes.
const ORPHAN_SEGMENTS: u64 = 2;

impl Partition {
    /// The end of the call on its way.
    pub fn on_store(
        &mut self,
        now: Duration,
        end: StoreOutcome,
        cfg: &ClaimsConfig,
        jitter: f64,
    ) -> Vec<PartitionEvent> {
        let Some(busy) = self.busy.take() else {
            return Vec::new();
        };
        self.pace(now, &end, cfg, jitter);
        match (busy, end) {
            (Busy::ReadHead, StoreOutcome::Read(Ok(found))) => self.on_head(now, found, cfg),
            (Busy::Load(id), StoreOutcome::Read(Ok(found))) => self.on_segment(now, id, found, cfg),
            (Busy::Take(head), StoreOutcome::Write(Ok(version))) => self.on_own_head(head, version),
            (Busy::Take(_), _) => self.unread(),
            (Busy::Commit(claims, head), StoreOutcome::Write(end)) => {
                self.on_commit(claims, head, end)
            }
            (Busy::Roll(rolled), StoreOutcome::Write(end)) => self.on_rolled(rolled, end.is_ok()),
            (Busy::Delete(id), StoreOutcome::Delete(Err(_))) => self.keep_garbage(id),
            _ => Vec::new(),
        }
    }

    fn pace(&mut self, now: Duration, end: &StoreOutcome, cfg: &ClaimsConfig, jitter: f64) {
        let failed = match end {
            StoreOutcome::Read(end) => end.is_err(),
            StoreOutcome::Write(end) => {
                matches!(end, Err(e) if *e != StoreError::Conflict)
            }
            StoreOutcome::Delete(end) => end.is_err(),
        };
        if !failed {
            self.retry = Duration::ZERO;
            return;
        }
        let limits = &cfg.limits;
        self.retry = (self.retry * 2).clamp(limits.min_retry_delay, limits.max_retry_delay);
        self.next_call_at = now + self.retry.mul_f64(0.5 + jitter / 2.0);
    }

    fn unread(&mut self) -> Vec<PartitionEvent> {
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
            self.state = State::Foreign(None);
            return Vec::new();
        };
        // A head that cannot be read is never replaced; the read is repeated.
        let Ok(head) = Head::decode(found.value) else {
            self.next_call_at = now + cfg.limits.max_retry_delay;
            return Vec::new();
        };
        if head.is_owned_by(&self.home) {
            return self.on_own_head(head, found.version);
        }
        self.on_foreign_head(now, head, found.version, cfg)
    }

    fn on_own_head(&mut self, head: Head, version: StoreVersion) -> Vec<PartitionEvent> {
        if head.epoch() == self.chain_epoch {
            return self.adopt(head, version);
        }
        self.chain = Chain::default();
        self.next_segment = 0;
        self.remove_orphans(&head);
        let left = head.segments();
        self.state = State::Loading {
            head,
            version,
            left,
        };
        self.finish_loading()
    }

    fn on_foreign_head(
        &mut self,
        now: Duration,
        head: Head,
        version: StoreVersion,
        cfg: &ClaimsConfig,
    ) -> Vec<PartitionEvent> {
        let unsettled = std::mem::take(&mut self.unsettled);
        let was_owner = self.chain_epoch != 0;
        let mut notices = Vec::new();
        if was_owner {
            self.next_call_at = now + cfg.limits.reacquire_delay;
            let epoch = self.chain_epoch;
            let (durable, open) = split_durable(&head, epoch, unsettled);
            // The others may be durable too if the new owner moved them into a segment. They wait
            // for the home to own the partition again, or to give up.
            self.put_back(open);
            notices.push(PartitionEvent::Durable(durable));
            self.forget();
        }
        self.state = State::Foreign(Some((head, version)));
        notices
    }

    fn forget(&mut self) {
        self.chain = Chain::default();
        self.chain_epoch = 0;
    }

    /// The lost owner may have written segments that no head names.
    fn remove_orphans(&mut self, head: &Head) {
        let owners = head.owners.len();
        let Some(lost) = owners.checked_sub(2).map(|i| head.owners[i].epoch) else {
            return;
        };
        for number in head.next_segment..head.next_segment + ORPHAN_SEGMENTS {
            let id = SegmentId {
                epoch: lost,
                number,
            };
            self.chain.discard(id);
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
        // A named segment is only ever missing for a head that is no longer in force.
        let Some(segment) = segment else {
            self.next_call_at = now + cfg.limits.max_retry_delay;
            return self.unread();
        };
        self.chain.add_segment(id, &segment.claims);
        if let State::Loading { left, .. } = &mut self.state {
            left.pop_front();
        }
        self.finish_loading()
    }

    fn finish_loading(&mut self) -> Vec<PartitionEvent> {
        match &self.state {
            State::Loading {
                head,
                version,
                left,
            } if left.is_empty() => {
                let (head, version) = (head.clone(), *version);
                self.chain.add(&head.claims);
                self.chain_epoch = head.epoch();
                self.chain.version = version;
                self.wanted = false;
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
        end: Result<StoreVersion, StoreError>,
    ) -> Vec<PartitionEvent> {
        match end {
            Ok(version) => {
                let keys = claims.iter().map(|p| p.key).collect();
                self.apply(head, version);
                vec![PartitionEvent::Durable(keys)]
            }
            Err(e) if e == StoreError::Conflict || e.may_have_written() => {
                self.unsettled = claims;
                self.unsettled.iter_mut().for_each(|p| p.carried = true);
                self.unread()
            }
            Err(_) => {
                self.put_back(claims);
                Vec::new()
            }
        }
    }

    fn put_back(&mut self, claims: Vec<PendingClaim>) {
        for claim in claims.into_iter().rev() {
            self.pending.push_front(claim);
        }
    }

    /// Takes over a head of the own epoch that was read back after a write with no answer.
    ///
    /// The write may still land later. The next commit expects the version read here, so one of the
    /// two finds a conflict and is settled in turn.
    fn adopt(&mut self, head: Head, version: StoreVersion) -> Vec<PartitionEvent> {
        let mut claims = std::mem::take(&mut self.unsettled);
        claims.extend(self.pending.drain(..));
        let (durable, open) = split_durable(&head, head.epoch(), claims);
        self.pending = open.into();
        self.apply(head, version);
        vec![PartitionEvent::Durable(durable), PartitionEvent::Ready]
    }

    /// Makes a head that is in the store the one in force.
    fn apply(&mut self, head: Head, version: StoreVersion) {
        self.chain.apply(&head, version);
        self.state = State::Owned { head, version };
    }

    fn on_rolled(&mut self, rolled: LoadedSegment, written: bool) -> Vec<PartitionEvent> {
        self.chain.on_rolled(rolled, written);
        Vec::new()
    }

    fn keep_garbage(&mut self, id: SegmentId) -> Vec<PartitionEvent> {
        if !matches!(self.state, State::Foreign(_)) {
            self.chain.discard(id);
        }
        Vec::new()
    }
}

/// Splits claims into those a head shows as made in some epoch, and the others.
fn split_durable(
    head: &Head,
    epoch: u64,
    claims: Vec<PendingClaim>,
) -> (Vec<ClaimKey>, Vec<PendingClaim>) {
    let made = head.claims.iter().filter(|c| c.epoch == epoch);
    let made: HashSet<ClaimKey> = made.filter_map(Claim::claim_key).collect();
    let (durable, open): (Vec<_>, Vec<_>) = claims
        .into_iter()
        .partition(|p| p.carried && made.contains(&p.key));
    (durable.into_iter().map(|p| p.key).collect(), open)
}
