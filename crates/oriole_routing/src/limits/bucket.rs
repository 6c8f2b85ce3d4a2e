//! Token bucket.

use std::time::Duration;

/// Token bucket with fractional tokens.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    /// Refill rate in tokens per second.
    rate_per_s: f64,
    /// Largest number of tokens.
    depth: f64,
    tokens: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// A full bucket.
    #[must_use]
    pub fn new(now: Duration, rate_per_s: f64, depth: f64) -> Self {
        Self {
            rate_per_s,
            depth,
            tokens: depth,
            refilled_at: now,
        }
    }

    /// Changes the refill rate and the depth. Tokens beyond the new depth are lost.
    pub fn set_rate(&mut self, now: Duration, rate_per_s: f64, depth: f64) {
        self.refill(now);
        self.rate_per_s = rate_per_s;
        self.depth = depth;
        self.tokens = self.tokens.min(depth);
    }

    /// Takes a token if at least `reserve` tokens remain; returns whether it did.
    pub fn try_take(&mut self, now: Duration, reserve: f64) -> bool {
        self.refill(now);
        let enough = self.tokens >= 1.0 + reserve;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Returns a token that was not used.
    pub fn put_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.depth);
    }

    /// Time until [`TokenBucket::try_take`] succeeds with the same reserve, as of the last refill.
    #[must_use]
    pub fn time_until_available(&self, reserve: f64) -> Duration {
        let missing = (1.0 + reserve - self.tokens).max(0.0);
        if missing == 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate_per_s).unwrap_or(Duration::MAX)
    }

    /// Largest number of tokens that the bucket holds.
    #[must_use]
    pub fn depth(&self) -> f64 {
        self.depth
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.rate_per_s).min(self.depth);
        self.refilled_at = self.refilled_at.max(now);
    }
}
