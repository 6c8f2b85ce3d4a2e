//! Client of a plain service.

use std::net::SocketAddr;

use async_trait::async_trait;

use super::client::HttpClient;
use super::{Answer, Job, Upstream, UpstreamError, UpstreamLoad};

/// Client of one plain service. Request and answer are one document each.
pub struct ServiceUpstream {
    client: HttpClient,
}

impl ServiceUpstream {
    /// Creates a client of the service at this address.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        let client = HttpClient::new(addr);
        Self { client }
    }
}

#[async_trait]
impl Upstream for ServiceUpstream {
    async fn load(&self) -> Result<UpstreamLoad, UpstreamError> {
        self.client.load().await
    }

    async fn cancel(&self, _job: &Job) -> bool {
        // A plain service cannot stop a request that has started.
        false
    }

    async fn run(&self, job: &Job) -> Result<Answer, UpstreamError> {
        let mut headers = vec![("catalog-entry", job.head.entry.as_str())];
        if let Some(key) = &job.head.key {
            headers.push(("idempotency-key", key.as_str()));
        }
        let body = job.body.clone();
        let response = self.client.post("/v1/run", &headers, body).await?;
        Ok(Answer::plain(response))
    }
}
