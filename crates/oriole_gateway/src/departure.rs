//! Which requests a daemon that shuts down still accepts.

use std::time::Duration;

/// Time before the end of the grace period at which the process exits by itself.
const EXIT_MARGIN: Duration = Duration::from_millis(400);

/// Time before the exit by which a late request must have its response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// Longest time after the start of a shutdown in which requests are accepted that may outlast the
/// process. Most callers have a newer list of endpoints by then.
const MAX_OPEN_TIME: Duration = Duration::from_millis(2400);

/// Longest such time as a share of the grace period. Few requests take the rest of it.
const OPEN_SHARE: f64 = 0.3;

/// A shutdown in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Departure {
    started_at: Duration,
    grace: Duration,
}

impl Departure {
    /// A shutdown that started at `started_at`, after which the process is killed at the end of `grace`.
    #[must_use]
    pub fn new(started_at: Duration, grace: Duration) -> Self {
        Self { started_at, grace }
    }

    /// Time at which the process exits.
    #[must_use]
    pub fn exits_at(&self) -> Duration {
        self.started_at + self.grace.saturating_sub(EXIT_MARGIN)
    }

    /// Whether a request is accepted that is answered or given up by `respond_by`. At first all are:
    /// a refusal costs a caller one of its few retries, and another daemon may be leaving too. Later
    /// only those that surely end before the process does.
    #[must_use]
    pub fn accepts(&self, now: Duration, respond_by: Duration) -> bool {
        let open_time = MAX_OPEN_TIME.min(self.grace.mul_f64(OPEN_SHARE));
        now < self.started_at + open_time || respond_by + RESPONSE_MARGIN <= self.exits_at()
    }
}
