//! Election of a group's coordinator: a lease and a fencing number in the store.
//!
//! The process that holds the leased key may coordinate. The fencing number is stored in a separate
//! durable key and grows with each change of coordinator. The lease only keeps coordinators from
//! interfering with each other; safety does not depend on it, since the ranks decide each switch
//! among themselves.

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
    /// Interval between attempts to become coordinator.
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
    /// Value of the durable key: the fencing number and its holder.
    pub struct FenceRecord {
        /// Fencing number.
        pub fence: Fence,
        /// Run of the process that wrote it.
        pub holder: Incarnation,
    }
}

/// A call to the store that the driver has to make; there is at most one at a time.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreOp {
    /// Grant a lease of this duration.
    Grant(Duration),
    /// Write the candidate's run under the lease if the key is absent.
    PutLeased(String, Incarnation, LeaseId),
    /// Read the durable key.
    ReadFence(String),
    /// Write the durable key.
    PutFence(String, FenceRecord, Precondition),
    /// Renew the lease.
    Renew(LeaseId),
}

/// Result of a [`StoreOp`].
#[derive(Clone, Debug, PartialEq)]
pub enum StoreReply {
    /// A lease was granted.
    Granted(LeaseId),
    /// A write or renewal succeeded.
    Done,
    /// Value of the durable key; `None` if it is absent.
    Fence(Option<(FenceRecord, StoreVersion)>),
    /// The call failed.
    Failed(StoreError),
}

/// The process has become coordinator or has stopped being one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LeadershipChange {
    /// Coordinate under this fencing number.
    Won(Fence),
    /// Stop coordinating.
    Lost,
}

/// Progress of a candidacy, from the first call to the renewals of a coordinator.
#[derive(Clone, Copy, Debug, PartialEq)]
enum ElectionState {
    Idle { until: Duration },
    GrantingLease,
    WritingKey(LeaseId),
    ReadingFence(LeaseId),
    WritingFence(LeaseId, Fence),
    Leading { lease: LeaseId, renew_at: Duration },
    Renewing { lease: LeaseId, sent_at: Duration },
}

/// The candidacy of one process for coordinating a group.
#[derive(Clone, Debug)]
pub struct Election {
    cfg: ElectionConfig,
    group: GroupName,
    incarnation: Incarnation,
    state: ElectionState,
    /// When the call was sent that granted or last renewed the lease.
    lease_sent_at: Duration,
    /// Fencing number while the process coordinates.
    fence: Option<Fence>,
}

impl Election {
    /// Creates a candidate that makes its first attempt at the next tick.
    #[must_use]
    pub fn new(cfg: ElectionConfig, group: GroupName, incarnation: Incarnation) -> Self {
        Self {
            cfg,
            group,
            incarnation,
            state: ElectionState::Idle {
                until: Duration::ZERO,
            },
            lease_sent_at: Duration::ZERO,
            fence: None,
        }
    }

    /// The fencing number under which the process coordinates; `None` if it does not.
    #[must_use]
    pub fn fence(&self) -> Option<Fence> {
        self.fence
    }

    /// Returns the next call to the store, if one is due, and a change of leadership.
    pub fn on_tick(&mut self, now: Duration) -> (Option<StoreOp>, Option<LeadershipChange>) {
        let change = self.expire_if_due(now);
        match self.state {
            ElectionState::Idle { until } if now >= until => {
                self.lease_sent_at = now;
                self.state = ElectionState::GrantingLease;
                (Some(StoreOp::Grant(self.cfg.lease_duration)), change)
            }
            ElectionState::Leading { lease, renew_at } if now >= renew_at => {
                self.state = ElectionState::Renewing {
                    lease,
                    sent_at: now,
                };
                (Some(StoreOp::Renew(lease)), change)
            }
            _ => (None, change),
        }
    }

    /// Handles the result of the last call.
    pub fn on_reply(
        &mut self,
        now: Duration,
        reply: StoreReply,
    ) -> (Option<StoreOp>, Option<LeadershipChange>) {
        match (self.state, reply) {
            (ElectionState::GrantingLease, StoreReply::Granted(lease)) => {
                self.state = ElectionState::WritingKey(lease);
                let key = self.coordinator_key();
                (Some(StoreOp::PutLeased(key, self.incarnation, lease)), None)
            }
            (ElectionState::WritingKey(lease), StoreReply::Done) => {
                self.state = ElectionState::ReadingFence(lease);
                (Some(StoreOp::ReadFence(self.fence_key())), None)
            }
            (ElectionState::ReadingFence(lease), StoreReply::Fence(current)) => {
                self.write_next_fence(lease, current)
            }
            (ElectionState::WritingFence(lease, fence), StoreReply::Done) => {
                self.become_coordinator(now, lease, fence)
            }
            (ElectionState::Renewing { lease, sent_at }, StoreReply::Done) => {
                self.lease_sent_at = sent_at;
                self.schedule_renewal(now, lease);
                (None, None)
            }
            (ElectionState::Renewing { lease, .. }, StoreReply::Failed(e))
                if e != StoreError::LeaseLapsed =>
            {
                self.state = ElectionState::Leading {
                    lease,
                    renew_at: now + self.cfg.renew_interval / 3,
                };
                (None, self.expire_if_due(now))
            }
            (ElectionState::Idle { .. } | ElectionState::Leading { .. }, _) => (None, None),
            _ => (None, self.abandon(now)),
        }
    }

    /// Stops coordinating, for instance because a higher fencing number was seen.
    pub fn step_down(&mut self, now: Duration) -> Option<LeadershipChange> {
        self.abandon(now)
    }

    fn write_next_fence(
        &mut self,
        lease: LeaseId,
        current: Option<(FenceRecord, StoreVersion)>,
    ) -> (Option<StoreOp>, Option<LeadershipChange>) {
        let (last, expect) = match current {
            Some((record, version)) => (record.fence, Precondition::Version(version)),
            None => (Fence(0), Precondition::Absent),
        };
        let record = FenceRecord {
            fence: last.next(),
            holder: self.incarnation,
        };
        self.state = ElectionState::WritingFence(lease, record.fence);
        (
            Some(StoreOp::PutFence(self.fence_key(), record, expect)),
            None,
        )
    }

    fn become_coordinator(
        &mut self,
        now: Duration,
        lease: LeaseId,
        fence: Fence,
    ) -> (Option<StoreOp>, Option<LeadershipChange>) {
        self.schedule_renewal(now, lease);
        self.fence = Some(fence);
        (
            None,
            self.expire_if_due(now)
                .or(Some(LeadershipChange::Won(fence))),
        )
    }

    fn schedule_renewal(&mut self, now: Duration, lease: LeaseId) {
        self.state = ElectionState::Leading {
            lease,
            renew_at: now + self.cfg.renew_interval,
        };
    }

    /// Stops coordinating when the lease may have lapsed. The lease is counted from the time its
    /// call was sent, since the store can only have started it later.
    fn expire_if_due(&mut self, now: Duration) -> Option<LeadershipChange> {
        let is_leading = matches!(
            self.state,
            ElectionState::Leading { .. } | ElectionState::Renewing { .. }
        );
        if is_leading && now >= self.lease_sent_at + self.cfg.lease_duration {
            return self.abandon(now);
        }
        None
    }

    /// Gives up the lease and waits for the next attempt.
    fn abandon(&mut self, now: Duration) -> Option<LeadershipChange> {
        counter!("oriole_group_election_ends_total").increment(1);
        self.state = ElectionState::Idle {
            until: now + self.cfg.retry_interval,
        };
        self.fence.take().map(|_| LeadershipChange::Lost)
    }

    fn coordinator_key(&self) -> String {
        format!("groups/{}/coordinator", self.group)
    }

    fn fence_key(&self) -> String {
        format!("groups/{}/fence", self.group)
    }
}
