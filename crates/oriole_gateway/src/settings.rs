//! Settings of the daemon.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_kernel::settings::{Settings, check_range};
use serde::{Deserialize, Serialize};

use crate::traffic::TrafficBounds;
use crate::traffic::cold_limiter::ColdBounds;
use crate::traffic::retry_budget::RetryBounds;

/// Time from a pick to the request's arrival at the upstream, with room for a busy processor.
const MAX_SEND_DELAY: Duration = Duration::from_millis(200);

/// Where the daemon listens.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ListenSettings {
    /// Callers' requests.
    pub callers: SocketAddr,
    /// Questions whether the process is ready.
    pub ready: SocketAddr,
    /// Callers' questions where to connect.
    pub endpoints: SocketAddr,
    /// Counters and histograms.
    pub metrics: SocketAddr,
}

/// How entry daemons find and hear each other.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct PeerSettings {
    /// Where peers are heard, by datagram and by connection; the port is the same on all VMs.
    pub listen: SocketAddr,
    /// VMs that may run an entry daemon; peers are heard at the port of `listen` there, whatever
    /// port is named.
    pub seeds: Vec<SocketAddr>,
}

/// The platform's store.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StoreSettings {
    /// Its address.
    pub address: SocketAddr,
    /// Time for a call, in milliseconds.
    #[serde(default = "default_store_timeout_ms")]
    pub timeout_ms: u64,
    /// Time for which a watch waits, in milliseconds.
    #[serde(default = "default_watch_ms")]
    pub watch_ms: u64,
}

/// Bounds that all daemons keep together, as the operator agreed them with the platform.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
pub struct BoundSettings {
    /// Retries for each request.
    pub retry_ratio: f64,
    /// Length of the window in which retries are counted, in seconds.
    pub retry_window_s: f64,
    /// Retries beside the ratio in a window.
    pub retry_allowance: f64,
    /// Factor on the declared rate of a cold upstream.
    pub cold_overage: f64,
    /// Requests to a cold upstream beside that rate, in a second.
    pub cold_allowance: f64,
    /// Time after which a departed upstream gets no new work, in milliseconds.
    pub drain_ms: f64,
    /// Time from the signal to stop until the process is killed, in seconds.
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
    /// Adapter to the platform, by name.
    #[serde(default = "default_platform")]
    pub platform: String,
    /// Lowest level of log lines.
    #[serde(default = "default_log_level")]
    pub log_level: String,
    /// Descriptors that the process may hold.
    pub max_descriptors: u32,
    /// Where the daemon listens.
    pub listen: ListenSettings,
    /// How entry daemons find each other.
    pub peers: PeerSettings,
    /// The store.
    pub store: StoreSettings,
    /// Bounds over all daemons.
    pub bounds: BoundSettings,
}

fn default_platform() -> String {
    "fleet".to_owned()
}

fn default_log_level() -> String {
    "info".to_owned()
}

/// Well over the store's few milliseconds, and short against the bounds on changes.
fn default_store_timeout_ms() -> u64 {
    800
}

/// Longest wait that costs one call; the store takes up to 30,000.
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
    /// The bounds as the traffic takes them.
    #[must_use]
    pub fn traffic_bounds(&self) -> TrafficBounds {
        TrafficBounds {
            retry: RetryBounds {
                ratio: self.bounds.retry_ratio,
                allowance: self.bounds.retry_allowance,
                window: Duration::from_secs_f64(self.bounds.retry_window_s),
            },
            cold: ColdBounds {
                overage: self.bounds.cold_overage,
                allowance: self.bounds.cold_allowance,
            },
        }
    }

    /// Time for which an upstream that vanished around an outage of the store stays in use.
    #[must_use]
    pub fn lapse_grace(&self) -> Duration {
        let bound = Duration::from_secs_f64(self.bounds.drain_ms / 1000.0);
        bound.saturating_sub(MAX_SEND_DELAY)
    }

    /// Time from the signal to stop until the process is killed.
    #[must_use]
    pub fn grace(&self) -> Duration {
        Duration::from_secs_f64(self.bounds.grace_s)
    }
}
