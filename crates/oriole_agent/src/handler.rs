//! Serves requests and calls from entries and other agents.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use oriole_claims::request::{ClaimOutcome, ClaimRequest};
use oriole_peers::config_peer::{CONFIG_SERVICE, serve_config};
use oriole_peers::relayed_list::{VM_LIST_SERVICE, serve_vm_list};
use oriole_peers::status::{AgentStatus, LOAD_SERVICE, PeerStatus, decode_age};
use oriole_types::prelude::*;
use oriole_wire::frame::Open;
use oriole_wire::reply::{Refusal, Reply};
use oriole_wire::server::{Handler, PeerInfo};
use prost::Message;

use crate::core::AgentCore;
use crate::group::{GROUP_SERVICE, GROUP_STATUS_SERVICE};
use crate::run;
use crate::upstream::Job;

/// Serves requests and calls from entries and other agents.
pub struct AgentHandler {
    core: Arc<AgentCore>,
}

impl AgentHandler {
    /// Creates a handler that works on the agent's state.
    #[must_use]
    pub fn new(core: Arc<AgentCore>) -> Self {
        Self { core }
    }

    /// Runs a request that is not idempotent under its idempotency key.
    async fn run_claimed(&self, job: Job, recall: Option<Incarnation>, mut reply: Reply) {
        let Some(key) = job.head.key.clone() else {
            let refusal = Refusal::new(RefusalReason::KeyRequired);
            // The caller may have left.
            let _ = reply.refuse(&refusal, self.core.trailer()).await;
            return;
        };
        let req = ClaimRequest {
            account: job.head.account.clone(),
            entry: job.head.entry.clone(),
            key,
            content: job.head.content,
            timeout: Duration::from_millis(u64::from(job.head.timeout_ms)),
            recall,
        };
        let core = Arc::clone(&self.core);
        let outcome = self
            .core
            .claims
            .execute(req, move || run::run_to_completion(core, job))
            .await;
        metrics::counter!("oriole_claim_ends_total", "end" => outcome.as_str()).increment(1);
        let trailer = self.core.trailer();
        // The caller may have left.
        let _ = match outcome {
            ClaimOutcome::FirstRun(answer) => {
                send_answer(&mut reply, answer).await && { reply.end(false, trailer).await.is_ok() }
            }
            ClaimOutcome::Replay(answer) => {
                send_answer(&mut reply, answer).await && { reply.end(true, trailer).await.is_ok() }
            }
            ClaimOutcome::NotRun { reason, home } => {
                let mut refusal = Refusal::new(reason);
                refusal.redirect_to = home;
                reply.refuse(&refusal, trailer).await.is_ok()
            }
            ClaimOutcome::Elsewhere(home) => {
                let mut refusal = Refusal::new(RefusalReason::NotHome);
                refusal.redirect_to = Some(home.vm);
                refusal.recall = Some(home.incarnation);
                reply.refuse(&refusal, trailer).await.is_ok()
            }
            ClaimOutcome::Unknown(reason) => reply.fail(reason, trailer).await.is_ok(),
        };
    }

    fn record_configuration(
        &self,
        peer: &PeerInfo,
        revision: u64,
        confirmed_age: Option<Duration>,
    ) {
        let vm = VmName::new(&peer.name);
        let domain = DomainName::new(&peer.domain);
        self.core
            .record_configuration(&vm, &domain, Revision(revision), confirmed_age);
    }

    /// Records an entry's status and returns this agent's.
    fn exchange_status(&self, peer: &PeerInfo, payload: Bytes) -> Result<Bytes, String> {
        let peer_status = PeerStatus::decode(payload).map_err(|e| e.to_string())?;
        self.record_configuration(peer, peer_status.revision, peer_status.confirmed_age());
        if !peer_status.poison.is_empty() {
            let digest = serde_json::from_slice(&peer_status.poison).map_err(|e| e.to_string())?;
            self.core.gate.merge_poison(&digest);
        }
        let mut own_status = PeerStatus::new(self.core.revision(), self.core.configuration_age());
        let run = Incarnation(peer.incarnation);
        let poison = self
            .core
            .gate
            .next_poison_digest(&VmName::new(&peer.name), run);
        if !poison.records.is_empty() {
            let text = serde_json::to_vec(&poison).map_err(|e| e.to_string())?;
            own_status.poison = text.into();
        }
        let answer = AgentStatus {
            load: Some(self.core.gate.load().into()),
            status: Some(own_status),
            incarnation: self.core.incarnation.0,
            clock_ms: self.core.claims.clock_ms(),
            group: self.core.group.encoded_status()?,
        };
        Ok(answer.encode_to_vec().into())
    }
}

/// Sends a complete answer as one item; `false` if the caller has left.
async fn send_answer(reply: &mut Reply, answer: Bytes) -> bool {
    reply.chunk(1, answer).await.is_ok()
}

#[async_trait]
impl Handler for AgentHandler {
    async fn exchange(&self, peer: &PeerInfo, open: Open, reply: Reply) {
        self.record_configuration(peer, open.revision, decode_age(open.confirmed_age_ms));
        let Ok(head) = open.head() else {
            let refusal = Refusal::new(RefusalReason::RequestInvalid);
            // The caller may have left.
            let _ = reply.refuse(&refusal, self.core.trailer()).await;
            return;
        };
        let job = Job {
            request: open.request,
            attempt: open.attempt,
            head,
            body: open.body,
        };
        if job.head.idempotent {
            run::run_streamed(&self.core, job, open.proven, reply).await;
        } else {
            let recall = (open.recall != 0).then_some(Incarnation(open.recall));
            self.run_claimed(job, recall, reply).await;
        }
    }

    async fn call(&self, peer: &PeerInfo, service: &str, payload: Bytes) -> Result<Bytes, String> {
        match service {
            LOAD_SERVICE => self.exchange_status(peer, payload),
            CONFIG_SERVICE => serve_config(&self.core.config, payload).await,
            VM_LIST_SERVICE => serve_vm_list(&self.core.vm_list, payload).await,
            GROUP_SERVICE => self.core.group.deliver(&VmName::new(&peer.name), &payload),
            GROUP_STATUS_SERVICE => self.core.group.encoded_status(),
            _ => Err(format!("no service {service:?}")),
        }
    }
}
