//! HTTP client of the upstream on the same VM.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use oriole_kernel::connector::BoundedConnector;
use oriole_kernel::http_answer;
use oriole_kernel::sockets::TcpTimeouts;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::{UpstreamError, UpstreamLoad};

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a load query.
const LOAD_TIMEOUT: Duration = Duration::from_millis(500);

/// Most bytes of an answer on the wire; a stream of tokens is the longest.
const MAX_ANSWER_BYTES: usize = 16 * 1024 * 1024;

/// Largest JSON document that [`read_json`] accepts, in bytes.
const DEFAULT_MAX_JSON_BYTES: usize = 16 * 1024;

/// An HTTP client of one upstream. Its errors distinguish whether a request was sent.
///
/// Answers do not name their request, so each connection carries one: what arrives on it can only be
/// the answer to that request.
pub struct HttpClient {
    client: Client<BoundedConnector, Full<Bytes>>,
    base_url: String,
}

impl HttpClient {
    /// Creates a client of the upstream at this address.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        let connector = BoundedConnector {
            address: addr,
            timeouts: TcpTimeouts {
                connect: CONNECT_TIMEOUT,
                ..TcpTimeouts::default()
            },
            max_answer_bytes: MAX_ANSWER_BYTES,
        };
        Self {
            client: Client::builder(TokioExecutor::new())
                .pool_max_idle_per_host(0)
                .build(connector),
            base_url: format!("http://{addr}"),
        }
    }

    /// Sends a JSON document with POST.
    ///
    /// # Errors
    ///
    /// The error says whether nothing was sent, the upstream refused the request, or it may have
    /// run.
    pub async fn post(
        &self,
        path: &str,
        headers: &[(&'static str, &str)],
        body: Bytes,
    ) -> Result<Response<Incoming>, UpstreamError> {
        let mut req = Request::builder()
            .method(Method::POST)
            .uri(format!("{}{path}", self.base_url))
            .header(http::header::CONTENT_TYPE, "application/json");
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req
            .body(Full::new(body))
            .map_err(|e| UpstreamError::NotSent(e.to_string()))?;
        self.send(req).await
    }

    /// Queries the load.
    ///
    /// # Errors
    ///
    /// Fails if the upstream does not answer in time with a load report.
    pub async fn load(&self) -> Result<UpstreamLoad, UpstreamError> {
        let read = async { read_json(self.get("/v1/load").await?).await };
        timeout(LOAD_TIMEOUT, read)
            .await
            .unwrap_or_else(|_| Err(UpstreamError::Failed("no load report in time".into())))
    }

    /// Requests a document with GET.
    ///
    /// # Errors
    ///
    /// The same as those of [`Self::post`].
    pub async fn get(&self, path: &str) -> Result<Response<Incoming>, UpstreamError> {
        let req = Request::get(format!("{}{path}", self.base_url))
            .body(Full::default())
            .map_err(|e| UpstreamError::NotSent(e.to_string()))?;
        self.send(req).await
    }

    async fn send(&self, req: Request<Full<Bytes>>) -> Result<Response<Incoming>, UpstreamError> {
        let response = self.client.request(req).await.map_err(|e| {
            if e.is_connect() {
                UpstreamError::NotSent(e.to_string())
            } else {
                UpstreamError::Failed(e.to_string())
            }
        })?;
        http_answer::check_head(&response).map_err(UpstreamError::Invalid)?;
        check_status(response)
    }
}

/// Reads a JSON document of at most 16 KiB.
///
/// # Errors
///
/// Fails if the connection breaks, or the document is too large or malformed.
pub async fn read_json<T: DeserializeOwned>(
    response: Response<Incoming>,
) -> Result<T, UpstreamError> {
    read_json_limited(response, DEFAULT_MAX_JSON_BYTES).await
}

/// Reads a JSON document of at most `max_bytes`.
///
/// # Errors
///
/// Fails if the connection breaks, or the document is too large or malformed.
pub async fn read_json_limited<T: DeserializeOwned>(
    response: Response<Incoming>,
    max_bytes: usize,
) -> Result<T, UpstreamError> {
    let body = Limited::new(response.into_body(), max_bytes)
        .collect()
        .await
        .map_err(|e| UpstreamError::Failed(e.to_string()))?;
    serde_json::from_slice(&body.to_bytes()).map_err(|_| UpstreamError::Incomplete)
}

fn check_status(response: Response<Incoming>) -> Result<Response<Incoming>, UpstreamError> {
    let status = response.status();
    if status.is_success() {
        return Ok(response);
    }
    let refused = status.is_client_error() || status == StatusCode::SERVICE_UNAVAILABLE;
    if refused {
        return Err(UpstreamError::Refused(status.as_u16()));
    }
    Err(UpstreamError::Error(status.as_u16()))
}
