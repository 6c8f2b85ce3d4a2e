//! A model engine behind HTTP.

use std::net::SocketAddr;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::{Deserialize, Serialize};

use super::{Answer, CONNECT_TIMEOUT, Job, Upstream, UpstreamError};

/// Client of one model engine.
///
/// Its requests carry a prompt and a number of tokens; its answers come token by token.
pub struct EngineUpstream {
    client: HttpClient,
    uri: String,
}

pub(crate) type HttpClient = Client<HttpConnector, Full<Bytes>>;

/// What a caller sends to an entry that a model engine serves.
#[derive(Deserialize)]
struct Prompt {
    prompt: String,
    #[serde(default = "default_max_tokens")]
    max_tokens: u32,
}

#[derive(Serialize)]
struct Generate<'a> {
    request_id: String,
    attempt: u32,
    prompt: &'a str,
    max_tokens: u32,
    priority: u32,
    resume_from: u64,
}

fn default_max_tokens() -> u32 {
    128
}

impl EngineUpstream {
    /// A client of the engine at some address.
    #[must_use]
    pub fn open(addr: SocketAddr) -> Self {
        Self {
            client: http_client(),
            uri: format!("http://{addr}/v1/generate"),
        }
    }
}

#[async_trait]
impl Upstream for EngineUpstream {
    async fn run(&self, job: &Job) -> Result<Answer, UpstreamError> {
        let body = generate(job)?;
        let req = http::Request::post(&self.uri)
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|e| UpstreamError::NotSent(e.to_string()))?;
        let response = send(&self.client, req).await?;
        Ok(Answer::lines(response.into_body(), job.head.resume_from))
    }
}

fn generate(job: &Job) -> Result<Bytes, UpstreamError> {
    let bad_request = |_| UpstreamError::Refused(http::StatusCode::BAD_REQUEST.as_u16());
    let prompt: Prompt = serde_json::from_slice(&job.body).map_err(bad_request)?;
    let generate = Generate {
        request_id: format!("{:016x}", job.request),
        attempt: job.attempt,
        prompt: &prompt.prompt,
        max_tokens: prompt.max_tokens,
        priority: job.head.priority as u32,
        resume_from: job.head.resume_from,
    };
    serde_json::to_vec(&generate)
        .map(Bytes::from)
        .map_err(bad_request)
}

pub(crate) fn http_client() -> HttpClient {
    let mut connector = HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
    Client::builder(TokioExecutor::new()).build(connector)
}

/// Sends a request and tells what is known if there is no answer.
pub(crate) async fn send(
    client: &HttpClient,
    req: http::Request<Full<Bytes>>,
) -> Result<http::Response<hyper::body::Incoming>, UpstreamError> {
    let response = client.request(req).await.map_err(|e| {
        if e.is_connect() {
            UpstreamError::NotSent(e.to_string())
        } else {
            UpstreamError::Failed(e.to_string())
        }
    })?;
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let refused = status.is_client_error() || status == http::StatusCode::SERVICE_UNAVAILABLE;
    if refused {
        return Err(UpstreamError::Refused(status.as_u16()));
    }
    Err(UpstreamError::Failed(format!("status {status}")))
}
