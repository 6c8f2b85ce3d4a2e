//! Measured rates.

use std::time::Duration;

/// Part of the smoothing time after which a rate is known.
const YOUNGEST: f64 = 0.1;

/// Events a second, smoothed over some time.
///
/// The rate is a leaky sum: each event adds to it, and all of it fades with time. Until one
/// smoothing time has passed the sum is scaled up, so that a young rate is not taken for a low one.
#[derive(Clone, Debug)]
pub struct Rate {
    smoothing: Duration,
    sum: f64,
    at: Duration,
    since: Option<Duration>,
}

impl Rate {
    /// A rate without events, smoothed over some time.
    #[must_use]
    pub fn new(smoothing: Duration) -> Self {
        Self {
            smoothing,
            sum: 0.0,
            at: Duration::ZERO,
            since: None,
        }
    }

    /// Notes events.
    pub fn add(&mut self, now: Duration, events: f64) {
        self.since.get_or_insert(now);
        self.sum = self.faded(now) + events;
        self.at = now;
    }

    /// Events a second.
    #[must_use]
    pub fn per_s(&self, now: Duration) -> f64 {
        let Some(since) = self.since else { return 0.0 };
        let age = now.saturating_sub(since).as_secs_f64();
        let smoothing = self.smoothing.as_secs_f64();
        let window = smoothing * (1.0 - (-age / smoothing).exp());
        self.faded(now) / window.max(smoothing * YOUNGEST)
    }

    /// Whether events were seen for long enough to give a rate.
    #[must_use]
    pub fn is_known(&self, now: Duration) -> bool {
        let least = self.smoothing.mul_f64(YOUNGEST);
        self.since
            .is_some_and(|since| now.saturating_sub(since) >= least)
    }

    /// Takes back events that were noted too early.
    pub fn take_back(&mut self, events: f64) {
        self.sum = (self.sum - events).max(0.0);
    }

    fn faded(&self, now: Duration) -> f64 {
        let age = now.saturating_sub(self.at).as_secs_f64();
        self.sum * (-age / self.smoothing.as_secs_f64()).exp()
    }
}
