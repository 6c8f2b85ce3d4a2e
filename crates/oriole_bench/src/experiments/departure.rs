//! Service while a failure domain is drained and returns.

use std::time::Duration;

use async_trait::async_trait;
use oriole_types::prelude::*;

use crate::prelude::*;
use crate::service::outcome::{End, FinishedRequest, is_completed};
use crate::service::setup::unlimited;
use crate::service::{Candidate, Fault, Outcomes, Setup, Traffic, run};

/// Offered load as a share of the capacity of two failure domains.
const OFFERED_SHARE: f64 = 0.6;

/// Requests per second to the plain services.
const LEDGER_PER_S: f64 = 30.0;

/// Failure domain that is drained.
const DRAINED_DOMAIN: usize = 0;

/// Engine of another failure domain that turns cold without notice.
const COLD_ENGINE: usize = 1;

/// Entry of the third failure domain that crashes.
const CRASHED_ENTRY: usize = 2;

/// Fraction of its former share of new work at which a returned failure domain counts as
/// recovered.
const RECOVERED_SHARE: f64 = 0.8;

/// Time over which the share of new work is measured.
const SHARE_WINDOW: Duration = Duration::from_secs(2);

/// Default length of the measured part.
const DEFAULT_DURATION: Duration = Duration::from_secs(90);

/// Prefix of the figures and one-way network delay of each deployment.
const DEPLOYMENTS: [(&str, Duration); 2] = [
    ("", Duration::from_millis(1)),
    ("near_", Duration::from_micros(500)),
];

/// Drains a failure domain under constant load, turns an engine cold and crashes an entry
/// meanwhile, and returns the domain.
pub struct Departure;

/// Times of the faults.
#[derive(Clone, Copy)]
struct Times {
    drain: Duration,
    cold: Duration,
    crash: Duration,
    restore: Duration,
}

#[async_trait]
impl Experiment for Departure {
    fn name(&self) -> &'static str {
        "departure"
    }

    fn about(&self) -> &'static str {
        "service while a failure domain leaves and returns, an engine turns cold, an entry dies"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        let mut report = Report::default();
        for (deployment, one_way) in DEPLOYMENTS {
            let (setup, times) = setup(options, one_way);
            for (candidate, outcomes) in run_all(&setup)? {
                let prefix = format!("{}{deployment}", candidate.prefix());
                figures(&mut report, &prefix, &setup, times, &outcomes);
                report.curve(&prefix, domain_curve(&setup, &outcomes));
            }
            bounds(&mut report, deployment);
        }
        Ok(report)
    }
}

fn setup(options: &RunOptions, one_way: Duration) -> (Setup, Times) {
    let measured = options.duration_or(DEFAULT_DURATION);
    let mut setup = Setup {
        seed: options.seed,
        measured,
        one_way,
        ledgers: 3,
        engines: true,
        warm_up: Duration::from_secs(20),
        ..Setup::default()
    };
    let staying = (0..setup.upstreams)
        .filter(|i| setup.domain_of(*i) != DRAINED_DOMAIN)
        .count();
    setup.set_offered_load(setup.capacity_of(staying) * OFFERED_SHARE);
    setup.traffic.push(Traffic {
        account: "ledger".into(),
        requests_per_s: LEDGER_PER_S,
        uses_ledgers: true,
        one_key: false,
        high_low: (0.0, 0.0),
        limits: unlimited(),
    });
    let at = |part: f64| setup.warm_up + measured.mul_f64(part);
    let times = Times {
        drain: at(0.15),
        cold: at(0.3),
        crash: at(0.4),
        restore: at(0.5),
    };
    setup.faults = vec![
        (
            times.drain,
            Fault::Domain(DRAINED_DOMAIN, ServiceState::Drained),
        ),
        (times.cold, Fault::TurnCold(COLD_ENGINE)),
        (times.crash, Fault::EntryCrash(CRASHED_ENTRY)),
        (
            times.restore,
            Fault::Domain(DRAINED_DOMAIN, ServiceState::InService),
        ),
    ];
    (setup, times)
}

/// Runs all candidates in parallel.
fn run_all(setup: &Setup) -> eyre::Result<Vec<(Candidate, Outcomes)>> {
    std::thread::scope(|scope| {
        let start = |c| (c, scope.spawn(move || run(setup, c)));
        let runs: Vec<_> = Candidate::ALL.into_iter().map(start).collect();
        let join = |(c, run): (Candidate, std::thread::ScopedJoinHandle<'_, Outcomes>)| {
            Ok((
                c,
                run.join()
                    .map_err(|_| eyre::eyre!("a run of {c:?} panicked"))?,
            ))
        };
        runs.into_iter().map(join).collect()
    })
}

fn bounds(report: &mut Report, deployment: &str) {
    let mut bound = |name: &str, limit: Limit| {
        report.bound(&format!("{deployment}{name}"), limit);
    };
    bound("completed_share", Limit::AtLeast(0.999));
    bound("accepted_completed_share", Limit::AtLeast(1.0));
    bound("new_work_after_s", Limit::AtMost(3.0));
    bound("cold_overload", Limit::AtMost(0.0));
    bound("cut_streams", Limit::AtMost(0.0));
    bound("p99_ratio_to_steady", Limit::AtMost(1.5));
}

fn figures(report: &mut Report, prefix: &str, setup: &Setup, times: Times, outcomes: &Outcomes) {
    let p99 = |of: &dyn Fn(&FinishedRequest) -> bool| {
        outcomes.latency_ms(0.99, |e| is_answered(e) && is_engine(setup, e) && of(e))
    };
    let steady = p99(&|e| e.sent < times.drain);
    let disturbed = p99(&|e| e.sent >= times.drain);
    let mut add = |name: &str, value: f64| {
        report.figure(&format!("{prefix}{name}"), value);
    };
    add("completed_share", outcomes.share(|_| true, is_completed));
    add(
        "accepted_completed_share",
        outcomes.share(|e| e.accepted, is_answered),
    );
    add(
        "late_share",
        outcomes.share(|_| true, |e| e.end == End::Late),
    );
    add("steady_p99_ms", steady);
    add("p99_ratio_to_steady", disturbed / steady);
    add("new_work_after_s", new_work_after_s(times, outcomes));
    add("cold_overload", outcomes.cold_overload as f64);
    add("cut_streams", outcomes.cut_attempts as f64);
    add("recovered_after_s", recovered_after_s(times, outcomes));
    add("attempts_ratio", outcomes.attempts_ratio());
}

fn is_answered(e: &FinishedRequest) -> bool {
    matches!(e.end, End::Completed | End::Late)
}

fn is_engine(setup: &Setup, e: &FinishedRequest) -> bool {
    !setup.traffic[e.account].uses_ledgers
}

/// Returns the time from the drain to the last new work in the failure domain.
fn new_work_after_s(times: Times, outcomes: &Outcomes) -> f64 {
    let last = outcomes
        .started
        .iter()
        .filter(|(at, domain)| *domain == DRAINED_DOMAIN && *at < times.restore)
        .map(|(at, _)| *at)
        .max();
    last.map_or(0.0, |at| at.saturating_sub(times.drain).as_secs_f64())
}

/// Returns the time from the return until the failure domain has [`RECOVERED_SHARE`] of its former
/// share of new work, or until the end of the run if it never has.
fn recovered_after_s(times: Times, outcomes: &Outcomes) -> f64 {
    let before = share_of_domain(outcomes, times.drain - SHARE_WINDOW * 4, SHARE_WINDOW * 4);
    let step = Duration::from_millis(250);
    let mut from = times.restore;
    let end = outcomes.started.last().map_or(from, |(at, _)| *at);
    while from + SHARE_WINDOW < end {
        if share_of_domain(outcomes, from, SHARE_WINDOW) >= before * RECOVERED_SHARE {
            return (from + SHARE_WINDOW)
                .saturating_sub(times.restore)
                .as_secs_f64();
        }
        from += step;
    }
    end.saturating_sub(times.restore).as_secs_f64()
}

/// Returns the share of new work that went to the failure domain.
fn share_of_domain(outcomes: &Outcomes, from: Duration, window: Duration) -> f64 {
    let within = outcomes
        .started
        .iter()
        .filter(|(at, _)| *at >= from && *at < from + window);
    let (mut all, mut in_domain) = (0_u32, 0_u32);
    for (_, domain) in within {
        all += 1;
        in_domain += u32::from(*domain == DRAINED_DOMAIN);
    }
    f64::from(in_domain) / f64::from(all.max(1))
}

/// Returns the new work per second in the failure domain over time.
fn domain_curve(setup: &Setup, outcomes: &Outcomes) -> Vec<(f64, f64)> {
    let seconds = setup.end().as_secs();
    let mut counts = vec![0_u32; seconds as usize + 1];
    for (at, _) in outcomes
        .started
        .iter()
        .filter(|(_, domain)| *domain == DRAINED_DOMAIN)
    {
        if let Some(count) = counts.get_mut(at.as_secs() as usize) {
            *count += 1;
        }
    }
    counts
        .iter()
        .enumerate()
        .map(|(s, n)| (s as f64, f64::from(*n)))
        .collect()
}
