//! Rounds of the engine's reports: what its rank tells the leader, and what it is told to do.

use std::sync::Arc;
use std::time::Duration;

use oriole_fleet::prelude::*;
use slog::{info, warn};

use super::{Agent, lock};
use crate::follower::Follower;
use crate::message::{Datagram, Experts, Status, pick_parts};
use crate::rescue::StillWatch;

/// Time between reports while nothing changes.
const REPORT_EVERY: Duration = Duration::from_millis(120);

/// Time between reports while a change is under way.
const REPORT_OFTEN: Duration = Duration::from_millis(30);

/// Time between reads of the counts.
const COUNTS_EVERY: Duration = Duration::from_millis(150);

/// Time between reads of the counts for each rank of the group: the leader's link carries them all.
const COUNTS_EVERY_RANK: Duration = Duration::from_millis(6);

/// What the agent keeps of its engine between reports.
#[derive(Default)]
pub(super) struct EngineView {
    pub(super) follower: Follower,
    epoch: u64,
    counts: Option<ExpertCounts>,
    counts_at: Option<Duration>,
    placed: Option<(u64, u64, Vec<Experts>)>,
    picks: Vec<u32>,
    still: StillWatch,
    is_lost: bool,
}

impl EngineView {
    /// Number of layer sets, known once the map was read.
    fn sets(&self) -> usize {
        self.placed.as_ref().map_or(0, |(_, _, sets)| sets.len())
    }
}

/// Follows the engine.
pub(super) async fn follow(agent: Arc<Agent>) {
    let mut view = EngineView::default();
    loop {
        let is_busy = match agent.parts.engine.report().await {
            Ok(report) => {
                if std::mem::take(&mut view.is_lost) {
                    info!(agent.log, "engine"; "now" => "regained");
                }
                agent.step(&mut view, report).await
            }
            Err(e) => {
                if !std::mem::replace(&mut view.is_lost, true) {
                    warn!(agent.log, "engine"; "now" => "lost", "error" => e.to_string());
                }
                false
            }
        };
        let pause = if is_busy { REPORT_OFTEN } else { REPORT_EVERY };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = agent.wake.notified() => {}
        }
    }
}

impl Agent {
    /// One round: tell the leader, follow its intent, lead. Whether a change is under way.
    async fn step(&self, view: &mut EngineView, report: EngineReport) -> bool {
        if report.epoch != view.epoch {
            info!(self.log, "group"; "group" => &report.group, "epoch" => report.epoch,
                "rank" => report.rank, "ranks" => report.ranks, "open" => report.open);
            *view = EngineView {
                epoch: report.epoch,
                ..EngineView::default()
            };
        }
        lock(&self.shared).group.clone_from(&report.group);
        self.read_placed(view, &report).await;
        self.read_counts(view, &report).await;
        self.tell_status(view, &report).await;
        let is_following = self.follow(view, &report).await;
        if view.still.is_due(self.clock.now(), &report) {
            self.rescue(&report).await;
        }
        let is_leading = report.rank == 0 && self.lead(report).await;
        is_following || is_leading
    }

    async fn read_counts(&self, view: &mut EngineView, report: &EngineReport) {
        let now = self.clock.now();
        let pause = COUNTS_EVERY.max(COUNTS_EVERY_RANK * report.ranks as u32);
        if view.counts_at.is_some_and(|at| now < at + pause) {
            return;
        }
        view.counts_at = Some(now);
        match self.parts.engine.counts().await {
            Ok(counts) => {
                if let Some(last) = &view.counts
                    && last.counts.len() == counts.counts.len()
                {
                    let choices = counts.counts.iter().zip(&last.counts);
                    let choices = choices.map(|(new, old)| new.saturating_sub(*old));
                    let choices: Vec<u64> = choices.collect();
                    if choices.iter().any(|c| *c > 0) {
                        view.picks = pick_parts(&choices, view.sets());
                    }
                }
                view.counts = Some(counts);
            }
            Err(e) => {
                warn!(self.log, "call failed"; "step" => "counts", "error" => e.to_string());
            }
        }
    }

    async fn read_placed(&self, view: &mut EngineView, report: &EngineReport) {
        let is_known = view
            .placed
            .as_ref()
            .is_some_and(|(epoch, v, _)| *epoch == report.epoch && *v == report.map_version);
        if is_known {
            return;
        }
        match self.parts.engine.placed().await {
            Ok(sets) => {
                let sets = sets.iter().map(|s| Experts::from(s.as_slice())).collect();
                view.placed = Some((report.epoch, report.map_version, sets));
            }
            Err(e) => {
                warn!(self.log, "call failed"; "step" => "placed", "error" => e.to_string());
            }
        }
    }

    async fn tell_status(&self, view: &mut EngineView, report: &EngineReport) {
        let placed = view
            .placed
            .as_ref()
            .filter(|(_, v, _)| *v == report.map_version);
        let status = Status {
            group: report.group.clone(),
            epoch: report.epoch,
            rank: report.rank as u32,
            ranks: report.ranks as u32,
            pass: report.pass,
            map_version: report.map_version,
            prepared: report.prepared,
            armed: report.armed,
            refused: view.follower.refused,
            open: report.open,
            pace: report.pace,
            preparing: view.follower.preparing(report.epoch),
            picks: std::mem::take(&mut view.picks),
            placed: placed.map_or_else(Vec::new, |(_, _, sets)| sets.clone()),
        };
        if report.rank == 0 {
            let now = self.clock.now();
            let mut leader = lock(&self.leader);
            // The group that the status belongs to has to be known first.
            leader.reported(now, report.clone());
            leader.heard(now, status);
            return;
        }
        let datagram = Datagram {
            status: Some(status),
            intent: None,
        };
        self.send(0, &datagram).await;
    }
}
