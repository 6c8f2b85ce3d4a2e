//! Calls: how long each waits, and its end.

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
        let last_start = deadline - margin;
        let limit = last_start.min(now + self.cfg.limits.claim_timeout);
        let call = Call {
            key,
            deadline,
            last_start,
            limit,
            starter: false,
        };
        self.calls.insert(id, call);
        self.limits.insert((limit, id));
    }

    pub(super) fn extend_to_deadline(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            self.limits.remove(&(call.limit, id));
            call.limit = call.deadline;
            self.limits.insert((call.limit, id));
        }
    }

    pub(super) fn end_overdue(&mut self, now: Duration) {
        while let Some(&(limit, id)) = self.limits.first()
            && limit <= now
        {
            self.limits.remove(&(limit, id));
            self.end_late(now, id);
        }
    }

    pub(super) fn end_late(&mut self, now: Duration, id: CallId) {
        let Some(&Call {
            key, last_start, ..
        }) = self.calls.get(&id)
        else {
            return;
        };
        let running = self.leave(key, id);
        let end = if running {
            ClaimOutcome::Unknown(UnknownReason::Deadline)
        } else if last_start <= now {
            ClaimOutcome::not_run(RefusalReason::Deadline)
        } else {
            ClaimOutcome::not_run(RefusalReason::StoreUnavailable)
        };
        self.end_call(id, end);
    }

    /// Takes a call off its key; whether the key's run is on its way.
    pub(super) fn leave(&mut self, key: ClaimKey, id: CallId) -> bool {
        let Some(record) = self.table.get_mut(key) else {
            return false;
        };
        record.waiting.retain(|c| *c != id);
        let idle = record.phase == Phase::Claiming && record.waiting.is_empty();
        let running = record.phase == Phase::Running;
        if idle && self.withdraw(key) {
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

    /// Ends all calls of a claim that is not this home's and forgets it.
    pub(super) fn end_claim(&mut self, key: ClaimKey, end: &ClaimOutcome) {
        if let Some(record) = self.table.remove(key) {
            self.end_calls(record.waiting, end);
        }
    }

    pub(super) fn end_calls(
        &mut self,
        calls: impl IntoIterator<Item = CallId>,
        end: &ClaimOutcome,
    ) {
        for call in calls {
            self.end_call(call, end.clone());
        }
    }

    pub(super) fn refuse(&mut self, call: CallId, reason: RefusalReason) {
        self.end_call(call, ClaimOutcome::not_run(reason));
    }

    pub(super) fn end_call(&mut self, id: CallId, end: ClaimOutcome) {
        if let Some(call) = self.calls.remove(&id) {
            self.limits.remove(&(call.limit, id));
        }
        self.reply(id, end);
    }

    pub(super) fn reply(&mut self, id: CallId, end: ClaimOutcome) {
        counter!("oriole_claims_ends_total", "reason" => end.as_str()).increment(1);
        self.actions.push(Action::Reply(id, end));
    }
}
