//! The capacity table: the control cost of the full-size fleet, extrapolated from measured slopes.

use std::collections::BTreeMap;
use std::path::Path;

use eyre::{OptionExt, WrapErr};
use serde::Deserialize;
use tabled::settings::Style;
use tabled::{Table, Tabled};

/// Control traffic allowed per daemon, in bytes per second.
const MAX_BYTES_PER_S: f64 = 15_000.0;

/// Processor time allowed per daemon for control, as a share of a core.
const MAX_CPU_SHARE: f64 = 0.037;

/// Memory allowed per daemon, in megabytes.
const MAX_RESIDENT_MB: f64 = 256.0;

/// Reads per second that the store sustains.
const MAX_STORE_READS_PER_S: f64 = 2_000.0;

/// Writes per second that the store sustains.
const MAX_STORE_WRITES_PER_S: f64 = 300.0;

/// The JSON line that ends a run.
#[derive(Deserialize)]
struct RunLine {
    experiment: String,
    figures: BTreeMap<String, f64>,
}

/// One row of the table.
#[derive(Tabled)]
struct Row {
    what: &'static str,
    #[tabled(rename = "growth per daemon")]
    slope: String,
    #[tabled(rename = "at 340 daemons and 820 agents")]
    at_target: String,
    budget: String,
    #[tabled(rename = "part of budget")]
    part: String,
}

/// Title of each row, name of its figure, and budget.
const ROWS: [(&str, &str, f64); 11] = [
    ("daemon: processor, cores", "cpu_share", MAX_CPU_SHARE),
    ("daemon: memory, MB", "resident_mb", MAX_RESIDENT_MB),
    (
        "daemon: all control traffic, B/s",
        "bytes_per_s",
        MAX_BYTES_PER_S,
    ),
    (
        "entry: all control traffic, B/s",
        "entry_bytes_per_s",
        MAX_BYTES_PER_S,
    ),
    (
        "daemon: loads and notes, B/s",
        "bytes_per_s_load",
        MAX_BYTES_PER_S,
    ),
    ("daemon: limits, B/s", "bytes_per_s_limits", MAX_BYTES_PER_S),
    (
        "daemon: liveness, B/s",
        "bytes_per_s_membership",
        MAX_BYTES_PER_S,
    ),
    (
        "daemon: configuration, B/s",
        "bytes_per_s_config",
        MAX_BYTES_PER_S,
    ),
    (
        "daemon: VM list, B/s",
        "bytes_per_s_vm_list",
        MAX_BYTES_PER_S,
    ),
    (
        "store: reads and watches a second",
        "store_reads_per_s",
        MAX_STORE_READS_PER_S,
    ),
    (
        "store: writes a second",
        "store_writes_per_s",
        MAX_STORE_WRITES_PER_S,
    ),
];

/// Builds the table from a file that holds the output of a `control` run.
///
/// # Errors
///
/// Fails if the file has no JSON line of a `control` run or a figure is missing from it.
pub fn table(control: &Path) -> eyre::Result<String> {
    let output = std::fs::read_to_string(control)
        .wrap_err_with(|| format!("cannot read {}", control.display()))?;
    let run = output
        .lines()
        .filter_map(|line| serde_json::from_str::<RunLine>(line).ok())
        .find(|run| run.experiment == "control")
        .ok_or_eyre("no closing line of a `control` run")?;
    let rows = ROWS
        .iter()
        .map(|(what, name, budget)| row(&run.figures, what, name, *budget))
        .collect::<eyre::Result<Vec<Row>>>()?;
    let mut table = Table::new(rows);
    table.with(Style::markdown());
    Ok(table.to_string())
}

fn row(
    figures: &BTreeMap<String, f64>,
    what: &'static str,
    name: &str,
    budget: f64,
) -> eyre::Result<Row> {
    let figure = |suffix: &str| {
        let name = format!("{name}_{suffix}");
        let value = figures.get(&name).copied();
        value.ok_or_else(|| eyre::eyre!("the run has no figure {name}"))
    };
    let (slope, at_target) = (figure("slope")?, figure("at_target")?);
    Ok(Row {
        what,
        slope: format!("{slope:.6}"),
        at_target: format!("{at_target:.4}"),
        budget: format!("{budget}"),
        part: format!("{:.1} %", 100.0 * at_target / budget),
    })
}
