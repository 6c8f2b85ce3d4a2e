//! Serves calls from other processes.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use oriole_membership::message::Message;
use oriole_peers::config_peer::{CONFIG_SERVICE, serve_config};
use oriole_peers::relayed_list::{VM_LIST_SERVICE, serve_vm_list};
use oriole_types::ids::VmName;
use oriole_types::outcome::RefusalReason;
use oriole_wire::frame::Open;
use oriole_wire::reply::{Refusal, Reply, Trailer};
use oriole_wire::server::{Handler, PeerInfo};
use prost::Message as _;

use crate::liveness::{self, MEMBERSHIP_SERVICE};
use crate::state::EntryState;
use crate::watchers::LIMITS_SERVICE;

/// Serves calls from other processes.
pub struct PeerHandler {
    state: Arc<EntryState>,
}

impl PeerHandler {
    /// Creates a handler that works on the entry's state.
    #[must_use]
    pub fn new(state: Arc<EntryState>) -> Self {
        Self { state }
    }
}

#[async_trait]
impl Handler for PeerHandler {
    async fn exchange(&self, _peer: &PeerInfo, _open: Open, reply: Reply) {
        let trailer = Trailer {
            load: None,
            revision: self.state.revision(),
        };
        // An entry has no upstream. Sending the refusal fails only if the peer has left.
        let refusal = Refusal::new(RefusalReason::NoUpstream);
        let _ = reply.refuse(&refusal, trailer).await;
    }

    async fn call(&self, peer: &PeerInfo, service: &str, payload: Bytes) -> Result<Bytes, String> {
        match service {
            LIMITS_SERVICE => {
                let digest = serde_json::from_slice(&payload).map_err(|e| e.to_string())?;
                let peer = VmName::new(&peer.name);
                self.state.routing.record_peer_digest(&peer, &digest);
                Ok(Bytes::new())
            }
            CONFIG_SERVICE => serve_config(&self.state.config, payload).await,
            VM_LIST_SERVICE => serve_vm_list(&self.state.vm_list, payload).await,
            MEMBERSHIP_SERVICE => {
                let message = Message::decode(payload).map_err(|e| e.to_string())?;
                liveness::handle_message(&self.state, &VmName::new(&peer.name), &message);
                Ok(Bytes::new())
            }
            _ => Err(format!("no service {service:?}")),
        }
    }
}
