//! Runs: their start for bound keys, and their ends.

use std::time::Duration;

use super::{Action, ClaimHome};
use crate::key::ClaimKey;
use crate::request::{CallId, ClaimOutcome, RunOutcome};
use crate::table::Phase;

impl ClaimHome {
    pub(super) fn on_run_ended(&mut self, key: ClaimKey, end: RunOutcome) {
        let Some(record) = self.table.get_mut(key) else {
            return;
        };
        let waiting = std::mem::take(&mut record.waiting);
        match end {
            RunOutcome::Answer(answer) => {
                let limits = &self.cfg.limits;
                let (one, all) = (limits.max_answer_bytes, limits.max_total_answer_bytes);
                self.table.keep_answer(key, answer.clone(), one, all);
                for call in waiting {
                    let starter = self.calls.get(&call).is_some_and(|c| c.starter);
                    let end = if starter {
                        ClaimOutcome::FirstRun
                    } else {
                        ClaimOutcome::Replay
                    };
                    self.end_call(call, end(answer.clone()));
                }
            }
            RunOutcome::NotRun(reason) => {
                record.phase = Phase::Held;
                self.end_calls(waiting, &ClaimOutcome::not_run(reason));
            }
            RunOutcome::Unknown(reason) => {
                record.phase = Phase::Lost(reason);
                self.end_calls(waiting, &ClaimOutcome::Unknown(reason));
            }
        }
    }

    pub(super) fn start_all(&mut self, now: Duration, keys: Vec<ClaimKey>) {
        for key in keys {
            self.start(now, key);
        }
    }

    /// Starts the run of a key that is bound to this incarnation, for the first call that waits.
    pub(super) fn start(&mut self, now: Duration, key: ClaimKey) {
        self.end_overdue(now);
        let Some(record) = self.table.get_mut(key) else {
            return;
        };
        if !matches!(record.phase, Phase::Claiming | Phase::Held) {
            return;
        }
        let Some(&first) = record.waiting.front() else {
            record.phase = Phase::Held;
            return;
        };
        record.phase = Phase::Running;
        let waiting: Vec<CallId> = record.waiting.iter().copied().collect();
        for call in waiting {
            self.extend_to_deadline(call);
        }
        if let Some(call) = self.calls.get_mut(&first) {
            call.starter = true;
        }
        self.actions.push(Action::Run(first, key));
    }
}
