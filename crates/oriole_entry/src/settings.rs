//! Settings of an entry daemon.

use std::net::SocketAddr;

use oriole_kernel::settings::{Settings, check_range};
use oriole_types::ids::{DomainName, VmName};
use oriole_wire::secret::FleetSecrets;
use serde::{Deserialize, Serialize};

/// Settings of an entry daemon, as its TOML file states them.
///
/// ```
/// use oriole_entry::settings::EntrySettings;
/// use oriole_kernel::settings::parse;
/// let text = r#"
///     name = "entry-1"
///     domain = "gela"
///     address = "127.0.0.1:0"
///     peer_address = "127.0.0.1:0"
///     store = "127.0.0.1:7001"
///     vm_list = "127.0.0.1:7002"
///     fleet_secrets = ["0123456789abcdef"]
/// "#;
/// let settings: EntrySettings = parse("entry.toml".as_ref(), text).unwrap();
/// assert_eq!(settings.vm_list_period_ms, 1000);
/// assert_eq!(settings.memory_mb, 512);
/// ```
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Name of the VM.
    pub name: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Address that callers connect to.
    pub address: SocketAddr,
    /// Address that peers connect to.
    pub peer_address: SocketAddr,
    /// Address of the platform's key-value store.
    pub store: SocketAddr,
    /// Address of the platform's VM list.
    pub vm_list: SocketAddr,
    /// One or two fleet secrets: peers may use either, and this process authenticates with the
    /// first.
    #[serde(skip_serializing)]
    pub fleet_secrets: Vec<String>,
    /// Interval between reads of the VM list, in milliseconds.
    #[serde(default = "default_vm_list_period_ms")]
    pub vm_list_period_ms: u64,
    /// Time for which callers may cache an endpoint answer, in milliseconds.
    #[serde(default = "default_endpoint_ttl_ms")]
    pub endpoint_ttl_ms: u32,
    /// Memory of the VM, in MB. Half of it is the budget for requests and their bodies.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Lowest level that is logged: `critical`, `error`, `warning`, `info`, `debug` or `trace`.
    #[serde(default = "default_log_level")]
    pub log_level: String,
}

fn default_vm_list_period_ms() -> u64 {
    1_000
}

fn default_endpoint_ttl_ms() -> u32 {
    10_000
}

/// The largest VM of the deployments so far.
fn default_memory_mb() -> u64 {
    512
}

fn default_log_level() -> String {
    "info".into()
}

impl EntrySettings {
    /// Parses the fleet secrets.
    ///
    /// # Errors
    ///
    /// Fails if there are not one or two, or if one is too short.
    pub fn secrets(&self) -> Result<FleetSecrets, String> {
        FleetSecrets::from_settings(&self.fleet_secrets)
    }
}

impl Settings for EntrySettings {
    fn check(&self) -> Result<(), String> {
        self.secrets()?;
        check_range("vm_list_period_ms", self.vm_list_period_ms, 100..=60_000)?;
        check_range(
            "endpoint_ttl_ms",
            self.endpoint_ttl_ms.into(),
            500..=300_000,
        )?;
        check_range("memory_mb", self.memory_mb, 32..=1_048_576)?;
        oriole_kernel::logging::parse_level(&self.log_level)
            .map(|_| ())
            .map_err(|e| format!("log_level: {e}"))
    }
}
