//! Control cost of a daemon as the fleet grows, without any requests.

use std::collections::BTreeMap;
use std::time::Duration;

use async_trait::async_trait;
use oriole_kernel::telemetry;
use oriole_local::prelude::*;
use oriole_standins::health::HealthState;
use oriole_types::prelude::*;

use crate::fit::Line;
use crate::prelude::*;
use crate::process;
use crate::scrape::counter_sum;

/// Numbers of entry daemons of the measured fleets.
const ENTRY_COUNTS: [usize; 4] = [8, 16, 32, 64];

/// Upstreams per ten entry daemons, as in the full-size fleet.
const UPSTREAMS_PER_ENTRY_TENTHS: usize = 24;

/// Entry daemons and agents of the full-size fleet.
const DESIGN_DAEMONS: f64 = 340.0 + 820.0;

/// Client accounts in the catalog.
const ACCOUNTS: usize = 300;

/// Default time for which a fleet is measured.
const DEFAULT_DURATION: Duration = Duration::from_secs(5);

/// Time before the measurement, in which connections are opened.
const SETTLE_TIME: Duration = Duration::from_secs(2);

/// Services whose traffic is reported separately.
const SERVICES: [&str; 5] = ["load", "limits", "membership", "config", "vm_list"];

/// Store reads per second allowed in the full-size fleet: a tenth of what the store sustains.
const MAX_STORE_READS_PER_S: f64 = 200.0;

/// Control cost of a daemon, extrapolated to the full-size fleet.
pub struct Control;

#[async_trait]
impl Experiment for Control {
    fn name(&self) -> &'static str {
        "control"
    }

    fn about(&self) -> &'static str {
        "processor, memory and bytes a daemon spends on control as the fleet grows"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        telemetry::install();
        let base_mb = process::resident_mb()?;
        let mut costs = Vec::new();
        for entries in ENTRY_COUNTS {
            costs.push(measure(entries, options.duration_or(DEFAULT_DURATION), base_mb).await?);
        }
        Ok(report(&costs))
    }
}

/// Measured cost of one fleet: store calls in total, everything else per daemon.
struct Cost {
    daemons: f64,
    cpu_share: f64,
    resident_mb: f64,
    bytes_per_s: BTreeMap<&'static str, f64>,
    entry_bytes_per_s: f64,
    store_reads_per_s: f64,
    store_writes_per_s: f64,
}

fn spec(entries: usize) -> eyre::Result<DeploymentSpec> {
    let mut spec = DeploymentSpec::named(DeploymentName::Islandwash)?;
    let upstreams = entries * UPSTREAMS_PER_ENTRY_TENTHS / 10;
    spec.entries = entries;
    spec.engines = upstreams - upstreams / 6;
    spec.services = upstreams / 6;
    spec.vm_list_period_ms = 1_000;
    spec.engine.health.initial = HealthState::Ok;
    spec.service.health.initial = HealthState::Ok;
    for name in ["north", "south", "east", "west", "centre"] {
        let domain = FailureDomain {
            region: "tobago".into(),
            state: ServiceState::InService,
        };
        spec.catalog.domains.insert(name.into(), domain);
    }
    for i in spec.catalog.accounts.len()..ACCOUNTS {
        spec.add_account(&format!("account-{i}"), false);
    }
    Ok(spec)
}

async fn measure(entries: usize, length: Duration, base_mb: f64) -> eyre::Result<Cost> {
    let deployment = Deployment::start(&spec(entries)?).await?;
    tokio::time::sleep(SETTLE_TIME).await;
    let before = CounterSnapshot::take(&deployment)?;
    tokio::time::sleep(length).await;
    let after = CounterSnapshot::take(&deployment)?;
    let daemons = entries + deployment.platform().upstreams.len();
    let fleet = FleetSize {
        entries: entries as f64,
        daemons: daemons as f64,
    };
    let cost = after.cost_since(&before, &fleet, length, base_mb);
    deployment.shutdown().await;
    Ok(cost)
}

/// Numbers of daemons of a fleet.
struct FleetSize {
    entries: f64,
    daemons: f64,
}

impl FleetSize {
    /// Returns the traffic of a service per entry, given its mean over all daemons.
    fn entry_mean(&self, service: &str, mean: f64) -> f64 {
        let total = mean * self.daemons;
        match service {
            // Between an entry and an agent: each byte involves one entry.
            "load" => total / 2.0 / self.entries,
            // Between two entries.
            "limits" | "membership" => total / self.entries,
            _ => mean,
        }
    }
}

/// Counters at one moment.
struct CounterSnapshot {
    cpu: Duration,
    resident_mb: f64,
    bytes: BTreeMap<&'static str, f64>,
    reads: u64,
    writes: u64,
}

impl CounterSnapshot {
    fn take(deployment: &Deployment) -> eyre::Result<Self> {
        let text = telemetry::render();
        let mut bytes: BTreeMap<&'static str, f64> = SERVICES
            .into_iter()
            .map(|service| {
                let label = format!("service=\"{service}\"");
                // Every byte that one daemon sends, another receives.
                let sent_and_received = 2.0 * counter_sum(&text, "oriole_call_bytes_total", &label);
                (service, sent_and_received)
            })
            .collect();
        let list_bytes = counter_sum(&text, "oriole_vm_list_bytes_total", "");
        *bytes.entry("vm_list").or_default() += list_bytes;
        let counts = deployment.platform().store.counts();
        Ok(Self {
            cpu: process::cpu_time()?,
            resident_mb: process::resident_mb()?,
            bytes,
            reads: counts.reads + counts.watches,
            writes: counts.writes,
        })
    }

    fn cost_since(&self, before: &Self, fleet: &FleetSize, length: Duration, base_mb: f64) -> Cost {
        let daemons = fleet.daemons;
        let seconds = length.as_secs_f64();
        let cpu = self.cpu.saturating_sub(before.cpu).as_secs_f64();
        let bytes_per_s: BTreeMap<&'static str, f64> = self
            .bytes
            .iter()
            .map(|(service, bytes)| {
                let earlier = before.bytes.get(service).copied().unwrap_or(0.0);
                (*service, (bytes - earlier) / daemons / seconds)
            })
            .collect();
        let entry_bytes_per_s = bytes_per_s
            .iter()
            .map(|(service, bytes)| fleet.entry_mean(service, *bytes))
            .sum();
        Cost {
            daemons,
            cpu_share: cpu / seconds / daemons,
            resident_mb: (self.resident_mb - base_mb) / daemons,
            bytes_per_s,
            entry_bytes_per_s,
            store_reads_per_s: (self.reads - before.reads) as f64 / seconds,
            store_writes_per_s: (self.writes - before.writes) as f64 / seconds,
        }
    }
}

fn report(costs: &[Cost]) -> Report {
    let mut report = Report::default();
    let mut line = |name: &str, pick: &dyn Fn(&Cost) -> f64| {
        let points: Vec<(f64, f64)> = costs.iter().map(|c| (c.daemons, pick(c))).collect();
        let line = Line::through(&points);
        report
            .figure(&format!("{name}_slope"), line.slope)
            .figure(&format!("{name}_residual"), line.residual)
            .figure(&format!("{name}_at_target"), line.at(DESIGN_DAEMONS))
            .curve(name, points);
    };
    line("cpu_share", &|c| c.cpu_share);
    line("resident_mb", &|c| c.resident_mb);
    line("bytes_per_s", &|c| c.bytes_per_s.values().sum());
    line("entry_bytes_per_s", &|c| c.entry_bytes_per_s);
    for service in SERVICES {
        let name = format!("bytes_per_s_{service}");
        line(&name, &|c| {
            c.bytes_per_s.get(service).copied().unwrap_or(0.0)
        });
    }
    line("store_reads_per_s", &|c| c.store_reads_per_s);
    line("store_writes_per_s", &|c| c.store_writes_per_s);
    report
        .bound("cpu_share_at_target", Limit::AtMost(0.037))
        .bound("resident_mb_at_target", Limit::AtMost(256.0))
        .bound("bytes_per_s_at_target", Limit::AtMost(15_000.0))
        .bound("entry_bytes_per_s_at_target", Limit::AtMost(15_000.0))
        .bound(
            "store_reads_per_s_at_target",
            Limit::AtMost(MAX_STORE_READS_PER_S),
        );
    report
}
