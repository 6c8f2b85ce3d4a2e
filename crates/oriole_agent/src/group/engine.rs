//! Client that sends a group's orders to the agent's engine over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use oriole_placement::map::{ExpertMap, MapId};
use oriole_rollout::driver::{Engine, EngineError};
use oriole_rollout::engine::{EngineOrder, EngineState};
use serde::Deserialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use crate::upstream::UpstreamError;
use crate::upstream::client::{HttpClient, read_json_limited};

/// Timeout of a request, including its answer.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(500);

/// Largest answer, in bytes.
const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;

/// Client of the engine of one rank.
pub struct HttpEngine {
    client: HttpClient,
}

/// Load of the slots of a rank since the previous report.
#[derive(Clone, Debug, Deserialize)]
pub struct RankLoad {
    /// Number of tokens by layer and slot; empty if not known.
    pub tokens: Vec<Vec<f32>>,
    /// Load per busy time, relative to a typical rank; `None` if not known.
    pub speed: Option<f32>,
}

impl HttpEngine {
    /// Creates a client of the engine at this address.
    #[must_use]
    pub fn new(addr: SocketAddr) -> Self {
        let client = HttpClient::new(addr);
        Self { client }
    }

    /// Queries the load since the previous query.
    ///
    /// # Errors
    ///
    /// Fails if the engine does not answer in time.
    pub async fn load(&self) -> Result<RankLoad, EngineError> {
        self.get("/v1/group/load").await
    }

    async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, EngineError> {
        let read =
            async { read_json_limited(self.client.get(path).await?, MAX_ANSWER_BYTES).await };
        with_timeout(read).await
    }
}

async fn with_timeout<T>(
    read: impl Future<Output = Result<T, UpstreamError>>,
) -> Result<T, EngineError> {
    match timeout(ANSWER_TIMEOUT, read).await {
        Ok(read) => read.map_err(|e| EngineError(e.to_string())),
        Err(_) => Err(EngineError("no answer in time".into())),
    }
}

#[async_trait]
impl Engine for HttpEngine {
    async fn order(&self, order: EngineOrder) -> Result<EngineState, EngineError> {
        let body = serde_json::to_vec(&order).map_err(|e| EngineError(e.to_string()))?;
        let send = async {
            let answer = self.client.post("/v1/group/order", &[], body.into()).await;
            read_json_limited(answer?, MAX_ANSWER_BYTES).await
        };
        with_timeout(send).await
    }

    async fn state(&self) -> Result<EngineState, EngineError> {
        self.get("/v1/group/state").await
    }

    async fn read_map(&self, id: MapId) -> Result<Option<Arc<ExpertMap>>, EngineError> {
        let path = format!("/v1/group/map/{}-{}", id.version, id.digest);
        let map: Result<ExpertMap, _> = self.get(&path).await;
        // An engine that does not have the map answers with an error, and the caller retries later.
        map.map(|map| Some(Arc::new(map)))
    }
}
