//! Tests of the coordinator's election against a store with faults.

use std::time::Duration;

use oriole_rollout::election::{
    Election, ElectionConfig, FenceRecord, LeadershipChange, StoreOp, StoreReply,
};
use oriole_store::prelude::{LeaseId, Precondition, StoreError, StoreVersion};
use oriole_types::ids::{Fence, GroupName, Incarnation};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

/// An in-memory store that fails some calls and loses some answers to writes.
struct FaultyStore {
    rng: ChaCha8Rng,
    /// Share of the calls that fail, and of the writes whose answer is lost.
    fault_rate: f64,
    /// Lease, its duration and its expiry.
    leases: Vec<(LeaseId, Duration, Duration)>,
    key_holder: Option<(Incarnation, LeaseId)>,
    fence: Option<(FenceRecord, StoreVersion)>,
}

impl FaultyStore {
    fn call(&mut self, now: Duration, op: StoreOp) -> StoreReply {
        let live_leases: Vec<LeaseId> = self
            .leases
            .iter()
            .filter(|l| now < l.2)
            .map(|l| l.0)
            .collect();
        self.key_holder
            .take_if(|(_, lease)| !live_leases.contains(lease));
        if self.rng.random_bool(self.fault_rate) {
            return StoreReply::Failed(StoreError::Unavailable);
        }
        let reply = self.apply(now, op, &live_leases);
        if reply == StoreReply::Done && self.rng.random_bool(self.fault_rate) {
            return StoreReply::Failed(StoreError::Ambiguous);
        }
        reply
    }

    fn apply(&mut self, now: Duration, op: StoreOp, live_leases: &[LeaseId]) -> StoreReply {
        match op {
            StoreOp::Grant(ttl) => {
                let lease = LeaseId(self.leases.len() as u64 + 1);
                self.leases.push((lease, ttl, now + ttl));
                StoreReply::Granted(lease)
            }
            StoreOp::PutLeased(_, candidate, lease)
                if self.key_holder.is_none() && live_leases.contains(&lease) =>
            {
                self.key_holder = Some((candidate, lease));
                StoreReply::Done
            }
            StoreOp::PutLeased(..) => StoreReply::Failed(StoreError::Conflict),
            StoreOp::ReadFence(_) => StoreReply::Fence(self.fence),
            StoreOp::PutFence(_, record, expect) => self.put_fence(record, expect),
            StoreOp::Renew(lease) if live_leases.contains(&lease) => {
                let entry = self.leases.iter_mut().find(|l| l.0 == lease).unwrap();
                entry.2 = now + entry.1;
                StoreReply::Done
            }
            StoreOp::Renew(_) => StoreReply::Failed(StoreError::LeaseLapsed),
        }
    }

    fn put_fence(&mut self, record: FenceRecord, expect: Precondition) -> StoreReply {
        let holds = match (expect, &self.fence) {
            (Precondition::Absent, found) => found.is_none(),
            (Precondition::Version(v), Some((_, version))) => v == *version,
            _ => false,
        };
        if !holds {
            return StoreReply::Failed(StoreError::Conflict);
        }
        let version = self.fence.map_or(StoreVersion(1), |(_, v)| v.next());
        self.fence = Some((record, version));
        StoreReply::Done
    }
}

/// Three candidates that compete for one group.
struct Candidates {
    store: FaultyStore,
    elections: Vec<Election>,
    /// Fencing numbers of all won elections, oldest first.
    won_fences: Vec<Fence>,
}

impl Candidates {
    fn new(fault_rate: f64, seed: u64) -> Self {
        let group = GroupName::new("g");
        let cfg = ElectionConfig::default();
        let election = |i| Election::new(cfg, group.clone(), Incarnation(i));
        Self {
            store: FaultyStore {
                rng: ChaCha8Rng::seed_from_u64(seed),
                fault_rate,
                leases: Vec::new(),
                key_holder: None,
                fence: None,
            },
            elections: (1..=3).map(election).collect(),
            won_fences: Vec::new(),
        }
    }

    /// Ticks one candidate and makes all calls that follow.
    fn tick(&mut self, now: Duration, i: usize) {
        let (mut op, change) = self.elections[i].on_tick(now);
        self.record_change(change);
        while let Some(call) = op {
            let reply = self.store.call(now, call);
            let (next, change) = self.elections[i].on_reply(now, reply);
            self.record_change(change);
            op = next;
        }
    }

    fn record_change(&mut self, change: Option<LeadershipChange>) {
        if let Some(LeadershipChange::Won(fence)) = change {
            assert!(
                self.won_fences.last().is_none_or(|last| fence > *last),
                "fencing number {fence} follows {:?}",
                self.won_fences
            );
            self.won_fences.push(fence);
        }
    }

    fn coordinator_count(&self) -> usize {
        self.elections
            .iter()
            .filter(|e| e.fence().is_some())
            .count()
    }
}

/// Fencing numbers must grow with each change of coordinator, even if candidates pause for longer
/// than a lease and a quarter of the calls to the store fail.
#[test]
fn election_fences_grow() {
    let mut terms = 0;
    for seed in 0..200 {
        let mut candidates = Candidates::new(0.25, seed);
        let mut rng = ChaCha8Rng::seed_from_u64(seed + 1_000);
        let mut paused_until = [Duration::ZERO; 3];
        for ms in (0..600_000).step_by(500) {
            let now = Duration::from_millis(ms);
            for (i, paused) in paused_until.iter_mut().enumerate() {
                if rng.random_bool(0.002) {
                    *paused = now + Duration::from_secs(rng.random_range(1..60));
                }
                if now >= *paused {
                    candidates.tick(now, i);
                }
            }
        }
        assert!(
            !candidates.won_fences.is_empty(),
            "seed {seed}: no candidate ever won"
        );
        terms += candidates.won_fences.len();
    }
    assert!(terms > 400, "too few changes of coordinator: {terms}");
}

#[test]
fn election_one_holder_without_faults() {
    let mut candidates = Candidates::new(0.0, 1);
    for ms in (0..60_000).step_by(500) {
        (0..3).for_each(|i| candidates.tick(Duration::from_millis(ms), i));
        assert!(candidates.coordinator_count() <= 1);
    }
    assert_eq!(candidates.won_fences, vec![Fence(1)]);
    assert_eq!(candidates.coordinator_count(), 1);
}

#[test]
fn election_holder_stops_before_lease_lapses_in_outage() {
    let mut candidates = Candidates::new(0.0, 1);
    candidates.tick(Duration::ZERO, 0);
    assert_eq!(candidates.coordinator_count(), 1);
    candidates.store.fault_rate = 1.0;
    for ms in (500..=10_000).step_by(500) {
        candidates.tick(Duration::from_millis(ms), 0);
    }
    assert_eq!(candidates.coordinator_count(), 0);
}
