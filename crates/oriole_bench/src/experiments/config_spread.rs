//! Time until an accepted configuration is in force everywhere, and its cost at the store.

use std::time::Duration;

use async_trait::async_trait;
use tokio::time::{Instant, sleep};

use super::config_baseline::BaselineFleet;
use super::config_fleet::{
    ConfigFleet, DESIGN_SIZE, FleetSize, PeerState, STORE_READS_PER_S, STORE_WRITES_PER_S,
    StoreMeter, StoreRates, TODAY_SIZE,
};
use crate::prelude::*;

/// Longest time until a revision is in force everywhere, at today's size and at the design size.
const MAX_IN_FORCE_S: [f64; 2] = [3.0, 9.0];
/// Share of the store's rates that the configuration may use.
const MAX_STORE_SHARE: f64 = 0.1;
/// Control traffic allowed per daemon, in bytes per second.
const MAX_CONTROL_BYTES_PER_S: f64 = 15_000.0;
/// Longest wait for a revision to be in force everywhere.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(12);
/// Pause between two changes.
const CHANGE_PAUSE: Duration = Duration::from_millis(500);
/// Processes restarted before each change while faults are on.
const RESTARTS: usize = 8;

/// Distribution of configuration changes, with and without faults.
pub struct ConfigSpread;

/// Figures of one fleet.
#[derive(Default)]
struct Figures {
    start_s: f64,
    healthy: Vec<f64>,
    faulty: Vec<f64>,
    rates: StoreRates,
    idle: StoreRates,
    bytes_mean_per_s: f64,
    bytes_max_per_s: f64,
    reverted: u64,
}

#[async_trait]
impl Experiment for ConfigSpread {
    fn name(&self) -> &'static str {
        "config-spread"
    }

    fn about(&self) -> &'static str {
        "time until an accepted configuration is in force everywhere, and its store calls"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        let length = options.duration_or(Duration::from_secs(10));
        let mut report = Report::default();
        for (size, bound) in [TODAY_SIZE, DESIGN_SIZE].into_iter().zip(MAX_IN_FORCE_S) {
            let f = measure_relayed(size, length / 2, options.seed).await?;
            add_figures(&mut report, &size, &f, bound);
        }
        measure_baseline(&mut report, length / 2).await;
        Ok(report)
    }
}

fn add_figures(report: &mut Report, size: &FleetSize, f: &Figures, max_in_force_s: f64) {
    let name = |figure: &str| format!("{figure}_at_{}", size.processes);
    let slowest = worst(&f.healthy).max(worst(&f.faulty));
    let reads = f64::from(STORE_READS_PER_S) * MAX_STORE_SHARE;
    let writes = f64::from(STORE_WRITES_PER_S) * MAX_STORE_SHARE;
    report
        .figure(&name("in_force_max_s"), slowest)
        .bound(&name("in_force_max_s"), Limit::AtMost(max_in_force_s))
        .figure(&name("in_force_max_healthy_s"), worst(&f.healthy))
        .figure(&name("store_reads_peak_per_s"), f.rates.reads_peak_per_s)
        .bound(&name("store_reads_peak_per_s"), Limit::AtMost(reads))
        .figure(&name("store_reads_per_s"), f.rates.reads_per_s)
        .figure(&name("store_reads_idle_per_s"), f.idle.reads_per_s)
        .figure(&name("store_writes_per_s"), f.rates.writes_per_s)
        .bound(&name("store_writes_per_s"), Limit::AtMost(writes))
        .figure(&name("control_bytes_mean_per_s"), f.bytes_mean_per_s)
        .figure(&name("control_bytes_idle_max_per_s"), f.bytes_max_per_s)
        .bound(
            &name("control_bytes_idle_max_per_s"),
            Limit::AtMost(MAX_CONTROL_BYTES_PER_S),
        )
        .figure(&name("start_all_s"), f.start_s)
        .figure(&name("reverted"), f.reverted as f64)
        .bound(&name("reverted"), Limit::AtMost(0.0));
    let times = f.healthy.iter().chain(&f.faulty);
    let points = times.enumerate().map(|(i, s)| (i as f64, *s));
    report.curve(&name("in force, s"), points.collect());
}

fn worst(times: &[f64]) -> f64 {
    times.iter().copied().fold(0.0, f64::max)
}

/// Measures the fleet with relays: idle, then during changes, then during changes with faults.
async fn measure_relayed(size: FleetSize, phase: Duration, seed: u64) -> eyre::Result<Figures> {
    let mut fleet = ConfigFleet::new(size, seed);
    let mut f = Figures {
        start_s: measure_start(&mut fleet).await?,
        ..Figures::default()
    };
    sleep(Duration::from_secs(2)).await;
    fleet.take_bytes();
    let meter = StoreMeter::begin(&fleet.store);
    sleep(phase / 2).await;
    f.idle = meter.end();
    let seconds = (phase / 2).as_secs_f64();
    f.bytes_max_per_s = fleet.take_bytes().1 / seconds;

    let started_at = Instant::now();
    let meter = StoreMeter::begin(&fleet.store);
    f.healthy = measure_changes(&mut fleet, phase, 0).await?;
    break_relays(&mut fleet);
    f.faulty = measure_changes(&mut fleet, phase, RESTARTS).await?;
    f.rates = meter.end();
    f.bytes_mean_per_s = fleet.take_bytes().0 / started_at.elapsed().as_secs_f64();
    f.reverted = fleet.reverted();
    Ok(f)
}

/// Measures the baseline: every process watches the store.
async fn measure_baseline(report: &mut Report, phase: Duration) {
    let fleet = BaselineFleet::start(DESIGN_SIZE).await;
    let start_s = fleet.time_until_all_hold(1, IN_FORCE_TIMEOUT).await;
    sleep(Duration::from_secs(1)).await;
    let meter = StoreMeter::begin(&fleet.store);
    let started_at = Instant::now();
    let mut times = Vec::new();
    while started_at.elapsed() < phase {
        let revision = times.len() as u64 + 2;
        fleet.apply(revision).await;
        times.push(fleet.time_until_all_hold(revision, IN_FORCE_TIMEOUT).await);
        sleep(CHANGE_PAUSE).await;
    }
    let rates = meter.end();
    report
        .figure("baseline_in_force_max_s", worst(&times))
        .figure("baseline_store_reads_peak_per_s", rates.reads_peak_per_s)
        .figure("baseline_store_reads_per_s", rates.reads_per_s)
        .figure("baseline_store_refused", rates.refused)
        .figure("baseline_start_all_s", start_s);
}

/// Starts all processes at once; returns the seconds until all hold the first revision.
async fn measure_start(fleet: &mut ConfigFleet) -> eyre::Result<f64> {
    let revision = fleet.apply_first().await?;
    let started_at = Instant::now();
    fleet.start_all();
    fleet.time_until_all_hold(revision, IN_FORCE_TIMEOUT).await;
    Ok(started_at.elapsed().as_secs_f64())
}

/// Applies changes one after the other and restarts some processes just before each; returns the
/// seconds until each is in force everywhere.
async fn measure_changes(
    fleet: &mut ConfigFleet,
    phase: Duration,
    restarts: usize,
) -> eyre::Result<Vec<f64>> {
    let started_at = Instant::now();
    let mut times = Vec::new();
    while started_at.elapsed() < phase {
        let n = times.len();
        restart_some(fleet, restarts, n);
        let revision = fleet.apply_next(n as u32).await?;
        let time = fleet.time_until_all_hold(revision, IN_FORCE_TIMEOUT).await;
        times.push(time.as_secs_f64());
        sleep(CHANGE_PAUSE).await;
    }
    Ok(times)
}

fn restart_some(fleet: &mut ConfigFleet, n: usize, round: usize) {
    let running: Vec<_> = fleet.running.keys().copied().collect();
    for k in 0..n {
        // The stride visits all failure domains.
        let i = running[(round * 101 + k * 37) % running.len()];
        fleet.restart(i);
    }
}

/// Stops one relay in each failure domain: in every other domain it stays silent, in the rest it
/// refuses connections. The watches of the remaining relays no longer wake early.
fn break_relays(fleet: &mut ConfigFleet) {
    for (n, relays) in fleet.relays().into_values().enumerate() {
        let silent = n % 2 == 0;
        let state = if silent {
            PeerState::Silent
        } else {
            PeerState::Closed
        };
        for i in &relays[1..] {
            fleet.running[i].link.disable_watch_wakeups();
        }
        fleet.stop(relays[0], state);
    }
}
