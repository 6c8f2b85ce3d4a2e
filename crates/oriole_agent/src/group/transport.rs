//! Sends group messages to other agents over peer connections.

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

/// Capacity of the queue of messages to send; messages are dropped when it is full.
const MAX_OUTBOX_MESSAGES: usize = 1_024;

/// Most messages that are sent at the same time.
const MAX_SENDS_IN_FLIGHT: usize = 256;

/// Timeout of sending a message.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

domain_type! {
    /// A group message in the form that is sent to another agent.
    pub struct AddressedEnvelope {
        /// Name of the group.
        pub group: GroupName,
        /// Party that receives the message.
        pub to: Party,
        /// The message and its sender.
        pub envelope: Envelope,
    }
}

/// Accepts messages from the agent's own tasks and queues them for sending.
pub(crate) struct Outbox {
    tx: mpsc::Sender<(Party, Envelope)>,
}

/// Receives the queued messages.
pub(crate) type Outgoing = mpsc::Receiver<(Party, Envelope)>;

/// Creates an outbox and the receiver of its messages.
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

/// The ranks whose agents run coordinators, learned from the coordinators' messages.
#[derive(Default)]
pub(crate) struct CoordinatorRanks {
    ranks: Mutex<BTreeMap<Fence, RankId>>,
}

/// Number of coordinators that are remembered; those with the lowest fences are forgotten first.
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

/// Sends the queued messages, until the outbox is dropped.
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
            // Rank and coordinator send lost messages again.
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
