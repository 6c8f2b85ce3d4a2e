//! Sends a request to one upstream.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode, header};
use hyper::body::Incoming;
use oriole_fleet::prelude::*;

use super::buffers::{BufferError, ResponseBuffers};
use super::head_outcome::{HeadOutcome, judge_head};
use super::request::CheckedRequest;
use super::{headers, limits, notices};
use crate::decision_log::{AttemptOutcome, LogEvent};
use crate::gateway::Gateway;
use crate::streams::StreamPace;
use crate::traffic::Pick;
use crate::upstream::{AT_MOST_ONCE_MAX_IDLE, Connection, SendError, StrayBytesHandler};

/// Counts a request as in flight at an upstream until dropped.
pub struct InFlightGuard {
    gateway: Arc<Gateway>,
    instance: String,
}

impl InFlightGuard {
    fn new(gateway: &Arc<Gateway>, instance: &str) -> Self {
        Self {
            gateway: gateway.clone(),
            instance: instance.to_owned(),
        }
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        let mut traffic = self.gateway.traffic();
        let load = traffic.load_mut(&self.instance);
        load.own_in_flight = load.own_in_flight.saturating_sub(1);
    }
}

/// An upstream's response whose body has not been read yet.
pub struct LiveResponse {
    /// Instance of the upstream.
    pub instance: String,
    /// The response.
    pub response: Response<Incoming>,
    /// Number of the attempt among those of its request.
    pub attempt: u32,
    /// Time at which the attempt started.
    pub started_at: Duration,
    connection: Connection,
    /// Reports its events, if it is a stream of an ordered service.
    pace: Option<StreamPace>,
    _in_flight: InFlightGuard,
}

impl LiveResponse {
    /// Whether the end of the body is marked by a length or a last chunk. Otherwise it ends with the
    /// connection.
    pub fn has_length(&self) -> bool {
        let headers = self.response.headers();
        headers.contains_key(header::CONTENT_LENGTH)
            || headers.contains_key(header::TRANSFER_ENCODING)
    }

    /// Whether its head says that the body is a stream of events.
    pub fn declares_events(&self) -> bool {
        let content_type = self.response.headers().get(header::CONTENT_TYPE);
        content_type.is_some_and(|v| v.as_bytes().starts_with(b"text/event-stream"))
    }

    /// Reads the whole body.
    ///
    /// # Errors
    ///
    /// Fails if it breaks off or is too large to buffer.
    pub async fn read_body(&mut self, buffers: &ResponseBuffers) -> Result<Bytes, BufferError> {
        let allowance = self.connection.allowance();
        buffers.read(self.response.body_mut(), allowance).await
    }

    /// Records that events of its stream were received whole.
    pub fn on_events(&mut self, events: &[u8]) {
        if let Some(pace) = &mut self.pace
            && !events.is_empty()
        {
            pace.on_event();
        }
        self.connection.allowance().earn(events.len());
    }

    /// Returns the connection to the pool after the body was read in full, unless the upstream
    /// closes it.
    pub fn finish(self, gateway: &Arc<Gateway>) {
        if headers::closes_connection(self.response.headers()) {
            return;
        }
        let mut connection = self.connection;
        connection.keep_alive = headers::keep_alive_timeout(self.response.headers());
        let (gateway, instance) = (gateway.clone(), self.instance);
        tokio::spawn(async move {
            if connection.wait_until_free().await {
                let now = gateway.clock.now();
                gateway.pool.put_back(now, &instance, connection);
            }
        });
    }
}

/// Result of an attempt, known from the head of the response.
pub enum AttemptEnd {
    /// A success whose body follows.
    Success(Box<LiveResponse>),
    /// A failure after the request ran; its body follows.
    Failure(Box<LiveResponse>),
    /// The request did not run.
    NotRun {
        /// Why it did not run.
        reason: String,
        /// Whether the request reached the upstream; sending it again then counts as a retry.
        reached_upstream: bool,
        /// Whether the only cause is that a pooled connection had been closed.
        is_stale_connection: bool,
    },
    /// The request may have run.
    Unknown {
        /// Why the outcome is unknown.
        reason: String,
        /// Whether the connection broke before the head of a response.
        is_disconnect: bool,
    },
}

/// When an attempt without the head of a response is given up.
#[derive(Clone, Copy)]
pub struct HeadPatience<'a> {
    /// Time after which it is given up, if another upstream can take the request.
    pub timeout: Duration,
    /// Whether another upstream can take the request now. Otherwise this one may still answer.
    pub has_alternative: &'a (dyn Fn() -> bool + Send + Sync),
}

impl HeadPatience<'_> {
    /// Waits for the head of a response.
    async fn wait_for<T>(
        &self,
        sent: impl Future<Output = Result<T, SendError>>,
    ) -> Result<T, SendError> {
        tokio::pin!(sent);
        loop {
            match tokio::time::timeout(self.timeout, &mut sent).await {
                Ok(result) => return result,
                Err(_) if (self.has_alternative)() => return Err(SendError::TimedOut),
                Err(_) => {}
            }
        }
    }
}

/// Sends a request to an upstream and classifies the head of its response.
pub async fn run(
    gateway: &Arc<Gateway>,
    request: &CheckedRequest,
    pick: &Pick,
    attempt: u32,
    last_event_id: Option<u64>,
    patience: HeadPatience<'_>,
) -> AttemptEnd {
    let started_at = gateway.clock.now();
    let guard = InFlightGuard::new(gateway, &pick.instance);
    let sent = send(gateway, request, pick, last_event_id);
    let result = match patience.wait_for(sent).await {
        Ok((connection, response)) => {
            let live = LiveResponse {
                instance: pick.instance.clone(),
                response,
                attempt,
                started_at,
                connection,
                pace: StreamPace::open(gateway, &request.service, pick),
                _in_flight: guard,
            };
            handle_response(gateway, request, pick, live)
        }
        Err(e) => handle_send_error(gateway, pick, e),
    };
    log_attempt(gateway, request, pick, attempt, started_at, &result);
    result
}

async fn send(
    gateway: &Arc<Gateway>,
    request: &CheckedRequest,
    pick: &Pick,
    last_event_id: Option<u64>,
) -> Result<(Connection, Response<Incoming>), SendError> {
    let now = gateway.clock.now();
    let max_idle = match request.route.kind {
        RouteKind::AtMostOnce => AT_MOST_ONCE_MAX_IDLE,
        RouteKind::Idempotent | RouteKind::Stream => Duration::MAX,
    };
    let mut connection = match gateway.pool.take(now, &pick.instance, max_idle) {
        Some(connection) => connection,
        None => {
            metrics::counter!("oriole_upstream_connections_total").increment(1);
            Connection::open(pick.address, stray_bytes_handler(gateway, pick)).await?
        }
    };
    let remaining = request
        .caller_deadline
        .map(|d| d.saturating_sub(gateway.clock.now()));
    let names = gateway.dialect.headers();
    let req = request
        .outgoing
        .for_attempt(names, &pick.instance, remaining, last_event_id);
    let response = connection.send(req).await?;
    Ok((connection, response))
}

fn handle_response(
    gateway: &Arc<Gateway>,
    request: &CheckedRequest,
    pick: &Pick,
    live: LiveResponse,
) -> AttemptEnd {
    let names = gateway.dialect.headers();
    let headers = live.response.headers();
    let is_reused = live.connection.is_reused;
    let judged = judge_head(names, &request.id, &live.response, is_reused);
    if !matches!(judged.outcome, HeadOutcome::Unknown(_)) {
        let took = gateway.clock.now().saturating_sub(live.started_at);
        metrics::histogram!("oriole_upstream_head_seconds").record(took.as_secs_f64());
        gateway
            .traffic()
            .load_mut(&live.instance)
            .record_head_latency(took);
    }
    limits::on_answer(gateway, pick, &judged.outcome, headers);
    if judged.is_answer {
        notices::on_answer(gateway, pick, live.response.status(), headers);
    }
    match judged.outcome {
        HeadOutcome::Success => {
            let now = gateway.clock.now();
            gateway.traffic().record_answer(now, pick);
            AttemptEnd::Success(Box::new(live))
        }
        HeadOutcome::Failure => {
            let is_own_fault = live.response.status().is_server_error();
            if is_own_fault {
                gateway.traffic().load_mut(&live.instance).record_failure();
            }
            AttemptEnd::Failure(Box::new(live))
        }
        HeadOutcome::NotRun(reason) => {
            let status = live.response.status();
            if status == StatusCode::MISDIRECTED_REQUEST {
                // It may also refuse what the caller itself expected of the upstream.
                if !request.outgoing.has_header(&names.expect_version) {
                    gateway.refute_upstream(&live.instance);
                }
            } else {
                let now = gateway.clock.now();
                gateway
                    .traffic()
                    .load_mut(&live.instance)
                    .record_refusal(now);
            }
            AttemptEnd::NotRun {
                reason: format!("{reason} ({status})"),
                reached_upstream: true,
                is_stale_connection: false,
            }
        }
        HeadOutcome::Unknown(reason) => {
            record_invalid_answer(gateway, &live.instance, reason);
            AttemptEnd::Unknown {
                reason: reason.to_owned(),
                is_disconnect: false,
            }
        }
    }
}

/// Records that an upstream sent something that is no answer to a request.
pub fn record_invalid_answer(gateway: &Gateway, instance: &str, reason: &'static str) {
    metrics::counter!("oriole_invalid_answers_total", "reason" => reason).increment(1);
    let now = gateway.clock.now();
    gateway
        .traffic()
        .load_mut(instance)
        .record_invalid_answer(now);
}

/// Returns what is done about bytes that an upstream sends between two requests. They belong to no
/// request, so the answer before them stands.
fn stray_bytes_handler(gateway: &Arc<Gateway>, pick: &Pick) -> StrayBytesHandler {
    // The pool, which belongs to the gateway, keeps the handler with its connection.
    let gateway = Arc::downgrade(gateway);
    let (instance, address) = (pick.instance.clone(), pick.address);
    Arc::new(move || {
        let Some(gateway) = gateway.upgrade() else {
            return;
        };
        let reason = "bytes between requests";
        metrics::counter!("oriole_invalid_answers_total", "reason" => reason).increment(1);
        gateway.traffic().load_mut(&instance).record_failure();
        gateway.log.event(&LogEvent::CallFailed {
            step: "wait for request",
            peer: Some(address),
            error: reason,
        });
    })
}

fn handle_send_error(gateway: &Gateway, pick: &Pick, e: SendError) -> AttemptEnd {
    let now = gateway.clock.now();
    match e {
        SendError::NotSent {
            reason,
            is_stale_connection,
        } => {
            if !is_stale_connection {
                gateway
                    .traffic()
                    .load_mut(&pick.instance)
                    .record_unreachable(now);
            }
            AttemptEnd::NotRun {
                reason,
                reached_upstream: false,
                is_stale_connection,
            }
        }
        SendError::NoResponse(reason) => unanswered(gateway, pick, reason, true),
        SendError::TimedOut => unanswered(gateway, pick, "no answer in time".to_owned(), false),
    }
}

fn unanswered(gateway: &Gateway, pick: &Pick, reason: String, is_disconnect: bool) -> AttemptEnd {
    let now = gateway.clock.now();
    gateway
        .traffic()
        .load_mut(&pick.instance)
        .record_unreachable(now);
    AttemptEnd::Unknown {
        reason,
        is_disconnect,
    }
}

fn log_attempt(
    gateway: &Gateway,
    request: &CheckedRequest,
    pick: &Pick,
    attempt: u32,
    started_at: Duration,
    result: &AttemptEnd,
) {
    let status;
    let (outcome, reason) = match result {
        AttemptEnd::Success(_) => return,
        AttemptEnd::Failure(live) => {
            status = live.response.status();
            (AttemptOutcome::Answered, status.as_str())
        }
        AttemptEnd::NotRun { reason, .. } => (AttemptOutcome::NotRun, reason.as_str()),
        AttemptEnd::Unknown { reason, .. } => (AttemptOutcome::Unknown, reason.as_str()),
    };
    gateway.log.event(&LogEvent::Attempt {
        request: &request.id,
        attempt,
        content: &request.content,
        instance: &pick.instance,
        outcome,
        reason,
        took: gateway.clock.now().saturating_sub(started_at),
    });
}
