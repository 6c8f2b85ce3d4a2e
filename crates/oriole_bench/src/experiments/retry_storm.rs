//! Attempts per request while a third of the upstreams fail.

use std::time::Duration;

use async_trait::async_trait;

use crate::prelude::*;
use crate::service::outcome::is_completed;
use crate::service::{Candidate, Fault, Outcomes, Setup, run};

/// Offered load as a share of the capacity.
const OFFERED_SHARE: f64 = 0.5;

/// Every third upstream fails.
const FAILING_UPSTREAM_STRIDE: usize = 3;

/// Default length of the measured part; the upstreams fail throughout.
const DEFAULT_DURATION: Duration = Duration::from_secs(20);

/// Makes a third of the upstreams fail every request.
pub struct RetryStorm;

#[async_trait]
impl Experiment for RetryStorm {
    fn name(&self) -> &'static str {
        "retry-storm"
    }

    fn about(&self) -> &'static str {
        "attempts a request while a third of the upstreams fail"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        let measured = options.duration_or(DEFAULT_DURATION);
        let mut setup = Setup {
            seed: options.seed,
            measured,
            ..Setup::default()
        };
        setup.set_offered_load(setup.capacity() * OFFERED_SHARE);
        let failing = (0..setup.upstreams).filter(|i| i % FAILING_UPSTREAM_STRIDE == 0);
        let from = setup.warm_up;
        setup.faults = failing.map(|i| (from, Fault::Failing(i, true))).collect();
        let mut report = Report::default();
        for candidate in Candidate::ALL {
            let outcomes = run(&setup, candidate);
            figures(&mut report, candidate.prefix(), &outcomes);
        }
        report.bound("attempts_ratio", Limit::AtMost(1.1));
        Ok(report)
    }
}

fn figures(report: &mut Report, prefix: &str, outcomes: &Outcomes) {
    let mut add = |name: &str, value: f64| {
        report.figure(&format!("{prefix}{name}"), value);
    };
    add("attempts_ratio", outcomes.attempts_ratio());
    add("completed_share", outcomes.share(|_| true, is_completed));
    add("p99_ms", outcomes.latency_ms(0.99, is_completed));
}
