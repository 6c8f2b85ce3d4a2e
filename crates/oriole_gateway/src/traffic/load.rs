//! Load and health of one upstream as this daemon sees it.

use std::time::Duration;

use oriole_types::digest::Digest;

use super::cold_limiter::ColdLimiter;

/// Weight of a new observation in the moving averages: about the last ten count.
const AVERAGE_WEIGHT: f64 = 0.1;

/// First pause after an upstream could not be reached or broke off; doubles up to
/// [`FAILURE_BACKOFF_MAX`]. Shorter than an upstream's restart, so that its return is noticed soon.
const FAILURE_BACKOFF_MIN: Duration = Duration::from_millis(400);

/// Pause after an upstream refused a request: its queue was full, or its group does not run.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(250);

/// Longest pause without trying an upstream that keeps failing.
const FAILURE_BACKOFF_MAX: Duration = Duration::from_secs(4);

/// What is known of one upstream's load and health.
#[derive(Debug, Default)]
pub struct UpstreamLoad {
    /// Hash under which daemons speak of the upstream.
    pub hash: u64,
    /// Requests that this daemon has there.
    pub own_in_flight: u32,
    /// Requests that peers told of.
    pub peer_in_flight: u32,
    /// Moving average of failures, from zero to one.
    pub failure_rate: f64,
    /// Moving average of the time that a request takes there, in seconds.
    pub service_time_s: Option<f64>,
    /// Moving average of the time to the head of an answer, in seconds.
    pub head_latency_s: Option<f64>,
    /// Requests sent while it is cold.
    pub cold_limiter: ColdLimiter,
    backoff_until: Duration,
    consecutive_failures: u32,
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
        self.own_in_flight + self.peer_in_flight
    }

    /// Whether it failed of late and is left alone for a moment.
    #[must_use]
    pub fn is_in_backoff(&self, now: Duration) -> bool {
        now < self.backoff_until
    }

    /// Notes a proper end.
    pub fn record_success(&mut self, took: Duration) {
        self.consecutive_failures = 0;
        self.backoff_until = Duration::ZERO;
        self.failure_rate *= 1.0 - AVERAGE_WEIGHT;
        self.service_time_s = Some(moving_average(self.service_time_s, took));
    }

    /// Notes the time to the head of an answer.
    pub fn record_head_latency(&mut self, took: Duration) {
        self.head_latency_s = Some(moving_average(self.head_latency_s, took));
    }

    /// Notes that it failed a request by itself, though it answered.
    pub fn record_failure(&mut self) {
        self.failure_rate += AVERAGE_WEIGHT * (1.0 - self.failure_rate);
    }

    /// Notes that it refused a request without running it.
    pub fn record_refusal(&mut self, now: Duration) {
        self.backoff_until = self.backoff_until.max(now + REFUSAL_BACKOFF);
    }

    /// Notes that it could not be reached, broke off or stayed silent.
    pub fn record_unreachable(&mut self, now: Duration) {
        self.record_failure();
        let doublings = self.consecutive_failures.min(8);
        let pause = FAILURE_BACKOFF_MIN
            .saturating_mul(1 << doublings)
            .min(FAILURE_BACKOFF_MAX);
        self.consecutive_failures += 1;
        self.backoff_until = now + pause;
    }
}

fn moving_average(mean: Option<f64>, newest: Duration) -> f64 {
    let newest = newest.as_secs_f64();
    let mean = mean.unwrap_or(newest);
    mean + AVERAGE_WEIGHT * (newest - mean)
}
