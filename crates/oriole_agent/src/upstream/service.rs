//! A plain service behind HTTP.

use std::net::SocketAddr;

use async_trait::async_trait;
use http_body_util::Full;

use super::engine::{HttpClient, http_client, send};
use super::{Answer, Job, Upstream, UpstreamError};

/// Client of one plain service: one document each way.
pub struct ServiceUpstream {
    client: HttpClient,
    uri: String,
}

impl ServiceUpstream {
    /// A client of the service at some address.
    #[must_use]
    pub fn open(addr: SocketAddr) -> Self {
        Self {
            client: http_client(),
            uri: format!("http://{addr}/v1/run"),
        }
    }
}

#[async_trait]
impl Upstream for ServiceUpstream {
    async fn run(&self, job: &Job) -> Result<Answer, UpstreamError> {
        let mut req = http::Request::post(&self.uri)
            .header(http::header::CONTENT_TYPE, "application/json")
            .header("Catalog-Entry", job.head.entry.as_str());
        if let Some(key) = &job.head.key {
            req = req.header("Idempotency-Key", key.as_str());
        }
        let req = req
            .body(Full::new(job.body.clone()))
            .map_err(|e| UpstreamError::NotSent(e.to_string()))?;
        let response = send(&self.client, req).await?;
        Ok(Answer::plain(response.into_body()))
    }
}
