//! Polls the agent's engine, sends its status to the leader, and carries out the leader's intent.

use std::sync::Arc;
use std::time::Duration;

use oriole_fleet::prelude::*;
use slog::{info, warn};

use super::{Agent, lock};
use crate::follower::PrepareTracker;
use crate::map_cache::initial_map;
use crate::message::{Datagram, ExpertList, Status};
use crate::recovery::StallDetector;
use crate::sampler::ChoiceSampler;
use crate::status_pacer::StatusPacer;

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
    sampler: ChoiceSampler,
    status_pacer: StatusPacer,
    /// Experts in the map in use, by layer set, with the epoch and map version they were read for.
    current_experts: Option<(u64, u64, Vec<ExpertList>)>,
    reports_counts: bool,
    /// Whether the map with which the epoch began is cached.
    has_initial_map: bool,
    stall_detector: StallDetector,
    is_unreachable: bool,
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
        let is_new_epoch = report.epoch != state.epoch;
        if is_new_epoch {
            info!(self.log, "group"; "group" => &report.group, "epoch" => report.epoch,
                "rank" => report.rank, "ranks" => report.ranks, "open" => report.group_running);
            *state = EngineState {
                epoch: report.epoch,
                ..EngineState::default()
            };
        }
        self.join_group(&report, is_new_epoch);
        self.cache_initial_map(state, &report);
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
        if !state.reports_counts || state.sampler.has_read(report.pass) {
            return;
        }
        match self.parts.engine.expert_counts().await {
            Ok(counts) => {
                let layer_sets = state.layer_sets();
                state.sampler.add(self.clock.now(), counts, layer_sets);
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

    /// Sends the leader what it does not know yet of this rank.
    async fn send_status(&self, state: &mut EngineState, report: &EngineReport) {
        let now = self.clock.now();
        let mut status = self.status(state, report);
        if report.rank == 0 {
            if let Some(sample) = state.sampler.take(now) {
                status.set_choices(&sample);
            }
            let mut leader = lock(&self.leader);
            // The report comes first, since a status of an unknown epoch is ignored.
            leader.on_report(now, report.clone());
            leader.on_status(now, status);
            return;
        }
        if let Some(sample) = state.sampler.take_due(now) {
            status.set_choices(&sample);
        }
        let is_awaited = self.is_awaited(now, report);
        if std::mem::take(&mut lock(&self.shared).experts_requested) {
            state.status_pacer.request_experts();
        }
        let Some(status) = state.status_pacer.next(now, status, is_awaited) else {
            return;
        };
        let datagram = Datagram {
            status: Some(status),
            ..Datagram::default()
        };
        self.send(0, &datagram).await;
    }

    /// The complete status of the rank, without choices.
    fn status(&self, state: &EngineState, report: &EngineReport) -> Status {
        let current_experts = state
            .current_experts
            .as_ref()
            .filter(|(_, v, _)| *v == report.map_version);
        Status {
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
            known_versions: lock(&self.shared).map_cache.versions(report.epoch),
            current_experts: current_experts
                .map_or_else(Vec::new, |(_, _, layer_sets)| layer_sets.clone()),
            ..Status::default()
        }
    }

    fn join_group(&self, report: &EngineReport, is_new_epoch: bool) {
        let mut shared = lock(&self.shared);
        if shared.group != report.group {
            shared.group.clone_from(&report.group);
        }
        shared.ranks = report.ranks;
        if is_new_epoch {
            self.regrouped.notify_one();
        }
    }

    /// Caches the map with which the epoch begins, so that the first switch needs only a patch.
    fn cache_initial_map(&self, state: &mut EngineState, report: &EngineReport) {
        if state.has_initial_map {
            return;
        }
        let limits = lock(&self.leader).limits().cloned();
        if let Some(limits) = limits {
            let map = initial_map(limits.layer_sets, limits.experts, report.ranks);
            lock(&self.shared).map_cache.begin_epoch(report.epoch, map);
            state.has_initial_map = true;
        }
    }
}
