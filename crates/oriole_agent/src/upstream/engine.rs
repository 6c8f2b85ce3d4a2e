//! Client of a model engine.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use serde::{Deserialize, Serialize};

use oriole_types::catalog::Priority;

use super::client::{self, HttpClient};
use super::{Answer, Job, Upstream, UpstreamError, UpstreamLoad};

/// Client of one model engine.
///
/// A request has a prompt and a maximum number of tokens; the answer arrives token by token.
pub struct EngineUpstream {
    client: HttpClient,
}

/// Body of a caller's request to a model engine.
#[derive(Deserialize)]
struct Prompt {
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
}

/// Body of `POST /v1/generate`.
#[derive(Serialize)]
struct Generate<'a> {
    request_id: u64,
    attempt: u32,
    prompt: &'a str,
    max_tokens: u32,
    priority: Priority,
    resume_from: u64,
}

fn default_max_tokens() -> u32 {
    128
}

impl EngineUpstream {
    /// Creates a client of the engine at this address.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        let client = HttpClient::new(addr);
        Self { client }
    }
}

#[async_trait]
impl Upstream for EngineUpstream {
    async fn load(&self) -> Result<UpstreamLoad, UpstreamError> {
        self.client.load().await
    }

    async fn cancel(&self, job: &Job) -> bool {
        let cancel = Cancel {
            request_id: job.request,
            attempt: job.attempt,
        };
        let Ok(body) = serde_json::to_vec(&cancel) else {
            return false;
        };
        match self.client.post("/v1/cancel", &[], body.into()).await {
            Ok(response) => client::read_json(response)
                .await
                .is_ok_and(|answer: CancelAnswer| answer.cancelled),
            Err(_) => false,
        }
    }

    async fn run(&self, job: &Job) -> Result<Answer, UpstreamError> {
        let body = generate(job)?;
        let response = self.client.post("/v1/generate", &[], body).await?;
        Ok(Answer::lines(response.into_body(), job.head.resume_from))
    }
}

/// Body of `POST /v1/cancel`.
#[derive(Serialize)]
struct Cancel {
    request_id: u64,
    attempt: u32,
}

/// Answer to `POST /v1/cancel`.
#[derive(Deserialize)]
struct CancelAnswer {
    cancelled: bool,
}

/// Encodes the body of `POST /v1/generate`.
fn generate(job: &Job) -> Result<Bytes, UpstreamError> {
    let bad_request = |_| UpstreamError::Refused(http::StatusCode::BAD_REQUEST.as_u16());
    let prompt: Prompt = serde_json::from_slice(&job.body).map_err(bad_request)?;
    let generate = Generate {
        request_id: job.request,
        attempt: job.attempt,
        prompt: &prompt.prompt,
        max_tokens: prompt.max_tokens,
        priority: job.head.priority,
        resume_from: job.head.resume_from,
    };
    serde_json::to_vec(&generate)
        .map(Bytes::from)
        .map_err(bad_request)
}
