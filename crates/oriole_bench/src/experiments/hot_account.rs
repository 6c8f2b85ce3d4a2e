//! Service of the other accounts while one sends far too many requests.

use std::time::Duration;

use async_trait::async_trait;

use crate::prelude::*;
use crate::service::outcome::{FinishedRequest, is_completed};
use crate::service::setup::unlimited;
use crate::service::{Candidate, Outcomes, Setup, Traffic, run};

/// Load of the other accounts as a share of the capacity.
const OTHERS_LOAD_SHARE: f64 = 0.6;

/// Load of the hot account as a multiple of the capacity.
const HOT_LOAD_FACTOR: f64 = 2.0;

/// Limit of the hot account as a share of the capacity.
const HOT_LIMIT_SHARE: f64 = 0.2;

/// Default length of the measured part.
const DEFAULT_DURATION: Duration = Duration::from_secs(20);

/// Compares the other accounts' service with and without the hot account, which sends either
/// distinct requests or the same one repeatedly. A third case sets its limit far above the
/// capacity to show the effect of the queues alone; it has no bounds.
pub struct HotAccount;

/// What the hot account sends, and whether its limit applies.
#[derive(Clone, Copy)]
struct Case {
    name: &'static str,
    one_key: bool,
    limited: bool,
}

const CASES: [Case; 3] = [
    Case {
        name: "",
        one_key: false,
        limited: true,
    },
    Case {
        name: "one_key_",
        one_key: true,
        limited: true,
    },
    Case {
        name: "no_limit_",
        one_key: true,
        limited: false,
    },
];

#[async_trait]
impl Experiment for HotAccount {
    fn name(&self) -> &'static str {
        "hot-account"
    }

    fn about(&self) -> &'static str {
        "service of all other accounts while one asks for twice the capacity"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        let measured = options.duration_or(DEFAULT_DURATION);
        let mut base = Setup {
            seed: options.seed,
            measured,
            ..Setup::default()
        };
        base.set_offered_load(base.capacity() * OTHERS_LOAD_SHARE);
        let mut report = Report::default();
        for candidate in Candidate::ALL {
            let without = run(&base, candidate);
            for case in CASES {
                let outcomes = run(&with_hot(&base, case), candidate);
                let prefix = format!("{}{}", candidate.prefix(), case.name);
                figures(&mut report, &prefix, &base, &outcomes, &without);
            }
        }
        for case in CASES.iter().filter(|c| c.limited) {
            report
                .bound(
                    &format!("{}others_p99_ratio", case.name),
                    Limit::AtMost(1.1),
                )
                .bound(
                    &format!("{}others_completed_share", case.name),
                    Limit::AtLeast(0.999),
                );
        }
        Ok(report)
    }
}

fn with_hot(base: &Setup, case: Case) -> Setup {
    let mut setup = base.clone();
    let mut limits = unlimited();
    if case.limited {
        limits.requests_per_s = (base.capacity() * HOT_LIMIT_SHARE) as u32;
        limits.burst = limits.requests_per_s / 10;
    }
    let requests_per_s = base.capacity() * HOT_LOAD_FACTOR;
    let (account, high_low) = ("hot".into(), (0.1, 0.3));
    setup.traffic.push(Traffic {
        account,
        requests_per_s,
        uses_ledgers: false,
        one_key: case.one_key,
        high_low,
        limits,
    });
    setup
}

fn figures(report: &mut Report, prefix: &str, base: &Setup, with: &Outcomes, without: &Outcomes) {
    let others = |e: &FinishedRequest| e.account < base.traffic.len();
    let p99 = |o: &Outcomes| o.latency_ms(0.99, |e| others(e) && is_completed(e));
    let mut add = |name: &str, value: f64| {
        report.figure(&format!("{prefix}{name}"), value);
    };
    add("others_p99_ratio", p99(with) / p99(without));
    add("others_completed_share", with.share(others, is_completed));
    add(
        "hot_completed_share",
        with.share(|e| !others(e), is_completed),
    );
}
