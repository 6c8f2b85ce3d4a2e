//! Carrying out a planned switch: staging, proposal and outcome.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use oriole_placement::map::{ExpertMap, MapVersion};

use super::{Actions, CoordinatorAction, GroupCoordinator, PendingSwitch, Phase, STATUS_MAX_MOVES};
use crate::messages::{GroupMessage, Proposal, RankId, RankReport, SwitchId};
use crate::status::LastSwitch;

impl GroupCoordinator {
    /// Asks the planner for a new map if all reports are fresh, and starts staging it.
    pub(super) fn plan_if_due(&mut self, now: Duration, out: &mut Actions) {
        let too_early = self
            .last_planned_at
            .is_some_and(|at| now < at + self.cfg.plan_interval);
        if too_early || now < self.backoff_until || self.all_fresh_reports(now).is_none() {
            return;
        }
        self.last_planned_at = Some(now);
        self.feed_planner();
        if let Some(plan) = self.planner.plan() {
            let mut map = plan.map.clone();
            map.version = self.next_version(map.version);
            let pending = PendingSwitch {
                base: self.planner.map().map(ExpertMap::id),
                map: Arc::new(map),
                plan,
                started_at: now,
            };
            self.send_to_all(&GroupMessage::Prepare(pending.map.clone()), out);
            self.phase = Phase::Staging(Box::new(pending));
            self.last_prepare_at = Some(now);
            self.last_polled_at = None;
        }
        out.push(CoordinatorAction::Publish(Box::new(self.status(now))));
    }

    /// A version above all that the ranks have staged or committed, so that two maps never share a
    /// version.
    fn next_version(&self, planned: MapVersion) -> MapVersion {
        let reports = self.reports.iter().flatten();
        let held_maps = |r: &RankReport| {
            let committed = r.committed.map(|c| c.next);
            r.staged.clone().into_iter().chain(committed)
        };
        let versions = reports
            .flat_map(|s| held_maps(&s.report))
            .map(|id| id.version);
        versions.map(MapVersion::next).fold(planned, Ord::max)
    }

    /// Proposes the switch once all ranks have loaded the weights; aborts it if one cannot.
    pub(super) fn advance_staging(&mut self, now: Duration, out: &mut Actions) {
        let Phase::Staging(pending) = &self.phase else {
            return;
        };
        let id = pending.map.id();
        let reports = self.reports.iter().flatten();
        if reports.clone().any(|s| s.report.failed == Some(id)) {
            return self.abort_staging(now, "load_failed", out);
        }
        if now >= pending.started_at + self.cfg.stage_timeout {
            return self.abort_staging(now, "load_timeout", out);
        }
        let base = pending.base;
        let ready = |r: &&RankReport| {
            r.synced && r.staged.contains(&id) && r.active == base && r.undecided.is_none()
        };
        let Some(reports) = self.all_fresh_reports(now) else {
            return;
        };
        if reports.iter().all(ready) {
            self.propose(now, out);
        } else {
            self.resend_prepare(now, out);
        }
    }

    /// Sends the map again to ranks that have not begun to read it.
    fn resend_prepare(&mut self, now: Duration, out: &mut Actions) {
        let Phase::Staging(pending) = &self.phase else {
            return;
        };
        let map = pending.map.clone();
        if self
            .last_prepare_at
            .is_some_and(|at| now < at + self.cfg.prepare_retry_interval)
        {
            return;
        }
        self.last_prepare_at = Some(now);
        let id = map.id();
        for rank in 0..self.reports.len() as RankId {
            let has_begun = |r: &RankReport| r.staged.contains(&id) || r.loading == Some(id);
            if !self.fresh_report(now, rank).is_some_and(has_begun) {
                let message = GroupMessage::Prepare(map.clone());
                out.push(CoordinatorAction::Send(rank, message));
            }
        }
    }

    /// Proposes the staged map for a step [`lead_time`] ahead of the furthest rank. The ranks
    /// take turns as closer.
    ///
    /// [`lead_time`]: super::CoordinatorConfig::lead_time
    fn propose(&mut self, now: Duration, out: &mut Actions) {
        let Phase::Staging(pending) = std::mem::replace(&mut self.phase, Phase::Steady) else {
            return;
        };
        self.attempts += 1;
        let steps = self.reports.iter().flatten().map(|s| s.report.next_step);
        let rate = pending.base.map_or(0.0, |_| self.step_rate.per_s);
        let lead_steps = rate * self.cfg.lead_time.as_secs_f64();
        let proposal = Proposal {
            switch: SwitchId {
                fence: self.fence,
                version: pending.map.version,
                attempt: self.attempts,
            },
            base: pending.base,
            next: pending.map.id(),
            at_step: steps.max().unwrap_or(0) + lead_steps.ceil() as u64,
            closer: (self.attempts as usize % self.reports.len()) as RankId,
        };
        self.send_to_all(&GroupMessage::Propose(proposal), out);
        let started_at = now;
        let pending = Box::new(PendingSwitch {
            started_at,
            ..*pending
        });
        self.phase = Phase::Deciding(pending, proposal);
    }

    /// Looks for the outcome in the reports, in case the closer's message was lost.
    pub(super) fn advance_decision(&mut self, now: Duration, out: &mut Actions) {
        let Phase::Deciding(pending, proposal) = &self.phase else {
            return;
        };
        let (started_at, proposal) = (pending.started_at, *proposal);
        let reports = self.reports.iter().flatten();
        if reports
            .clone()
            .any(|s| s.report.committed == Some(proposal))
        {
            return self.on_outcome(now, proposal, true, out);
        }
        if now < started_at + self.cfg.decide_timeout {
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
        if let Phase::Deciding(pending, _) = phase {
            self.record_switch(&pending, failure);
            if failure.is_none() {
                self.planner.set_map((*pending.map).clone());
            }
        }
        if failure.is_some() {
            self.backoff_until = now + self.cfg.failure_backoff;
        }
        out.push(CoordinatorAction::Publish(Box::new(self.status(now))));
        self.restart_gathering();
    }

    /// Drops all reports and polls the ranks again: reports from before the end of the switch are
    /// outdated.
    fn restart_gathering(&mut self) {
        self.feed_planner();
        self.reports.fill(None);
        self.last_polled_at = None;
        self.phase = Phase::Gathering;
    }

    fn abort_staging(&mut self, now: Duration, reason: &'static str, out: &mut Actions) {
        counter!("oriole_group_switch_retries_total", "reason" => reason).increment(1);
        if let Phase::Staging(pending) = std::mem::replace(&mut self.phase, Phase::Gathering) {
            self.record_switch(&pending, Some(reason));
        }
        self.backoff_until = now + self.cfg.failure_backoff;
        out.push(CoordinatorAction::Publish(Box::new(self.status(now))));
        self.restart_gathering();
    }

    /// Keeps a finished switch for the status.
    fn record_switch(&mut self, pending: &PendingSwitch, failure: Option<&str>) {
        let plan = &pending.plan;
        self.last_switch = Some(LastSwitch {
            map: pending.map.id(),
            reason: plan.reason,
            committed: failure.is_none(),
            failure: failure.map(str::to_owned),
            skew_before: plan.skew_before,
            skew_after: plan.skew_after,
            move_count: plan.moves.len(),
            moves: plan.moves.iter().take(STATUS_MAX_MOVES).copied().collect(),
        });
    }
}
