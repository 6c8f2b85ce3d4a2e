//! From a plan to the outcome of its switch.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use oriole_placement::map::{ExpertMap, MapVersion};

use super::{Actions, CoordinatorAction, GroupCoordinator, Phase, SHOWN_MOVES, Switching};
use crate::messages::{GroupMessage, Proposal, RankId, RankReport, SwitchId};
use crate::status::LastSwitch;

impl GroupCoordinator {
    pub(super) fn consider_plan(&mut self, now: Duration, out: &mut Actions) {
        let early = self
            .planned
            .is_some_and(|at| now < at + self.cfg.plan_interval);
        if early || now < self.rest_until || self.all_fresh(now).is_none() {
            return;
        }
        self.planned = Some(now);
        self.take_loads();
        if let Some(plan) = self.planner.plan() {
            let mut map = plan.map.clone();
            map.version = self.next_version(map.version);
            let switching = Switching {
                base: self.planner.map().map(ExpertMap::id),
                map: Arc::new(map),
                plan,
                since: now,
            };
            self.to_all(&GroupMessage::Prepare(switching.map.clone()), out);
            self.phase = Phase::Staging(Box::new(switching));
            self.reminded = Some(now);
            self.polled = None;
        }
        out.push(CoordinatorAction::Publish(Box::new(self.status(now))));
    }

    /// A version above all that ranks hold, so that no two maps of one version are ever staged.
    fn next_version(&self, planned: MapVersion) -> MapVersion {
        let reports = self.reports.iter().flatten();
        let held = |r: &RankReport| {
            let committed = r.committed.map(|c| c.next);
            r.staged.clone().into_iter().chain(committed)
        };
        let versions = reports.flat_map(|s| held(&s.report)).map(|id| id.version);
        versions.map(MapVersion::next).fold(planned, Ord::max)
    }

    /// Proposes the switch once all ranks hold the weights; gives up if one cannot.
    pub(super) fn follow_staging(&mut self, now: Duration, out: &mut Actions) {
        let Phase::Staging(switching) = &self.phase else {
            return;
        };
        let id = switching.map.id();
        let reports = self.reports.iter().flatten();
        if reports.clone().any(|s| s.report.failed == Some(id)) {
            return self.give_up(now, "load_failed", out);
        }
        if now >= switching.since + self.cfg.stage_timeout {
            return self.give_up(now, "load_timeout", out);
        }
        let base = switching.base;
        let ready = |r: &&RankReport| {
            r.synced && r.staged.contains(&id) && r.active == base && r.undecided.is_none()
        };
        let Some(reports) = self.all_fresh(now) else {
            return;
        };
        if reports.iter().all(ready) {
            self.propose(now, out);
        } else {
            self.remind(now, out);
        }
    }

    /// Sends the map again to ranks that have not begun to read it.
    fn remind(&mut self, now: Duration, out: &mut Actions) {
        let Phase::Staging(switching) = &self.phase else {
            return;
        };
        let map = switching.map.clone();
        if self
            .reminded
            .is_some_and(|at| now < at + self.cfg.prepare_retry_interval)
        {
            return;
        }
        self.reminded = Some(now);
        let id = map.id();
        for rank in 0..self.reports.len() as RankId {
            let holds = |r: &RankReport| r.staged.contains(&id) || r.loading == Some(id);
            if !self.fresh(now, rank).is_some_and(holds) {
                let message = GroupMessage::Prepare(map.clone());
                out.push(CoordinatorAction::Send(rank, message));
            }
        }
    }

    fn propose(&mut self, now: Duration, out: &mut Actions) {
        let Phase::Staging(switching) = std::mem::replace(&mut self.phase, Phase::Steady) else {
            return;
        };
        self.attempts += 1;
        let steps = self.reports.iter().flatten().map(|s| s.report.next_step);
        let rate = switching.base.map_or(0.0, |_| self.step_rate.per_s);
        let lead = rate * self.cfg.lead_time.as_secs_f64();
        let proposal = Proposal {
            switch: SwitchId {
                fence: self.fence,
                version: switching.map.version,
                attempt: self.attempts,
            },
            base: switching.base,
            next: switching.map.id(),
            at_step: steps.max().unwrap_or(0) + lead.ceil() as u64,
            closer: (self.attempts as usize % self.reports.len()) as RankId,
        };
        self.to_all(&GroupMessage::Propose(proposal), out);
        let since = now;
        let switching = Box::new(Switching {
            since,
            ..*switching
        });
        self.phase = Phase::Deciding(switching, proposal);
    }

    /// Watches for the outcome in reports, in case the closer's message is lost.
    pub(super) fn follow_decision(&mut self, now: Duration, out: &mut Actions) {
        let Phase::Deciding(switching, proposal) = &self.phase else {
            return;
        };
        let (since, proposal) = (switching.since, *proposal);
        let reports = self.reports.iter().flatten();
        if reports
            .clone()
            .any(|s| s.report.committed == Some(proposal))
        {
            return self.on_outcome(now, proposal, true, out);
        }
        if now < since + self.cfg.decide_timeout {
            return;
        }
        counter!("oriole_group_switch_retries_total", "reason" => "decide_timeout").increment(1);
        self.finish_switch(now, Some("no_outcome"), out);
    }

    pub(super) fn on_outcome(
        &mut self,
        now: Duration,
        proposal: Proposal,
        commit: bool,
        out: &mut Actions,
    ) {
        match &self.phase {
            Phase::Deciding(_, p) if *p == proposal => {}
            _ => return,
        }
        let failure = (!commit).then_some("refused");
        self.finish_switch(now, failure, out);
    }

    fn finish_switch(&mut self, now: Duration, failure: Option<&str>, out: &mut Actions) {
        let phase = std::mem::replace(&mut self.phase, Phase::Gathering);
        if let Phase::Deciding(switching, _) = phase {
            self.record(&switching, failure);
            if failure.is_none() {
                self.planner.set_map((*switching.map).clone());
            }
        }
        if failure.is_some() {
            self.rest_until = now + self.cfg.failure_backoff;
        }
        out.push(CoordinatorAction::Publish(Box::new(self.status(now))));
        self.gather_anew();
    }

    /// Asks all ranks again: what they reported before the switch ended no longer counts.
    fn gather_anew(&mut self) {
        self.take_loads();
        self.reports.fill(None);
        self.polled = None;
        self.phase = Phase::Gathering;
    }

    fn give_up(&mut self, now: Duration, reason: &'static str, out: &mut Actions) {
        counter!("oriole_group_switch_retries_total", "reason" => reason).increment(1);
        if let Phase::Staging(switching) = std::mem::replace(&mut self.phase, Phase::Gathering) {
            self.record(&switching, Some(reason));
        }
        self.rest_until = now + self.cfg.failure_backoff;
        out.push(CoordinatorAction::Publish(Box::new(self.status(now))));
        self.gather_anew();
    }

    fn record(&mut self, switching: &Switching, failure: Option<&str>) {
        let plan = &switching.plan;
        self.last_switch = Some(LastSwitch {
            map: switching.map.id(),
            reason: plan.reason,
            committed: failure.is_none(),
            failure: failure.map(str::to_owned),
            skew_before: plan.skew_before,
            skew_after: plan.skew_after,
            move_count: plan.moves.len(),
            moves: plan.moves.iter().take(SHOWN_MOVES).copied().collect(),
        });
    }
}
