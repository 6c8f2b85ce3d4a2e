//! Starts runs for bound keys and handles their outcomes.

use std::time::Duration;

use super::{Action, ClaimHome};
use crate::key::ClaimKey;
use crate::request::{CallId, ClaimOutcome, RunOutcome};
use crate::table::Phase;

impl ClaimHome {
    pub(super) fn on_run_ended(&mut self, key: ClaimKey, outcome: RunOutcome) {
        let Some(record) = self.table.get_mut(key) else {
            return;
        };
        let waiting = std::mem::take(&mut record.waiting);
        match outcome {
            RunOutcome::Answer(answer) => {
                let limits = &self.cfg.limits;
                let (max_bytes, max_total_bytes) =
                    (limits.max_answer_bytes, limits.max_total_answer_bytes);
                self.table
                    .keep_answer(key, answer.clone(), max_bytes, max_total_bytes);
                for call in waiting {
                    let started_run = self.calls.get(&call).is_some_and(|c| c.started_run);
                    let outcome = if started_run {
                        ClaimOutcome::FirstRun
                    } else {
                        ClaimOutcome::Replay
                    };
                    self.end_call(call, outcome(answer.clone()));
                }
            }
            RunOutcome::NotRun(reason) => {
                record.phase = Phase::Bound;
                self.end_calls(waiting, &ClaimOutcome::not_run(reason));
            }
            RunOutcome::Unknown(reason) => {
                record.phase = Phase::Unknown(reason);
                self.end_calls(waiting, &ClaimOutcome::Unknown(reason));
            }
        }
    }

    pub(super) fn start_all(&mut self, now: Duration, keys: Vec<ClaimKey>) {
        for key in keys {
            self.start(now, key);
        }
    }

    /// Starts the run of a key that is bound to this incarnation, on behalf of the first waiting
    /// call. Without a waiting call the key stays bound and no run starts.
    pub(super) fn start(&mut self, now: Duration, key: ClaimKey) {
        self.end_timed_out_calls(now);
        let Some(record) = self.table.get_mut(key) else {
            return;
        };
        if !matches!(record.phase, Phase::Claiming | Phase::Bound) {
            return;
        }
        let Some(&first) = record.waiting.front() else {
            record.phase = Phase::Bound;
            return;
        };
        record.phase = Phase::Running;
        let waiting: Vec<CallId> = record.waiting.iter().copied().collect();
        for call in waiting {
            self.extend_to_deadline(call);
        }
        if let Some(call) = self.calls.get_mut(&first) {
            call.started_run = true;
        }
        self.actions.push(Action::Run(first, key));
    }
}
