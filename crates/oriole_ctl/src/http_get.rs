//! Reads JSON over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

/// Maximum size of an answer body.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Cause of a failed read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GetError {
    /// No complete answer arrived in time.
    #[error("no answer in time")]
    Timeout,
    /// The connection failed, or broke before the response head.
    #[error("no connection")]
    Connection,
    /// The status of the response is not 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The request cannot be built, or the body cannot be read or parsed.
    #[error("unreadable answer: {0}")]
    Body(String),
}

/// HTTP client that reads JSON documents.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: Client<HttpConnector, Empty<Bytes>>,
    timeout: Duration,
}

impl JsonClient {
    /// Creates a client; `timeout` limits each answer.
    #[must_use]
    pub fn new(timeout: Duration) -> Self {
        let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        Self { client, timeout }
    }

    /// Reads the JSON document at a path of an address.
    ///
    /// # Errors
    ///
    /// Fails if no answer of the expected type arrives in time.
    pub async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, GetError> {
        let bytes = timeout(self.timeout, self.get_bytes(addr, path)).await;
        let bytes = bytes.map_err(|_| GetError::Timeout)??;
        serde_json::from_slice(&bytes).map_err(|e| GetError::Body(e.to_string()))
    }

    async fn get_bytes(&self, addr: SocketAddr, path: &str) -> Result<Bytes, GetError> {
        let req = Request::get(format!("http://{addr}{path}"));
        let req = req.body(Empty::new());
        let req = req.map_err(|e| GetError::Body(e.to_string()))?;
        let answer = self.client.request(req).await;
        let answer = answer.map_err(|_| GetError::Connection)?;
        if answer.status() != StatusCode::OK {
            return Err(GetError::Status(answer.status()));
        }
        let body = Limited::new(answer.into_body(), MAX_ANSWER_BYTES);
        let body = body.collect().await;
        Ok(body.map_err(|e| GetError::Body(e.to_string()))?.to_bytes())
    }
}
