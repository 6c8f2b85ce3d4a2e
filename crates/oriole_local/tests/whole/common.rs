//! A small deployment, and a transcript of its callers' requests and answers.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use oriole_catalog::prelude::{ChangeMeta, Edit, Repository, RepositoryConfig};
use oriole_local::prelude::*;
use oriole_standins::health::HealthState;
use oriole_types::prelude::*;

/// Timeout of [`eventually`].
const EVENTUALLY_TIMEOUT: Duration = Duration::from_secs(20);

/// Text in a prompt that crashes every engine that runs it.
pub const POISON: &str = "crash-the-engine";

/// Starts a deployment with two entries, three engines and three services, all warm.
pub async fn start(name: DeploymentName) -> Deployment {
    start_sized(name, 2, 3).await
}

/// Starts a deployment with the given numbers of entries and engines, and three services, all warm.
pub async fn start_sized(name: DeploymentName, entries: usize, engines: usize) -> Deployment {
    let mut spec = DeploymentSpec::named(name).expect("catalog");
    spec.entries = entries;
    spec.engines = engines;
    spec.engine.health.poison = Some(POISON.into());
    spec.services = 3;
    spec.endpoint_ttl_ms = 500;
    spec.log_level = slog::Level::Critical;
    spec.engine.health.initial = HealthState::Ok;
    spec.service.health.initial = HealthState::Ok;
    Deployment::start(&spec).await.expect("deployment")
}

/// Changes the catalog in the store, as an operator would.
pub async fn change_catalog(deployment: &Deployment, change: impl FnOnce(&mut Catalog)) {
    let store = std::sync::Arc::new(deployment.platform().store.store().clone());
    let repository = Repository::open(store, RepositoryConfig::default());
    let snapshot = repository.read().await.expect("catalog");
    let meta = ChangeMeta {
        author: "test".into(),
        message: "fault".into(),
        at_unix_ms: 0,
    };
    let edit = Edit::from_fn(snapshot.catalog(), change);
    repository.change(&edit, &meta).await.expect("accepted");
}

/// Waits until a condition holds; panics with `what` after the timeout.
pub async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + EVENTUALLY_TIMEOUT;
    while !holds() {
        assert!(tokio::time::Instant::now() < deadline, "{what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A caller with the transcript of its requests and answers.
pub struct Session {
    pub caller: Caller,
    pub entry: SocketAddr,
    transcript: String,
}

impl Session {
    /// Opens a session with the first account's key at the first entry.
    pub fn open(deployment: &Deployment) -> Self {
        let ready = deployment.ready();
        let key = ready.accounts.values().next().expect("account");
        Self::with_key(deployment, key)
    }

    /// Opens a session with an account key at the first entry.
    pub fn with_key(deployment: &Deployment, key: &str) -> Self {
        Self {
            caller: Caller::open(key),
            entry: deployment.ready().caller_addresses[0],
            transcript: String::new(),
        }
    }

    /// Sends a request; adds it and its answer to the transcript.
    pub async fn send(&mut self, req: &CallerRequest<'_>) -> CallerAnswer {
        self.record_request(req);
        let answer = self.caller.send(self.entry, req).await.expect("an answer");
        self.record_answer(&answer);
        answer
    }

    /// Adds a comment line to the transcript.
    pub fn note(&mut self, line: &str) {
        writeln!(self.transcript, "-- {line}").expect("write");
    }

    /// The transcript, with request ids masked because they differ between runs.
    pub fn transcript(self) -> String {
        self.transcript
    }

    fn record_request(&mut self, req: &CallerRequest<'_>) {
        let stream = if req.stream { " stream" } else { "" };
        let key = if req.key.is_some() { " with a key" } else { "" };
        let body = String::from_utf8_lossy(&req.body);
        let body = if body.len() > 120 {
            format!("{} bytes", body.len())
        } else {
            body.into_owned()
        };
        writeln!(self.transcript, "> {}{stream}{key}: {body}", req.entry).expect("write");
    }

    fn record_answer(&mut self, answer: &CallerAnswer) {
        let status = answer.status.as_u16();
        writeln!(self.transcript, "< {status} {}", answer.outcome).expect("write");
        for line in mask_request_ids(&answer.body)
            .lines()
            .filter(|l| !l.is_empty())
        {
            writeln!(self.transcript, "  {line}").expect("write");
        }
    }
}

/// A request to an entry with a JSON body.
pub fn request<'a>(entry: &'a str, body: &str) -> CallerRequest<'a> {
    CallerRequest {
        entry,
        body: Bytes::copy_from_slice(body.as_bytes()),
        ..CallerRequest::default()
    }
}

/// A request with an idempotency key.
pub fn keyed<'a>(entry: &'a str, body: &str, key: &'a str) -> CallerRequest<'a> {
    CallerRequest {
        key: Some(key),
        ..request(entry, body)
    }
}

/// A request for a streamed answer.
pub fn streamed<'a>(entry: &'a str, body: &str) -> CallerRequest<'a> {
    CallerRequest {
        stream: true,
        ..request(entry, body)
    }
}

/// Replaces the value of each `request_id`.
fn mask_request_ids(body: &[u8]) -> String {
    let text = String::from_utf8_lossy(body).into_owned();
    let mut out = String::new();
    let mut rest = text.as_str();
    while let Some(at) = rest.find("\"request_id\":\"") {
        let end = at + "\"request_id\":\"".len();
        out.push_str(&rest[..end]);
        out.push_str("MASKED");
        let tail = &rest[end..];
        rest = tail.find('"').map_or("", |quote| &tail[quote..]);
    }
    out.push_str(rest);
    out
}
