//! Dispatch of a request that must run at most once, at the agent that owns its idempotency key.

use bytes::{Bytes, BytesMut};
use oriole_claims::call::{CallStep, ClaimCall};
use oriole_claims::request::{ClaimOutcome, HomeRef};
use oriole_claims::route;
use oriole_routing::retry::{AttemptEnd, RetryDecision};
use oriole_types::prelude::*;
use oriole_wire::exchange::{Exchange, ExchangeEvent};
use tokio::time::timeout_at;

use crate::answer::{AnswerEvent, Refusal};
use crate::dispatch::Dispatch;
use crate::routing::AttemptGuard;

/// Largest answer that is accepted, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// Result of sending the request to one agent.
enum AgentReply {
    /// The outcome at that agent, and whether the answer is that of an earlier request.
    Outcome(ClaimOutcome, bool),
    /// The request could not be sent.
    NotSent,
    /// The connection broke before an answer arrived.
    AnswerLost,
    /// The request's deadline passed first.
    DeadlinePassed,
}

impl Dispatch<'_> {
    /// Calls the agents that may own the key until the request has a final outcome.
    pub(crate) async fn run_at_most_once(&mut self) -> AnswerEvent {
        loop {
            let refusal = match self.call_agents().await {
                AnswerEvent::NotRun(refusal) => refusal,
                event => return event,
            };
            let end = AttemptEnd::NotRun {
                reason: refusal.reason,
                retry_after: None,
            };
            match self.decide_retry(end) {
                RetryDecision::Retry { after } => tokio::time::sleep(after).await,
                RetryDecision::GiveUp(_) => return AnswerEvent::NotRun(refusal),
            }
        }
    }

    /// Makes one pass over the candidate agents.
    async fn call_agents(&mut self) -> AnswerEvent {
        let mut call = ClaimCall::new(self.candidates());
        let mut replayed = false;
        loop {
            match call.next_step() {
                CallStep::Send { vm, recall } => match self.send_to_agent(&vm, recall).await {
                    AgentReply::Outcome(outcome, is_replay) => {
                        replayed = is_replay;
                        call.on_outcome(outcome);
                    }
                    AgentReply::NotSent => call.on_not_sent(),
                    AgentReply::AnswerLost => call.on_answer_lost(),
                    AgentReply::DeadlinePassed => {
                        return AnswerEvent::Unknown {
                            reason: UnknownReason::Deadline,
                        };
                    }
                },
                CallStep::Answer(answer) => return self.deliver_answer(answer, replayed).await,
                CallStep::NotRun(reason) => {
                    let message = format!("no agent ran the request: {reason}");
                    return AnswerEvent::NotRun(Refusal::new(reason, message));
                }
                CallStep::Unknown(reason) => return AnswerEvent::Unknown { reason },
            }
        }
    }

    /// The live agents that may own the key, best first.
    fn candidates(&self) -> Vec<VmName> {
        let head = &self.accepted.head;
        let Some(catalog) = self.state.catalog.borrow().clone() else {
            return Vec::new();
        };
        let (Some(pool), Some(key)) = (catalog.pools.get(&self.accepted.pool), &head.key) else {
            return Vec::new();
        };
        let live = self.state.fleet.pool_members(&self.accepted.pool, &catalog);
        let scoped = (&head.account, &head.entry, key);
        route::candidates(&self.accepted.pool, pool.claim_partitions, scoped, &live)
    }

    /// Sends the request to one agent and waits for the outcome there.
    async fn send_to_agent(&mut self, vm: &VmName, recall: Option<Incarnation>) -> AgentReply {
        self.attempts += 1;
        let guard = self.state.routing.start_pinned_attempt(vm);
        let recall = recall.map_or(0, |i| i.0);
        match self.open_exchange(vm, recall).await {
            Ok(exchange) => self.receive_answer(vm, exchange, guard).await,
            Err(refusal) => {
                guard.refused(refusal.reason, refusal.retry_after_ms, None);
                AgentReply::NotSent
            }
        }
    }

    async fn receive_answer(
        &self,
        vm: &VmName,
        mut exchange: Exchange,
        guard: AttemptGuard,
    ) -> AgentReply {
        let deadline = self.deadline();
        let mut answer = BytesMut::new();
        loop {
            let Ok(event) = timeout_at(deadline, exchange.recv()).await else {
                guard.failed(None);
                return AgentReply::DeadlinePassed;
            };
            match event {
                ExchangeEvent::Chunk { data, .. } => {
                    if answer.len() + data.len() > MAX_ANSWER_BYTES {
                        guard.failed(None);
                        return AgentReply::Outcome(
                            ClaimOutcome::Unknown(UnknownReason::AnswerLost),
                            false,
                        );
                    }
                    answer.extend_from_slice(&data);
                }
                ExchangeEvent::End { replayed, load, .. } => {
                    self.record_load(vm, load);
                    guard.finished(load.as_ref());
                    return AgentReply::Outcome(ClaimOutcome::FirstRun(answer.freeze()), replayed);
                }
                ExchangeEvent::Refused {
                    reason,
                    retry_after_ms,
                    redirect_to,
                    recall,
                    load,
                    ..
                } => {
                    self.record_load(vm, load);
                    guard.refused(reason, retry_after_ms, load.as_ref());
                    return AgentReply::Outcome(
                        refused_outcome(reason, redirect_to, recall),
                        false,
                    );
                }
                ExchangeEvent::Failed {
                    reason: UnknownReason::AgentLost,
                    ..
                } => {
                    guard.failed(None);
                    return AgentReply::AnswerLost;
                }
                ExchangeEvent::Failed { reason, load } => {
                    self.record_load(vm, load);
                    guard.failed(load.as_ref());
                    return AgentReply::Outcome(ClaimOutcome::Unknown(reason), false);
                }
            }
        }
    }

    async fn deliver_answer(&mut self, answer: Bytes, replayed: bool) -> AnswerEvent {
        let items = AnswerEvent::Items {
            position: 0,
            items: 1,
            data: answer,
        };
        // A caller that left or reads too slowly can repeat the request with the same key.
        self.deliver(items).await;
        AnswerEvent::Complete {
            position: 1,
            replayed,
        }
    }
}

fn refused_outcome(
    reason: RefusalReason,
    redirect_to: Option<VmName>,
    recall: Option<Incarnation>,
) -> ClaimOutcome {
    match (redirect_to, recall) {
        (Some(vm), Some(incarnation)) => ClaimOutcome::Elsewhere(HomeRef { vm, incarnation }),
        (home, _) => ClaimOutcome::NotRun { reason, home },
    }
}
