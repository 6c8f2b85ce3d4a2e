//! Token bucket for call rates.

use std::time::Duration;

/// A token bucket: a steady rate with a burst.
///
/// Use it for the call budget of a process and for the rate limits of a fake store. Time is the
/// time since any fixed start.
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
    per_s: f64,
    burst: f64,
    tokens: f64,
    filled_at: Duration,
}

impl TokenBucket {
    /// A full bucket with a rate in tokens a second and a burst in tokens.
    #[must_use]
    pub fn new(per_s: f64, burst: f64) -> Self {
        Self {
            per_s,
            burst,
            tokens: burst,
            filled_at: Duration::ZERO,
        }
    }

    /// Takes one token; false if there is none.
    pub fn try_take(&mut self, now: Duration) -> bool {
        self.fill(now);
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }

    fn fill(&mut self, now: Duration) {
        let passed = now.saturating_sub(self.filled_at).as_secs_f64();
        self.tokens = (self.tokens + passed * self.per_s).min(self.burst);
        self.filled_at = self.filled_at.max(now);
    }
}
