//! Token bucket for rate limits.

use std::time::Duration;

/// A token bucket with a steady rate and a burst.
///
/// It limits the calls of a process and simulates the rate limits of a store. Points in time are
/// durations since any fixed point.
///
/// ```
/// use std::time::Duration;
/// use oriole_store::rate::TokenBucket;
/// let mut bucket = TokenBucket::new(10.0, 1.0);
/// assert!(bucket.try_take(Duration::ZERO));
/// assert!(!bucket.try_take(Duration::from_millis(50)));
/// assert!(bucket.try_take(Duration::from_millis(150)));
/// ```
#[derive(Clone, Debug)]
pub struct TokenBucket {
    tokens_per_s: f64,
    burst: f64,
    tokens: f64,
    last_refill_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket with a rate in tokens per second and a capacity of `burst` tokens.
    #[must_use]
    pub fn new(tokens_per_s: f64, burst: f64) -> Self {
        Self {
            tokens_per_s,
            burst,
            tokens: burst,
            last_refill_at: Duration::ZERO,
        }
    }

    /// Takes one token; returns `false` if there is none.
    pub fn try_take(&mut self, now: Duration) -> bool {
        self.refill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn refill(&mut self, now: Duration) {
        let elapsed_s = now.saturating_sub(self.last_refill_at).as_secs_f64();
        self.tokens = (self.tokens + elapsed_s * self.tokens_per_s).min(self.burst);
        self.last_refill_at = self.last_refill_at.max(now);
    }
}
