//! Messages to other agents over frames.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use oriole_peers::pool::ChannelPool;
use oriole_rollout::driver::GroupTransport;
use oriole_rollout::messages::{Envelope, Party, RankId};
use oriole_types::domain_type;
use oriole_types::ids::{Fence, GroupName};
use tokio::sync::mpsc;
use tokio::task::JoinSet;

use super::GROUP_SERVICE;
use super::assignment::RankAssignment;
use super::member::Member;

/// Messages that wait to be sent; more are lost.
const MAX_OUTBOX_MESSAGES: usize = 1_024;

/// Messages under way at once; more wait.
const MAX_SENDS_IN_FLIGHT: usize = 256;

/// Longest time for a message to be taken.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

domain_type! {
    /// A message of a group as it is sent to another agent.
    pub struct AddressedEnvelope {
        /// Name of the group.
        pub group: GroupName,
        /// Receiver.
        pub to: Party,
        /// The message.
        pub envelope: Envelope,
    }
}

/// Where messages of the agent's own tasks are handed in.
pub(crate) struct Outbox {
    tx: mpsc::Sender<(Party, Envelope)>,
}

/// Messages that wait to be sent.
pub(crate) type Outgoing = mpsc::Receiver<(Party, Envelope)>;

/// An outbox and what comes out of it.
pub(crate) fn new_outbox() -> (Outbox, Outgoing) {
    let (tx, rx) = mpsc::channel(MAX_OUTBOX_MESSAGES);
    (Outbox { tx }, rx)
}

impl GroupTransport for Outbox {
    fn send(&self, to: Party, envelope: Envelope) {
        if self.tx.try_send((to, envelope)).is_err() {
            metrics::counter!("oriole_group_refusals_total", "reason" => "outbox_full")
                .increment(1);
        }
    }
}

/// Ranks beside which coordinators run, as learnt from their messages.
#[derive(Default)]
pub(crate) struct CoordinatorRanks {
    ranks: Mutex<BTreeMap<Fence, RankId>>,
}

/// Coordinators that are remembered.
const MAX_COORDINATORS: usize = 16;

impl CoordinatorRanks {
    pub(crate) fn record(&self, fence: Fence, rank: RankId) {
        let mut ranks = self.ranks.lock().unwrap_or_else(PoisonError::into_inner);
        ranks.insert(fence, rank);
        if ranks.len() > MAX_COORDINATORS {
            ranks.pop_first();
        }
    }

    fn rank(&self, fence: Fence) -> Option<RankId> {
        let ranks = self.ranks.lock().unwrap_or_else(PoisonError::into_inner);
        ranks.get(&fence).copied()
    }
}

/// Sends what comes out of the outbox.
pub(crate) async fn send_all(member: Arc<Member>, channels: Arc<ChannelPool>, mut rx: Outgoing) {
    let mut sends = JoinSet::new();
    while let Some((to, envelope)) = rx.recv().await {
        let rank = match to {
            Party::Rank(rank) => Some(rank),
            Party::Coordinator(fence) => member.coordinator_ranks.rank(fence),
        };
        let Some(rank) = rank else {
            metrics::counter!("oriole_group_refusals_total", "reason" => "no_way").increment(1);
            continue;
        };
        if rank == member.assignment.rank {
            member.deliver(rank, to, envelope);
            continue;
        }
        while sends.try_join_next().is_some() {}
        if sends.len() >= MAX_SENDS_IN_FLIGHT {
            sends.join_next().await;
        }
        let Some(payload) = encode(&member.assignment, to, envelope) else {
            continue;
        };
        let Some(address) = member.assignment.addresses.get(usize::from(rank)).copied() else {
            continue;
        };
        let channels = Arc::clone(&channels);
        sends.spawn(async move {
            // A lost message is sent again by the machines.
            let sent = async {
                channels
                    .get(address)
                    .await?
                    .call(GROUP_SERVICE, payload, SEND_TIMEOUT)
                    .await
            };
            if !matches!(tokio::time::timeout(SEND_TIMEOUT, sent).await, Ok(Ok(_))) {
                metrics::counter!("oriole_group_refusals_total", "reason" => "not_sent")
                    .increment(1);
            }
        });
    }
}

fn encode(assignment: &RankAssignment, to: Party, envelope: Envelope) -> Option<Bytes> {
    let addressed = AddressedEnvelope {
        group: assignment.name.clone(),
        to,
        envelope,
    };
    serde_json::to_vec(&addressed).ok().map(Bytes::from)
}
