//! Ejection of upstreams that fail.

use std::time::Duration;

use super::config::RouterConfig;

/// Weight of the newest attempt in the smoothed share of failures.
const FAILURE_SMOOTHING: f64 = 0.2;

/// Most doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 8;

/// Failures of one upstream as one entry saw them.
///
/// An ejection ends by time. One more failure then ejects the upstream again, for twice as long;
/// a success forgives everything.
#[derive(Clone, Debug, Default)]
pub struct Health {
    failures_in_row: u32,
    failure_share: f64,
    ejections_in_row: u32,
    ejected_until: Option<Duration>,
}

impl Health {
    /// Notes an attempt that ended well.
    pub fn succeeded(&mut self) {
        self.failures_in_row = 0;
        self.ejections_in_row = 0;
        self.ejected_until = None;
        self.failure_share *= 1.0 - FAILURE_SMOOTHING;
    }

    /// Notes an attempt that failed; returns whether the upstream should be ejected.
    #[must_use]
    pub fn failed(&mut self, now: Duration, cfg: &RouterConfig) -> bool {
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        self.failure_share += FAILURE_SMOOTHING * (1.0 - self.failure_share);
        self.failures_in_row >= cfg.eject_after_failures && !self.is_ejected(now)
    }

    /// Ejects the upstream; returns the end of the ejection. What it failed before is settled by
    /// that: afterwards one request at a time shows whether it works.
    pub fn eject(&mut self, now: Duration, cfg: &RouterConfig) -> Duration {
        let doublings = self.ejections_in_row.min(MAX_DOUBLINGS);
        let length = (cfg.eject_for * (1 << doublings)).min(cfg.eject_for_max);
        let until = now + length;
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

    /// Whether the last thing known of the upstream is a failure that led to an ejection, so that
    /// one request at a time has to show that it works again.
    #[must_use]
    pub fn on_probation(&self) -> bool {
        self.ejected_until.is_some()
    }

    /// Smoothed part of attempts that failed, between 0 and 1.
    #[must_use]
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }
}
