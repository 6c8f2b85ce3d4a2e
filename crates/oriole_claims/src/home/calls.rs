//! Open calls: their timeouts and outcomes.

use std::time::Duration;

use metrics::counter;
use oriole_types::ids::VmName;
use oriole_types::outcome::{RefusalReason, UnknownReason};

use super::{Action, Call, ClaimHome};
use crate::key::ClaimKey;
use crate::request::{CallId, ClaimOutcome};
use crate::table::Phase;

impl ClaimHome {
    pub(super) fn add_call(&mut self, now: Duration, id: CallId, key: ClaimKey, timeout: Duration) {
        let deadline = now + timeout;
        let margin = self.cfg.limits.reply_margin.min(timeout / 10);
        let latest_start = deadline - margin;
        let timeout_at = latest_start.min(now + self.cfg.limits.claim_timeout);
        let call = Call {
            key,
            deadline,
            latest_start,
            timeout_at,
            started_run: false,
        };
        self.calls.insert(id, call);
        self.timeouts.insert((timeout_at, id));
    }

    pub(super) fn extend_to_deadline(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            self.timeouts.remove(&(call.timeout_at, id));
            call.timeout_at = call.deadline;
            self.timeouts.insert((call.timeout_at, id));
        }
    }

    pub(super) fn end_timed_out_calls(&mut self, now: Duration) {
        while let Some(&(timeout_at, id)) = self.timeouts.first()
            && timeout_at <= now
        {
            self.timeouts.remove(&(timeout_at, id));
            self.end_timed_out(now, id);
        }
    }

    pub(super) fn end_timed_out(&mut self, now: Duration, id: CallId) {
        let Some(&Call {
            key, latest_start, ..
        }) = self.calls.get(&id)
        else {
            return;
        };
        let running = self.detach(key, id);
        let outcome = if running {
            ClaimOutcome::Unknown(UnknownReason::Deadline)
        } else if latest_start <= now {
            ClaimOutcome::not_run(RefusalReason::Deadline)
        } else {
            ClaimOutcome::not_run(RefusalReason::StoreUnavailable)
        };
        self.end_call(id, outcome);
    }

    /// Detaches a call from its key; returns whether a run of the key is in progress. If it was the
    /// last call that waited for a pending claim, the claim is dropped.
    pub(super) fn detach(&mut self, key: ClaimKey, id: CallId) -> bool {
        let Some(record) = self.table.get_mut(key) else {
            return false;
        };
        record.waiting.retain(|c| *c != id);
        let abandoned = record.phase == Phase::Claiming && record.waiting.is_empty();
        let running = record.phase == Phase::Running;
        if abandoned && self.remove_pending(key) {
            self.table.remove(key);
        }
        running
    }

    pub(super) fn end_keys(
        &mut self,
        keys: Vec<ClaimKey>,
        reason: RefusalReason,
        home: Option<VmName>,
    ) {
        for key in keys {
            let home = home.clone();
            self.end_claim(key, &ClaimOutcome::NotRun { reason, home });
        }
    }

    /// Removes the record of a key that is not bound to this home and ends the calls waiting for
    /// it.
    pub(super) fn end_claim(&mut self, key: ClaimKey, outcome: &ClaimOutcome) {
        if let Some(record) = self.table.remove(key) {
            self.end_calls(record.waiting, outcome);
        }
    }

    pub(super) fn end_calls(
        &mut self,
        calls: impl IntoIterator<Item = CallId>,
        outcome: &ClaimOutcome,
    ) {
        for call in calls {
            self.end_call(call, outcome.clone());
        }
    }

    pub(super) fn refuse(&mut self, call: CallId, reason: RefusalReason) {
        self.end_call(call, ClaimOutcome::not_run(reason));
    }

    pub(super) fn end_call(&mut self, id: CallId, outcome: ClaimOutcome) {
        if let Some(call) = self.calls.remove(&id) {
            self.timeouts.remove(&(call.timeout_at, id));
        }
        self.reply(id, outcome);
    }

    pub(super) fn reply(&mut self, id: CallId, outcome: ClaimOutcome) {
        counter!("oriole_claims_ends_total", "reason" => outcome.as_str()).increment(1);
        self.actions.push(Action::Reply(id, outcome));
    }
}
