//! Settings of the rank agent.

use std::net::SocketAddr;

use oriole_kernel::settings::{Settings, check_range};
use serde::{Deserialize, Serialize};

/// Settings of the rank agent.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct RankAgentSettings {
    /// Name of the VM.
    pub name: String,
    /// Lowest level of log lines.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// The engine beside the agent.
    pub engine: SocketAddr,
    /// Service that the engine belongs to.
    pub service: String,
    /// Where agents of the group are heard; the port is the same on all VMs.
    pub listen: SocketAddr,
    /// The store.
    pub store: SocketAddr,
    /// Counters and histograms.
    pub metrics: SocketAddr,
    /// Time for a call to the store, in milliseconds.
    #[serde(default = "default_store_timeout_ms")]
    pub store_timeout_ms: u64,
    /// Time for a call to the engine, in milliseconds.
    #[serde(default = "default_engine_timeout_ms")]
    pub engine_timeout_ms: u64,
}

fn default_log_level() -> String {
    "info".to_owned()
}

/// Well over the store's few milliseconds.
fn default_store_timeout_ms() -> u64 {
    1000
}

/// Well over a local call; an order without an answer is given again after it.
fn default_engine_timeout_ms() -> u64 {
    80
}

impl Settings for RankAgentSettings {
    fn check(&self) -> Result<(), String> {
        if self.name.is_empty() || self.service.is_empty() {
            return Err("name or service is empty: a name is needed".to_owned());
        }
        oriole_kernel::logging::parse_level(&self.log_level)
            .map_err(|e| format!("log_level: {e}"))?;
        check_range("store_timeout_ms", self.store_timeout_ms, 50..=10_000)?;
        check_range("engine_timeout_ms", self.engine_timeout_ms, 10..=10_000)
    }
}
