//! The ledger's judgement.

use bytes::Bytes;
use oriole_claims::prelude::*;
use oriole_types::prelude::*;

use super::{AGENTS, World};

impl World {
    pub(super) fn end(&mut self, call: usize, end: CallStep) {
        if self.calls[call].end.is_some() {
            return;
        }
        let (key, body) = (self.calls[call].key, self.calls[call].body);
        self.say(|| format!("call {call} ends {end:?}"));
        let name = match &end {
            CallStep::Answer(answer) => {
                match self.ledger.first.get(&key) {
                    Some((b, first)) if first == answer && *b == body => {}
                    _ => self.fail(format!("call {call} got an answer that is not its own")),
                }
                "answer".to_owned()
            }
            CallStep::NotRun(reason) => {
                self.judge_not_run(call, *reason);
                format!("not_run {reason}")
            }
            CallStep::Unknown(reason) => format!("unknown {reason}"),
            CallStep::Send { .. } => return,
        };
        *self.tally.ends.entry(name).or_default() += 1;
        self.calls[call].end = Some(end);
    }

    pub(super) fn judge_not_run(&mut self, call: usize, reason: RefusalReason) {
        let key = self.calls[call].key;
        if self
            .ledger
            .runs
            .get(&key)
            .is_some_and(|r| r.contains(&call))
        {
            self.fail(format!("call {call} ran and was told not_run {reason}"));
        }
        let bodies = &self.keys[key].bodies;
        if reason == RefusalReason::KeyReused && bodies.iter().all(|b| *b == bodies[0]) {
            self.fail(format!("call {call}: the key has one body only"));
        }
    }

    /// The upstream runs a request: the ledger counts it.
    pub(super) fn run(&mut self, ask: usize) -> Bytes {
        let call = self.asks[ask];
        let (key, body) = (self.calls[call].key, self.calls[call].body);
        self.tally.runs += 1;
        self.say(|| format!("the upstream runs call {call}"));
        let runs = self.ledger.runs.entry(key).or_default();
        runs.push(call);
        if runs.len() > 1 {
            let text = format!("key {key} ran {} times", runs.len());
            self.fail(text);
        }
        if let Some(CallStep::NotRun(reason)) = &self.calls[call].end {
            let text = format!("call {call} runs after it was told not_run {reason}");
            self.fail(text);
        }
        let answer = Bytes::from(format!("answer {call}"));
        self.ledger
            .first
            .entry(key)
            .or_insert((body, answer.clone()));
        answer
    }

    /// Ends all faults and lets everything come to rest; then every call must have ended and new
    /// requests of all forms must be answered.
    pub fn quiesce(&mut self) {
        self.outage = false;
        for slot in 0..AGENTS {
            self.view(slot, 0xff);
        }
        self.rest();
        let before = self.calls.len();
        (0..3).for_each(|form| self.fresh(form, 0xff));
        self.rest();
        for call in 0..self.calls.len() {
            let end = &self.calls[call].end;
            let served = matches!(end, Some(CallStep::Answer(_)));
            if end.is_none() || call >= before && !served {
                let text = format!("after rest call {call} ended {end:?}");
                self.fail(text);
            }
        }
    }
}
