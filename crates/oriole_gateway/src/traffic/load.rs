//! Load and health of one upstream as this daemon sees it.

use std::time::Duration;

use oriole_types::digest::Digest;

use super::cold_share::ColdShare;

/// Weight of a new observation in the moving averages: about the last ten count.
const NEWEST_WEIGHT: f64 = 0.1;

/// First pause after an upstream could not be reached or broke off; doubles up to
/// [`SUSPECT_MAX`]. Shorter than an upstream's restart, so that its return is noticed soon.
const SUSPECT_FIRST: Duration = Duration::from_millis(400);

/// Pause after an upstream refused a request: its queue was full, or its group does not run.
const REFUSED_PAUSE: Duration = Duration::from_millis(250);

/// Longest pause without trying an upstream that keeps failing.
const SUSPECT_MAX: Duration = Duration::from_secs(4);

/// What is known of one upstream's load and health.
#[derive(Debug, Default)]
pub struct UpstreamLoad {
    /// Hash under which daemons speak of the upstream.
    pub hash: u64,
    /// Requests that this daemon has there.
    pub own: u32,
    /// Requests that peers told of.
    pub peers: u32,
    /// Moving average of failures, from zero to one.
    pub failure_rate: f64,
    /// Moving average of the time that a request takes there, in seconds.
    pub service_s: Option<f64>,
    /// Moving average of the time to the head of an answer, in seconds.
    pub head_s: Option<f64>,
    /// Requests sent while it is cold.
    pub cold: ColdShare,
    suspect_until: Duration,
    failures_in_row: u32,
}

impl UpstreamLoad {
    /// Load of an upstream of which nothing is known.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        Self {
            hash: Digest::of(instance.as_bytes()).prefix_u64(),
            ..Self::default()
        }
    }

    /// Requests there from all daemons.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.own + self.peers
    }

    /// Whether it failed of late and is left alone for a moment.
    #[must_use]
    pub fn is_suspect(&self, now: Duration) -> bool {
        now < self.suspect_until
    }

    /// Notes a proper end.
    pub fn succeeded(&mut self, took: Duration) {
        self.failures_in_row = 0;
        self.suspect_until = Duration::ZERO;
        self.failure_rate *= 1.0 - NEWEST_WEIGHT;
        self.service_s = Some(averaged(self.service_s, took));
    }

    /// Notes the time to the head of an answer.
    pub fn answered(&mut self, took: Duration) {
        self.head_s = Some(averaged(self.head_s, took));
    }

    /// Notes that it failed a request by itself, though it answered.
    pub fn failed(&mut self) {
        self.failure_rate += NEWEST_WEIGHT * (1.0 - self.failure_rate);
    }

    /// Notes that it refused a request without running it.
    pub fn refused(&mut self, now: Duration) {
        self.suspect_until = self.suspect_until.max(now + REFUSED_PAUSE);
    }

    /// Notes that it could not be reached, broke off or stayed silent.
    pub fn unreachable(&mut self, now: Duration) {
        self.failed();
        let doublings = self.failures_in_row.min(8);
        let pause = SUSPECT_FIRST
            .saturating_mul(1 << doublings)
            .min(SUSPECT_MAX);
        self.failures_in_row += 1;
        self.suspect_until = now + pause;
    }
}

fn averaged(mean: Option<f64>, newest: Duration) -> f64 {
    let newest = newest.as_secs_f64();
    let mean = mean.unwrap_or(newest);
    mean + NEWEST_WEIGHT * (newest - mean)
}
