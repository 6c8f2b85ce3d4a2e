//! A ten-minute outage of the store: the share of requests served, and whether any run twice.

use std::time::Duration;

use async_trait::async_trait;
use oriole_claims::call::CallStep;
use oriole_store::memory::StoreFault;
use oriole_types::ids::IdempotencyKey;
use tokio::time::{Instant, sleep_until};

use super::claims_fleet::{AGENTS, ClaimScheme, Fleet, PARTITIONS, run_with_paused_clock};
use crate::experiment::{Experiment, RunOptions};
use crate::report::{Limit, Report};

/// New keys per second.
const KEYS_PER_S: f64 = 100.0;
/// Time before the outage.
const BEFORE: Duration = Duration::from_secs(20);
/// First part of the outage, in which writes take effect but their answers are lost.
const LOST_ANSWERS_PHASE: Duration = Duration::from_secs(5);
/// Length of the outage.
const OUTAGE: Duration = Duration::from_secs(600);
/// Time after the outage.
const AFTER: Duration = Duration::from_secs(20);
/// Time between two crashes of an agent during the outage.
const KILL_INTERVAL: Duration = Duration::from_secs(120);
/// Share of new keys whose caller also repeats an earlier key.
const REPEAT_SHARE: f64 = 0.2;

/// Claims during a long store outage.
pub struct StoreOutage;

#[async_trait]
impl Experiment for StoreOutage {
    fn name(&self) -> &'static str {
        "store-outage"
    }

    fn about(&self) -> &'static str {
        "ten minutes without the store: share served, doubles and false refusals"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        let outage = options.duration_or(OUTAGE);
        let seed = options.seed;
        let mut report = Report::default();
        for (name, scheme) in [
            ("cas", ClaimScheme::Cas),
            ("opaque", ClaimScheme::Grouped(PARTITIONS)),
            ("tickets", ClaimScheme::Tickets),
        ] {
            let counts = run_with_paused_clock(move || simulate(scheme, seed, outage)).await?;
            counts.report(name, &mut report);
        }
        summarize(&mut report);
        Ok(report)
    }
}

/// Counts of the keys of one claim scheme.
#[derive(Debug, Default)]
struct Counts {
    sent: u64,
    served: u64,
    /// Unserved keys whose home crashed meanwhile.
    home_lost: u64,
    repeated: u64,
    replayed: u64,
    served_after: f64,
    doubles: u64,
    false_not_run: u64,
}

impl Counts {
    fn report(&self, name: &str, report: &mut Report) {
        let share = self.served as f64 / self.sent as f64;
        let replayed = self.replayed as f64 / self.repeated as f64;
        report
            .figure(&format!("{name}_served_share_in_outage"), share)
            .figure(&format!("{name}_replayed_share_in_outage"), replayed)
            .figure(&format!("{name}_sent_in_outage"), self.sent as f64)
            .figure(&format!("{name}_home_died"), self.home_lost as f64)
            .figure(&format!("{name}_served_share_after"), self.served_after)
            .figure(&format!("{name}_doubles"), self.doubles as f64)
            .figure(&format!("{name}_false_not_run"), self.false_not_run as f64);
    }
}

fn summarize(report: &mut Report) {
    let sum_of_schemes = |r: &Report, figure: &str| {
        r.figures[&format!("opaque_{figure}")] + r.figures[&format!("tickets_{figure}")]
    };
    let (doubles, false_not_run) = (
        sum_of_schemes(report, "doubles"),
        sum_of_schemes(report, "false_not_run"),
    );
    let served = report.figures["tickets_served_share_in_outage"];
    report
        .figure("doubles", doubles)
        .figure("false_not_run", false_not_run)
        .figure("served_share_in_outage", served)
        .bound("doubles", Limit::AtMost(0.0))
        .bound("false_not_run", Limit::AtMost(0.0))
        .bound("served_share_in_outage", Limit::AtLeast(1.0));
}

/// Result of one caller.
struct CallerResult {
    sent: Duration,
    served: bool,
    home_survived: bool,
    /// Whether the repeated key got its answer; `None` if none was repeated.
    repeat: Option<bool>,
}

async fn simulate(scheme: ClaimScheme, seed: u64, outage: Duration) -> Counts {
    let fleet = Fleet::spawn(scheme, seed);
    let start = Instant::now();
    let gap = Duration::from_secs_f64(1.0 / KEYS_PER_S);
    let mut callers = Vec::new();
    let mut results: Vec<CallerResult> = Vec::new();
    let mut earlier_keys: Vec<IdempotencyKey> = Vec::new();
    let mut next_kill = BEFORE + KILL_INTERVAL;
    for n in 0.. {
        let at = gap * n;
        if at >= BEFORE + outage + AFTER {
            break;
        }
        sleep_until(start + at).await;
        fleet.store.inner.set_fault(fault_at(at, outage));
        if at >= next_kill && at < BEFORE + outage {
            next_kill += KILL_INTERVAL;
            fleet.kill(fleet.random_below(AGENTS));
        }
        let repeat =
            (at < BEFORE + outage && !earlier_keys.is_empty() && fleet.chance(REPEAT_SHARE))
                .then(|| earlier_keys[fleet.random_below(earlier_keys.len())].clone());
        let key = fleet.key(u64::from(n));
        if at < BEFORE {
            earlier_keys.push(key.clone());
        }
        callers.push(tokio::spawn(run_caller(fleet.clone(), key, at, repeat)));
    }
    for caller in callers {
        // If a panic were ignored, its request would be missing from the figures.
        results.push(caller.await.expect("a caller ends"));
    }
    count(&fleet, &results, outage)
}

fn fault_at(at: Duration, outage: Duration) -> StoreFault {
    if at < BEFORE || at >= BEFORE + outage {
        StoreFault::Up
    } else if at < BEFORE + LOST_ANSWERS_PHASE.min(outage) {
        StoreFault::LoseAnswers
    } else {
        StoreFault::Down
    }
}

async fn run_caller(
    fleet: Fleet,
    key: IdempotencyKey,
    sent: Duration,
    repeat: Option<IdempotencyKey>,
) -> CallerResult {
    let answered = |end| matches!(end, CallStep::Answer(_));
    let served = answered(fleet.call(&key).await);
    let mut replayed = None;
    if let Some(key) = repeat {
        replayed = Some(answered(fleet.call(&key).await));
    }
    CallerResult {
        home_survived: fleet.is_home_running(&key),
        sent,
        served,
        repeat: replayed,
    }
}

fn count(fleet: &Fleet, results: &[CallerResult], outage: Duration) -> Counts {
    let in_outage =
        |s: &&CallerResult| s.sent >= BEFORE + LOST_ANSWERS_PHASE && s.sent < BEFORE + outage;
    let during: Vec<&CallerResult> = results.iter().filter(in_outage).collect();
    let counted: Vec<&&CallerResult> = during
        .iter()
        .filter(|s| s.home_survived || s.served)
        .collect();
    // Homes need a few seconds to reconnect to the store.
    let settled = BEFORE + outage + AFTER / 2;
    let after: Vec<&CallerResult> = results.iter().filter(|s| s.sent >= settled).collect();
    let after_served = after.iter().filter(|s| s.served).count();
    let ledger = fleet.ledger();
    let repeats: Vec<bool> = during.iter().filter_map(|s| s.repeat).collect();
    Counts {
        sent: counted.len() as u64,
        served: counted.iter().filter(|s| s.served).count() as u64,
        home_lost: (during.len() - counted.len()) as u64,
        repeated: repeats.len() as u64,
        replayed: repeats.iter().filter(|r| **r).count() as u64,
        served_after: after_served as f64 / after.len() as f64,
        doubles: ledger.doubles(),
        false_not_run: ledger.false_not_run(),
    }
}
