//! The calls that a partition makes to the store.

use std::time::Duration;

use oriole_store::store::{Precondition, StoreVersion};
use prost::Message;

use super::{Busy, Partition, Pending, State, StoreCall};
use crate::config::ClaimsConfig;
use crate::value::{Head, Segment, SegmentId, head_key, segment_key};

impl Partition {
    /// The next call to the store, if one is due.
    pub fn poll(
        &mut self,
        now: Duration,
        cfg: &ClaimsConfig,
        interval: Duration,
    ) -> Option<StoreCall> {
        if self.busy.is_some() || now < self.next_call_at || !self.has_work() {
            return None;
        }
        let (busy, call) = match &self.state {
            State::Unread => self.read_head(cfg),
            State::Foreign(found) => self.take(found.as_ref(), cfg),
            State::Loading { left, .. } => self.load(*left.front()?, cfg),
            State::Owned { .. } => self.next_owned(now, cfg, interval)?,
        };
        self.busy = Some(busy);
        Some(call)
    }

    fn read_head(&self, cfg: &ClaimsConfig) -> (Busy, StoreCall) {
        let key = head_key(&cfg.pool, self.id);
        (Busy::ReadHead, StoreCall::Read { key })
    }

    fn take(&self, found: Option<&(Head, StoreVersion)>, cfg: &ClaimsConfig) -> (Busy, StoreCall) {
        let empty = Head::default();
        let (head, expect) = match found {
            Some((head, version)) => (head, Precondition::Version(*version)),
            None => (&empty, Precondition::Absent),
        };
        let head = head.taken_by(&self.home);
        let call = StoreCall::Write {
            key: head_key(&cfg.pool, self.id),
            value: head.encode_to_vec().into(),
            expect,
        };
        (Busy::Take(head), call)
    }

    fn load(&self, id: SegmentId, cfg: &ClaimsConfig) -> (Busy, StoreCall) {
        let key = segment_key(&cfg.pool, self.id, id);
        (Busy::Load(id), StoreCall::Read { key })
    }

    fn next_owned(
        &mut self,
        now: Duration,
        cfg: &ClaimsConfig,
        interval: Duration,
    ) -> Option<(Busy, StoreCall)> {
        if self.pending.is_empty() || now < self.next_commit_at {
            return self.collect_garbage(cfg);
        }
        let State::Owned { head, version } = &self.state else {
            return None;
        };
        let (head, expect) = (head.clone(), Precondition::Version(*version));
        if !self.chain.has_rolled() && head.encoded_len() > cfg.limits.segment_bytes {
            return Some(self.roll(head, cfg));
        }
        self.next_commit_at = now + interval;
        Some(self.commit(now, head, expect, cfg))
    }

    /// Writes the open claims as a segment. Each try has a name of its own, so that a late write of
    /// an earlier try cannot change what the head will name.
    fn roll(&mut self, head: Head, cfg: &ClaimsConfig) -> (Busy, StoreCall) {
        let id = SegmentId {
            epoch: head.epoch(),
            number: self.next_segment,
        };
        self.next_segment += 1;
        let (rolled, claims) = self.chain.roll(id, head.claims, &cfg.limits);
        let call = StoreCall::Write {
            key: segment_key(&cfg.pool, self.id, id),
            value: Segment { claims }.encode_to_vec().into(),
            expect: Precondition::Absent,
        };
        (Busy::Roll(rolled), call)
    }

    fn commit(
        &mut self,
        now: Duration,
        mut head: Head,
        expect: Precondition,
        cfg: &ClaimsConfig,
    ) -> (Busy, StoreCall) {
        let wall_ms = cfg.wall_ms(now);
        self.chain.propose(&mut head, wall_ms, &cfg.limits);
        head.next_segment = self.next_segment;
        let count = self.pending.len().min(cfg.limits.commit_claims);
        let batch: Vec<Pending> = self.pending.drain(..count).collect();
        let epoch = head.epoch();
        head.claims
            .extend(batch.iter().map(|p| p.to_claim(epoch, wall_ms)));
        let call = StoreCall::Write {
            key: head_key(&cfg.pool, self.id),
            value: head.encode_to_vec().into(),
            expect,
        };
        (Busy::Commit(batch, head), call)
    }

    fn collect_garbage(&mut self, cfg: &ClaimsConfig) -> Option<(Busy, StoreCall)> {
        let id = self.chain.pop_garbage()?;
        let key = segment_key(&cfg.pool, self.id, id);
        Some((Busy::Delete(id), StoreCall::Delete { key }))
    }
}
