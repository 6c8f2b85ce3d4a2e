//! Clients of upstreams: model engines and plain services.

pub mod answer;
pub mod client;
pub mod engine;
pub mod service;

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use oriole_kernel::http_answer::InvalidHead;
use oriole_types::catalog::PoolKind;
use oriole_types::ids::Attempt;
use oriole_types::request::RequestHead;

pub use self::answer::Answer;

/// Creates a client of an upstream of this kind.
#[must_use]
pub fn client_for(kind: PoolKind, addr: SocketAddr) -> Box<dyn Upstream> {
    match kind {
        PoolKind::Engine => Box::new(engine::EngineUpstream::new(addr)),
        PoolKind::Service => Box::new(service::ServiceUpstream::new(addr)),
    }
}

/// One attempt of a request, as it is sent to the upstream.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of the request.
    pub request: u64,
    /// Number of the attempt.
    pub attempt: Attempt,
    /// Head of the request.
    pub head: RequestHead,
    /// Body of the request.
    pub body: Bytes,
}

/// Why an upstream gave no complete answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpstreamError {
    /// The connection could not be made; nothing was sent.
    #[error("the upstream cannot be reached: {0}")]
    NotSent(String),
    /// The upstream refused the request before running it.
    #[error("the upstream refused the request with status {0}")]
    Refused(u16),
    /// The upstream answered with an error status; the request may have run.
    #[error("the upstream answered with status {0}")]
    Error(u16),
    /// The upstream sent something that is no answer; the request may have run.
    #[error("the upstream sent no valid answer: {0}")]
    Invalid(InvalidHead),
    /// The connection failed after the request was sent; the request may have run.
    #[error("the upstream failed: {0}")]
    Failed(String),
    /// The answer ended early, was out of order, malformed or too large.
    #[error("the upstream's answer is incomplete")]
    Incomplete,
}

/// An upstream's report of its load, which may be delayed.
#[derive(Clone, Copy, Debug, PartialEq, serde::Deserialize)]
pub struct UpstreamLoad {
    /// Requests in flight.
    pub in_flight: u32,
    /// Whether it is in cold start.
    pub cold: bool,
    /// Age of the report, in milliseconds.
    #[serde(default)]
    pub age_ms: u32,
    /// Requests per second that it takes; `None` if it names no limit.
    #[serde(default)]
    pub limit_per_s: Option<f64>,
}

/// An upstream: a model engine or a plain service.
#[async_trait]
pub trait Upstream: Send + Sync + 'static {
    /// Queries the load; fails if the upstream cannot be reached or does not answer in time.
    async fn load(&self) -> Result<UpstreamLoad, UpstreamError>;

    /// Asks the upstream to stop a job; `true` if it confirms that the job no longer runs.
    async fn cancel(&self, job: &Job) -> bool;

    /// Sends a job and returns its answer once the upstream has accepted it.
    ///
    /// Dropping the answer cancels the work where the upstream can cancel it.
    async fn run(&self, job: &Job) -> Result<Answer, UpstreamError>;
}

impl UpstreamError {
    /// The metric label of the error.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::NotSent(_) => "not_sent",
            Self::Refused(_) => "refused",
            Self::Error(_) => "error_status",
            Self::Invalid(_) => "invalid_answer",
            Self::Failed(_) => "connection_failed",
            Self::Incomplete => "incomplete",
        }
    }
}
