//! Exchange of configuration between processes, as calls over the wire protocol.

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

/// Name of the call service that returns the configuration.
pub const CONFIG_SERVICE: &str = "config";

/// Time allowed for an answer in addition to the requested wait.
const ANSWER_MARGIN: Duration = Duration::from_secs(2);

/// Maximum wait that a peer can request.
const MAX_WAIT: Duration = Duration::from_secs(30);

/// Request for a newer configuration (a long poll).
#[derive(Clone, PartialEq, Message)]
struct ConfigRequest {
    /// Revision that the requesting process has.
    #[prost(uint64, tag = "1")]
    known_revision: u64,
    /// Maximum time to wait for a newer revision, in milliseconds.
    #[prost(uint64, tag = "2")]
    wait_ms: u64,
}

/// Answer to a [`ConfigRequest`].
#[derive(Clone, PartialEq, Message)]
struct ConfigReply {
    /// Revision that the answering process has.
    #[prost(uint64, tag = "1")]
    revision: u64,
    /// Time since the store last confirmed that this revision is current, in milliseconds, plus 1;
    /// 0 if it never did.
    #[prost(uint64, tag = "2")]
    confirmed_age_ms: u64,
    /// What the requesting process lacks, encoded by `oriole_catalog`: the changed items or the
    /// whole catalog. `None` if there is no newer revision.
    #[prost(bytes = "bytes", optional, tag = "3")]
    bundle: Option<Bytes>,
}

/// Fetches the configuration from other processes, over pooled channels.
pub struct FrameConfigPeer {
    channels: Arc<ChannelPool>,
    /// Addresses of the fleet's processes by VM.
    addresses: Mutex<BTreeMap<VmName, SocketAddr>>,
}

impl FrameConfigPeer {
    /// Creates a client without addresses; see [`FrameConfigPeer::update_addresses`].
    #[must_use]
    pub fn new(channels: Arc<ChannelPool>) -> Self {
        Self {
            channels,
            addresses: Mutex::default(),
        }
    }

    /// Replaces the addresses by those of a VM list; returns its VMs as members for the follower.
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
        known_revision: Revision,
        wait: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let addr = self
            .address(peer)
            .ok_or_else(|| PeerError(format!("no address known for {peer}")))?;
        let wait_ms = u64::try_from(wait.as_millis()).unwrap_or(u64::MAX);
        let request = ConfigRequest {
            known_revision: known_revision.0,
            wait_ms,
        };
        let peer_error = |e: &dyn std::fmt::Display| PeerError(format!("{peer}: {e}"));
        let channel = self.channels.get(addr).await.map_err(|e| peer_error(&e))?;
        let payload = channel
            .call(
                CONFIG_SERVICE,
                request.encode_to_vec().into(),
                wait + ANSWER_MARGIN,
            )
            .await
            .map_err(|e| peer_error(&e))?;
        let reply = ConfigReply::decode(payload).map_err(|e| peer_error(&e))?;
        Ok(PeerAnswer {
            revision: Revision(reply.revision),
            confirmed_age: decode_age(reply.confirmed_age_ms),
            contents: reply.bundle,
        })
    }
}

/// Answers a peer's call of [`CONFIG_SERVICE`].
///
/// # Errors
///
/// Fails if the request cannot be decoded.
pub async fn serve_config(follower: &ConfigFollower, payload: Bytes) -> Result<Bytes, String> {
    let request = ConfigRequest::decode(payload).map_err(|e| e.to_string())?;
    let wait = Duration::from_millis(request.wait_ms).min(MAX_WAIT);
    let answer = follower.serve(Revision(request.known_revision), wait).await;
    let reply = ConfigReply {
        revision: answer.revision.0,
        confirmed_age_ms: encode_age(answer.confirmed_age),
        bundle: answer.contents,
    };
    Ok(reply.encode_to_vec().into())
}
