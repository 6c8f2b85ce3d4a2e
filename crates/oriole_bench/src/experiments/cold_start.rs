//! Load on cold engines with admission by agents and by the entries' estimates.
//!
//! Engines behind real loopback connections start cold; later two turn cold without notice and one
//! crashes, while many entries send load that ramps up and then stays constant. The two candidates
//! run one after the other so that they do not compete for the machine.

mod agent;
mod load;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use oriole_standins::prelude::*;
use oriole_types::prelude::*;
use tokio::time::Instant;

use self::agent::Agent;
use self::load::{Estimates, Tally, Target};
use crate::prelude::*;

const ENGINES: usize = 6;
const ENTRIES: usize = 18;
pub(super) const COLD_CONCURRENCY: u32 = 2;
pub(super) const WARM_CONCURRENCY: u32 = 16;
const TOKENS: u32 = 24;
const TOKEN_TIME: Duration = Duration::from_millis(5);
const PREFILL_TIME: Duration = Duration::from_millis(20);
/// Constant load in requests per second: half the capacity of the warm engines.
const REQUESTS_PER_S: f64 = 280.0;
/// Time in which the load ramps up.
pub(super) const RAMP: Duration = Duration::from_secs(4);
const DEFAULT_DURATION: Duration = Duration::from_secs(18);
/// Points of the run, as shares of its length, at which one engine each turns cold.
const TURN_COLD_AT: [f64; 2] = [0.4, 0.5];
/// Point of the run, as a share of its length, at which an engine crashes.
const CRASH_AT: f64 = 0.6;
/// Requests allowed above the limit of a cold engine.
const MAX_COLD_OVERLOAD: f64 = 0.0;

/// Compares admission by agents with admission by the entries' estimates on cold engines.
pub struct ColdStart;

#[async_trait]
impl Experiment for ColdStart {
    fn name(&self) -> &'static str {
        "cold-start"
    }

    fn about(&self) -> &'static str {
        "requests above what cold engines bear, at the agent and by entries' estimates"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        let duration = options.duration_or(DEFAULT_DURATION);
        let seed = options.seed;
        let agents = run_with_agents(duration, seed).await?;
        let estimates = run_with_estimates(duration, seed).await?;
        let mut report = Report::default();
        add_figures(&mut report, "", &agents);
        add_figures(&mut report, "_estimates", &estimates);
        report.bound("cold_overload", Limit::AtMost(MAX_COLD_OVERLOAD));
        Ok(report)
    }
}

/// Result of one candidate.
struct Outcome {
    views: Vec<UpstreamView>,
    /// Time until all engines were warm; `None` if they were not before the first fault.
    warm_after: Option<Duration>,
    tally: Tally,
}

async fn run_with_agents(duration: Duration, seed: u64) -> eyre::Result<Outcome> {
    let engines = start_engines().await?;
    let agents: Vec<_> = engines.iter().map(|e| Agent::spawn(e.addr())).collect();
    let entries = load::run_entries(ENTRIES, REQUESTS_PER_S, duration, seed, agents.clone());
    let outcome = run_with_faults(&engines, duration, entries).await;
    agents.iter().for_each(|a| a.stop());
    outcome
}

async fn run_with_estimates(duration: Duration, seed: u64) -> eyre::Result<Outcome> {
    let engines = start_engines().await?;
    let shared: Vec<_> = engines.iter().map(|e| Estimates::spawn(e.addr())).collect();
    let entries = load::run_entries(ENTRIES, REQUESTS_PER_S, duration, seed, shared.clone());
    let outcome = run_with_faults(&engines, duration, entries).await;
    shared.iter().for_each(|s| s.stop());
    outcome
}

async fn start_engines() -> eyre::Result<Vec<Arc<Engine>>> {
    let mut engines = Vec::new();
    for n in 0..ENGINES {
        let health = HealthConfig {
            name: VmName::new(&format!("engine-{n}")),
            initial: HealthState::Cold,
            cold_concurrency: COLD_CONCURRENCY,
            warm_up_requests: 6,
            ..HealthConfig::default()
        };
        let cfg = EngineConfig {
            health,
            slots: WARM_CONCURRENCY,
            prefill_time: PREFILL_TIME,
            token_time: TOKEN_TIME,
            ..EngineConfig::default()
        };
        engines.push(Arc::new(Engine::bind(cfg).await?));
    }
    Ok(engines)
}

/// Injects the faults and waits for the load to end.
async fn run_with_faults(
    engines: &[Arc<Engine>],
    duration: Duration,
    load: impl Future<Output = Tally>,
) -> eyre::Result<Outcome> {
    let faults = async {
        let start = Instant::now();
        let warm_after = time_until_warm(engines, start + duration.mul_f64(TURN_COLD_AT[0])).await;
        for (n, part) in TURN_COLD_AT.iter().enumerate() {
            tokio::time::sleep_until(start + duration.mul_f64(*part)).await;
            engines[n].set_state(HealthState::Cold);
        }
        tokio::time::sleep_until(start + duration.mul_f64(CRASH_AT)).await;
        engines[TURN_COLD_AT.len()].set_state(HealthState::Crash);
        warm_after
    };
    let (warm_after, tally) = tokio::join!(faults, load);
    let views = engines.iter().map(|e| e.view()).collect();
    for engine in engines {
        engine.shutdown().await;
    }
    Ok(Outcome {
        views,
        warm_after,
        tally,
    })
}

async fn time_until_warm(engines: &[Arc<Engine>], until: Instant) -> Option<Duration> {
    let start = Instant::now();
    while Instant::now() < until {
        if engines.iter().all(|e| e.view().state == HealthState::Ok) {
            return Some(start.elapsed());
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    None
}

fn add_figures(report: &mut Report, suffix: &str, outcome: &Outcome) {
    let sum = |f: fn(&UpstreamView) -> u64| outcome.views.iter().map(f).sum::<u64>() as f64;
    let max_in_flight = outcome.views.iter().map(|v| v.max_in_flight_cold).max();
    let warm_after = outcome.warm_after.map_or(f64::NAN, |d| d.as_secs_f64());
    let tally = &outcome.tally;
    let mut figure = |name: &str, value: f64| {
        // Leave out missing values, such as the warm-up time of engines that never got warm.
        if value.is_finite() {
            report.figure(&format!("{name}{suffix}"), value);
        }
    };
    figure("cold_overload", sum(|v| v.cold_overload));
    figure("crashes", sum(|v| v.crashes));
    figure("max_in_flight_cold", f64::from(max_in_flight.unwrap_or(0)));
    figure("all_warm_after_s", warm_after);
    figure("completed_share", tally.completed_share());
    figure("lost_attempts", tally.lost as f64);
    figure(
        "refusals_per_request",
        tally.refused as f64 / tally.offered.max(1) as f64,
    );
    figure("p50_ms", tally.quantile_ms(0.5));
    figure("p99_ms", tally.quantile_ms(0.99));
}
