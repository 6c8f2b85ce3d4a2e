//! Decisions of the gate: which work may start, which waits, and why the rest is refused.

use std::time::Duration;

use metrics::counter;
use oriole_types::catalog::ServiceState;
use oriole_types::digest::Digest;
use oriole_types::outcome::RefusalReason;

use super::{Action, Decision, Gate, LinkState, Offer, Refusal, SoloWork, WorkId};
use crate::poison::{ContentStatus, home_of_suspect, homes};

/// Suggested time until a retry if there is no better estimate; also the minimum of the estimates.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_millis(500);

impl Gate {
    /// Why no work at all may start; `None` if the gate is open.
    pub(super) fn closed_reason(&self, now: Duration) -> Option<RefusalReason> {
        let drained = self.service_state == Some(ServiceState::Drained);
        if self.leaving || drained {
            return Some(RefusalReason::Draining);
        }
        if self.service_state.is_none() || !self.confirmation.may_admit(now) {
            return Some(RefusalReason::NoConfiguration);
        }
        match self.link {
            LinkState::Up => None,
            LinkState::Unknown => Some(RefusalReason::AgentStarting),
            LinkState::Down => Some(RefusalReason::UpstreamUnreachable),
        }
    }

    /// Checks whether an offer may run here at all, apart from capacity.
    pub(super) fn check_offer(
        &self,
        now: Duration,
        offer: &Offer,
    ) -> Result<ContentStatus, RefusalReason> {
        if let Some(reason) = self.closed_reason(now) {
            return Err(reason);
        }
        if offer.deadline <= now {
            return Err(RefusalReason::Deadline);
        }
        let status = self.poison.status(&offer.content);
        if offer.pinned && status != ContentStatus::Quarantined {
            return Ok(status);
        }
        match status {
            ContentStatus::Quarantined => Err(RefusalReason::Quarantined),
            ContentStatus::Suspect if !self.is_home_of_suspect(&offer.content) => {
                Err(RefusalReason::NotHome)
            }
            ContentStatus::Unproven if !self.is_home(&offer.content) => Err(RefusalReason::NotHome),
            status => Ok(status),
        }
    }

    pub(super) fn is_home(&self, content: &Digest) -> bool {
        let unrestricted = !self.cfg.enforces_homes || self.pool.is_empty();
        unrestricted || homes(content, &self.pool).contains(&&self.cfg.vm)
    }

    pub(super) fn is_home_of_suspect(&self, content: &Digest) -> bool {
        let home = home_of_suspect(content, &self.pool);
        home.is_none_or(|vm| *vm == self.cfg.vm)
    }

    pub(super) fn offer_normal(&mut self, now: Duration, offer: Offer) -> Decision {
        if self.queue.is_empty() && self.has_free_slot() {
            self.running.start(now, &offer);
            return Decision::Admit;
        }
        let wait = self.expected_wait(self.queue.count_ahead(&offer));
        if now + wait >= offer.deadline {
            return Decision::Refuse(self.refusal(RefusalReason::Deadline));
        }
        if !self.queue.has_room(offer.priority, self.queue_capacity()) {
            return Decision::Refuse(self.refusal(self.full_reason()));
        }
        self.queue.push(offer);
        Decision::Queue
    }

    pub(super) fn offer_suspect(&mut self, now: Duration, offer: Offer) -> Decision {
        if self.solo.is_some() || now < self.solo_cooldown_until {
            return Decision::Refuse(self.refusal(RefusalReason::SuspectBusy));
        }
        let running = self.running.is_empty();
        if running {
            self.running.start(now, &offer);
        }
        self.solo = Some(SoloWork {
            offer,
            since: now,
            running,
        });
        if running {
            Decision::Admit
        } else {
            Decision::Queue
        }
    }

    /// Whether one more request may start at the upstream now.
    pub(super) fn has_free_slot(&self) -> bool {
        let exposed = self.running.started_since(self.warmth.warm_at());
        self.solo.is_none()
            && self.running.in_flight() < self.warmth.limit()
            && exposed < self.warmth.exposure_limit()
    }

    /// Queue capacity in proportion to the current limit: work that would wait for a cold upstream is
    /// served sooner elsewhere.
    pub(super) fn queue_capacity(&self) -> u32 {
        let limit = self.warmth.limit();
        let share = self.cfg.queue_capacity * limit / self.warmth.warm_concurrency().max(1);
        share.max(limit).min(self.cfg.queue_capacity)
    }

    /// Refuses work that no longer fits into the queue, least urgent first.
    pub(super) fn shed_queue(&mut self) -> Vec<Action> {
        let mut actions = Vec::new();
        while self.queue.len() > self.queue_capacity() {
            let Some(offer) = self.queue.pop_last() else {
                break;
            };
            let refusal = self.refusal(self.full_reason());
            actions.push(Action::Refuse(offer.id, refusal));
        }
        actions
    }

    pub(super) fn full_reason(&self) -> RefusalReason {
        if self.warmth.is_cold() {
            RefusalReason::UpstreamCold
        } else {
            RefusalReason::QueueFull
        }
    }

    /// Estimated time until a slot is free for work with `ahead` requests before it in the queue.
    pub(super) fn expected_wait(&self, ahead: u32) -> Duration {
        let service_time_s = self.service_time_s.unwrap_or(0.0);
        let limit = f64::from(self.warmth.limit().max(1));
        Duration::from_secs_f64(service_time_s * f64::from(ahead + 1) / limit)
    }

    /// Counts and builds a refusal.
    pub(super) fn refusal(&self, reason: RefusalReason) -> Refusal {
        counter!("oriole_admission_refused_total", "reason" => reason.as_str()).increment(1);
        let retry_after = match reason {
            RefusalReason::Quarantined | RefusalReason::Draining | RefusalReason::NotHome => None,
            RefusalReason::SuspectBusy => Some(self.cfg.suspect_cooldown),
            RefusalReason::QueueFull | RefusalReason::UpstreamCold => Some(
                self.expected_wait(self.queue.len())
                    .max(DEFAULT_RETRY_AFTER),
            ),
            _ => Some(DEFAULT_RETRY_AFTER),
        };
        Refusal {
            reason,
            retry_after,
        }
    }

    /// Starts all waiting work that may start now, most urgent first.
    pub(super) fn start_waiting(&mut self, now: Duration) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.closed_reason(now).is_some() {
            return actions;
        }
        if let Some(id) = self.start_solo(now) {
            actions.push(Action::Start(id));
        }
        while self.has_free_slot() {
            let Some(offer) = self.queue.pop() else { break };
            actions.push(self.start_or_refuse(now, offer));
        }
        actions
    }

    /// Starts work that waited, unless its content became suspect or quarantined meanwhile.
    pub(super) fn start_or_refuse(&mut self, now: Duration, offer: Offer) -> Action {
        let id = offer.id;
        let refused = match self.check_offer(now, &offer) {
            Ok(ContentStatus::Suspect) => RefusalReason::SuspectBusy,
            Ok(_) => {
                self.running.start(now, &offer);
                return Action::Start(id);
            }
            Err(reason) => reason,
        };
        Action::Refuse(id, self.refusal(refused))
    }

    /// Starts a waiting suspect once the upstream is empty.
    pub(super) fn start_solo(&mut self, now: Duration) -> Option<WorkId> {
        let empty = self.running.is_empty();
        let solo = self.solo.as_mut().filter(|s| !s.running && empty)?;
        solo.running = true;
        let offer = solo.offer.clone();
        self.running.start(now, &offer);
        Some(offer.id)
    }

    /// Refuses work that has waited too long.
    pub(super) fn expire(&mut self, now: Duration) -> Vec<Action> {
        let late = self.queue.take_if(|offer| offer.deadline <= now);
        let mut actions: Vec<_> = late
            .into_iter()
            .map(|id| Action::Refuse(id, self.refusal(RefusalReason::Deadline)))
            .collect();
        let max_wait = self.cfg.suspect_max_wait;
        let expired =
            |s: &mut SoloWork| !s.running && (now >= s.since + max_wait || now >= s.offer.deadline);
        if let Some(solo) = self.solo.take_if(expired) {
            self.solo_cooldown_until = now + self.cfg.suspect_cooldown;
            let refusal = self.refusal(RefusalReason::SuspectBusy);
            actions.push(Action::Refuse(solo.offer.id, refusal));
        }
        actions
    }

    /// Refuses all waiting work.
    pub(super) fn refuse_waiting(&mut self, reason: RefusalReason) -> Vec<Action> {
        let mut ids = self.queue.take_if(|_| true);
        let solo = self.solo.take_if(|s| !s.running);
        ids.extend(solo.map(|s| s.offer.id));
        ids.into_iter()
            .map(|id| Action::Refuse(id, self.refusal(reason)))
            .collect()
    }
}
