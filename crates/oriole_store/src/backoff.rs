//! Jittered exponential backoff.

use std::time::Duration;

use rand::{Rng, RngExt as _};

/// Bounds of the pauses between tries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Backoff {
    /// Longest first pause.
    pub first: Duration,
    /// Longest pause at all.
    pub max: Duration,
}

impl Backoff {
    /// The pause after some number of failed tries: uniform between zero and a bound that doubles
    /// with each try, so that processes that failed together do not return together.
    pub fn pause(&self, failed_tries: u32, rng: &mut impl Rng) -> Duration {
        let doublings = failed_tries.saturating_sub(1).min(20);
        let bound = self.first.saturating_mul(1 << doublings).min(self.max);
        bound.mul_f64(rng.random())
    }
}
