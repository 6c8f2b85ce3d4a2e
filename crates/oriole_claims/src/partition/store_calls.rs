//! The store calls of a partition.

use std::time::Duration;

use oriole_store::store::{Precondition, StoreVersion};
use prost::Message;

use super::{InFlight, Partition, PendingClaim, State, StoreCall};
use crate::config::ClaimsConfig;
use crate::value::{Head, Segment, SegmentId, head_key, segment_key};

impl Partition {
    /// Returns the next store call if one is due. `interval` is the least time between two commits.
    pub fn poll(
        &mut self,
        now: Duration,
        cfg: &ClaimsConfig,
        interval: Duration,
    ) -> Option<StoreCall> {
        if self.in_flight.is_some() || now < self.next_call_at || !self.has_work() {
            return None;
        }
        let (in_flight, call) = match &self.state {
            State::Unread => self.read_head(cfg),
            State::NotOwned(found) => self.acquire(found.as_ref(), cfg),
            State::Loading { remaining, .. } => self.read_segment(*remaining.front()?, cfg),
            State::Owned { .. } => self.next_owned_call(now, cfg, interval)?,
        };
        self.in_flight = Some(in_flight);
        Some(call)
    }

    fn read_head(&self, cfg: &ClaimsConfig) -> (InFlight, StoreCall) {
        let key = head_key(&cfg.pool, self.id);
        (InFlight::ReadHead, StoreCall::Read { key })
    }

    fn acquire(
        &self,
        found: Option<&(Head, StoreVersion)>,
        cfg: &ClaimsConfig,
    ) -> (InFlight, StoreCall) {
        let empty = Head::default();
        let (head, precondition) = match found {
            Some((head, version)) => (head, Precondition::Version(*version)),
            None => (&empty, Precondition::Absent),
        };
        let head = head.with_owner(&self.home);
        let call = StoreCall::Write {
            key: head_key(&cfg.pool, self.id),
            value: head.encode_to_vec().into(),
            precondition,
        };
        (InFlight::Acquire(head), call)
    }

    fn read_segment(&self, id: SegmentId, cfg: &ClaimsConfig) -> (InFlight, StoreCall) {
        let key = segment_key(&cfg.pool, self.id, id);
        (InFlight::ReadSegment(id), StoreCall::Read { key })
    }

    fn next_owned_call(
        &mut self,
        now: Duration,
        cfg: &ClaimsConfig,
        interval: Duration,
    ) -> Option<(InFlight, StoreCall)> {
        if self.pending.is_empty() || now < self.next_commit_at {
            return self.collect_garbage(cfg);
        }
        let State::Owned { head, version } = &self.state else {
            return None;
        };
        let (head, precondition) = (head.clone(), Precondition::Version(*version));
        if !self.index.has_rolled() && head.encoded_len() > cfg.limits.max_head_bytes {
            return Some(self.roll(head, cfg));
        }
        self.next_commit_at = now + interval;
        Some(self.commit(now, head, precondition, cfg))
    }

    /// Writes the claims of the head as a segment. Each attempt uses a new segment number, so that
    /// a delayed write of an earlier attempt cannot change a segment that the head lists.
    fn roll(&mut self, head: Head, cfg: &ClaimsConfig) -> (InFlight, StoreCall) {
        let id = SegmentId {
            epoch: head.epoch(),
            number: self.next_segment,
        };
        self.next_segment += 1;
        let (rolled, claims) = self.index.roll(id, head.claims, &cfg.limits);
        let call = StoreCall::Write {
            key: segment_key(&cfg.pool, self.id, id),
            value: Segment { claims }.encode_to_vec().into(),
            precondition: Precondition::Absent,
        };
        (InFlight::Roll(rolled), call)
    }

    fn commit(
        &mut self,
        now: Duration,
        mut head: Head,
        precondition: Precondition,
        cfg: &ClaimsConfig,
    ) -> (InFlight, StoreCall) {
        let unix_ms = cfg.unix_ms(now);
        self.index.prepare_head(&mut head, unix_ms, &cfg.limits);
        head.next_segment = self.next_segment;
        let count = self.pending.len().min(cfg.limits.max_claims_per_commit);
        let batch: Vec<PendingClaim> = self.pending.drain(..count).collect();
        let epoch = head.epoch();
        head.claims
            .extend(batch.iter().map(|p| p.to_claim(epoch, unix_ms)));
        let call = StoreCall::Write {
            key: head_key(&cfg.pool, self.id),
            value: head.encode_to_vec().into(),
            precondition,
        };
        (InFlight::Commit(batch, head), call)
    }

    fn collect_garbage(&mut self, cfg: &ClaimsConfig) -> Option<(InFlight, StoreCall)> {
        let id = self.index.pop_garbage()?;
        let key = segment_key(&cfg.pool, self.id, id);
        Some((InFlight::Delete(id), StoreCall::Delete { key }))
    }
}
