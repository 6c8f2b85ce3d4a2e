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
use super::place::Member;
use super::seat::GroupSeat;

/// Messages that wait to be sent; more are lost.
const OUTBOX: usize = 1_024;

/// Messages under way at once; more wait.
const MAX_UNDER_WAY: usize = 256;

/// Longest time for a message to be taken.
const SEND_TIMEOUT: Duration = Duration::from_secs(1);

domain_type! {
    /// A message of a group as it is sent to another agent.
    pub struct GroupNote {
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
pub(crate) fn outbox() -> (Outbox, Outgoing) {
    let (tx, rx) = mpsc::channel(OUTBOX);
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
pub(crate) struct Coordinators {
    known: Mutex<BTreeMap<Fence, RankId>>,
}

/// Coordinators that are remembered.
const MAX_COORDINATORS: usize = 16;

impl Coordinators {
    pub(crate) fn learn(&self, fence: Fence, rank: RankId) {
        let mut known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.insert(fence, rank);
        if known.len() > MAX_COORDINATORS {
            known.pop_first();
        }
    }

    fn rank(&self, fence: Fence) -> Option<RankId> {
        let known = self.known.lock().unwrap_or_else(PoisonError::into_inner);
        known.get(&fence).copied()
    }
}

/// Sends what comes out of the outbox.
pub(crate) async fn send_all(member: Arc<Member>, channels: Arc<ChannelPool>, mut rx: Outgoing) {
    let mut sends = JoinSet::new();
    while let Some((to, envelope)) = rx.recv().await {
        let rank = match to {
            Party::Rank(rank) => Some(rank),
            Party::Coordinator(fence) => member.coordinators.rank(fence),
        };
        let Some(rank) = rank else {
            metrics::counter!("oriole_group_refusals_total", "reason" => "no_way").increment(1);
            continue;
        };
        if rank == member.seat.me {
            member.deliver(rank, to, envelope);
            continue;
        }
        while sends.try_join_next().is_some() {}
        if sends.len() >= MAX_UNDER_WAY {
            sends.join_next().await;
        }
        let Some(payload) = encode(&member.seat, to, envelope) else {
            continue;
        };
        let Some(address) = member.seat.addresses.get(usize::from(rank)).copied() else {
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

fn encode(seat: &GroupSeat, to: Party, envelope: Envelope) -> Option<Bytes> {
    let note = GroupNote {
        group: seat.name.clone(),
        to,
        envelope,
    };
    serde_json::to_vec(&note).ok().map(Bytes::from)
}
