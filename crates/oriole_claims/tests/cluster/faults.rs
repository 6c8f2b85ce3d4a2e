//! Injected faults: lost messages, failed store calls, crashed and paused processes.

use bytes::Bytes;
use oriole_claims::home::{Event, StoreTarget};
use oriole_claims::partition::{StoreCall, StoreOutcome};
use oriole_claims::prelude::*;
use oriole_store::error::StoreError;
use oriole_store::store::{Precondition, StoreVersion, Versioned};
use oriole_types::prelude::*;

use super::TestCluster;
use super::types::{Agent, InjectedBug, Message, MessageKind};

impl TestCluster {
    /// Makes a message fail in the way that `variant` selects. `n` selects the message among those
    /// that can fail.
    pub fn fault(&mut self, n: usize, variant: u8) {
        let can_fail = |m: &Message| match m {
            Message::Request { .. } | Message::Reply { .. } | Message::Run { .. } => true,
            Message::StoreRequest { call, .. } => !matches!(call, StoreCall::Delete { .. }),
            Message::StoreOutcome { .. } | Message::LateWrite(_) | Message::RunOutcome { .. } => {
                false
            }
        };
        let targets = (0..self.messages.len()).filter(|i| can_fail(&self.messages[*i]));
        let targets: Vec<usize> = targets.collect();
        if targets.is_empty() {
            return;
        }
        let Some(message) = self.remove_message(targets[n % targets.len()]) else {
            return;
        };
        match message {
            Message::Request {
                attempt,
                slot,
                recall,
            } => {
                let unsent = variant.is_multiple_of(3);
                if variant % 3 == 2 {
                    self.messages.push(Message::Request {
                        attempt,
                        slot,
                        recall,
                    });
                }
                self.fail_attempt(attempt, unsent);
            }
            Message::Reply { attempt, .. } => self.fail_attempt(attempt, false),
            Message::StoreRequest {
                agent,
                target,
                call,
            } => self.fail_store_call(agent, target, call, variant),
            Message::Run {
                agent,
                attempt,
                key,
            } if self.is_running(agent) => {
                let outcome = if variant.is_multiple_of(2) {
                    RunOutcome::NotRun(RefusalReason::UpstreamUnreachable)
                } else {
                    self.run_upstream(attempt);
                    RunOutcome::Unknown(UnknownReason::UpstreamFailed)
                };
                self.messages.push(Message::RunOutcome {
                    agent,
                    key,
                    outcome,
                });
            }
            other => self.messages.push(other),
        }
    }

    /// Makes the oldest message of some kind fail in the way that `variant` selects.
    pub fn fault_first_message(&mut self, kind: MessageKind, variant: u8) {
        let found = self.messages.iter().position(|m| kind.matches(m));
        let Some(at) = found else {
            return self.record_violation(format!("no {kind:?} is in flight"));
        };
        let message = self.messages.remove(at);
        self.messages.insert(0, message);
        self.fault(0, variant);
    }

    /// Reports to the entry that no answer came, or, if `unsent`, that the request was not sent.
    pub(super) fn fail_attempt(&mut self, attempt: usize, unsent: bool) {
        let call = self.attempts[attempt];
        if self.calls[call].attempt != Some(attempt) || self.calls[call].final_step.is_some() {
            return;
        }
        self.log_line(|| format!("call {call} hears nothing, unsent={unsent}"));
        self.calls[call].attempt = None;
        if unsent || self.bug == InjectedBug::LostAnswerIsFailure {
            self.calls[call].claim_call.on_not_sent();
        } else {
            self.calls[call].claim_call.on_answer_lost();
        }
        self.proceed(call);
    }

    /// Fails a store call: without effect, with its effect, or with the effect delayed.
    pub(super) fn fail_store_call(
        &mut self,
        agent: (usize, u64),
        target: StoreTarget,
        call: StoreCall,
        variant: u8,
    ) {
        let ambiguous = !variant.is_multiple_of(4);
        match variant % 4 {
            1 => {
                self.apply_store_call(&call);
            }
            2 => self.messages.push(Message::LateWrite(call.clone())),
            _ => {}
        }
        let error = if ambiguous {
            StoreError::Ambiguous
        } else {
            StoreError::Unavailable
        };
        self.log_line(|| format!("vm-{} {target:?}: {error}", agent.0));
        let outcome = match call {
            StoreCall::Read { .. } => StoreOutcome::Read(Err(StoreError::Unavailable)),
            StoreCall::Delete { .. } => StoreOutcome::Delete(Err(error)),
            StoreCall::Write { .. } if ambiguous && self.bug == InjectedBug::LostWriteIsDone => {
                StoreOutcome::Write(Ok(StoreVersion(self.version)))
            }
            StoreCall::Write { .. } if self.bug == InjectedBug::LostWriteIsNotDone => {
                StoreOutcome::Write(Err(StoreError::Unavailable))
            }
            StoreCall::Write { .. } => StoreOutcome::Write(Err(error)),
        };
        self.messages.push(Message::StoreOutcome {
            agent,
            target,
            outcome,
        });
    }

    pub(super) fn apply_store_call(&mut self, call: &StoreCall) -> StoreOutcome {
        match call {
            StoreCall::Read { key } => {
                let mut found = self.store.get(key).cloned();
                let segment = !key.ends_with("head") && !key.ends_with("layout");
                if segment && self.bug == InjectedBug::SegmentsIgnored {
                    found = found.map(|f| Versioned {
                        value: Bytes::new(),
                        ..f
                    });
                }
                StoreOutcome::Read(Ok(found))
            }
            StoreCall::Delete { key } => {
                self.store.remove(key);
                StoreOutcome::Delete(Ok(()))
            }
            StoreCall::Write {
                key,
                value,
                precondition,
            } => StoreOutcome::Write(self.write_store(key, value, *precondition)),
        }
    }

    pub(super) fn write_store(
        &mut self,
        key: &str,
        value: &Bytes,
        precondition: Precondition,
    ) -> Result<StoreVersion, StoreError> {
        let holds = match precondition {
            Precondition::Absent => !self.store.contains_key(key),
            Precondition::Version(v) => self.store.get(key).is_some_and(|f| f.version == v),
            Precondition::Any => true,
        };
        let skips_check = self.bug == InjectedBug::LeaseOnly && key.ends_with("head");
        if !holds && !skips_check {
            return Err(StoreError::Conflict);
        }
        self.version += 1;
        let version = StoreVersion(self.version);
        let value = value.clone();
        self.store
            .insert(key.to_owned(), Versioned { value, version });
        Ok(version)
    }

    /// Crashes the process of an agent and starts a new one. Its store calls in flight may
    /// still take effect, and requests not yet delivered to the upstream are dropped.
    pub fn crash(&mut self, slot: usize) {
        self.log_line(|| format!("vm-{slot} dies and is replaced"));
        let id = (slot, self.agents[slot].incarnation);
        self.replace_agent(slot);
        self.messages
            .retain(|m| !matches!(m, Message::Run { agent, .. } if *agent == id));
    }

    /// Pauses the process of an agent, which is assumed to have crashed and is replaced. It
    /// continues later, next to its replacement.
    pub fn pause(&mut self, slot: usize) {
        self.log_line(|| format!("vm-{slot} is paused and replaced"));
        let id = (slot, self.agents[slot].incarnation);
        let paused = self.replace_agent(slot);
        self.zombies.push((id, paused));
    }

    pub(super) fn replace_agent(&mut self, slot: usize) -> Agent {
        let live = self.agents[slot].live.clone();
        let agent = self.start_agent(slot, live.clone());
        let old = std::mem::replace(&mut self.agents[slot], agent);
        self.deliver_to_newest(slot, Event::LiveAgents(live));
        old
    }
}
