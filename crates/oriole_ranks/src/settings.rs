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
    /// Minimum level of log lines.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Address of the agent's own engine.
    pub engine: SocketAddr,
    /// Name of the service that the engine belongs to.
    pub service: String,
    /// UDP address for datagrams of the group's other agents. The port is the same on all VMs.
    pub listen: SocketAddr,
    /// Address of the platform's store.
    pub store: SocketAddr,
    /// Address at which metrics are served.
    pub metrics: SocketAddr,
    /// Timeout of a call to the store, in milliseconds.
    #[serde(default = "default_store_timeout_ms")]
    pub store_timeout_ms: u64,
    /// Timeout of a call to an engine, in milliseconds.
    #[serde(default = "default_engine_timeout_ms")]
    pub engine_timeout_ms: u64,
}

fn default_log_level() -> String {
    "info".to_owned()
}

/// The store usually answers within a few milliseconds.
fn default_store_timeout_ms() -> u64 {
    1000
}

/// Well above the time of a local call, but short, since an unanswered order is sent again only
/// after it.
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
