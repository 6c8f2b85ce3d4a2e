//! A warm upstream with a fixed number of slots, behind an agent with a short priority queue.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::prelude::*;
use rand_chacha::ChaCha8Rng;

use super::upstream::{Attempt, Effect, Upstream, draw_service_time};

/// Time until a failing upstream fails a request.
const FAILURE_DELAY: Duration = Duration::from_millis(5);

/// Requests that can wait at an agent.
const QUEUE_CAPACITY: usize = 64;

/// Weight of a new service time in the exponential moving average.
const SERVICE_TIME_SMOOTHING: f64 = 0.05;

/// An upstream that answers each request after a random time, up to `limit` at once.
pub struct Slots {
    limit: usize,
    median: Duration,
    sigma: f64,
    failing: bool,
    drained: bool,
    running: BTreeMap<u64, Running>,
    queue: BTreeMap<(Priority, Duration, u64), Attempt>,
    last_id: u64,
    mean_service_ms: f64,
}

struct Running {
    attempt: Attempt,
    started: Duration,
    ok: bool,
}

impl Slots {
    /// Creates an idle upstream.
    #[must_use]
    pub fn new(limit: u32, median: Duration, sigma: f64) -> Self {
        Self {
            limit: limit as usize,
            median,
            sigma,
            failing: false,
            drained: false,
            running: BTreeMap::new(),
            queue: BTreeMap::new(),
            last_id: 0,
            mean_service_ms: median.as_secs_f64() * 1000.0,
        }
    }

    fn start(&mut self, now: Duration, attempt: Attempt, rng: &mut ChaCha8Rng) -> [Effect; 2] {
        let ok = !self.failing;
        let took = if ok {
            draw_service_time(self.median, self.sigma, rng)
        } else {
            FAILURE_DELAY
        };
        self.last_id += 1;
        self.running.insert(
            self.last_id,
            Running {
                attempt,
                started: now,
                ok,
            },
        );
        [Effect::Started, Effect::CallAfter(self.last_id, took)]
    }

    fn start_waiting(&mut self, now: Duration, rng: &mut ChaCha8Rng) -> Vec<Effect> {
        let mut out = Vec::new();
        while self.running.len() < self.limit {
            let Some((_, attempt)) = self.queue.pop_first() else {
                break;
            };
            out.extend(self.start(now, attempt, rng));
        }
        out
    }
}

impl Upstream for Slots {
    fn on_attempt(&mut self, now: Duration, attempt: Attempt, rng: &mut ChaCha8Rng) -> Vec<Effect> {
        if self.drained {
            return vec![Effect::Refused(attempt, RefusalReason::Draining, None)];
        }
        if self.queue.len() >= QUEUE_CAPACITY {
            return vec![Effect::Refused(attempt, RefusalReason::QueueFull, None)];
        }
        self.last_id += 1;
        let queue_key = (attempt.req.priority, attempt.req.deadline, self.last_id);
        self.queue.insert(queue_key, attempt);
        self.start_waiting(now, rng)
    }

    fn on_due(&mut self, now: Duration, id: u64, rng: &mut ChaCha8Rng) -> Vec<Effect> {
        let Some(Running {
            attempt,
            started,
            ok,
        }) = self.running.remove(&id)
        else {
            return Vec::new();
        };
        let took = now.saturating_sub(started);
        if ok {
            self.mean_service_ms +=
                SERVICE_TIME_SMOOTHING * (took.as_secs_f64() * 1000.0 - self.mean_service_ms);
        }
        let mut out = vec![Effect::Ended(attempt, ok, took)];
        out.extend(self.start_waiting(now, rng));
        out
    }

    fn set_state(
        &mut self,
        _now: Duration,
        state: ServiceState,
        _rng: &mut ChaCha8Rng,
    ) -> Vec<Effect> {
        self.drained = state == ServiceState::Drained;
        Vec::new()
    }

    fn set_failing(&mut self, failing: bool) {
        self.failing = failing;
    }

    fn turn_cold(&mut self) {}

    fn report(&self, _now: Duration) -> LoadReport {
        LoadReport {
            in_flight: self.running.len() as u32,
            queued: self.queue.len() as u32,
            limit: self.limit as u32,
            service_ms: self.mean_service_ms.round() as u32,
            cold: false,
            leaving: self.drained,
            age_ms: 0,
        }
    }

    fn cold_overload(&self) -> u64 {
        0
    }
}
