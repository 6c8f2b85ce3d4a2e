//! At-most-once execution: runs, store writes, added latency and memory of three claim schemes.

use std::time::Duration;

use async_trait::async_trait;
use oriole_store::memory::WriteFault;
use tokio::time::{Instant, sleep_until};

use super::claims_fleet::{AGENTS, ClaimScheme, Fleet, PARTITIONS, run_with_paused_clock};
use super::claims_history;
use crate::experiment::{Experiment, RunOptions};
use crate::report::{Limit, Report};

/// Requests per second of the full-size fleet.
const REQUESTS_PER_S: f64 = 1_400.0;
/// Share of requests that must not run twice.
const NOT_IDEMPOTENT_SHARE: f64 = 0.2;
/// Share of keys that are sent twice at the same time.
const DUPLICATE_SHARE: f64 = 0.1;
/// Share of keys that are sent again after their first request has ended.
const REPEAT_SHARE: f64 = 0.1;
/// Share of new keys at which the next store write loses its answer.
const LOST_ANSWER_SHARE: f64 = 0.01;
/// Time between two crashes of an agent.
const KILL_INTERVAL: Duration = Duration::from_secs(20);
/// Partitions of the variant that trades an even spread over homes for latency.
const FEW_PARTITIONS: u32 = 4;
/// Length of the simulation.
const DURATION: Duration = Duration::from_secs(120);
/// Writes per second allowed at the store.
const MAX_WRITES_PER_S: f64 = 100.0;
/// Control traffic allowed per daemon, in bytes per second.
const MAX_CONTROL_BYTES_PER_S: f64 = 15_000.0;
/// Processor time allowed per daemon for control, as a share of a core.
const MAX_CONTROL_CORE_SHARE: f64 = 0.037;
/// Memory allowed per daemon for control, in bytes.
const MAX_CONTROL_MEMORY_BYTES: f64 = 256e6;

/// At-most-once execution under crashes and lost store answers.
pub struct Claims;

#[async_trait]
impl Experiment for Claims {
    fn name(&self) -> &'static str {
        "claims"
    }

    fn about(&self) -> &'static str {
        "at most once under kills and lost answers: one CAS a request, group commit, tickets"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        let mut report = Report::default();
        // This runs first: memory that the process has freed would hide the home's growth.
        claims_history::measure(&mut report)?;
        let duration = options.duration_or(DURATION);
        for (name, scheme) in [
            ("cas", ClaimScheme::Cas),
            ("grouped", ClaimScheme::Grouped(PARTITIONS)),
            ("grouped_4", ClaimScheme::Grouped(FEW_PARTITIONS)),
            ("tickets", ClaimScheme::Tickets),
        ] {
            let seed = options.seed;
            let simulate = move || simulate(scheme, seed, duration);
            let figures = run_with_paused_clock(simulate).await?;
            for (figure, value) in figures {
                report.figure(&format!("{name}_{figure}"), value);
            }
        }
        summarize(&mut report);
        Ok(report)
    }
}

fn summarize(report: &mut Report) {
    let sum_of_schemes = |r: &Report, figure: &str| -> f64 {
        let figure_of = |name: &&str| r.figures[&format!("{name}_{figure}")];
        ["grouped", "grouped_4", "tickets"]
            .iter()
            .map(figure_of)
            .sum()
    };
    let (doubles, false_not_run) = (
        sum_of_schemes(report, "doubles"),
        sum_of_schemes(report, "false_not_run"),
    );
    let writes = report.figures["grouped_store_writes_per_s"];
    report
        .figure("doubles", doubles)
        .figure("false_not_run", false_not_run)
        .figure("store_writes_per_s", writes)
        .bound("doubles", Limit::AtMost(0.0))
        .bound("false_not_run", Limit::AtMost(0.0))
        .bound("store_writes_per_s", Limit::AtMost(MAX_WRITES_PER_S))
        .bound(
            "tickets_store_writes_per_s",
            Limit::AtMost(MAX_WRITES_PER_S),
        )
        .bound(
            "grouped_store_bytes_per_s_per_home",
            Limit::AtMost(MAX_CONTROL_BYTES_PER_S),
        )
        .bound("history_core_share", Limit::AtMost(MAX_CONTROL_CORE_SHARE))
        .bound(
            "history_home_bytes",
            Limit::AtMost(MAX_CONTROL_MEMORY_BYTES),
        );
}

async fn simulate(scheme: ClaimScheme, seed: u64, duration: Duration) -> Vec<(&'static str, f64)> {
    let fleet = Fleet::spawn(scheme, seed);
    let start = Instant::now();
    let gap = Duration::from_secs_f64(1.0 / (REQUESTS_PER_S * NOT_IDEMPOTENT_SHARE));
    let mut callers = Vec::new();
    let mut next_kill = KILL_INTERVAL;
    for n in 0.. {
        let at = gap * n;
        if at >= duration {
            break;
        }
        sleep_until(start + at).await;
        if at >= next_kill {
            next_kill += KILL_INTERVAL;
            fleet.kill(fleet.random_below(AGENTS));
        }
        if scheme != ClaimScheme::Tickets && fleet.chance(LOST_ANSWER_SHARE) {
            fleet.store.inner.queue_write_fault(WriteFault::LoseAnswer);
        }
        callers.push(tokio::spawn(send_key(fleet.clone(), u64::from(n))));
    }
    for caller in callers {
        // If a panic were ignored, its run would be missing from the figures.
        caller.await.expect("a caller ends");
    }
    figures(&fleet, duration)
}

async fn send_key(fleet: Fleet, n: u64) {
    let key = fleet.key(n);
    if fleet.chance(DUPLICATE_SHARE) {
        tokio::join!(fleet.call(&key), fleet.call(&key));
    } else {
        fleet.call(&key).await;
    }
    if fleet.chance(REPEAT_SHARE) {
        fleet.call(&key).await;
    }
}

fn figures(fleet: &Fleet, duration: Duration) -> Vec<(&'static str, f64)> {
    let ledger = fleet.ledger();
    let seconds = duration.as_secs_f64();
    let counts = fleet.store.inner.counts();
    let bytes = fleet.store.bytes.load(std::sync::atomic::Ordering::Relaxed);
    let refused: u64 = ledger
        .reasons
        .iter()
        .filter(|(name, _)| name.starts_with("not_run"))
        .map(|(_, n)| n)
        .sum();
    vec![
        ("doubles", ledger.doubles() as f64),
        ("false_not_run", ledger.false_not_run() as f64),
        ("runs", ledger.runs() as f64),
        ("answered", ledger.answered as f64),
        ("unknown", ledger.unknown as f64),
        ("not_run", refused as f64),
        ("store_writes_per_s", counts.writes as f64 / seconds),
        ("store_reads_per_s", counts.reads as f64 / seconds),
        (
            "store_bytes_per_s_per_home",
            bytes as f64 / seconds / AGENTS as f64,
        ),
        ("added_p50_ms", ledger.added_ms(0.5)),
        ("added_p99_ms", ledger.added_ms(0.99)),
    ]
}
