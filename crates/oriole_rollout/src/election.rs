//! Lease and fencing number of a group's coordinator.
//!
//! Whoever holds the leased key may coordinate; the fencing number lies in a durable key beside it
//! and grows with each change of coordinator. The lease keeps coordinators from disturbing each
//! other; safety does not rest on it, since the ranks settle each switch among themselves.

use std::time::Duration;

use metrics::counter;
use oriole_store::prelude::{LeaseId, Precondition, StoreError, StoreVersion};
use oriole_types::ids::{Fence, GroupName, Incarnation};

/// Time settings of an election.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ElectionConfig {
    /// Duration of the lease.
    pub lease_duration: Duration,
    /// Interval between renewals.
    pub renew_interval: Duration,
    /// Interval between attempts to win.
    pub retry_interval: Duration,
}

impl Default for ElectionConfig {
    fn default() -> Self {
        Self {
            lease_duration: Duration::from_secs(10),
            renew_interval: Duration::from_secs(3),
            retry_interval: Duration::from_secs(5),
        }
    }
}

oriole_types::value_type! {
    /// Value of the durable key: the fencing number and who holds it.
    pub struct FenceRecord {
        /// Number.
        pub fence: Fence,
        /// Run of the process that took it.
        pub holder: Incarnation,
    }
}

/// A call that the driver has to make at the store, one at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOp {
    /// Grant a lease of this duration.
    Grant(Duration),
    /// Write the holder's number under the lease, if the key is absent.
    PutLeased(String, Incarnation, LeaseId),
    /// Read the durable key.
    ReadFence(String),
    /// Write the durable key.
    PutFence(String, FenceRecord, Precondition),
    /// Renew the lease.
    Renew(LeaseId),
}

/// The answer to a call.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// A lease was granted.
    Granted(LeaseId),
    /// A write or renewal was done.
    Done,
    /// What the durable key holds.
    Fence(Option<(FenceRecord, StoreVersion)>),
    /// The call failed.
    Failed(StoreError),
}

/// Changes of office.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipChange {
    /// Coordinate under this fencing number.
    Won(Fence),
    /// Stop coordinating.
    Lost,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Step {
    Idle { until: Duration },
    Granting,
    Claiming(LeaseId),
    Reading(LeaseId),
    Writing(LeaseId, Fence),
    Holding { lease: LeaseId, next: Duration },
    Renewing { lease: LeaseId, sent: Duration },
}

/// One process's candidacy for a group.
#[derive(Clone, Debug)]
pub struct Election {
    cfg: ElectionConfig,
    group: GroupName,
    me: Incarnation,
    step: Step,
    renewed: Duration,
    fence: Option<Fence>,
}

impl Election {
    /// A candidate.
    #[must_use]
    pub fn new(cfg: ElectionConfig, group: GroupName, me: Incarnation) -> Self {
        Self {
            cfg,
            group,
            me,
            step: Step::Idle {
                until: Duration::ZERO,
            },
            renewed: Duration::ZERO,
            fence: None,
        }
    }

    /// The fencing number under which the process coordinates.
    #[must_use]
    pub fn fence(&self) -> Option<Fence> {
        self.fence
    }

    /// Lets time pass; returns the next call, if one is due.
    pub fn on_tick(&mut self, now: Duration) -> (Option<StoreOp>, Option<LeadershipChange>) {
        let office = self.lapse(now);
        match self.step {
            Step::Idle { until } if now >= until => {
                self.renewed = now;
                self.step = Step::Granting;
                (Some(StoreOp::Grant(self.cfg.lease_duration)), office)
            }
            Step::Holding { lease, next } if now >= next => {
                self.step = Step::Renewing { lease, sent: now };
                (Some(StoreOp::Renew(lease)), office)
            }
            _ => (None, office),
        }
    }

    /// Takes in the answer to the last call.
    pub fn on_reply(
        &mut self,
        now: Duration,
        reply: StoreReply,
    ) -> (Option<StoreOp>, Option<LeadershipChange>) {
        match (self.step, reply) {
            (Step::Granting, StoreReply::Granted(lease)) => {
                self.step = Step::Claiming(lease);
                let key = self.leader_key();
                (Some(StoreOp::PutLeased(key, self.me, lease)), None)
            }
            (Step::Claiming(lease), StoreReply::Done) => {
                self.step = Step::Reading(lease);
                (Some(StoreOp::ReadFence(self.fence_key())), None)
            }
            (Step::Reading(lease), StoreReply::Fence(found)) => self.take_number(lease, found),
            (Step::Writing(lease, fence), StoreReply::Done) => self.win(now, lease, fence),
            (Step::Renewing { lease, sent }, StoreReply::Done) => {
                self.renewed = sent;
                self.hold(now, lease);
                (None, None)
            }
            (Step::Renewing { lease, .. }, StoreReply::Failed(e))
                if e != StoreError::LeaseLapsed =>
            {
                self.step = Step::Holding {
                    lease,
                    next: now + self.cfg.renew_interval / 3,
                };
                (None, self.lapse(now))
            }
            (Step::Idle { .. } | Step::Holding { .. }, _) => (None, None),
            _ => (None, self.rest(now)),
        }
    }

    /// Gives up the office, for instance because a higher fencing number was seen.
    pub fn step_down(&mut self, now: Duration) -> Option<LeadershipChange> {
        self.rest(now)
    }

    fn take_number(
        &mut self,
        lease: LeaseId,
        found: Option<(FenceRecord, StoreVersion)>,
    ) -> (Option<StoreOp>, Option<LeadershipChange>) {
        let (last, expect) = match found {
            Some((record, version)) => (record.fence, Precondition::Version(version)),
            None => (Fence(0), Precondition::Absent),
        };
        let record = FenceRecord {
            fence: last.next(),
            holder: self.me,
        };
        self.step = Step::Writing(lease, record.fence);
        (
            Some(StoreOp::PutFence(self.fence_key(), record, expect)),
            None,
        )
    }

    fn win(
        &mut self,
        now: Duration,
        lease: LeaseId,
        fence: Fence,
    ) -> (Option<StoreOp>, Option<LeadershipChange>) {
        self.hold(now, lease);
        self.fence = Some(fence);
        (None, self.lapse(now).or(Some(LeadershipChange::Won(fence))))
    }

    fn hold(&mut self, now: Duration, lease: LeaseId) {
        self.step = Step::Holding {
            lease,
            next: now + self.cfg.renew_interval,
        };
    }

    /// Ends the office when the lease may have lapsed, counted from before its last renewal.
    fn lapse(&mut self, now: Duration) -> Option<LeadershipChange> {
        let held = matches!(self.step, Step::Holding { .. } | Step::Renewing { .. });
        if held && now >= self.renewed + self.cfg.lease_duration {
            return self.rest(now);
        }
        None
    }

    fn rest(&mut self, now: Duration) -> Option<LeadershipChange> {
        counter!("oriole_group_election_ends_total").increment(1);
        self.step = Step::Idle {
            until: now + self.cfg.retry_interval,
        };
        self.fence.take().map(|_| LeadershipChange::Lost)
    }

    fn leader_key(&self) -> String {
        format!("groups/{}/coordinator", self.group)
    }

    fn fence_key(&self) -> String {
        format!("groups/{}/fence", self.group)
    }
}
