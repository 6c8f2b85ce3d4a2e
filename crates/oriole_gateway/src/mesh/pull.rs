//! Pulls store items from peers, for a daemon that cannot reach the store.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use oriole_fleet::prelude::{Change, Item};
use oriole_kernel::bounded_listener::slots::{CloseReason, ConnectionLimits};
use oriole_kernel::bounded_listener::{self, Tracker};
use oriole_kernel::sockets::TcpTimeouts;
use prost::Message as _;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use super::message::{ConfirmationRecord, PullReply, PullRequest, PulledItem};
use super::records_of;
use crate::decision_log::LogEvent;
use crate::fleet_view::PrefixRevisions;
use crate::gateway::Gateway;

/// Time limit of one exchange.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(1500);

/// Largest frame, in bytes: enough for the largest configuration and all upstreams.
const MAX_FRAME_BYTES: usize = 8 * 1024 * 1024;

/// Largest request, in bytes. It holds one number of at most 10 bytes for each watched prefix, of which
/// there are fewer than ten.
const MAX_REQUEST_BYTES: usize = 1024;

/// Most replies sent at the same time; bounds the daemon's memory. Further peers wait for their reply
/// within the time limit of an exchange.
const MAX_CONCURRENT_REPLIES: usize = 4;

/// Why an exchange with a peer failed.
#[derive(Debug, thiserror::Error)]
enum PullError {
    #[error("connection: {0}")]
    Io(#[from] std::io::Error),
    #[error("frame: {0}")]
    Decode(#[from] prost::DecodeError),
    #[error("the peer closed the connection")]
    Closed,
    #[error("time is up")]
    Timeout,
    #[error("limit of the listener: {0}")]
    Closing(#[from] CloseReason),
}

fn framed(stream: TcpStream, max_frame_bytes: usize) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .max_frame_length(max_frame_bytes)
        .new_framed(stream)
}

/// Pulls the items that this daemon lacks from a peer.
pub async fn pull(gateway: &Arc<Gateway>, peer: SocketAddr) {
    let since = gateway.fleet_view().revisions().clone();
    let _ = pull_since(gateway, peer, since).await;
}

/// Pulls the items that changed after the given revisions from a peer. Returns the
/// confirmations of the peer's view after the items were applied.
pub(super) async fn pull_since(
    gateway: &Arc<Gateway>,
    peer: SocketAddr,
    since: PrefixRevisions,
) -> Option<Vec<ConfirmationRecord>> {
    let outcome = tokio::time::timeout(EXCHANGE_TIMEOUT, exchange(peer, &since)).await;
    let outcome = outcome.unwrap_or(Err(PullError::Timeout));
    match outcome {
        Ok(reply) => {
            gateway.log.event(&LogEvent::Pulled {
                peer,
                since: &since.0,
                items: reply.items.len(),
            });
            let confirmations = reply.confirmations.clone();
            apply_reply(gateway, reply);
            Some(confirmations)
        }
        Err(e) => {
            gateway.log.event(&LogEvent::CallFailed {
                step: "pull",
                peer: Some(peer),
                error: &e.to_string(),
            });
            None
        }
    }
}

/// Applies the items that a peer sent.
pub fn apply_reply(gateway: &Gateway, reply: PullReply) {
    let changes = reply.items.into_iter().map(to_change);
    gateway.apply_from_peer(changes.collect());
}

/// The items that a peer lacks.
#[must_use]
pub fn reply_to(gateway: &Gateway, req: PullRequest) -> PullReply {
    // Under one lock, so that the confirmations are for the view that the items are from.
    let view = gateway.fleet_view();
    let confirmations = records_of(gateway, view.digests());
    let items = view.items_since(&PrefixRevisions(req.since));
    let items = items.into_iter().map(|(key, held)| PulledItem {
        key: key.to_owned(),
        revision: held.revision,
        value: held.value.clone(),
    });
    PullReply {
        items: items.collect(),
        confirmations,
    }
}

fn to_change(item: PulledItem) -> Change {
    match item.value {
        Some(value) => Change::Put(Item {
            key: item.key,
            value,
            revision: item.revision,
        }),
        None => Change::Removed {
            key: item.key,
            revision: item.revision,
        },
    }
}

async fn exchange(peer: SocketAddr, since: &PrefixRevisions) -> Result<PullReply, PullError> {
    let stream = TcpTimeouts::default().connect(peer).await?;
    let mut frames = framed(stream, MAX_FRAME_BYTES);
    let req = PullRequest {
        since: since.0.clone(),
    };
    let req = req.encode_to_vec();
    frames.send(Bytes::from(req)).await?;
    let frame = frames.next().await.ok_or(PullError::Closed)??;
    Ok(PullReply::decode(frame)?)
}

/// Serves pull requests from peers until `stop` is cancelled.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener, stop: CancellationToken) {
    let reply_slots = Arc::new(Semaphore::new(MAX_CONCURRENT_REPLIES));
    let limits = ConnectionLimits {
        idle_timeout: EXCHANGE_TIMEOUT,
        request_timeout: EXCHANGE_TIMEOUT,
        response_timeout: EXCHANGE_TIMEOUT,
        ..ConnectionLimits::default()
    };
    let log_accept_error = |e: &std::io::Error| {
        gateway.log.event(&LogEvent::CallFailed {
            step: "accept",
            peer: None,
            error: &e.to_string(),
        });
    };
    let serve_one = |stream, from, tracker: Tracker| {
        let (gateway, reply_slots) = (gateway.clone(), reply_slots.clone());
        async move {
            let exchange = answer(&gateway, stream, &tracker, &reply_slots);
            let outcome = tracker.run(exchange).await;
            if let Err(reason) = &outcome {
                bounded_listener::count_closed("peers", *reason);
            }
            if let Err(e) = outcome.unwrap_or_else(|reason| Err(reason.into())) {
                gateway.log.event(&LogEvent::CallFailed {
                    step: "answer pull",
                    peer: Some(from),
                    error: &e.to_string(),
                });
            }
        }
    };
    bounded_listener::accept(listener, limits, stop, log_accept_error, serve_one).await;
}

async fn answer(
    gateway: &Gateway,
    stream: TcpStream,
    tracker: &Tracker,
    reply_slots: &Semaphore,
) -> Result<(), PullError> {
    let mut frames = framed(stream, MAX_REQUEST_BYTES);
    let frame = frames.next().await.ok_or(PullError::Closed)??;
    let req = PullRequest::decode(frame)?;
    tracker.request();
    // Never closed.
    let _slot = reply_slots.acquire().await.map_err(|_| PullError::Closed)?;
    tracker.progress();
    let reply = reply_to(gateway, req);
    frames.codec_mut().set_max_frame_length(MAX_FRAME_BYTES);
    frames.send(Bytes::from(reply.encode_to_vec())).await?;
    Ok(())
}
