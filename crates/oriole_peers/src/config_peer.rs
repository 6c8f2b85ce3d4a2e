//! Configuration over frames.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use oriole_catalog::prelude::{ConfigFollower, ConfigPeer, Member, PeerAnswer, PeerError};
use oriole_types::fleet::VmList;
use oriole_types::ids::{Revision, VmName};
use prost::Message;

use crate::pool::ChannelPool;
use crate::status::{decode_age, encode_age};

/// Name of the service that answers for the configuration.
pub const CONFIG_SERVICE: &str = "config";

/// Time for an answer beyond the wait that was asked for.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// Longest wait that a peer is granted.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Question for the configuration.
#[derive(Clone, PartialEq, Message)]
struct ConfigAsk {
    /// Revision that the asker holds.
    #[prost(uint64, tag = "1")]
    have: u64,
    /// Longest wait for a newer one, in milliseconds.
    #[prost(uint64, tag = "2")]
    wait_ms: u64,
}

/// Answer to a [`ConfigAsk`].
#[derive(Clone, PartialEq, Message)]
struct ConfigReply {
    /// Revision that the answerer holds.
    #[prost(uint64, tag = "1")]
    revision: u64,
    /// Time since the store confirmed it, in milliseconds, plus 1; 0 if it never did.
    #[prost(uint64, tag = "2")]
    confirmed_age_ms: u64,
    /// What the asker lacks.
    #[prost(bytes = "bytes", optional, tag = "3")]
    bundle: Option<Bytes>,
}

/// The way to other processes' configuration, over pooled channels.
pub struct FrameConfigPeer {
    channels: Arc<ChannelPool>,
    addresses: Mutex<BTreeMap<VmName, SocketAddr>>,
}

impl FrameConfigPeer {
    /// A way that knows no process yet.
    #[must_use]
    pub fn new(channels: Arc<ChannelPool>) -> Self {
        Self {
            channels,
            addresses: Mutex::default(),
        }
    }

    /// Learns the addresses of the fleet; returns its members for the follower.
    pub fn update_addresses(&self, list: &VmList) -> Vec<Member> {
        let mut addresses = self
            .addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        *addresses = list
            .vms
            .iter()
            .map(|vm| (vm.name.clone(), vm.peer_address))
            .collect();
        list.vms
            .iter()
            .map(|vm| Member {
                name: vm.name.clone(),
                domain: vm.domain.clone(),
            })
            .collect()
    }

    fn address(&self, peer: &VmName) -> Option<SocketAddr> {
        self.addresses
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .get(peer)
            .copied()
    }
}

#[async_trait]
impl ConfigPeer for FrameConfigPeer {
    async fn fetch(
        &self,
        peer: &VmName,
        have: Revision,
        wait: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let addr = self
            .address(peer)
            .ok_or_else(|| PeerError(format!("{peer} has no address")))?;
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let ask = ConfigAsk {
            have: have.0,
            wait_ms,
        };
        let failed = |e: &dyn std::fmt::Display| PeerError(format!("{peer}: {e}"));
        let channel = self.channels.get(addr).await.map_err(|e| failed(&e))?;
        let payload = channel
            .call(
                CONFIG_SERVICE,
                ask.encode_to_vec().into(),
                wait + ANSWER_MARGIN,
            )
            .await
            .map_err(|e| failed(&e))?;
        let reply = ConfigReply::decode(payload).map_err(|e| failed(&e))?;
        Ok(PeerAnswer {
            revision: Revision(reply.revision),
            confirmed_age: decode_age(reply.confirmed_age_ms),
            contents: reply.bundle,
        })
    }
}

/// Answers a peer's call for the configuration.
///
/// # Errors
///
/// Fails if the question cannot be read.
pub async fn serve_config(follower: &ConfigFollower, payload: Bytes) -> Result<Bytes, String> {
    let ask = ConfigAsk::decode(payload).map_err(|e| e.to_string())?;
    let wait = Duration::from_millis(ask.wait_ms).min(MAX_WAIT);
    let answer = follower.serve(Revision(ask.have), wait).await;
    let reply = ConfigReply {
        revision: answer.revision.0,
        confirmed_age_ms: encode_age(answer.confirmed_age),
        bundle: answer.contents,
    };
    Ok(reply.encode_to_vec().into())
}
