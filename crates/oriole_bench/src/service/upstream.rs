//! A fake upstream behind an agent that admits up to its limit.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

/// Time after which a failing upstream fails a request.
const FAILS_AFTER: Duration = Duration::from_millis(5);

/// How much slower a cold upstream is.
const COLD_SLOWDOWN: f64 = 2.0;

/// Requests that a cold upstream must have answered for each slot that its agent opens more.
const PROOF_PER_SLOT: u32 = 1;

/// Requests that wait at an agent at most.
const QUEUE_CAPACITY: usize = 64;

/// What an agent does with a request that arrives.
pub enum Admitted {
    /// It runs.
    Runs(Run),
    /// It waits until a slot is free.
    Waits,
    /// It is refused.
    Refused(RefusalReason),
}

/// How a request that runs will end.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    /// After which time.
    pub took: Duration,
    /// Whether with the whole answer.
    pub ok: bool,
}

/// One upstream with its agent.
#[derive(Clone, Debug)]
pub struct Upstream<T> {
    warm: u32,
    cold_limit: u32,
    median: Duration,
    sigma: f64,
    /// Requests that run.
    pub in_flight: u32,
    /// Whether it fails whatever it gets.
    pub failing: bool,
    /// Whether the agent refuses new work.
    pub drained: bool,
    /// Requests admitted while more than a cold upstream bears ran.
    pub cold_overload: u64,
    limit: u32,
    proofs: u32,
    service_ms: f64,
    queue: BTreeMap<(Priority, Duration, u64), T>,
    order: u64,
}

impl<T> Upstream<T> {
    /// A warm and idle upstream.
    #[must_use]
    pub fn new(warm: u32, cold: u32, median: Duration, sigma: f64) -> Self {
        Self {
            warm,
            cold_limit: cold,
            median,
            sigma,
            in_flight: 0,
            failing: false,
            drained: false,
            cold_overload: 0,
            limit: warm,
            proofs: 0,
            service_ms: median.as_secs_f64() * 1000.0,
            queue: BTreeMap::new(),
            order: 0,
        }
    }

    /// Turns cold; the agent sees it at once by the time to the first token.
    pub fn turn_cold(&mut self) {
        self.limit = self.cold_limit;
        self.proofs = 0;
    }

    /// A request arrives; one that may not run yet waits by class and deadline.
    pub fn admit(
        &mut self,
        priority: Priority,
        deadline: Duration,
        rng: &mut ChaCha8Rng,
        waiting: impl FnOnce() -> T,
    ) -> Admitted {
        if self.drained {
            return Admitted::Refused(RefusalReason::Draining);
        }
        if self.queue.is_empty() && self.in_flight < self.limit {
            return Admitted::Runs(self.start(rng));
        }
        if self.is_cold() {
            return Admitted::Refused(RefusalReason::UpstreamCold);
        }
        if self.queue.len() >= QUEUE_CAPACITY {
            return Admitted::Refused(RefusalReason::UpstreamFull);
        }
        self.order += 1;
        self.queue
            .insert((priority, deadline, self.order), waiting());
        Admitted::Waits
    }

    /// A waiting request that may run now.
    pub fn next(&mut self, rng: &mut ChaCha8Rng) -> Option<(T, Run)> {
        if self.in_flight >= self.limit {
            return None;
        }
        let (_, waiting) = self.queue.pop_first()?;
        Some((waiting, self.start(rng)))
    }

    fn start(&mut self, rng: &mut ChaCha8Rng) -> Run {
        self.in_flight += 1;
        if self.failing {
            return Run {
                took: FAILS_AFTER,
                ok: false,
            };
        }
        let slowdown = if self.is_cold() { COLD_SLOWDOWN } else { 1.0 };
        let factor = (self.sigma * standard_normal(rng)).exp() * slowdown;
        Run {
            took: self.median.mul_f64(factor),
            ok: true,
        }
    }

    /// A request ended.
    pub fn ended(&mut self, took: Duration, ok: bool) {
        const SMOOTHING: f64 = 0.05;
        self.in_flight -= 1;
        if !ok {
            return;
        }
        self.service_ms += SMOOTHING * (took.as_secs_f64() * 1000.0 - self.service_ms);
        self.proofs += 1;
        if self.is_cold() && self.proofs >= PROOF_PER_SLOT * self.limit {
            self.proofs = 0;
            self.limit = (self.limit * 2).min(self.warm);
        }
    }

    /// Load as the agent tells it.
    #[must_use]
    pub fn report(&self) -> LoadReport {
        LoadReport {
            in_flight: self.in_flight,
            queued: self.queue.len() as u32,
            limit: self.limit,
            service_ms: self.service_ms.round() as u32,
            cold: self.is_cold(),
            leaving: self.drained,
            age_ms: 0,
        }
    }

    fn is_cold(&self) -> bool {
        self.limit < self.warm
    }
}

/// A number drawn from the normal distribution with mean 0 and deviation 1.
fn standard_normal(rng: &mut ChaCha8Rng) -> f64 {
    let (u, v): (f64, f64) = (rng.random(), rng.random());
    (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
