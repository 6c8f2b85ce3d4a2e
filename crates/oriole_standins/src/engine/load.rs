//! Load reports that lag behind the truth.

use std::collections::VecDeque;
use std::time::Duration;

use oriole_types::domain_type;
use tokio::time::Instant;

use crate::health::{HealthState, UpstreamView};

/// Shortest time between two samples.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(10);
/// Samples kept while nobody reads them.
const MAX_SAMPLES: usize = 1024;

domain_type! {
    /// Answer of `GET /v1/load`.
    #[derive(Copy, Default)]
    pub struct EngineLoad {
        /// Requests in flight when the report was made.
        pub in_flight: u32,
        /// Requests that waited for a slot.
        pub waiting: u32,
        /// Whether the engine was in cold start.
        pub cold: bool,
        /// Age of the report, in milliseconds.
        pub age_ms: u32,
    }
}

/// Samples of the load; readers get one that is as old as the lag.
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

    /// Notes the load now and returns the newest report that is as old as the lag.
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

    /// Notes the load now, unless a sample is fresh.
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
        };
        if self.samples.len() == MAX_SAMPLES {
            self.samples.pop_front();
        }
        self.samples.push_back((Instant::now(), load));
    }
}
