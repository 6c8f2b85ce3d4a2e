//! Ejection of failing upstreams.

use std::time::Duration;

use super::config::RouterConfig;

/// Weight of the latest attempt in the smoothed failure share.
const FAILURE_SMOOTHING: f64 = 0.2;

/// Most doublings of the ejection duration.
const MAX_DOUBLINGS: u32 = 8;

/// Failures of one upstream as seen by one entry.
///
/// An ejection ends after a time. The next failure ejects the upstream again for twice as long; a
/// success resets the counts and ends the ejection.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures_in_row: u32,
    failure_share: f64,
    ejections_in_row: u32,
    ejected_until: Option<Duration>,
}

impl Health {
    /// Records a successful attempt.
    pub fn record_success(&mut self) {
        self.failures_in_row = 0;
        self.ejections_in_row = 0;
        self.ejected_until = None;
        self.failure_share *= 1.0 - FAILURE_SMOOTHING;
    }

    /// Records a failed attempt; returns whether the upstream should be ejected.
    #[must_use]
    pub fn record_failure(&mut self, now: Duration, cfg: &RouterConfig) -> bool {
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        self.failure_share += FAILURE_SMOOTHING * (1.0 - self.failure_share);
        self.failures_in_row >= cfg.eject_after_failures && !self.is_ejected(now)
    }

    /// Ejects the upstream; returns the end of the ejection. The failure share is reset: after the
    /// ejection, single requests show whether the upstream works again.
    pub fn eject(&mut self, now: Duration, cfg: &RouterConfig) -> Duration {
        let doublings = self.ejections_in_row.min(MAX_DOUBLINGS);
        let duration = (cfg.initial_ejection * (1 << doublings)).min(cfg.max_ejection);
        let until = now + duration;
        self.ejections_in_row += 1;
        self.failure_share = 0.0;
        self.ejected_until = Some(until);
        until
    }

    /// Whether the upstream is ejected.
    #[must_use]
    pub fn is_ejected(&self, now: Duration) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Whether the upstream was ejected and had no success since. Until then it gets one request at
    /// a time.
    #[must_use]
    pub fn on_probation(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Smoothed fraction of attempts that failed, between 0 and 1.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }
}
