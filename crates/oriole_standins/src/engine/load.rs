//! Load reports that lag behind the actual load.

use std::collections::VecDeque;
use std::time::Duration;

use oriole_types::domain_type;
use tokio::time::Instant;

use crate::health::{HealthState, UpstreamView};

/// Minimum time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of samples kept while no reader requests them.
const MAX_SAMPLES: usize = 1024;

domain_type! {
    /// Response to `GET /v1/load`.
    #[derive(Copy, Default)]
    pub struct EngineLoad {
        /// Requests in flight when the sample was taken.
        pub in_flight: u32,
        /// Requests that waited for a slot at that time.
        pub waiting: u32,
        /// Whether the upstream was cold at that time.
        pub cold: bool,
        /// Age of the sample, in milliseconds.
        pub age_ms: u32,
        /// Requests per second that the upstream takes from all senders; `None` for no limit.
        pub limit_per_s: Option<f64>,
    }
}

/// Samples of the load; readers get the newest one that is at least as old as the lag.
#[derive(Debug)]
pub(crate) struct LaggingLoad {
    lag: Duration,
    samples: VecDeque<(Instant, EngineLoad)>,
}

impl LaggingLoad {
    pub(crate) fn new(lag: Duration) -> Self {
        Self {
            lag,
            samples: VecDeque::new(),
        }
    }

    /// Samples the current load and returns the newest sample that is at least as old as the lag,
    /// or the oldest one if none is.
    pub(crate) fn report(&mut self, view: &UpstreamView, waiting: u32) -> EngineLoad {
        self.sample(view, waiting);
        while self.samples.len() > 1 && self.samples[1].0.elapsed() >= self.lag {
            self.samples.pop_front();
        }
        let Some((sampled_at, load)) = self.samples.front() else {
            return EngineLoad::default();
        };
        EngineLoad {
            age_ms: sampled_at.elapsed().as_millis() as u32,
            ..*load
        }
    }

    /// Samples the current load, unless the last sample is younger than [`SAMPLE_INTERVAL`].
    pub(crate) fn sample(&mut self, view: &UpstreamView, waiting: u32) {
        let fresh =
            |(sampled_at, _): &(Instant, EngineLoad)| sampled_at.elapsed() < SAMPLE_INTERVAL;
        if self.samples.back().is_some_and(fresh) {
            return;
        }
        let load = EngineLoad {
            in_flight: view.in_flight,
            waiting,
            cold: view.state == HealthState::Cold,
            age_ms: 0,
            limit_per_s: None,
        };
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((Instant::now(), load));
    }
}
