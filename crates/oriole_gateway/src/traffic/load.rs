//! Load and health of one upstream as this daemon sees it.

use std::time::Duration;

use oriole_types::digest::Digest;

use super::cold_limiter::ColdLimiter;

/// Weight of a new observation in the moving averages: roughly the last ten observations count.
const AVERAGE_WEIGHT: f64 = 0.1;

/// First pause after an upstream was unreachable or broke off a response; doubles up to
/// [`FAILURE_BACKOFF_MAX`]. Shorter than an upstream's restart, so that its return is noticed soon.
const FAILURE_BACKOFF_MIN: Duration = Duration::from_millis(400);

/// Pause after an upstream refused a request because its queue was full or its group is not
/// running.
const REFUSAL_BACKOFF: Duration = Duration::from_millis(250);

/// Longest pause before an upstream that keeps failing is tried again.
const FAILURE_BACKOFF_MAX: Duration = Duration::from_secs(4);

/// Load and health of one upstream.
#[derive(Debug, Default)]
pub struct UpstreamLoad {
    /// Hash that identifies the upstream in heartbeats between daemons.
    pub hash: u64,
    /// Requests that this daemon has in flight at the upstream.
    pub own_in_flight: u32,
    /// Requests that the other daemons reported as in flight at the upstream.
    pub peer_in_flight: u32,
    /// Moving average of failures, from zero to one.
    pub failure_rate: f64,
    /// Moving average of the time to serve a request, in seconds; `None` before the first success.
    pub service_time_s: Option<f64>,
    /// Moving average of the time to the head of a response, in seconds; `None` before the first
    /// one.
    pub head_latency_s: Option<f64>,
    /// Limits the requests sent while the upstream is cold.
    pub cold_limiter: ColdLimiter,
    backoff_until: Duration,
    consecutive_failures: u32,
}

impl UpstreamLoad {
    /// Load of an upstream without any observation.
    #[must_use]
    pub fn new(instance: &str) -> Self {
        Self {
            hash: Digest::of(instance.as_bytes()).prefix_u64(),
            ..Self::default()
        }
    }

    /// Requests in flight at the upstream from all daemons.
    #[must_use]
    pub fn in_flight(&self) -> u32 {
        self.own_in_flight + self.peer_in_flight
    }

    /// Whether the upstream failed or refused recently and is avoided for a while.
    #[must_use]
    pub fn is_in_backoff(&self, now: Duration) -> bool {
        now < self.backoff_until
    }

    /// Records a request that was served in full.
    pub fn record_success(&mut self, took: Duration) {
        self.consecutive_failures = 0;
        self.backoff_until = Duration::ZERO;
        self.failure_rate *= 1.0 - AVERAGE_WEIGHT;
        self.service_time_s = Some(moving_average(self.service_time_s, took));
    }

    /// Records the time to the head of a response.
    pub fn record_head_latency(&mut self, took: Duration) {
        self.head_latency_s = Some(moving_average(self.head_latency_s, took));
    }

    /// Records that the upstream answered a request with a failure of its own.
    pub fn record_failure(&mut self) {
        self.failure_rate += AVERAGE_WEIGHT * (1.0 - self.failure_rate);
    }

    /// Records that the upstream sent bytes that are no answer to a request. It may answer the next
    /// one; only if it does not, it is avoided for a while.
    pub fn record_invalid_answer(&mut self, now: Duration) {
        if self.consecutive_failures > 0 {
            self.record_unreachable(now);
        } else {
            self.record_failure();
            self.consecutive_failures = 1;
        }
    }

    /// Records that the upstream refused a request without running it.
    pub fn record_refusal(&mut self, now: Duration) {
        self.backoff_until = self.backoff_until.max(now + REFUSAL_BACKOFF);
    }

    /// Records that the upstream was unreachable, broke off a response or stayed silent.
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
