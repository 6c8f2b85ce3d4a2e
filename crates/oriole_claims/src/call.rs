//! How an entry tries the agents that may hold a request's key.
//!
//! The entry sends the request to the candidates in order. An agent that received the request and
//! did not answer may have run it, so from then on a refusal by another agent cannot end the call
//! as not run.

use std::collections::VecDeque;

use bytes::Bytes;
use oriole_types::ids::{Incarnation, VmName};
use oriole_types::outcome::{RefusalReason, UnknownReason};

use crate::request::ClaimOutcome;

/// After this many sends, redirects and recalls included, a call tries no further candidate.
pub const MAX_ATTEMPTS: u32 = 6;

/// What an entry does next for a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CallStep {
    /// Send the request to an agent.
    Send {
        /// VM of the agent.
        vm: VmName,
        /// The incarnation to put into [`crate::request::ClaimRequest::recall`].
        recall: Option<Incarnation>,
    },
    /// Return this answer to the caller.
    Answer(Bytes),
    /// Report to the caller that this request was not run.
    NotRun(RefusalReason),
    /// Report to the caller that the request may have run.
    Unknown(UnknownReason),
}

/// A call in progress. After its creation and after each reported result, [`ClaimCall::next_step`]
/// says how to go on.
#[derive(Clone, Debug)]
pub struct ClaimCall {
    /// Agents still to try, best first.
    candidates: VecDeque<VmName>,
    /// How often the request was sent.
    attempts: u32,
    /// Set once an agent may have run the request without answering.
    lost_reason: Option<UnknownReason>,
    last_refusal: RefusalReason,
    final_step: Option<CallStep>,
    /// Agent and incarnation to recall the answer from next.
    recall_from: Option<(VmName, Incarnation)>,
    /// Whether the last request sent was a recall.
    is_recall: bool,
    /// Agent that the request was last sent to.
    current_vm: Option<VmName>,
}

impl ClaimCall {
    /// Creates a call that tries these candidates in order; see [`crate::route::candidates`].
    #[must_use]
    pub fn new(candidates: Vec<VmName>) -> Self {
        Self {
            candidates: candidates.into(),
            attempts: 0,
            lost_reason: None,
            last_refusal: RefusalReason::NoUpstream,
            final_step: None,
            recall_from: None,
            is_recall: false,
            current_vm: None,
        }
    }

    /// Returns the next step. Once the call has ended, it is always the same final step.
    pub fn next_step(&mut self) -> CallStep {
        if let Some(step) = &self.final_step {
            return step.clone();
        }
        if let Some((vm, incarnation)) = self.recall_from.take() {
            self.is_recall = true;
            return self.send_to(vm, Some(incarnation));
        }
        match self.candidates.pop_front() {
            Some(vm) if self.attempts < MAX_ATTEMPTS => self.send_to(vm, None),
            _ => self.finish(),
        }
    }

    /// Records the outcome that an agent reported.
    pub fn on_outcome(&mut self, outcome: ClaimOutcome) {
        match outcome {
            ClaimOutcome::FirstRun(answer) | ClaimOutcome::Replay(answer) => {
                self.final_step = Some(CallStep::Answer(answer));
            }
            ClaimOutcome::Unknown(reason) => self.final_step = Some(CallStep::Unknown(reason)),
            ClaimOutcome::Elsewhere(home) => self.recall_from = Some((home.vm, home.incarnation)),
            ClaimOutcome::NotRun { reason, home } => self.on_refusal(reason, home),
        }
    }

    /// Records that no byte of the request was sent to the agent.
    pub fn on_not_sent(&mut self) {
        if self.is_recall {
            self.final_step = Some(CallStep::Unknown(UnknownReason::HomeLost));
            return;
        }
        self.last_refusal = RefusalReason::AgentUnreachable;
    }

    /// Records that the request was sent and no answer came. It is sent to the same agent once
    /// more, which attaches it to the run of the first if there is one.
    pub fn on_answer_lost(&mut self) {
        if self.is_recall {
            self.final_step = Some(CallStep::Unknown(UnknownReason::AgentLost));
        }
        if self.lost_reason.is_none()
            && let Some(vm) = self.current_vm.take()
        {
            self.candidates.push_front(vm);
        }
        self.lost_reason = Some(UnknownReason::AgentLost);
    }

    fn send_to(&mut self, vm: VmName, recall: Option<Incarnation>) -> CallStep {
        self.attempts += 1;
        self.current_vm = Some(vm.clone());
        CallStep::Send { vm, recall }
    }

    fn on_refusal(&mut self, reason: RefusalReason, home: Option<VmName>) {
        self.last_refusal = reason;
        if reason != RefusalReason::NotHome || self.is_recall {
            self.final_step = Some(self.finish());
            return;
        }
        if let Some(vm) = home {
            self.candidates.retain(|c| *c != vm);
            self.candidates.push_front(vm);
        }
    }

    fn finish(&self) -> CallStep {
        match self.lost_reason {
            Some(reason) => CallStep::Unknown(reason),
            None => CallStep::NotRun(self.last_refusal),
        }
    }
}
