//! The way of a request that must run at most once: bound to the agent that holds its key.

use bytes::{Bytes, BytesMut};
use oriole_claims::call::{CallStep, ClaimCall};
use oriole_claims::request::{ClaimEnd, HomeRef};
use oriole_claims::route;
use oriole_routing::retry::{AttemptEnd, RetryDecision};
use oriole_types::prelude::*;
use oriole_wire::exchange::{Exchange, ExchangeEvent};
use tokio::time::timeout_at;

use crate::answer::{AnswerEvent, Refusal};
use crate::dispatch::Dispatch;
use crate::traffic::AttemptGuard;

/// Largest answer that is taken in, in bytes.
const MAX_ANSWER_BYTES: usize = 1024 * 1024;

/// What one agent said.
enum Said {
    /// The end of the claim there, and whether the answer is that of an earlier request.
    End(ClaimEnd, bool),
    /// Nothing was sent to it.
    Unsent,
    /// No answer came.
    Lost,
    /// The deadline passed.
    Late,
}

impl Dispatch<'_> {
    /// Asks the agents that may hold the key until one of the three ends is certain.
    pub(crate) async fn run_claimed(&mut self) -> AnswerEvent {
        loop {
            let refusal = match self.ask_agents().await {
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

    async fn ask_agents(&mut self) -> AnswerEvent {
        let mut call = ClaimCall::new(self.candidates());
        let mut replayed = false;
        loop {
            match call.step() {
                CallStep::Ask { vm, recall } => match self.ask(&vm, recall).await {
                    Said::End(end, replay) => {
                        replayed = replay;
                        call.on_end(end);
                    }
                    Said::Unsent => call.on_unsent(),
                    Said::Lost => call.on_lost(),
                    Said::Late => {
                        return AnswerEvent::Unknown {
                            reason: UnknownReason::Deadline,
                        };
                    }
                },
                CallStep::Answer(answer) => return self.give(answer, replayed).await,
                CallStep::NotRun(reason) => {
                    let message = format!("no agent ran the request: {reason}");
                    return AnswerEvent::NotRun(Refusal::new(reason, message));
                }
                CallStep::Unknown(reason) => return AnswerEvent::Unknown { reason },
            }
        }
    }

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

    async fn ask(&mut self, vm: &VmName, recall: Option<Incarnation>) -> Said {
        self.attempts += 1;
        let guard = self.state.traffic.count_bound(vm);
        let recall = recall.map_or(0, |i| i.0);
        match self.open(vm, recall).await {
            Ok(exchange) => self.listen(vm, exchange, guard).await,
            Err(refusal) => {
                guard.refused(refusal.reason, refusal.retry_after_ms, None);
                Said::Unsent
            }
        }
    }

    async fn listen(&self, vm: &VmName, mut exchange: Exchange, guard: AttemptGuard) -> Said {
        let deadline = self.deadline();
        let mut answer = BytesMut::new();
        loop {
            let Ok(event) = timeout_at(deadline, exchange.recv()).await else {
                guard.failed(None);
                return Said::Late;
            };
            match event {
                ExchangeEvent::Chunk { data, .. } => {
                    if answer.len() + data.len() > MAX_ANSWER_BYTES {
                        guard.failed(None);
                        return Said::End(ClaimEnd::Unknown(UnknownReason::AnswerLost), false);
                    }
                    answer.extend_from_slice(&data);
                }
                ExchangeEvent::End { replayed, load, .. } => {
                    self.note_load(vm, load);
                    guard.finished(load.as_ref());
                    return Said::End(ClaimEnd::FirstRun(answer.freeze()), replayed);
                }
                ExchangeEvent::Refused {
                    reason,
                    retry_after_ms,
                    redirect_to,
                    recall,
                    load,
                    ..
                } => {
                    self.note_load(vm, load);
                    guard.refused(reason, retry_after_ms, load.as_ref());
                    return Said::End(refused_end(reason, redirect_to, recall), false);
                }
                ExchangeEvent::Failed {
                    reason: UnknownReason::AgentLost,
                    ..
                } => {
                    guard.failed(None);
                    return Said::Lost;
                }
                ExchangeEvent::Failed { reason, load } => {
                    self.note_load(vm, load);
                    guard.failed(load.as_ref());
                    return Said::End(ClaimEnd::Unknown(reason), false);
                }
            }
        }
    }

    async fn give(&mut self, answer: Bytes, replayed: bool) -> AnswerEvent {
        let items = AnswerEvent::Items {
            position: 0,
            items: 1,
            data: answer,
        };
        // A reader that left or is too slow can ask again with the same key.
        self.deliver(items).await;
        AnswerEvent::Complete {
            position: 1,
            replayed,
        }
    }
}

fn refused_end(
    reason: RefusalReason,
    redirect_to: Option<VmName>,
    recall: Option<Incarnation>,
) -> ClaimEnd {
    match (redirect_to, recall) {
        (Some(vm), Some(incarnation)) => ClaimEnd::Elsewhere(HomeRef { vm, incarnation }),
        (home, _) => ClaimEnd::NotRun { reason, home },
    }
}
