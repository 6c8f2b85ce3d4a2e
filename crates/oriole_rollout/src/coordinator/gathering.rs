//! Learning what is in force, and how the load is spread.

use std::time::Duration;

use oriole_placement::loads::LoadSample;
use oriole_placement::map::{ExpertMap, FULL_SHARE};

use super::{Actions, GroupCoordinator, Phase, Seen};
use crate::messages::{RankId, RankReport};

impl GroupCoordinator {
    pub(super) fn on_report(&mut self, now: Duration, rank: RankId, report: RankReport) {
        self.step_rate.observe(now, report.next_step);
        if let Some(speed) = report.speed {
            self.planner.observe_speed(usize::from(rank), speed);
        }
        self.reports[usize::from(rank)] = Some(Seen { at: now, report });
    }

    /// Waits until all ranks agree on what is in force and none waits for an outcome.
    pub(super) fn gather(&mut self, now: Duration, out: &mut Actions) {
        let Some(reports) = self.all_fresh(now) else {
            return;
        };
        let settled = |r: &&RankReport| {
            r.synced
                && r.undecided.is_none()
                && r.committed == reports[0].committed
                && r.active == r.committed.map(|c| c.next)
        };
        if !reports.iter().all(settled) {
            return self.notice_loss(now);
        }
        let in_force = reports[0].committed.map(|c| c.next);
        let body = reports.iter().find_map(|r| r.map.clone());
        self.lost_since = None;
        let known = self.planner.map().map(ExpertMap::id);
        if in_force != known {
            match (in_force, body) {
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
        self.consider_plan(now, out);
    }

    /// Plans from scratch once no engine has used a map, and nobody known its body, for some time:
    /// all VMs of the group were lost at once.
    fn notice_loss(&mut self, now: Duration) {
        let empty = |r: &&RankReport| {
            let held = r.committed.is_some_and(|c| r.staged.contains(&c.next));
            let body_lost = r.map.is_none() && !held;
            r.synced && r.undecided.is_none() && r.active.is_none() && body_lost
        };
        let all_empty = self
            .all_fresh(now)
            .is_some_and(|reports| reports.iter().all(empty));
        if !all_empty {
            self.lost_since = None;
            return;
        }
        let since = *self.lost_since.get_or_insert(now);
        if self.wants_map && now >= since + self.cfg.decide_timeout {
            self.lost_since = None;
            self.planner.clear_map();
            self.phase = Phase::Steady;
        }
        self.wants_map = true;
    }

    /// Hands the load that has been reported since the last time to the planner.
    pub(super) fn take_loads(&mut self) {
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
        for seen in self.reports.iter_mut().flatten() {
            seen.report.tokens.clear();
        }
    }
}

/// Least part of an expert's load that must be reported for the rest to be inferred, in parts of
/// [`FULL_SHARE`].
const LEAST_SHARE: u32 = 1_000;

/// Loads of the experts from what each rank's slots took. Where only some replicas were reported,
/// their shares tell the whole.
fn expert_loads(map: &ExpertMap, experts: usize, tokens: &[&[Vec<f32>]]) -> LoadSample {
    let slots = map.slots_per_rank;
    let layer = |l: usize| {
        let mut sums = vec![(0.0f32, 0u32); experts];
        for (slot, expert) in map.layers[l].experts.iter().enumerate() {
            let rank = tokens.get(slot / slots).and_then(|t| t.get(l));
            if let Some(taken) = rank.and_then(|t| t.get(slot % slots)) {
                let sum = &mut sums[usize::from(*expert)];
                sum.0 += taken;
                sum.1 += u32::from(map.layers[l].shares[slot]);
            }
        }
        let whole = |(taken, share): (f32, u32)| {
            (share >= LEAST_SHARE).then(|| taken * f32::from(FULL_SHARE) / share as f32)
        };
        sums.into_iter().map(whole).collect()
    };
    LoadSample {
        layers: (0..map.layers.len()).map(layer).collect(),
    }
}
