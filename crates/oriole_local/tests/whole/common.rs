//! A small deployment and a transcript of what its callers saw.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use oriole_catalog::prelude::{ChangeMeta, Edit, Repository, RepositoryConfig};
use oriole_local::prelude::*;
use oriole_standins::health::HealthState;
use oriole_types::prelude::*;

/// Longest wait for something that must come about.
const EVENTUALLY: Duration = Duration::from_secs(20);

/// Text that crashes the engine that reads it.
pub const POISON: &str = "crash-the-engine";

/// A deployment with two entries, three engines and three services, all warm.
pub async fn start(name: DeploymentName) -> Deployment {
    start_sized(name, 2, 3).await
}

/// A deployment with some entries and engines and three services, all warm.
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

/// Makes a change of the catalog as an operator would.
pub async fn change(deployment: &Deployment, change: impl FnOnce(&mut Catalog)) {
    let store = std::sync::Arc::new(deployment.platform().store.store().clone());
    let repository = Repository::open(store, RepositoryConfig::default());
    let held = repository.read().await.expect("catalog");
    let meta = ChangeMeta {
        author: "test".into(),
        message: "fault".into(),
        at_unix_ms: 0,
    };
    let edit = Edit::from_fn(held.catalog(), change);
    repository.change(&edit, &meta).await.expect("accepted");
}

/// Waits until a condition holds.
pub async fn eventually(what: &str, mut holds: impl FnMut() -> bool) {
    let deadline = tokio::time::Instant::now() + EVENTUALLY;
    while !holds() {
        assert!(tokio::time::Instant::now() < deadline, "{what}");
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
}

/// A caller and the transcript of its requests.
pub struct Session {
    pub caller: Caller,
    pub entry: SocketAddr,
    transcript: String,
}

impl Session {
    /// A session of the deployment's first account at its first entry.
    pub fn open(deployment: &Deployment) -> Self {
        let ready = deployment.ready();
        let key = ready.accounts.values().next().expect("account");
        Self::with_key(deployment, key)
    }

    /// A session with some account key.
    pub fn with_key(deployment: &Deployment, key: &str) -> Self {
        Self {
            caller: Caller::open(key),
            entry: deployment.ready().caller_addresses[0],
            transcript: String::new(),
        }
    }

    /// Sends a request and notes its end.
    pub async fn send(&mut self, req: &CallerRequest<'_>) -> CallerAnswer {
        self.note(req);
        let answer = self.caller.send(self.entry, req).await.expect("an answer");
        self.note_answer(&answer);
        answer
    }

    /// Notes a line of the session's own.
    pub fn say(&mut self, line: &str) {
        writeln!(self.transcript, "-- {line}").expect("write");
    }

    /// The transcript, with what differs from run to run masked.
    pub fn transcript(self) -> String {
        self.transcript
    }

    fn note(&mut self, req: &CallerRequest<'_>) {
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

    fn note_answer(&mut self, answer: &CallerAnswer) {
        let status = answer.status.as_u16();
        writeln!(self.transcript, "< {status} {}", answer.outcome).expect("write");
        for line in mask(&answer.body).lines().filter(|l| !l.is_empty()) {
            writeln!(self.transcript, "  {line}").expect("write");
        }
    }
}

/// A request of an entry with a JSON body.
pub fn request<'a>(entry: &'a str, body: &str) -> CallerRequest<'a> {
    CallerRequest {
        entry,
        body: Bytes::copy_from_slice(body.as_bytes()),
        ..CallerRequest::default()
    }
}

/// The same with an idempotency key.
pub fn keyed<'a>(entry: &'a str, body: &str, key: &'a str) -> CallerRequest<'a> {
    CallerRequest {
        key: Some(key),
        ..request(entry, body)
    }
}

/// A streamed request.
pub fn streamed<'a>(entry: &'a str, body: &str) -> CallerRequest<'a> {
    CallerRequest {
        stream: true,
        ..request(entry, body)
    }
}

/// Replaces request numbers.
fn mask(body: &[u8]) -> String {
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
