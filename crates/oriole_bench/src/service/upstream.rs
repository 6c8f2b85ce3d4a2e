//! The interface of an upstream with its agent.

use std::time::Duration;

use oriole_types::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::candidate::Request;

/// An attempt at an agent.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Index of the entry that made it.
    pub entry: usize,
    /// The request that it tries to answer.
    pub req: Request,
}

/// What an upstream or its agent did, or asks the simulation to do.
pub enum Effect {
    /// An attempt started on the upstream.
    Started,
    /// Call [`Upstream::on_due`] with this id after a delay.
    CallAfter(u64, Duration),
    /// An attempt was refused; with the time to wait before a retry, if the agent named one.
    Refused(Attempt, RefusalReason, Option<Duration>),
    /// An attempt ended; with whether it succeeded and how long it ran.
    Ended(Attempt, bool, Duration),
}

/// An upstream with its agent.
pub trait Upstream {
    /// Handles a new attempt.
    fn on_attempt(&mut self, now: Duration, attempt: Attempt, rng: &mut ChaCha8Rng) -> Vec<Effect>;

    /// Handles the end of a delay that [`Effect::CallAfter`] requested.
    fn on_due(&mut self, now: Duration, id: u64, rng: &mut ChaCha8Rng) -> Vec<Effect>;

    /// Runs the periodic work of the agent.
    fn tick(&mut self, _now: Duration, _rng: &mut ChaCha8Rng) -> Vec<Effect> {
        Vec::new()
    }

    /// Sets the service state that operators chose.
    fn set_state(
        &mut self,
        now: Duration,
        state: ServiceState,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Effect>;

    /// Makes the upstream fail every request, or work again.
    fn set_failing(&mut self, failing: bool);

    /// Turns the upstream cold without notice to the agent.
    fn turn_cold(&mut self);

    /// Returns the agent's load report.
    fn report(&self, now: Duration) -> LoadReport;

    /// Returns the number of requests that started above the limit of a cold upstream.
    fn cold_overload(&self) -> u64;
}

/// Draws a service time from a lognormal distribution with the given median.
pub fn draw_service_time(median: Duration, sigma: f64, rng: &mut ChaCha8Rng) -> Duration {
    median.mul_f64((sigma * standard_normal(rng)).exp())
}

/// Draws a number from the standard normal distribution.
fn standard_normal(rng: &mut ChaCha8Rng) -> f64 {
    let (u, v): (f64, f64) = (rng.random(), rng.random());
    (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
