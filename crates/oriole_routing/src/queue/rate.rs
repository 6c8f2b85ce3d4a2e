//! Smoothed event rates.

use std::time::Duration;

/// Shortest measuring window, as a fraction of the smoothing time.
const MIN_WINDOW_SHARE: f64 = 0.1;

/// Events per second, exponentially smoothed.
///
/// Each event adds to a sum that decays over time. The sum is divided by the effective window since
/// the first event, so that a rate isn't underestimated before one smoothing time has passed.
#[derive(Clone, Debug)]
pub struct Rate {
    smoothing: Duration,
    /// Decayed number of events as of `updated_at`.
    sum: f64,
    updated_at: Duration,
    first_event_at: Option<Duration>,
}

impl Rate {
    /// A rate without events.
    #[must_use]
    pub fn new(smoothing: Duration) -> Self {
        Self {
            smoothing,
            sum: 0.0,
            updated_at: Duration::ZERO,
            first_event_at: None,
        }
    }

    /// Adds events.
    pub fn add(&mut self, now: Duration, events: f64) {
        self.first_event_at.get_or_insert(now);
        self.sum = self.decayed_sum(now) + events;
        self.updated_at = now;
    }

    /// Events per second; 0 before the first event.
    #[must_use]
    pub fn per_s(&self, now: Duration) -> f64 {
        let Some(since) = self.first_event_at else {
            return 0.0;
        };
        let age = now.saturating_sub(since).as_secs_f64();
        let smoothing = self.smoothing.as_secs_f64();
        let window = smoothing * (1.0 - (-age / smoothing).exp());
        self.decayed_sum(now) / window.max(smoothing * MIN_WINDOW_SHARE)
    }

    /// Whether the first event is long enough ago for a usable rate.
    #[must_use]
    pub fn is_measurable(&self, now: Duration) -> bool {
        let min_age = self.smoothing.mul_f64(MIN_WINDOW_SHARE);
        self.first_event_at
            .is_some_and(|since| now.saturating_sub(since) >= min_age)
    }

    /// Removes events that were added but did not take effect.
    pub fn subtract(&mut self, events: f64) {
        self.sum = (self.sum - events).max(0.0);
    }

    fn decayed_sum(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.updated_at).as_secs_f64();
        self.sum * (-age / self.smoothing.as_secs_f64()).exp()
    }
}
