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
const REPORT_OFTEN: Duration = Duration::from_millis(20);

/// Time between reports of a rank that tells its counts: shorter than a usual pass, so that the first
/// pass after a change of demand is told by itself.
const COUNTS_EVERY: Duration = Duration::from_millis(40);

/// Ranks of a group that tell their counts: together they make enough choices in a pass, and the
/// leader's link carries them all.
const TELLING_RANKS: usize = 8;

/// Whether a rank tells its counts.
fn tells_counts(report: &EngineReport) -> bool {
    report
        .rank
        .is_multiple_of((report.ranks / TELLING_RANKS).max(1))
}

/// What the agent keeps of its engine between reports.
#[derive(Default)]
pub(super) struct EngineView {
    pub(super) follower: Follower,
    epoch: u64,
    counts: Option<ExpertCounts>,
    placed: Option<(u64, u64, Vec<Experts>)>,
    picks: Picks,
    tells_counts: bool,
    still: StillWatch,
    is_lost: bool,
}

/// Choices that were counted and not told yet.
#[derive(Default)]
struct Picks {
    parts: Vec<u32>,
    total: u64,
    from: u64,
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
        let pause = if is_busy {
            REPORT_OFTEN
        } else if view.tells_counts {
            COUNTS_EVERY
        } else {
            REPORT_EVERY
        };
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
                "rank" => report.rank, "ranks" => report.ranks, "open" => report.group_running);
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

    /// Reads the counts once a pass.
    async fn read_counts(&self, view: &mut EngineView, report: &EngineReport) {
        view.tells_counts = tells_counts(report);
        let is_read = view.counts.as_ref().is_some_and(|c| c.pass >= report.pass);
        if !view.tells_counts || is_read {
            return;
        }
        match self.parts.engine.expert_counts().await {
            Ok(counts) => {
                if let Some(last) = view.counts.take() {
                    view.picks = new_picks(&last, &counts, view.sets());
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
        match self.parts.engine.current_experts().await {
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
            prepared: report.prepared_version,
            armed: report.armed_version,
            refused: view.follower.refused,
            open: report.group_running,
            pace: report.slowdown,
            preparing: view.follower.preparing(report.epoch),
            picks_total: view.picks.total,
            picks_from: view.picks.from,
            picks: std::mem::take(&mut view.picks).parts,
            known: lock(&self.shared).maps.versions(report.epoch),
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

/// What was chosen between two reads.
fn new_picks(last: &ExpertCounts, counts: &ExpertCounts, sets: usize) -> Picks {
    if last.counts.len() != counts.counts.len() || sets == 0 {
        return Picks::default();
    }
    let pairs = counts.counts.iter().zip(&last.counts);
    let choices: Vec<u64> = pairs.map(|(new, old)| new.saturating_sub(*old)).collect();
    let total = choices.iter().sum::<u64>() / sets as u64;
    if total == 0 {
        return Picks::default();
    }
    Picks {
        parts: pick_parts(&choices, sets),
        total,
        from: last.pass,
    }
}
