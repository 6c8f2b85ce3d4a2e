//! The upstream as its agent sees it.

pub mod answer;
pub mod engine;
pub mod service;

use async_trait::async_trait;
use bytes::Bytes;
use oriole_types::ids::Attempt;
use oriole_types::request::RequestHead;

pub use self::answer::Answer;

/// Longest time to connect to the upstream, which runs on the same VM.
pub(crate) const CONNECT_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(1);

/// One attempt of a request, as it is given to the upstream.
#[derive(Clone, Debug)]
pub struct Job {
    /// Number of the request.
    pub request: u64,
    /// Ordinal of the attempt.
    pub attempt: Attempt,
    /// Head of the request.
    pub head: RequestHead,
    /// Body of the request.
    pub body: Bytes,
}

/// Why an upstream gave no whole answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum UpstreamError {
    /// The connection could not be made; nothing was sent.
    #[error("the upstream cannot be reached: {0}")]
    NotSent(String),
    /// The upstream refused the request before running it.
    #[error("the upstream refused the request with status {0}")]
    Refused(u16),
    /// The upstream failed after the request was sent; the request may have run.
    #[error("the upstream failed: {0}")]
    Failed(String),
    /// The answer ended early or out of order.
    #[error("the upstream's answer is incomplete")]
    Incomplete,
}

/// An upstream: a model engine or a plain service.
#[async_trait]
pub trait Upstream: Send + Sync + 'static {
    /// Sends a job and returns its answer once the upstream has accepted it.
    ///
    /// Dropping the answer cancels the work where the upstream can cancel it.
    async fn run(&self, job: &Job) -> Result<Answer, UpstreamError>;
}
