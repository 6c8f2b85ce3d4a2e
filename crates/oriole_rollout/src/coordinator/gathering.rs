//! Collecting reports: which map is in force, and how the load is distributed.

use std::time::Duration;

use oriole_placement::loads::LoadSample;
use oriole_placement::map::{ExpertMap, FULL_SHARE};

use super::{Actions, GroupCoordinator, Phase, ReceivedReport};
use crate::messages::{RankId, RankReport};

impl GroupCoordinator {
    pub(super) fn on_report(&mut self, now: Duration, rank: RankId, report: RankReport) {
        self.step_rate.observe(now, report.next_step);
        if let Some(speed) = report.speed {
            self.planner.observe_speed(usize::from(rank), speed);
        }
        self.reports[usize::from(rank)] = Some(ReceivedReport {
            received_at: now,
            report,
        });
    }

    /// Waits until all ranks agree on the map in force and none waits for an outcome.
    pub(super) fn gather(&mut self, now: Duration, out: &mut Actions) {
        let Some(reports) = self.all_fresh_reports(now) else {
            return;
        };
        let settled = |r: &&RankReport| {
            r.synced
                && r.undecided.is_none()
                && r.committed == reports[0].committed
                && r.active == r.committed.map(|c| c.next)
        };
        if !reports.iter().all(settled) {
            return self.detect_map_loss(now);
        }
        let in_force = reports[0].committed.map(|c| c.next);
        let map_in_force = reports.iter().find_map(|r| r.map.clone());
        self.maps_lost_since = None;
        let known_map = self.planner.map().map(ExpertMap::id);
        if in_force != known_map {
            match (in_force, map_in_force) {
                (None, _) => self.planner.clear_map(),
                (Some(id), Some(map)) if map.id() == id => self.planner.set_map((*map).clone()),
                _ => {
                    self.wants_map = true;
                    return;
                }
            }
        }
        self.wants_map = false;
        self.phase = Phase::Steady;
        self.plan_if_due(now, out);
    }

    /// Starts from scratch once no engine has used a map, and no rank has had the map in force, for
    /// some time. This happens when all VMs of the group are lost at once.
    fn detect_map_loss(&mut self, now: Duration) {
        let has_lost_map = |r: &&RankReport| {
            let is_staged = r.committed.is_some_and(|c| r.staged.contains(&c.next));
            let map_unknown = r.map.is_none() && !is_staged;
            r.synced && r.undecided.is_none() && r.active.is_none() && map_unknown
        };
        let all_lost_map = self
            .all_fresh_reports(now)
            .is_some_and(|reports| reports.iter().all(has_lost_map));
        if !all_lost_map {
            self.maps_lost_since = None;
            return;
        }
        let since = *self.maps_lost_since.get_or_insert(now);
        if self.wants_map && now >= since + self.cfg.decide_timeout {
            self.maps_lost_since = None;
            self.planner.clear_map();
            self.phase = Phase::Steady;
        }
        self.wants_map = true;
    }

    /// Passes the load reported since the last call to the planner.
    pub(super) fn feed_planner(&mut self) {
        let Some(map) = self.planner.map() else {
            return;
        };
        let tokens: Vec<&[Vec<f32>]> = self
            .reports
            .iter()
            .map(|s| s.as_ref().map_or(&[][..], |s| &s.report.tokens))
            .collect();
        let sample = expert_loads(map, self.planner.shape().experts, &tokens);
        self.planner.observe_loads(&sample);
        for received in self.reports.iter_mut().flatten() {
            received.report.tokens.clear();
        }
    }
}

/// Minimum part of an expert's load that must be reported to estimate the whole, in units of
/// 1/[`FULL_SHARE`].
const MIN_REPORTED_SHARE: u32 = 1_000;

/// Computes the load of each expert from the tokens of each rank's slots. Where only some replicas
/// were reported, the load is scaled up by their shares.
fn expert_loads(map: &ExpertMap, experts: usize, tokens: &[&[Vec<f32>]]) -> LoadSample {
    let slots = map.slots_per_rank;
    let layer = |l: usize| {
        let mut reported = vec![(0.0f32, 0u32); experts];
        for (slot, expert) in map.layers[l].experts.iter().enumerate() {
            let rank = tokens.get(slot / slots).and_then(|t| t.get(l));
            if let Some(taken) = rank.and_then(|t| t.get(slot % slots)) {
                let entry = &mut reported[usize::from(*expert)];
                entry.0 += taken;
                entry.1 += u32::from(map.layers[l].shares[slot]);
            }
        }
        let scale_up = |(taken, share): (f32, u32)| {
            (share >= MIN_REPORTED_SHARE).then(|| taken * f32::from(FULL_SHARE) / share as f32)
        };
        reported.into_iter().map(scale_up).collect()
    };
    LoadSample {
        layers: (0..map.layers.len()).map(layer).collect(),
    }
}
