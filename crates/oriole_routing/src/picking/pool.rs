//! What an entry knows of one pool.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::prelude::*;

use super::config::RouterConfig;
use super::prefix::PrefixTable;
use super::upstream::Upstream;

/// Weight of the newest service time in the average over a pool.
const POOL_SERVICE_SMOOTHING: f64 = 0.05;

/// Upstreams of one pool and what they have in common.
#[derive(Debug)]
pub(super) struct PoolState {
    pub upstreams: BTreeMap<VmName, Upstream>,
    pub load: Option<f64>,
    pub service: Option<Duration>,
    pub own: u32,
    pub probed: Duration,
    pub prefixes: PrefixTable,
}

impl PoolState {
    /// Notes how long a whole answer of one of the upstreams took.
    pub fn note_service(&mut self, elapsed: Duration) {
        let smoothed = self.service.map_or(elapsed, |held| {
            held.mul_f64(1.0 - POOL_SERVICE_SMOOTHING) + elapsed.mul_f64(POOL_SERVICE_SMOOTHING)
        });
        self.service = Some(smoothed);
    }

    /// Average load as a part of an upstream's limit.
    pub fn average_load(&self) -> f64 {
        self.load.unwrap_or(0.0)
    }

    /// Whether an upstream may be tried that seems full.
    ///
    /// An entry that holds less than its even part of the pool's slots tries often, so that it
    /// gets its part although others refill each slot as it falls free. One that holds more hears
    /// enough from the ends of its own requests.
    pub fn is_probe_due(&self, now: Duration, entries: u32, cfg: &RouterConfig) -> bool {
        let slots: f64 = self.upstreams.values().map(|u| f64::from(u.limit())).sum();
        let even = (slots / f64::from(entries.max(1))).max(1.0);
        let part = f64::from(self.own) / even;
        let wait = if part < 1.0 {
            cfg.probe_min + cfg.probe_after.mul_f64(part)
        } else {
            cfg.probe_after * (1 + self.own)
        };
        now.saturating_sub(self.probed) >= wait
    }
}
