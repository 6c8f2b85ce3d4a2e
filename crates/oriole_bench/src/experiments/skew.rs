//! Step-time skew of an expert-parallel group over a day of drifting demand.
//!
//! All policies see the same demand and the same reports. The lower bound of the step time is a
//! perfect balance for the loads and speeds of each tick; no placement can be faster.

mod policy;
mod trace;

use std::collections::VecDeque;

use async_trait::async_trait;
use oriole_placement::prelude::{GroupShape, Planner, PlannerConfig};

use super::switch::{Conditions, Costs, VotingGroup};
use crate::prelude::{Experiment, Limit, Report, RunOptions};
use policy::{Periodic, Planned, PolicyRun, Static, initial_map};
pub(super) use trace::Drift;
use trace::{DAY_S, Demand, REPORT_LAG_TICKS, Reports, TICK_S};

/// Largest mean ratio of the step time to its lower bound.
const MAX_RATIO_MEAN: f64 = 1.05;
/// Largest 99th percentile of the ratio of the step time to its lower bound.
const MAX_RATIO_P99: f64 = 1.15;
/// Largest mean ratio of the step time to its lower bound while one rank is a straggler.
const MAX_STRAGGLER_RATIO: f64 = 1.15;
/// Largest ratio of bytes moved to those of the periodic rebalance.
const MAX_BYTES_RATIO: f64 = 0.25;
/// Probability that a message of a switch is lost.
const MESSAGE_LOSS: f64 = 0.001;
/// One in this many switches has a stalled agent.
const SWITCHES_PER_STALL: usize = 100;
/// Time for which the agent is stalled, in milliseconds.
const STALL_MS: u64 = 1_000;
/// Points plotted per policy.
const PLOT_POINTS: usize = 720;

/// Skew of a group of today's size: 16 ranks and 64 experts.
pub struct Skew;

#[async_trait]
impl Experiment for Skew {
    fn name(&self) -> &'static str {
        "skew"
    }

    fn about(&self) -> &'static str {
        "step-time skew of 16 ranks and 64 experts over a day of drifting demand"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        run_day(&today_shape(), Drift::SMOOTH, options)
    }
}

/// The same under unpredictable demand.
pub struct SkewRough;

#[async_trait]
impl Experiment for SkewRough {
    fn name(&self) -> &'static str {
        "skew-rough"
    }

    fn about(&self) -> &'static str {
        "the same over a day whose demand is a random walk of 2 % in 10 s"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        run_day(&today_shape(), Drift::ROUGH, options)
    }
}

fn today_shape() -> GroupShape {
    GroupShape {
        ranks: 16,
        experts: 64,
        layers: 8,
        slots_per_rank: 6,
        expert_bytes: 40_000_000,
        weight_bytes_per_s: 2_000_000_000,
        domains: (0..16).map(|r| r % 3).collect(),
    }
}

/// Runs all policies over one day.
pub(super) fn run_day(
    shape: &GroupShape,
    drift: Drift,
    options: &RunOptions,
) -> eyre::Result<Report> {
    let length = options.duration.map_or(DAY_S, |d| d.as_secs_f64());
    let ticks = (length / TICK_S) as usize;
    let mut demand = Demand::new(shape, drift, ticks, options.seed);
    let (truth, reports) = demand.advance().ok_or_else(|| eyre::eyre!("no ticks"))?;
    let first = initial_map(shape, &truth);
    let planner = Planner::new(PlannerConfig::default(), shape.clone())?;
    let mut planned = PolicyRun::new(shape, &first, Box::new(Planned::new(planner)));
    let mut unchanged = PolicyRun::new(shape, &first, Box::new(Static));
    let mut periodic = PolicyRun::new(shape, &first, Box::new(Periodic::new(shape)));
    let mut straggler = Vec::new();
    let mut delayed_reports: VecDeque<Reports> = VecDeque::from([reports]);
    for tick in 0.. {
        let Some((truth, reports)) = demand.advance() else {
            break;
        };
        delayed_reports.push_back(reports);
        let visible = (delayed_reports.len() > REPORT_LAG_TICKS)
            .then(|| delayed_reports.pop_front())
            .flatten();
        for run in [&mut planned, &mut unchanged, &mut periodic] {
            run.tick(tick, &truth, visible.as_ref());
        }
        straggler.push(truth.straggler);
    }
    let switches = run_switches(shape.ranks, &planned.map_changes, options.seed);
    let mut report = report(&planned, &unchanged, &periodic, &straggler);
    report
        .figure("switches", switches.switches as f64)
        .figure("switches_committed", switches.committed as f64)
        .figure("mixed_steps", switches.mixed_steps as f64)
        .figure("stalled_steps", switches.stalled_steps as f64)
        .bound("mixed_steps", Limit::AtMost(0.0));
    Ok(report)
}

/// Runs the planner's map changes through the real switch code on a network that loses messages;
/// one in [`SWITCHES_PER_STALL`] has a stalled agent.
fn run_switches(ranks: usize, changes: &[usize], seed: u64) -> Costs {
    let mut group = VotingGroup::new(ranks, seed);
    for (i, _) in changes.iter().enumerate() {
        let stalled = i % SWITCHES_PER_STALL == SWITCHES_PER_STALL - 1;
        group.switch(&Conditions {
            loss: MESSAGE_LOSS,
            stalled_agent: stalled.then_some((i % ranks, STALL_MS)),
            ..Conditions::default()
        });
    }
    group.costs
}

fn report(
    planned: &PolicyRun,
    unchanged: &PolicyRun,
    periodic: &PolicyRun,
    straggler: &[bool],
) -> Report {
    let mut report = Report::default();
    for (name, run) in [
        ("", planned),
        ("static_", unchanged),
        ("periodic_", periodic),
    ] {
        report.figure(&format!("{name}skew_mean"), mean(&run.skew));
        report.figure(&format!("{name}skew_p99"), p99(&run.skew));
        report.figure(&format!("{name}ratio_to_bound"), mean(&run.ratio));
        report.figure(&format!("{name}ratio_to_bound_p99"), p99(&run.ratio));
        report.figure(&format!("{name}gb_moved"), run.bytes_moved as f64 / 1e9);
        report.figure(&format!("{name}map_changes"), run.map_changes.len() as f64);
        let slow = run.ratio.iter().zip(straggler).filter(|(_, s)| **s);
        let slow: Vec<f64> = slow.map(|(r, _)| *r).collect();
        report.figure(&format!("{name}straggler_ratio_to_bound"), mean(&slow));
    }
    let bytes_ratio = planned.bytes_moved as f64 / periodic.bytes_moved.max(1) as f64;
    report
        .figure("bytes_moved_ratio", bytes_ratio)
        .figure(
            "skew_to_periodic",
            mean(&planned.skew) / mean(&periodic.skew),
        )
        .bound("ratio_to_bound", Limit::AtMost(MAX_RATIO_MEAN))
        .bound("ratio_to_bound_p99", Limit::AtMost(MAX_RATIO_P99))
        .bound("bytes_moved_ratio", Limit::AtMost(MAX_BYTES_RATIO))
        .bound("skew_to_periodic", Limit::AtMost(1.0))
        .bound(
            "straggler_ratio_to_bound",
            Limit::AtMost(MAX_STRAGGLER_RATIO),
        );
    for (label, run) in [
        ("planned", planned),
        ("static", unchanged),
        ("periodic", periodic),
    ] {
        report.curve(label, curve(&run.skew));
        report.curve(&format!("{label} to bound"), curve(&run.ratio));
    }
    report
}

fn mean(values: &[f64]) -> f64 {
    values.iter().sum::<f64>() / values.len() as f64
}

fn p99(values: &[f64]) -> f64 {
    let mut sorted = values.to_vec();
    sorted.sort_by(f64::total_cmp);
    let i = (sorted.len() as f64 * 0.99).ceil() as usize;
    sorted[i.clamp(1, sorted.len()) - 1]
}

/// Returns the means over equal parts of the day by hour.
fn curve(values: &[f64]) -> Vec<(f64, f64)> {
    let chunk = values.len().div_ceil(PLOT_POINTS).max(1);
    let hour = |i: usize| (i * chunk) as f64 * TICK_S / 3600.0;
    (values.chunks(chunk).enumerate())
        .map(|(i, run)| (hour(i), mean(run)))
        .collect()
}
