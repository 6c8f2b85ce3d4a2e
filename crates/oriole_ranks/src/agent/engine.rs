//! Polls the agent's engine, sends its status to the leader, and carries out the leader's intent.

use std::sync::Arc;
use std::time::Duration;

use oriole_fleet::prelude::*;
use slog::{info, warn};

use super::{Agent, lock};
use crate::follower::PrepareTracker;
use crate::message::{Datagram, ExpertList, Status, scale_choices};
use crate::recovery::StallDetector;

/// Time between two reports while there is no switch in progress.
const REPORT_INTERVAL: Duration = Duration::from_millis(120);

/// Time between two reports during a switch.
const BUSY_REPORT_INTERVAL: Duration = Duration::from_millis(20);

/// Time between two reports of a rank that sends its expert counts: shorter than a usual pass, so
/// that the first pass after a shift of demand gets a sample of its own.
const COUNTS_REPORT_INTERVAL: Duration = Duration::from_millis(40);

/// Approximate number of ranks of a group that send their expert counts. Together they make enough
/// choices in a pass to detect a shift, without overloading the leader's link.
const TARGET_COUNT_REPORTERS: usize = 8;

/// Whether a rank sends its expert counts.
fn reports_counts(report: &EngineReport) -> bool {
    report
        .rank
        .is_multiple_of((report.ranks / TARGET_COUNT_REPORTERS).max(1))
}

/// What the agent keeps about its engine from one report to the next.
#[derive(Default)]
pub(super) struct EngineState {
    pub(super) prepare_tracker: PrepareTracker,
    epoch: u64,
    /// Last expert counts that were read.
    counts: Option<ExpertCounts>,
    /// Experts in the map in use, by layer set, with the epoch and map version they were read for.
    current_experts: Option<(u64, u64, Vec<ExpertList>)>,
    new_choices: NewChoices,
    reports_counts: bool,
    stall_detector: StallDetector,
    is_unreachable: bool,
}

/// Choices that were read but not sent yet. The fields are those of [`Status`].
#[derive(Default)]
struct NewChoices {
    scaled: Vec<u32>,
    total: u64,
    from_pass: u64,
}

impl EngineState {
    /// Number of layer sets; 0 until the map in use was read.
    fn layer_sets(&self) -> usize {
        self.current_experts
            .as_ref()
            .map_or(0, |(_, _, layer_sets)| layer_sets.len())
    }
}

/// Polls the agent's engine until the task is aborted.
pub(super) async fn poll_engine(agent: Arc<Agent>) {
    let mut state = EngineState::default();
    loop {
        let is_busy = match agent.parts.engine.report().await {
            Ok(report) => {
                if std::mem::take(&mut state.is_unreachable) {
                    info!(agent.log, "engine"; "now" => "regained");
                }
                agent.run_round(&mut state, report).await
            }
            Err(e) => {
                if !std::mem::replace(&mut state.is_unreachable, true) {
                    warn!(agent.log, "engine"; "now" => "lost", "error" => e.to_string());
                }
                false
            }
        };
        let pause = if is_busy {
            BUSY_REPORT_INTERVAL
        } else if state.reports_counts {
            COUNTS_REPORT_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = agent.wake_up.notified() => {}
        }
    }
}

impl Agent {
    /// Handles one report: sends a status, carries out the leader's intent, starts recovery if the
    /// group has stalled, and on rank 0 acts as the leader. Returns whether a switch is in progress.
    async fn run_round(&self, state: &mut EngineState, report: EngineReport) -> bool {
        if report.epoch != state.epoch {
            info!(self.log, "group"; "group" => &report.group, "epoch" => report.epoch,
                "rank" => report.rank, "ranks" => report.ranks, "open" => report.group_running);
            *state = EngineState {
                epoch: report.epoch,
                ..EngineState::default()
            };
        }
        lock(&self.shared).group.clone_from(&report.group);
        self.read_current_experts(state, &report).await;
        self.read_counts(state, &report).await;
        self.send_status(state, &report).await;
        let is_following = self.follow_intent(state, &report).await;
        if state.stall_detector.is_due(self.clock.now(), &report) {
            self.recover_stalled_switch(&report).await;
        }
        let is_leading = report.rank == 0 && self.lead(report).await;
        is_following || is_leading
    }

    /// Reads the expert counts once per pass, if this rank sends them.
    async fn read_counts(&self, state: &mut EngineState, report: &EngineReport) {
        state.reports_counts = reports_counts(report);
        let is_read = state.counts.as_ref().is_some_and(|c| c.pass >= report.pass);
        if !state.reports_counts || is_read {
            return;
        }
        match self.parts.engine.expert_counts().await {
            Ok(counts) => {
                if let Some(last) = state.counts.take() {
                    state.new_choices = choices_between(&last, &counts, state.layer_sets());
                }
                state.counts = Some(counts);
            }
            Err(e) => {
                warn!(self.log, "call failed"; "step" => "counts", "error" => e.to_string());
            }
        }
    }

    async fn read_current_experts(&self, state: &mut EngineState, report: &EngineReport) {
        let is_known = state
            .current_experts
            .as_ref()
            .is_some_and(|(epoch, v, _)| *epoch == report.epoch && *v == report.map_version);
        if is_known {
            return;
        }
        match self.parts.engine.current_experts().await {
            Ok(layer_sets) => {
                let layer_sets = layer_sets
                    .iter()
                    .map(|s| ExpertList::from(s.as_slice()))
                    .collect();
                state.current_experts = Some((report.epoch, report.map_version, layer_sets));
            }
            Err(e) => {
                warn!(self.log, "call failed"; "step" => "placed", "error" => e.to_string());
            }
        }
    }

    async fn send_status(&self, state: &mut EngineState, report: &EngineReport) {
        let current_experts = state
            .current_experts
            .as_ref()
            .filter(|(_, v, _)| *v == report.map_version);
        let status = Status {
            group: report.group.clone(),
            epoch: report.epoch,
            rank: report.rank as u32,
            ranks: report.ranks as u32,
            pass: report.pass,
            map_version: report.map_version,
            prepared_version: report.prepared_version,
            armed_version: report.armed_version,
            refused_version: state.prepare_tracker.refused_version,
            group_running: report.group_running,
            slowdown: report.slowdown,
            preparing_version: state.prepare_tracker.preparing(report.epoch),
            choices_total: state.new_choices.total,
            choices_from_pass: state.new_choices.from_pass,
            scaled_choices: std::mem::take(&mut state.new_choices).scaled,
            known_versions: lock(&self.shared).map_cache.versions(report.epoch),
            current_experts: current_experts
                .map_or_else(Vec::new, |(_, _, layer_sets)| layer_sets.clone()),
        };
        if report.rank == 0 {
            let now = self.clock.now();
            let mut leader = lock(&self.leader);
            // The report comes first, since a status of an unknown epoch is ignored.
            leader.on_report(now, report.clone());
            leader.on_status(now, status);
            return;
        }
        let datagram = Datagram {
            status: Some(status),
            intent: None,
        };
        self.send(0, &datagram).await;
    }
}

/// Choices between two reads of the counts.
fn choices_between(last: &ExpertCounts, counts: &ExpertCounts, layer_sets: usize) -> NewChoices {
    if last.counts.len() != counts.counts.len() || layer_sets == 0 {
        return NewChoices::default();
    }
    let pairs = counts.counts.iter().zip(&last.counts);
    let choices: Vec<u64> = pairs.map(|(new, old)| new.saturating_sub(*old)).collect();
    let total = choices.iter().sum::<u64>() / layer_sets as u64;
    if total == 0 {
        return NewChoices::default();
    }
    NewChoices {
        scaled: scale_choices(&choices, layer_sets),
        total,
        from_pass: last.pass,
    }
}
