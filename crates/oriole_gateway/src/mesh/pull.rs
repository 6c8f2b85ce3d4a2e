//! Items of the belief on request, for a daemon that the store does not reach.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use oriole_fleet::prelude::{Change, Item};
use oriole_kernel::sockets::TcpTimeouts;
use prost::Message as _;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::codec::{Framed, LengthDelimitedCodec};
use tokio_util::sync::CancellationToken;

use super::message::{PullReply, PullRequest, PulledItem};
use crate::belief::Versions;
use crate::decision_log::Event;
use crate::gateway::Gateway;

/// Time for one exchange.
const TIMEOUT: Duration = Duration::from_millis(1500);

/// Largest reply, in bytes: a configuration of the largest size and its upstreams.
const MAX_FRAME: usize = 8 * 1024 * 1024;

/// Replies that are sent at the same time; a daemon's memory bounds them.
const MAX_REPLIES: usize = 4;

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
}

fn framed(stream: TcpStream) -> Framed<TcpStream, LengthDelimitedCodec> {
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_framed(stream)
}

/// Asks a peer for what this daemon lacks.
pub async fn pull(gateway: &Arc<Gateway>, peer: SocketAddr) {
    let since = gateway.belief().versions().clone();
    let outcome = tokio::time::timeout(TIMEOUT, exchange(peer, &since)).await;
    let outcome = outcome.unwrap_or(Err(PullError::Timeout));
    match outcome {
        Ok(reply) => {
            gateway.log.event(&Event::Pulled {
                peer,
                since: &since.0,
                items: reply.items.len(),
            });
            for item in reply.items {
                gateway.apply(change(item), "peer");
            }
        }
        Err(e) => gateway.log.event(&Event::CallFailed {
            step: "pull",
            peer: Some(peer),
            error: &e.to_string(),
        }),
    }
}

fn change(item: PulledItem) -> Change {
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

async fn exchange(peer: SocketAddr, since: &Versions) -> Result<PullReply, PullError> {
    let stream = TcpTimeouts::default().connect(peer).await?;
    let mut frames = framed(stream);
    let req = PullRequest {
        since: since.0.clone(),
    };
    let req = req.encode_to_vec();
    frames.send(Bytes::from(req)).await?;
    let frame = frames.next().await.ok_or(PullError::Closed)??;
    Ok(PullReply::decode(frame)?)
}

/// Answers peers until told to stop.
pub async fn serve(gateway: Arc<Gateway>, listener: TcpListener, stop: CancellationToken) {
    let places = Arc::new(tokio::sync::Semaphore::new(MAX_REPLIES));
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let (stream, from) = match accepted {
            Ok(accepted) => accepted,
            Err(e) => {
                gateway.log.event(&Event::CallFailed {
                    step: "accept",
                    peer: None,
                    error: &e.to_string(),
                });
                tokio::time::sleep(Duration::from_millis(50)).await;
                continue;
            }
        };
        let Ok(place) = places.clone().try_acquire_owned() else {
            continue;
        };
        let gateway = gateway.clone();
        tokio::spawn(async move {
            let outcome = tokio::time::timeout(TIMEOUT, answer(&gateway, stream)).await;
            if let Err(e) = outcome.unwrap_or(Err(PullError::Timeout)) {
                gateway.log.event(&Event::CallFailed {
                    step: "answer pull",
                    peer: Some(from),
                    error: &e.to_string(),
                });
            }
            drop(place);
        });
    }
}

async fn answer(gateway: &Gateway, stream: TcpStream) -> Result<(), PullError> {
    let mut frames = framed(stream);
    let frame = frames.next().await.ok_or(PullError::Closed)??;
    let req = PullRequest::decode(frame)?;
    let reply = {
        let belief = gateway.belief();
        let items = belief.items_since(&Versions(req.since));
        let items = items.into_iter().map(|(key, held)| PulledItem {
            key: key.to_owned(),
            revision: held.revision,
            value: held.value.clone(),
        });
        PullReply {
            items: items.collect(),
        }
    };
    frames.send(Bytes::from(reply.encode_to_vec())).await?;
    Ok(())
}
