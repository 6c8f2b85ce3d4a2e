//! One request's way over several agents, as an entry follows it.
//!
//! The entry asks the candidates in order. An agent whose answer never came may have run the
//! request, so from then on no refusal by another agent can end the call as not run.

use std::collections::VecDeque;

use bytes::Bytes;
use oriole_types::ids::{Incarnation, VmName};
use oriole_types::outcome::{RefusalReason, UnknownReason};

use crate::request::ClaimOutcome;

/// Most agents that one call asks, hints and recalls included.
pub const MAX_ATTEMPTS: u32 = 6;

/// What an entry does next for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStep {
    /// Send the request to an agent.
    Send {
        /// VM of the agent.
        vm: VmName,
        /// The incarnation to recall from; `None` for a first request.
        recall: Option<Incarnation>,
    },
    /// Give the answer to the caller.
    Answer(Bytes),
    /// Tell the caller that this request was not run.
    NotRun(RefusalReason),
    /// Tell the caller that it may have run.
    Unknown(UnknownReason),
}

/// A call in progress. Ask [`ClaimCall::next_step`] after the start and after each report.
#[derive(Clone, Debug)]
pub struct ClaimCall {
    candidates: VecDeque<VmName>,
    asked: u32,
    lost: Option<UnknownReason>,
    refusal: RefusalReason,
    end: Option<CallStep>,
    recall: Option<(VmName, Incarnation)>,
    recalling: bool,
    asking: Option<VmName>,
}

impl ClaimCall {
    /// A call over candidates in order, from [`crate::route::candidates`].
    #[must_use]
    pub fn new(candidates: Vec<VmName>) -> Self {
        Self {
            candidates: candidates.into(),
            asked: 0,
            lost: None,
            refusal: RefusalReason::NoUpstream,
            end: None,
            recall: None,
            recalling: false,
            asking: None,
        }
    }

    /// The next step. After an end it stays the same.
    pub fn next_step(&mut self) -> CallStep {
        if let Some(end) = &self.end {
            return end.clone();
        }
        if let Some((vm, incarnation)) = self.recall.take() {
            self.recalling = true;
            return self.ask(vm, Some(incarnation));
        }
        match self.candidates.pop_front() {
            Some(vm) if self.asked < MAX_ATTEMPTS => self.ask(vm, None),
            _ => self.finish(),
        }
    }

    /// An agent answered.
    pub fn on_outcome(&mut self, end: ClaimOutcome) {
        match end {
            ClaimOutcome::FirstRun(answer) | ClaimOutcome::Replay(answer) => {
                self.end = Some(CallStep::Answer(answer));
            }
            ClaimOutcome::Unknown(reason) => self.end = Some(CallStep::Unknown(reason)),
            ClaimOutcome::Elsewhere(home) => self.recall = Some((home.vm, home.incarnation)),
            ClaimOutcome::NotRun { reason, home } => self.on_refusal(reason, home),
        }
    }

    /// The request could not be sent to the agent: no byte of it left.
    pub fn on_not_sent(&mut self) {
        if self.recalling {
            self.end = Some(CallStep::Unknown(UnknownReason::HomeLost));
            return;
        }
        self.refusal = RefusalReason::AgentUnreachable;
    }

    /// The request was sent and no answer came. The same agent is asked once more: it attaches the
    /// request to a run of the first.
    pub fn on_answer_lost(&mut self) {
        if self.recalling {
            self.end = Some(CallStep::Unknown(UnknownReason::AgentLost));
        }
        if self.lost.is_none()
            && let Some(vm) = self.asking.take()
        {
            self.candidates.push_front(vm);
        }
        self.lost = Some(UnknownReason::AgentLost);
    }

    fn ask(&mut self, vm: VmName, recall: Option<Incarnation>) -> CallStep {
        self.asked += 1;
        self.asking = Some(vm.clone());
        CallStep::Send { vm, recall }
    }

    fn on_refusal(&mut self, reason: RefusalReason, home: Option<VmName>) {
        self.refusal = reason;
        if reason != RefusalReason::NotHome || self.recalling {
            self.end = Some(self.finish());
            return;
        }
        if let Some(vm) = home {
            self.candidates.retain(|c| *c != vm);
            self.candidates.push_front(vm);
        }
    }

    fn finish(&self) -> CallStep {
        match self.lost {
            Some(reason) => CallStep::Unknown(reason),
            None => CallStep::NotRun(self.refusal),
        }
    }
}
