//! Checks of outcomes against the ledger, the record of all runs at the upstream.

use bytes::Bytes;
use oriole_claims::prelude::*;
use oriole_types::prelude::*;

use super::{AGENT_COUNT, TestCluster};

impl TestCluster {
    /// Ends a call and checks its outcome.
    pub(super) fn end_call(&mut self, call: usize, step: CallStep) {
        if self.calls[call].final_step.is_some() {
            return;
        }
        let (key, body) = (self.calls[call].key, self.calls[call].body);
        self.log_line(|| format!("call {call} ends {step:?}"));
        let name = match &step {
            CallStep::Answer(answer) => {
                match self.ledger.first_answers.get(&key) {
                    Some((b, first)) if first == answer && *b == body => {}
                    _ => self
                        .record_violation(format!("call {call} got the answer of another request")),
                }
                "answer".to_owned()
            }
            CallStep::NotRun(reason) => {
                self.check_not_run(call, *reason);
                format!("not_run {reason}")
            }
            CallStep::Unknown(reason) => format!("unknown {reason}"),
            CallStep::Send { .. } => return,
        };
        *self.counts.outcomes.entry(name).or_default() += 1;
        self.calls[call].final_step = Some(step);
    }

    /// Checks that a call reported as not run has not run, and that a key reported as reused was
    /// sent with different bodies.
    pub(super) fn check_not_run(&mut self, call: usize, reason: RefusalReason) {
        let key = self.calls[call].key;
        if self
            .ledger
            .runs
            .get(&key)
            .is_some_and(|r| r.contains(&call))
        {
            self.record_violation(format!(
                "call {call} ran and was reported as not_run {reason}"
            ));
        }
        let bodies = &self.keys[key].bodies;
        if reason == RefusalReason::KeyReused && bodies.iter().all(|b| *b == bodies[0]) {
            self.record_violation(format!(
                "call {call}: key_reused, but the key was sent with one body only"
            ));
        }
    }

    /// Runs a request at the upstream and records it in the ledger.
    pub(super) fn run_upstream(&mut self, attempt: usize) -> Bytes {
        let call = self.attempts[attempt];
        let (key, body) = (self.calls[call].key, self.calls[call].body);
        self.counts.runs += 1;
        self.log_line(|| format!("the upstream runs call {call}"));
        let runs = self.ledger.runs.entry(key).or_default();
        runs.push(call);
        if runs.len() > 1 {
            let text = format!("key {key} ran {} times", runs.len());
            self.record_violation(text);
        }
        if let Some(CallStep::NotRun(reason)) = &self.calls[call].final_step {
            let text = format!("call {call} ran after it was reported as not_run {reason}");
            self.record_violation(text);
        }
        let answer = Bytes::from(format!("answer {call}"));
        self.ledger
            .first_answers
            .entry(key)
            .or_insert((body, answer.clone()));
        answer
    }

    /// Ends all faults and lets the cluster run until it is idle. Then every call must have ended,
    /// and new requests with all forms of keys must be answered.
    pub fn quiesce(&mut self) {
        self.outage = false;
        for slot in 0..AGENT_COUNT {
            self.set_view(slot, 0xff);
        }
        self.run_until_idle();
        let before = self.calls.len();
        (0..3).for_each(|form| self.call_new_key(form, 0xff));
        self.run_until_idle();
        for call in 0..self.calls.len() {
            let step = &self.calls[call].final_step;
            let served = matches!(step, Some(CallStep::Answer(_)));
            if step.is_none() || call >= before && !served {
                let text = format!("call {call} had ended as {step:?} when the cluster was idle");
                self.record_violation(text);
            }
        }
    }
}
