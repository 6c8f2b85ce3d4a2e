//! Delivers messages from other agents to the tasks of a group member.

use std::sync::{Arc, Mutex, PoisonError};

use bytes::Bytes;
use oriole_rollout::driver::{CoordinatorHandle, RankHandle};
use oriole_rollout::messages::{Envelope, Party, RankId};
use oriole_rollout::status::GroupStatus;
use oriole_types::ids::VmName;

use super::assignment::RankAssignment;
use super::transport::{AddressedEnvelope, CoordinatorRanks};

/// The running tasks of an agent that belongs to a group.
pub(crate) struct Member {
    pub(crate) assignment: RankAssignment,
    pub(crate) rank: RankHandle,
    pub(crate) candidate: CoordinatorHandle,
    pub(crate) coordinator_ranks: CoordinatorRanks,
}

impl Member {
    /// Delivers a message from the agent of rank `from` to the task that it is addressed to.
    pub(crate) fn deliver(&self, from: RankId, to: Party, envelope: Envelope) {
        match envelope.from {
            Party::Coordinator(fence) => self.coordinator_ranks.record(fence, from),
            // An agent may send messages only in the name of its own rank.
            Party::Rank(rank) if rank != from => return,
            Party::Rank(_) => {}
        }
        match to {
            Party::Rank(rank) if rank == self.assignment.rank => self.rank.deliver(envelope),
            Party::Rank(_) => {}
            Party::Coordinator(_) => self.candidate.deliver(envelope),
        }
    }
}

/// The agent's membership in a group; empty while it belongs to none.
#[derive(Default)]
pub struct GroupMembership {
    member: Mutex<Option<Arc<Member>>>,
}

impl GroupMembership {
    pub(crate) fn set(&self, member: Option<Arc<Member>>) {
        *self.member.lock().unwrap_or_else(PoisonError::into_inner) = member;
    }

    fn member(&self) -> Option<Arc<Member>> {
        let member = self.member.lock().unwrap_or_else(PoisonError::into_inner);
        member.clone()
    }

    /// The group's status; `None` if this agent does not coordinate it.
    #[must_use]
    pub fn status(&self) -> Option<GroupStatus> {
        self.member()?.candidate.status()
    }

    /// Delivers an encoded message from a peer.
    pub(crate) fn deliver(&self, peer: &VmName, payload: &[u8]) -> Result<Bytes, String> {
        let addressed: AddressedEnvelope =
            serde_json::from_slice(payload).map_err(|e| e.to_string())?;
        let member = self.member().ok_or("no rank of a group")?;
        if member.assignment.name != addressed.group {
            return Err(format!("no rank of group {:?}", addressed.group.as_str()));
        }
        let from = member
            .assignment
            .rank_of(peer)
            .ok_or("the sender is no rank")?;
        member.deliver(from, addressed.to, addressed.envelope);
        Ok(Bytes::new())
    }

    /// The group's status as JSON; empty if this agent does not coordinate one.
    pub(crate) fn encoded_status(&self) -> Result<Bytes, String> {
        let Some(status) = self.status() else {
            return Ok(Bytes::new());
        };
        let json = serde_json::to_vec(&status).map_err(|e| e.to_string())?;
        Ok(json.into())
    }
}
