//! Upstreams behind agents.

use std::time::Duration;

use oriole_types::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::candidate::Request;

/// An attempt at an agent.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Entry that made it.
    pub entry: usize,
    /// Request.
    pub req: Request,
}

/// What an upstream and its agent want done.
pub enum Effect {
    /// An attempt started to run.
    Started,
    /// Call [`Upstream::on_due`] with this number after some time.
    CallAfter(u64, Duration),
    /// An attempt was refused.
    Refused(Attempt, RefusalReason, Option<Duration>),
    /// An attempt ended, well or not, after running for some time.
    Ended(Attempt, bool, Duration),
}

/// One upstream with its agent.
pub trait Upstream {
    /// An attempt arrives.
    fn on_attempt(&mut self, now: Duration, attempt: Attempt, rng: &mut ChaCha8Rng) -> Vec<Effect>;

    /// Something that was due happens.
    fn on_due(&mut self, now: Duration, id: u64, rng: &mut ChaCha8Rng) -> Vec<Effect>;

    /// Some time passed.
    fn tick(&mut self, _now: Duration, _rng: &mut ChaCha8Rng) -> Vec<Effect> {
        Vec::new()
    }

    /// The agent hears from operators.
    fn set_state(
        &mut self,
        now: Duration,
        state: ServiceState,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Effect>;

    /// The upstream fails whatever it gets, or works again.
    fn set_failing(&mut self, failing: bool);

    /// The upstream turns cold without a warning.
    fn turn_cold(&mut self);

    /// Load as the agent tells it.
    fn report(&self, now: Duration) -> LoadReport;

    /// Requests that started on a cold upstream beyond what it bears.
    fn cold_overload(&self) -> u64;
}

/// A service time with a median, drawn from a lognormal distribution.
pub fn draw_service_time(median: Duration, sigma: f64, rng: &mut ChaCha8Rng) -> Duration {
    median.mul_f64((sigma * standard_normal(rng)).exp())
}

/// A number drawn from the normal distribution with mean 0 and deviation 1.
fn standard_normal(rng: &mut ChaCha8Rng) -> f64 {
    let (u, v): (f64, f64) = (rng.random(), rng.random());
    (-2.0 * (1.0 - u).ln()).sqrt() * (std::f64::consts::TAU * v).cos()
}
