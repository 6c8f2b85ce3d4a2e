//! Service at three times the capacity.

use std::time::Duration;

use async_trait::async_trait;
use oriole_types::prelude::*;

use crate::prelude::*;
use crate::service::outcome::{FinishedRequest, is_completed, is_refused};
use crate::service::{Candidate, Outcomes, Setup, run};

/// Offered load as a multiple of the capacity.
const OFFERED_LOAD_FACTOR: f64 = 3.0;

/// Default length of the measured part.
const DEFAULT_DURATION: Duration = Duration::from_secs(20);

/// Offers three times the capacity to a fleet of today's size.
pub struct Overload;

#[async_trait]
impl Experiment for Overload {
    fn name(&self) -> &'static str {
        "overload"
    }

    fn about(&self) -> &'static str {
        "goodput, refusals and the high class at 3 times the capacity"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        let measured = options.duration_or(DEFAULT_DURATION);
        let mut setup = Setup {
            seed: options.seed,
            measured,
            ..Setup::default()
        };
        setup.set_offered_load(setup.capacity() * OFFERED_LOAD_FACTOR);
        let mut report = Report::default();
        for candidate in Candidate::ALL {
            let outcomes = run(&setup, candidate);
            figures(&mut report, candidate.prefix(), &setup, &outcomes);
        }
        report
            .bound("goodput_share", Limit::AtLeast(0.95))
            .bound("refusal_p99_ms", Limit::AtMost(20.0))
            .bound("high_completed_share", Limit::AtLeast(0.999))
            .bound("attempts_ratio", Limit::AtMost(1.1));
        Ok(report)
    }
}

fn figures(report: &mut Report, prefix: &str, setup: &Setup, outcomes: &Outcomes) {
    let completed = outcomes.count(is_completed) as f64 / setup.measured.as_secs_f64();
    let high = |e: &FinishedRequest| e.priority == Priority::High;
    let low = |e: &FinishedRequest| e.priority == Priority::Low;
    let mut add = |name: &str, value: f64| {
        report.figure(&format!("{prefix}{name}"), value);
    };
    add("goodput_share", completed / setup.capacity());
    add("refusal_p99_ms", outcomes.latency_ms(0.99, is_refused));
    add("refusal_max_ms", outcomes.latency_ms(1.0, is_refused));
    add("high_completed_share", outcomes.share(high, is_completed));
    add(
        "high_p99_ms",
        outcomes.latency_ms(0.99, |e| high(e) && is_completed(e)),
    );
    add("low_completed_share", outcomes.share(low, is_completed));
    add("p99_ms", outcomes.latency_ms(0.99, is_completed));
    add("attempts_ratio", outcomes.attempts_ratio());
}
