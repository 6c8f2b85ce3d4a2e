//! A token bucket.

use std::time::Duration;

/// Tokens that refill at a rate up to a depth.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_s: f64,
    depth: f64,
    tokens: f64,
    at: Duration,
}

impl TokenBucket {
    /// A full bucket.
    #[must_use]
    pub fn new(now: Duration, per_s: f64, depth: f64) -> Self {
        Self {
            per_s,
            depth,
            tokens: depth,
            at: now,
        }
    }

    /// Changes rate and depth; what was saved beyond the new depth is lost.
    pub fn set(&mut self, now: Duration, per_s: f64, depth: f64) {
        self.refill(now);
        self.per_s = per_s;
        self.depth = depth;
        self.tokens = self.tokens.min(depth);
    }

    /// Takes a token if that leaves at least so many.
    pub fn take(&mut self, now: Duration, leave: f64) -> bool {
        self.refill(now);
        let enough = self.tokens >= 1.0 + leave;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }

    /// Gives a token back.
    pub fn put_back(&mut self) {
        self.tokens = (self.tokens + 1.0).min(self.depth);
    }

    /// Time until a token is there.
    #[must_use]
    pub fn wait(&self, leave: f64) -> Duration {
        let missing = (1.0 + leave - self.tokens).max(0.0);
        if missing == 0.0 {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.per_s).unwrap_or(Duration::MAX)
    }

    /// Most tokens the bucket holds.
    #[must_use]
    pub fn depth(&self) -> f64 {
        self.depth
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.at).as_secs_f64();
        self.tokens = (self.tokens + elapsed * self.per_s).min(self.depth);
        self.at = self.at.max(now);
    }
}
