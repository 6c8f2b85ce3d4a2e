//! Reading JSON by HTTP.

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

/// Longest answer in bytes.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum GetError {
    /// None came in time.
    #[error("no answer in time")]
    Timeout,
    /// The connection failed.
    #[error("no connection")]
    Connection,
    /// The status is not 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// The body is not what was expected.
    #[error("unreadable answer: {0}")]
    Body(String),
}

/// Reads JSON from addresses.
#[derive(Clone, Debug)]
pub struct JsonClient {
    client: Client<HttpConnector, Empty<Bytes>>,
    longest: Duration,
}

impl JsonClient {
    /// A reader with a timeout for each answer.
    #[must_use]
    pub fn new(longest: Duration) -> Self {
        let client = Client::builder(TokioExecutor::new()).build(HttpConnector::new());
        Self { client, longest }
    }

    /// Reads a path at an address.
    ///
    /// # Errors
    ///
    /// Fails if no answer of the expected shape came in time.
    pub async fn get<T: DeserializeOwned>(
        &self,
        addr: SocketAddr,
        path: &str,
    ) -> Result<T, GetError> {
        let bytes = timeout(self.longest, self.bytes(addr, path)).await;
        let bytes = bytes.map_err(|_| GetError::Timeout)??;
        serde_json::from_slice(&bytes).map_err(|e| GetError::Body(e.to_string()))
    }

    async fn bytes(&self, addr: SocketAddr, path: &str) -> Result<Bytes, GetError> {
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
