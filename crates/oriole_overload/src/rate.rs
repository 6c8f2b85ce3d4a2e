//! Moving average of a rate.

use std::time::Duration;

/// Time constant of the moving averages of rates, in seconds.
const RATE_AVERAGING_S: f64 = 1.0;

/// Moving average of events per second.
#[derive(Debug, Default)]
pub(crate) struct Rate {
    per_s: f64,
    updated_at: Duration,
}

impl Rate {
    pub(crate) fn current(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_s * (-since / RATE_AVERAGING_S).exp()
    }

    pub(crate) fn record(&mut self, now: Duration) -> f64 {
        self.per_s = self.current(now) + 1.0 / RATE_AVERAGING_S;
        self.updated_at = now;
        self.per_s
    }
}
