//! Sends one request to agents, with retries, until it has one final outcome.

use std::sync::Arc;
use std::time::Duration;

use oriole_admission::poison::home_of_suspect;
use oriole_peers::status::encode_age;
use oriole_routing::queue::QueueRequest;
use oriole_routing::retry::{AttemptEnd, FailedAttempt, RetryDecision};
use oriole_types::prelude::*;
use oriole_wire::exchange::{Exchange, ExchangeEvent};
use oriole_wire::frame::Open;
use slog::info;
use tokio::sync::mpsc;
use tokio::time::{Instant, timeout_at};
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::{AnswerEvent, Refusal};
use crate::api::errors::{outcome_name, request_id_text};
use crate::intake::AcceptedRequest;
use crate::routing::{AcquireRequest, AttemptGuard};
use crate::state::EntryState;

/// Longest time that a caller may read nothing of its answer before the request is given up.
const SLOW_READER_TIMEOUT: Duration = Duration::from_secs(30);

/// Leading bytes of a body that are hashed to find upstreams that cached the same prompt prefix.
const PREFIX_HASH_BYTES: usize = 256;

/// Service time assumed for deadlines in the queue and in the retry budget.
const ASSUMED_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Runs a request and sends its events, up to the final outcome, to `tx`.
pub(crate) async fn run(
    state: &Arc<EntryState>,
    accepted: AcceptedRequest,
    tx: &mpsc::Sender<AnswerEvent>,
) {
    state.routing.record_request();
    let request = accepted.request;
    let account = accepted.head.account.clone();
    let idempotent = accepted.head.idempotent;
    let content = accepted.head.content;
    let mut dispatch = Dispatch::new(state, accepted, tx);
    let end = if idempotent {
        tokio::select! {
            end = dispatch.run() => end,
            () = tx.closed() => {
                metrics::counter!("oriole_reader_gone_total").increment(1);
                return;
            }
        }
    } else {
        // Goes on even if the caller leaves: a repeated request with the same key needs the answer.
        dispatch.run_at_most_once().await
    };
    if let AnswerEvent::NotRun(refusal) = &end {
        state.count_refusal(request, refusal);
    }
    if end.outcome() == Some(Outcome::Complete) {
        state.poison.record_completion(&content);
    }
    let outcome = end.outcome().map_or("none", outcome_name);
    metrics::counter!("oriole_requests_total", "outcome" => outcome).increment(1);
    info!(state.log, "request ended";
        "request_id" => request_id_text(request),
        "account" => account.as_str(),
        "step" => "end",
        "outcome" => outcome,
    );
    // The caller may have left.
    let _ = tx.send(end).await;
}

/// The state of one request across its attempts.
pub(crate) struct Dispatch<'a> {
    pub(crate) state: &'a Arc<EntryState>,
    pub(crate) accepted: AcceptedRequest,
    tx: &'a mpsc::Sender<AnswerEvent>,
    pub(crate) attempts: Attempt,
    /// Number of items sent to the caller; the next attempt resumes there.
    position: u64,
    /// Upstreams that refused or failed this request.
    exclude: Vec<VmName>,
    /// Whether an upstream failed while running this request, or an agent refused it as suspect
    /// content whose home is another upstream.
    suspected: bool,
}

/// How an attempt ended.
enum AttemptOutcome {
    /// The request has its final outcome.
    Ended(AnswerEvent),
    /// The attempt did not run.
    NotRun(Refusal),
    /// The attempt may have run.
    Unknown(UnknownReason),
}

impl<'a> Dispatch<'a> {
    fn new(
        state: &'a Arc<EntryState>,
        accepted: AcceptedRequest,
        tx: &'a mpsc::Sender<AnswerEvent>,
    ) -> Self {
        Self {
            state,
            accepted,
            tx,
            attempts: 0,
            position: 0,
            exclude: Vec::new(),
            suspected: false,
        }
    }

    async fn run(&mut self) -> AnswerEvent {
        loop {
            let guard = match self.state.routing.acquire(self.acquire_request()).await {
                Ok(guard) => guard,
                Err(refusal) => return self.not_run_event(refusal),
            };
            self.attempts += 1;
            let outcome = self.attempt(guard).await;
            let (end, event) = match outcome {
                AttemptOutcome::Ended(event) => return event,
                AttemptOutcome::NotRun(refusal) => {
                    (attempt_end_of(&refusal), self.not_run_event(refusal))
                }
                AttemptOutcome::Unknown(reason) => {
                    (AttemptEnd::Unknown(reason), AnswerEvent::Unknown { reason })
                }
            };
            match self.decide_retry(end) {
                RetryDecision::Retry { after } => tokio::time::sleep(after).await,
                RetryDecision::GiveUp(_) => return event,
            }
        }
    }

    /// The final event for a refusal. If the caller already has part of the answer, the outcome is
    /// unknown instead.
    fn not_run_event(&self, refusal: Refusal) -> AnswerEvent {
        if self.position == 0 {
            return AnswerEvent::NotRun(refusal);
        }
        AnswerEvent::Unknown {
            reason: UnknownReason::Incomplete,
        }
    }

    async fn attempt(&mut self, guard: AttemptGuard) -> AttemptOutcome {
        let vm = guard.vm().clone();
        let mut exchange = match self.open_exchange(&vm, 0).await {
            Ok(exchange) => exchange,
            Err(refusal) => {
                self.exclude.push(vm);
                guard.refused(refusal.reason, refusal.retry_after_ms, None);
                return AttemptOutcome::NotRun(refusal);
            }
        };
        let deadline = self.deadline();
        loop {
            let Ok(event) = timeout_at(deadline, exchange.recv()).await else {
                guard.failed(None);
                return AttemptOutcome::Ended(AnswerEvent::Unknown {
                    reason: UnknownReason::Deadline,
                });
            };
            match event {
                ExchangeEvent::Chunk {
                    position,
                    items,
                    data,
                } => {
                    let event = AnswerEvent::Items {
                        position,
                        items,
                        data,
                    };
                    if !self.deliver(event).await {
                        return AttemptOutcome::Ended(AnswerEvent::Unknown {
                            reason: UnknownReason::Incomplete,
                        });
                    }
                    self.position = exchange.position();
                }
                ExchangeEvent::End {
                    position,
                    replayed,
                    load,
                    ..
                } => {
                    self.record_load(&vm, load);
                    guard.finished(load.as_ref());
                    return AttemptOutcome::Ended(AnswerEvent::Complete { position, replayed });
                }
                ExchangeEvent::Refused {
                    reason,
                    retry_after_ms,
                    load,
                    ..
                } => {
                    self.record_load(&vm, load);
                    guard.refused(reason, retry_after_ms, load.as_ref());
                    self.exclude.push(vm.clone());
                    self.suspected |= reason == RefusalReason::NotHome;
                    let message = format!("the upstream refused the request: {reason}");
                    let refusal = Refusal::new(reason, message).with_retry_after_ms(retry_after_ms);
                    return AttemptOutcome::NotRun(refusal);
                }
                ExchangeEvent::Failed { reason, load } => {
                    self.record_load(&vm, load);
                    guard.failed(load.as_ref());
                    self.exclude.push(vm);
                    self.suspected |= reason == UnknownReason::UpstreamFailed;
                    return AttemptOutcome::Unknown(reason);
                }
            }
        }
    }

    /// Sends the request to an agent. An error means that nothing was sent.
    pub(crate) async fn open_exchange(
        &self,
        vm: &VmName,
        recall: u64,
    ) -> Result<Exchange, Refusal> {
        let unreachable = |message: String| Refusal::new(RefusalReason::AgentUnreachable, message);
        let addr = self
            .state
            .fleet
            .peer_address(vm)
            .ok_or_else(|| unreachable(format!("upstream {vm} has no address")))?;
        let channel = self
            .state
            .channels
            .get(addr)
            .await
            .map_err(|e| unreachable(format!("agent {vm}: {e}")))?;
        let body = self.accepted.body.clone();
        let mut open = Open::new(self.accepted.request.0, self.attempts, &self.head(), body);
        let status = self.state.config.status();
        open.revision = status.revision.0;
        open.confirmed_age_ms = encode_age(status.confirmed_age);
        open.recall = recall;
        open.proven = self.state.poison.is_proven(&self.accepted.head.content);
        channel
            .open(open)
            .await
            .map_err(|e| unreachable(format!("agent {vm}: {e}")))
    }

    /// Sends an event to the caller; `false` if the caller reads too slowly.
    pub(crate) async fn deliver(&self, event: AnswerEvent) -> bool {
        let sent = self.tx.send_timeout(event, SLOW_READER_TIMEOUT).await;
        match sent {
            Err(mpsc::error::SendTimeoutError::Timeout(_)) => {
                metrics::counter!("oriole_slow_readers_total").increment(1);
                false
            }
            // `run` handles callers that left.
            Ok(()) | Err(mpsc::error::SendTimeoutError::Closed(_)) => true,
        }
    }

    pub(crate) fn record_load(&self, vm: &VmName, load: Option<LoadReport>) {
        if let Some(load) = load {
            self.state.fleet.set_load(vm, load);
        }
    }

    /// The head for the next attempt: remaining time as timeout, resuming after the items sent.
    fn head(&self) -> RequestHead {
        let mut head = self.accepted.head.clone();
        let remaining = self
            .accepted
            .deadline
            .saturating_sub(self.state.clock.now());
        head.timeout_ms = u32::try_from(remaining.as_millis())
            .unwrap_or(u32::MAX)
            .max(1);
        head.resume_from = self.position;
        head
    }

    pub(crate) fn deadline(&self) -> Instant {
        let remaining = self
            .accepted
            .deadline
            .saturating_sub(self.state.clock.now());
        Instant::now() + remaining
    }

    /// Upstreams that the request must not be sent to. Once it is suspect, these are all but its
    /// home upstream, which runs it alone: a poisonous request that is retried elsewhere would
    /// crash one upstream after the other.
    fn excluded(&self) -> Vec<VmName> {
        let content = &self.accepted.head.content;
        if !self.suspected && !self.state.poison.is_suspect(content) {
            return self.exclude.clone();
        }
        let Some(catalog) = self.state.catalog.borrow().clone() else {
            return self.exclude.clone();
        };
        let mut members = self.state.fleet.pool_members(&self.accepted.pool, &catalog);
        let home = home_of_suspect(content, &members).cloned();
        members.retain(|vm| Some(vm) != home.as_ref());
        members
    }

    fn acquire_request(&self) -> AcquireRequest {
        let head = &self.accepted.head;
        let body = &self.accepted.body;
        let prefix = &body[..body.len().min(PREFIX_HASH_BYTES)];
        let is_engine = self.accepted.kind == PoolKind::Engine;
        AcquireRequest {
            pool: self.accepted.pool.clone(),
            prefix: is_engine.then(|| xxh3_64(prefix)),
            exclude: self.excluded(),
            queue_request: QueueRequest {
                account: head.account.clone(),
                weight: self.accepted.weight,
                priority: head.priority,
                deadline: self.accepted.deadline,
                service_time: ASSUMED_SERVICE_TIME,
                key: Some(head.content.prefix_u64()),
            },
        }
    }

    pub(crate) fn decide_retry(&self, end: AttemptEnd) -> RetryDecision {
        let failed = FailedAttempt {
            attempts: self.attempts,
            priority: self.accepted.head.priority,
            idempotent: self.accepted.head.idempotent,
            end,
            deadline: self.accepted.deadline,
            service_time: ASSUMED_SERVICE_TIME,
        };
        self.state.routing.decide_retry(&failed)
    }
}

fn attempt_end_of(refusal: &Refusal) -> AttemptEnd {
    let retry_after = Duration::from_millis(u64::from(refusal.retry_after_ms));
    AttemptEnd::NotRun {
        reason: refusal.reason,
        retry_after: (!retry_after.is_zero()).then_some(retry_after),
    }
}
