//! Jittered exponential backoff.

use std::time::Duration;

use rand::{Rng, RngExt as _};

/// Bounds of the pauses between attempts.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Upper bound of the first pause.
    pub first: Duration,
    /// Upper bound of every pause.
    pub max: Duration,
}

impl Backoff {
    /// The pause after `failed_attempts` failed attempts. It is uniformly distributed between zero and
    /// a bound that doubles with each attempt, so that processes that failed at the same time do not
    /// retry at the same time.
    pub fn pause(&self, failed_attempts: u32, rng: &mut impl Rng) -> Duration {
        let doublings = failed_attempts.saturating_sub(1).min(20);
        let bound = self.first.saturating_mul(1 << doublings).min(self.max);
        bound.mul_f64(rng.random())
    }
}
