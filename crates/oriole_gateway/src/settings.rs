//! Settings of the daemon.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_fleet::bounded;
use oriole_kernel::settings::{Settings, check_range};
use serde::{Deserialize, Serialize};

use crate::traffic::TrafficBounds;
use crate::traffic::cold_limiter::ColdBounds;
use crate::traffic::retry_budget::RetryBounds;

/// Time from a pick to the arrival of the request at the upstream, with a margin for a busy
/// processor.
const MAX_SEND_DELAY: Duration = Duration::from_millis(200);

/// Addresses on which the daemon listens.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Requests from callers.
    pub callers: SocketAddr,
    /// Readiness queries.
    pub ready: SocketAddr,
    /// Endpoint queries from callers.
    pub endpoints: SocketAddr,
    /// Metrics.
    pub metrics: SocketAddr,
}

/// How entry daemons reach each other.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Address for datagrams and connections from peers. The port is the same on all VMs.
    pub listen: SocketAddr,
    /// VMs that may run an entry daemon. Their ports are ignored; the port of `listen` is used.
    pub seeds: Vec<SocketAddr>,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Address of the store.
    pub address: SocketAddr,
    /// Timeout of a call, in milliseconds.
    #[serde(default = "default_store_timeout_ms")]
    pub timeout_ms: u64,
    /// Time for which a watch call waits for changes, in milliseconds.
    #[serde(default = "default_watch_ms")]
    pub watch_ms: u64,
}

impl StoreSettings {
    /// Settings of a store at an address, with default times.
    #[must_use]
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            timeout_ms: default_store_timeout_ms(),
            watch_ms: default_watch_ms(),
        }
    }
}

/// Bounds that hold over all daemons together, as agreed between the operator and the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Retries allowed per request.
    pub retry_ratio: f64,
    /// Length of the window in which retries are counted, in seconds.
    pub retry_window_s: f64,
    /// Retries allowed in a window on top of the ratio.
    pub retry_allowance: f64,
    /// Factor on the declared rate of a cold upstream.
    pub cold_overage: f64,
    /// Requests per second to a cold upstream on top of that rate.
    pub cold_allowance: f64,
    /// Time after which a departed upstream must get no new requests, in milliseconds.
    pub drain_ms: f64,
    /// Time from the stop signal until the process is killed, in seconds.
    pub grace_s: f64,
}

/// Settings of the entry daemon.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct GatewaySettings {
    /// Name of the VM.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Name of the platform adapter.
    #[serde(default = "default_platform")]
    pub platform: String,
    /// Lowest level of log lines that are written.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Limit on the process's open file descriptors.
    pub max_descriptors: u32,
    /// Memory of the VM, in MB. Half of it is the budget for what the daemon holds for callers and
    /// upstreams.
    #[serde(default = "default_memory_mb")]
    pub memory_mb: u64,
    /// Addresses on which the daemon listens.
    pub listen: ListenSettings,
    /// How entry daemons reach each other.
    pub peers: PeerSettings,
    /// The platform's store.
    pub store: StoreSettings,
    /// Bounds that hold over all daemons together.
    pub bounds: BoundSettings,
}

fn default_platform() -> String {
    "fleet".to_owned()
}

fn default_log_level() -> String {
    "info".to_owned()
}

/// Memory of the largest VMs that run the daemon so far.
fn default_memory_mb() -> u64 {
    512
}

/// Well above the few milliseconds that a call takes, and short compared with the agreed time for
/// changes to take effect.
fn default_store_timeout_ms() -> u64 {
    800
}

/// Nearly the longest wait that the store allows (30,000), so that an idle watch costs few calls.
fn default_watch_ms() -> u64 {
    29_000
}

impl Settings for GatewaySettings {
    fn check(&self) -> Result<(), String> {
        for (key, text) in [("name", &self.name), ("domain", &self.domain)] {
            if text.is_empty() {
                return Err(format!("{key} is empty: a name is needed"));
            }
        }
        oriole_kernel::logging::parse_level(&self.log_level)
            .map_err(|e| format!("log_level: {e}"))?;
        check_range(
            "max_descriptors",
            self.max_descriptors.into(),
            256..=1 << 20,
        )?;
        check_range("memory_mb", self.memory_mb, 32..=1 << 20)?;
        check_range("store.timeout_ms", self.store.timeout_ms, 50..=10_000)?;
        check_range("store.watch_ms", self.store.watch_ms, 100..=30_000)?;
        let bounds = &self.bounds;
        for (key, value, allowed) in [
            ("bounds.retry_ratio", bounds.retry_ratio, 0.0..=10.0),
            ("bounds.retry_window_s", bounds.retry_window_s, 0.1..=600.0),
            ("bounds.retry_allowance", bounds.retry_allowance, 0.0..=1e6),
            ("bounds.cold_overage", bounds.cold_overage, 0.0..=100.0),
            ("bounds.cold_allowance", bounds.cold_allowance, 0.0..=1e6),
            ("bounds.drain_ms", bounds.drain_ms, 0.0..=600_000.0),
            ("bounds.grace_s", bounds.grace_s, 0.5..=600.0),
        ] {
            if !allowed.contains(&value) {
                let (min, max) = allowed.into_inner();
                return Err(format!("{key} = {value}: allowed are {min} to {max}"));
            }
        }
        Ok(())
    }
}

impl GatewaySettings {
    /// The bounds in the form that [`crate::traffic`] uses.
    #[must_use]
    pub fn traffic_bounds(&self) -> TrafficBounds {
        TrafficBounds {
            retry: RetryBounds {
                ratio: self.bounds.retry_ratio,
                allowance: self.bounds.retry_allowance,
                window: bounded::duration_from_secs(self.bounds.retry_window_s),
            },
            cold: ColdBounds {
                overage: self.bounds.cold_overage,
                allowance: self.bounds.cold_allowance,
            },
        }
    }

    /// Time for which an upstream whose entry vanished around a store outage may stay usable.
    #[must_use]
    pub fn lapse_grace(&self) -> Duration {
        let bound = bounded::duration_from_ms(self.bounds.drain_ms);
        bound.saturating_sub(MAX_SEND_DELAY)
    }

    /// Time from the stop signal until the process is killed.
    #[must_use]
    pub fn grace(&self) -> Duration {
        bounded::duration_from_secs(self.bounds.grace_s)
    }
}
