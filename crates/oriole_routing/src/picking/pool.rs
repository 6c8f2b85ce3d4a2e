//! State of one pool as one entry sees it.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::prelude::*;

use super::config::RouterConfig;
use super::prefix::PrefixTable;
use super::upstream::Upstream;

/// Weight of the latest service time in the average over a pool.
const POOL_SERVICE_SMOOTHING: f64 = 0.05;

/// The upstreams of one pool and averages over them.
#[derive(Debug)]
pub(super) struct PoolState {
    pub upstreams: BTreeMap<VmName, Upstream>,
    /// Smoothed load of the upstreams, as a fraction of their limits; `None` before the first
    /// report.
    pub smoothed_load: Option<f64>,
    /// Smoothed service time at all upstreams; `None` before the first answer.
    pub average_service_time: Option<Duration>,
    /// Requests of this entry in flight at all upstreams of the pool.
    pub own_in_flight: u32,
    /// When a request was last sent to an upstream that seemed full.
    pub last_probe_at: Duration,
    /// Prompt prefixes that the upstreams may have cached.
    pub prefixes: PrefixTable,
}

impl PoolState {
    /// Records the time that a complete answer of an upstream took.
    pub fn record_service_time(&mut self, elapsed: Duration) {
        let smoothed = self.average_service_time.map_or(elapsed, |previous| {
            previous.mul_f64(1.0 - POOL_SERVICE_SMOOTHING) + elapsed.mul_f64(POOL_SERVICE_SMOOTHING)
        });
        self.average_service_time = Some(smoothed);
    }

    /// Average load as a fraction of an upstream's limit; 0 before the first report.
    pub fn average_load(&self) -> f64 {
        self.smoothed_load.unwrap_or(0.0)
    }

    /// Whether a request may be sent to an upstream that seems full.
    ///
    /// An entry that uses less than its even share of the pool's slots probes often, so that it
    /// gets its share even if other entries refill each slot as soon as it is free. An entry that
    /// uses more learns enough from the ends of its own requests.
    pub fn is_probe_due(&self, now: Duration, entry_count: u32, cfg: &RouterConfig) -> bool {
        let slots: f64 = self.upstreams.values().map(|u| f64::from(u.limit())).sum();
        let even_share = (slots / f64::from(entry_count.max(1))).max(1.0);
        let share_used = f64::from(self.own_in_flight) / even_share;
        let interval = if share_used < 1.0 {
            cfg.min_probe_interval + cfg.probe_interval.mul_f64(share_used)
        } else {
            cfg.probe_interval * (1 + self.own_in_flight)
        };
        now.saturating_sub(self.last_probe_at) >= interval
    }
}
