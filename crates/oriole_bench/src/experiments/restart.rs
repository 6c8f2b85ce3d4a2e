//! Time until restarted processes are back in service, with the store up and down.

use std::time::Duration;

use async_trait::async_trait;
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rand::seq::index::sample;
use tokio::time::{Instant, sleep};

use super::config_baseline::BaselineFleet;
use super::config_fleet::{ConfigFleet, DESIGN_SIZE, STORE_READS_PER_S, StoreMeter, StoreRates};
use crate::prelude::*;

/// Number of processes restarted at once.
const RESTARTED: usize = 120;
/// Longest time until a restarted process is back in service.
const MAX_BACK_IN_SERVICE_S: f64 = 2.0;
/// Share of the store's rate that a restart may use.
const MAX_STORE_SHARE: f64 = 0.1;
/// Longest wait for processes to be back in service.
const BACK_IN_SERVICE_TIMEOUT: Duration = Duration::from_secs(6);
/// Length of the store outage before processes restart.
const OUTAGE: Duration = Duration::from_secs(8);

/// Restarts a tenth of the processes with the store up and down.
pub struct Restart;

#[async_trait]
impl Experiment for Restart {
    fn name(&self) -> &'static str {
        "restart"
    }

    fn about(&self) -> &'static str {
        "time until 120 restarted processes of 1,160 serve again, store up and down"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        let mut report = Report::default();
        let mut rng = StdRng::seed_from_u64(options.seed);
        let reads = f64::from(STORE_READS_PER_S) * MAX_STORE_SHARE;

        let mut fleet = ConfigFleet::new(DESIGN_SIZE, options.seed);
        let (start_s, rates) = measure_start(&mut fleet).await?;
        report
            .figure("start_all_s", start_s)
            .figure("start_all_store_reads_peak_per_s", rates.reads_peak_per_s);
        sleep(Duration::from_secs(3)).await;

        let (up_s, rates) = measure_restart(&mut fleet, &mut rng).await;
        report
            .figure("back_in_service_s", up_s)
            .bound("back_in_service_s", Limit::AtMost(MAX_BACK_IN_SERVICE_S))
            .figure("store_reads", rates.reads)
            .figure("store_reads_peak_per_s", rates.reads_peak_per_s)
            .bound("store_reads_peak_per_s", Limit::AtMost(reads));

        fleet.store.set_fault(StoreFault::Down);
        sleep(OUTAGE).await;
        let (down_s, rates) = measure_restart(&mut fleet, &mut rng).await;
        report
            .figure("back_in_service_outage_s", down_s)
            .bound(
                "back_in_service_outage_s",
                Limit::AtMost(MAX_BACK_IN_SERVICE_S),
            )
            .figure("store_reads_peak_outage_per_s", rates.reads_peak_per_s)
            .bound("store_reads_peak_outage_per_s", Limit::AtMost(reads))
            .figure("reverted", fleet.reverted() as f64)
            .bound("reverted", Limit::AtMost(0.0));
        drop(fleet);

        measure_baseline(&mut report, &mut rng).await;
        Ok(report)
    }
}

/// Measures the baseline: every process reads the store.
async fn measure_baseline(report: &mut Report, rng: &mut StdRng) {
    let mut fleet = BaselineFleet::start(DESIGN_SIZE).await;
    let start_s = fleet.time_until_all_hold(1, BACK_IN_SERVICE_TIMEOUT).await;
    sleep(Duration::from_secs(1)).await;
    let meter = StoreMeter::begin(&fleet.store);
    fleet.restart(sample(rng, DESIGN_SIZE.processes, RESTARTED).into_iter());
    let up_s = fleet.time_until_all_hold(1, BACK_IN_SERVICE_TIMEOUT).await;
    let rates = meter.end();
    fleet.store.set_fault(StoreFault::Down);
    fleet.restart(sample(rng, DESIGN_SIZE.processes, RESTARTED).into_iter());
    let down_s = fleet.time_until_all_hold(1, BACK_IN_SERVICE_TIMEOUT).await;
    report
        .figure("baseline_start_all_s", start_s)
        .figure("baseline_back_in_service_s", up_s)
        .figure("baseline_store_reads", rates.reads)
        .figure("baseline_back_in_service_outage_s", down_s);
}

/// Starts all processes at once; returns the seconds until all are in service and the store rates.
async fn measure_start(fleet: &mut ConfigFleet) -> eyre::Result<(f64, StoreRates)> {
    let revision = fleet.apply_first().await?;
    let meter = StoreMeter::begin(&fleet.store);
    let started_at = Instant::now();
    fleet.start_all();
    fleet
        .time_until_all_hold(revision, BACK_IN_SERVICE_TIMEOUT * 2)
        .await;
    let seconds = started_at.elapsed().as_secs_f64();
    sleep(Duration::from_secs(1)).await;
    Ok((seconds, meter.end()))
}

/// Restarts random processes, some of them relays; returns the seconds until all are in service
/// and the store rates.
async fn measure_restart(fleet: &mut ConfigFleet, rng: &mut StdRng) -> (f64, StoreRates) {
    let meter = StoreMeter::begin(&fleet.store);
    let started_at = Instant::now();
    for i in sample(rng, fleet.members.len(), RESTARTED) {
        fleet.restart(i);
    }
    fleet
        .time_until_all_hold(Revision(1), BACK_IN_SERVICE_TIMEOUT)
        .await;
    let seconds = started_at.elapsed().as_secs_f64();
    sleep(Duration::from_secs(1)).await;
    (seconds, meter.end())
}
