//! Handles one request from start to end: its attempts, its response and its event stream.

pub mod body;
pub mod buffers;
pub mod events;
pub mod head_outcome;
pub mod headers;
pub mod limits;
mod notices;
pub mod request;
mod standstill;
mod stream;
mod suspects;
mod upstream_attempt;

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode, header};
use hyper::body::Incoming;
use metrics::{counter, histogram};
use oriole_fleet::prelude::*;
use oriole_overload::prelude::HoldReason;

use self::body::{ResponseBody, full};
use self::buffers::BufferError;
use self::request::{CheckedRequest, RejectedRequest};
use self::standstill::{awaits_slot, is_stopped, needs_admission, queue_wait, wait_for_progress};
use self::suspects::Trial;
use self::upstream_attempt::{AttemptEnd, HeadPatience, LiveResponse};
use crate::decision_log::{AttemptOutcome, LogEvent};
use crate::gateway::{CountGuard, Gateway};
use crate::refusal::Refusal;
use crate::streams::{self, Admission, Held};
use crate::traffic::{Pick, PickRequest};

/// Most upstreams that a request is sent to, including those that refuse it.
const MAX_ATTEMPTS: u32 = 4;

/// Time that an idempotent request waits for a response head before another upstream is tried, as a
/// multiple of the route's objective.
const HEAD_TIMEOUT_OBJECTIVES: u32 = 3;

/// Time that a resumable stream waits for a response head before another upstream is tried. Callers give
/// up about a second later.
const STREAM_HEAD_TIMEOUT: Duration = Duration::from_millis(1300);

/// Share of a route's objective that a request may spend in an upstream's queue; the rest is for
/// the request itself. A short queue keeps the slots as busy as a long one does, and more responses
/// arrive in time.
pub const QUEUE_WAIT_SHARE: f64 = 0.5;

/// Most requests per daemon that wait for a group at the same time; bounds the daemon's memory.
const MAX_WAITING_REQUESTS: usize = 128;

/// Age at which a request that waits for a group is refused if it has not started. Callers leave
/// after about two seconds without an event, and the first event takes some hundred milliseconds.
const MAX_START_DELAY: Duration = Duration::from_millis(1500);

/// Time between two attempts of a waiting request to get an upstream.
const WAIT_POLL_INTERVAL: Duration = Duration::from_millis(40);

/// A request that ends without a response from an upstream.
#[derive(Clone, Copy, Debug)]
struct RequestFailure {
    refusal: Refusal,
    retry_after: Option<Duration>,
}

impl From<Refusal> for RequestFailure {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            retry_after: refusal.retry_after(),
        }
    }
}

impl From<Held> for RequestFailure {
    fn from(held: Held) -> Self {
        Self {
            refusal: match held.reason {
                HoldReason::Pace => Refusal::Pace,
                HoldReason::Standstill => Refusal::Standstill,
            },
            retry_after: Some(held.retry_after),
        }
    }
}

/// Why no upstream could be picked.
struct PickFailure {
    failure: RequestFailure,
    /// Longest time for which the request should wait and try again; `None` if it should not wait.
    max_wait: Option<Duration>,
}

/// Attempts made so far for one request.
#[derive(Debug, Default)]
struct Progress {
    /// Attempts made, including those that an upstream refused.
    attempts: u32,
    /// Attempts in which the request may have run.
    possible_runs: u32,
    /// Instances that were tried.
    tried: Vec<String>,
    /// Its admission, if its service is ordered.
    admission: Option<Admission>,
}

/// Serves one request of a caller.
pub async fn serve(gateway: Arc<Gateway>, req: Request<Incoming>) -> Response<ResponseBody> {
    let guard = CountGuard::new(&gateway, |g| &g.active_requests);
    let received_at = gateway.clock.now();
    gateway.wait_until_started().await;
    let accepted = request::read(&gateway, req).await.and_then(|request| {
        if accepts(&gateway, &request) {
            Ok(request)
        } else {
            Err(RejectedRequest {
                id: request.id,
                route: request.route.name,
                refusal: Refusal::Leaving,
            })
        }
    });
    let mut response = match accepted {
        Ok(request) => forward(&gateway, request, guard).await,
        Err(rejected) => reject(&gateway, received_at, &rejected),
    };
    if gateway.departure().is_some() {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Whether a request can be served before the process exits, as far as that is known.
fn accepts(gateway: &Gateway, request: &CheckedRequest) -> bool {
    let now = gateway.clock.now();
    let departure = gateway.departure();
    departure.is_none_or(|departure| departure.accepts(now, request.respond_by))
}

async fn forward(
    gateway: &Arc<Gateway>,
    request: CheckedRequest,
    guard: CountGuard,
) -> Response<ResponseBody> {
    gateway
        .traffic()
        .record_request(request.received_at, &request.service);
    let mut progress = Progress::default();
    let remaining = request.respond_by.saturating_sub(gateway.clock.now());
    let attempts = run_attempts(gateway, &request, &mut progress);
    let result = match tokio::time::timeout(remaining, attempts).await {
        Ok(result) => result,
        Err(_) if progress.possible_runs == 0 => Err(Refusal::ExpiredUnrun.into()),
        Err(_) => Err(Refusal::Expired.into()),
    };
    match result {
        Ok(UpstreamResponse::Full { head, body }) => {
            log_answered(gateway, &request, &progress, head.status.as_u16());
            Response::from_parts(head, full(body))
        }
        Ok(UpstreamResponse::Stream(live)) => {
            stream::respond(gateway.clone(), request, progress, *live, guard)
        }
        Err(failure) => refuse(gateway, &request, &progress, failure),
    }
}

/// An upstream's response, ready to be sent to the caller.
enum UpstreamResponse {
    /// The whole body was read.
    Full {
        head: http::response::Parts,
        body: Bytes,
    },
    /// The body is relayed as it arrives.
    Stream(Box<LiveResponse>),
}

async fn run_attempts(
    gateway: &Arc<Gateway>,
    request: &CheckedRequest,
    progress: &mut Progress,
) -> Result<UpstreamResponse, RequestFailure> {
    let mut fallback = None;
    let mut waiting = None;
    let mut trial = None;
    loop {
        if trial.is_none() {
            trial = match suspects::admit(gateway, request).await {
                Ok(trial) => trial,
                Err(_) if progress.possible_runs > 0 => {
                    return fallback.ok_or(Refusal::UpstreamFailed.into());
                }
                Err(failure) => return Err(failure),
            };
        }
        if progress.possible_runs > 0 {
            wait_for_progress(gateway, request).await;
        } else if needs_admission(gateway, request, progress) {
            progress.admission = None;
            progress.admission = streams::admit(gateway, request).await?;
        }
        let policy = if waiting.is_some() {
            WaitPolicy::Late
        } else {
            WaitPolicy::Queue(queue_wait(gateway, request))
        };
        let pick = match pick(gateway, request, progress, policy, trial.as_ref()) {
            Ok(pick) => pick,
            Err(e) if should_wait(gateway, request, &e, &mut waiting) => {
                tokio::time::sleep(WAIT_POLL_INTERVAL).await;
                continue;
            }
            Err(e) if awaits_slot(gateway, request, progress, &e) => {
                tokio::time::sleep(WAIT_POLL_INTERVAL).await;
                continue;
            }
            // Prefer an upstream's failure response to one generated here.
            Err(e) => return fallback.ok_or(e.failure),
        };
        if waiting.is_some() && progress.attempts == 0 {
            let waited = gateway.clock.now().saturating_sub(request.received_at);
            histogram!("oriole_wait_seconds").record(waited.as_secs_f64());
        }
        progress.attempts += 1;
        // The request may have run until the attempt shows otherwise.
        progress.possible_runs += 1;
        let has_alternative = || has_alternative(gateway, request, progress, &pick.instance);
        let patience = HeadPatience {
            timeout: head_timeout(&request.route),
            has_alternative: &has_alternative,
        };
        let result = upstream_attempt::run(
            gateway,
            request,
            &pick,
            progress.attempts,
            request.last_event_id,
            patience,
        )
        .await;
        match result {
            AttemptEnd::Success(live) if is_event_stream(request, &live) => {
                return Ok(UpstreamResponse::Stream(live));
            }
            AttemptEnd::Success(live) => {
                let began_at = live.started_at;
                if let Some(response) = read_full(gateway, request, *live).await {
                    suspects::on_passed(gateway, request, &pick.instance, began_at);
                    return Ok(response);
                }
                suspects::on_disconnect(gateway, request, &pick.instance).await;
                progress.tried.push(pick.instance);
            }
            AttemptEnd::Failure(live) => {
                let is_retryable = live.response.status().is_server_error();
                let response = read_full(gateway, request, *live).await;
                if !is_retryable && let Some(response) = response {
                    return Ok(response);
                }
                fallback = response.or(fallback);
                progress.tried.push(pick.instance);
            }
            AttemptEnd::NotRun {
                reached_upstream,
                is_stale_connection,
                ..
            } => {
                progress.possible_runs -= 1;
                if !is_stale_connection {
                    progress.tried.push(pick.instance);
                }
                if let Err(failure) = check_retry(gateway, request, progress, reached_upstream) {
                    return fallback.ok_or(failure);
                }
                continue;
            }
            AttemptEnd::Unknown { is_disconnect, .. } => {
                if is_disconnect {
                    suspects::on_disconnect(gateway, request, &pick.instance).await;
                }
                progress.tried.push(pick.instance);
            }
        }
        trial = None;
        if let Err(failure) = check_rerun(gateway, request, progress) {
            return fallback.ok_or(failure);
        }
    }
}

fn is_event_stream(request: &CheckedRequest, live: &LiveResponse) -> bool {
    live.declares_events() || request.route.kind == RouteKind::Stream
}

/// Time that an attempt may take until the head of its response, if another one can follow.
fn head_timeout(route: &Route) -> Duration {
    match route.kind {
        RouteKind::Stream => STREAM_HEAD_TIMEOUT,
        RouteKind::Idempotent | RouteKind::AtMostOnce => {
            route.latency_objective * HEAD_TIMEOUT_OBJECTIVES
        }
    }
    .min(route.timeout)
}

/// Whether a request that may run at the upstream `current` can be sent to another one.
fn has_alternative(
    gateway: &Gateway,
    request: &CheckedRequest,
    progress: &Progress,
    current: &str,
) -> bool {
    if !allows_rerun(request, progress) {
        return false;
    }
    let now = gateway.clock.now();
    let share = gateway.share();
    let mut traffic = gateway.traffic();
    let is_within_budget = traffic.allows_retry(now, &request.service, share);
    drop(traffic);
    let view = gateway.fleet_view();
    let stopped = gateway.streams().stopped_groups(&request.service);
    let mut usable = view.usable_upstreams(now, &request.service);
    is_within_budget
        && usable.any(|known| {
            let instance = &known.upstream.instance;
            instance != current
                && !progress.tried.contains(instance)
                && !is_stopped(known.group(), &stopped)
        })
}

/// Whether a request that may have run may run once more.
fn allows_rerun(request: &CheckedRequest, progress: &Progress) -> bool {
    request.route.allows_reexecution()
        && progress.possible_runs < request.route.max_attempts
        && progress.attempts < MAX_ATTEMPTS
}

/// Which slots a request may use.
#[derive(Clone, Copy, Debug)]
enum WaitPolicy {
    /// A slot that is expected to be free within this time.
    Queue(Duration),
    /// A free slot that no request needs which can still meet its objective.
    Late,
}

/// Picks the upstream of the next attempt. A trial goes to the group that had the last crash, as long
/// as it runs.
fn pick(
    gateway: &Gateway,
    request: &CheckedRequest,
    progress: &Progress,
    policy: WaitPolicy,
    trial: Option<&Trial>,
) -> Result<Pick, PickFailure> {
    let now = gateway.clock.now();
    let share = gateway.share();
    let req = PickRequest {
        service: request.cfg.services.get(&request.service),
        max_wait: match policy {
            WaitPolicy::Queue(max_wait) => max_wait,
            WaitPolicy::Late => Duration::ZERO,
        },
        tried: &progress.tried,
        may_probe: progress.attempts == 0,
        is_late: matches!(policy, WaitPolicy::Late),
        priority: request.priority,
        slot_share: gateway
            .streams()
            .slot_use(now, &request.service, request.priority)
            .and_then(|slot_use| slot_use.slot_share),
    };
    let stopped = gateway.streams().stopped_groups(&request.service);
    let view = gateway.fleet_view();
    let group = trial.and_then(|trial| view.running_group_of(now, trial.crashed.as_str()));
    let usable = view.usable_upstreams(now, &request.service);
    let usable = usable.filter(|known| group.is_none() || known.group() == group);
    // A request that may have run is not sent to a group that stands still; others only if there is no
    // other group, as a probe.
    let avoids_stopped = !stopped.is_empty()
        && (progress.possible_runs > 0
            || view
                .usable_upstreams(now, &request.service)
                .any(|known| !is_stopped(known.group(), &stopped)));
    let usable = usable.filter(|k| !avoids_stopped || !is_stopped(k.group(), &stopped));
    let picked = gateway
        .traffic()
        .pick(now, share, &req, usable, &mut rand::rng());
    match picked {
        Ok(pick) => {
            gateway.log.event(&LogEvent::Picked {
                request: &request.id,
                attempt: progress.attempts + 1,
                pick: &pick,
                configuration: request.cfg.version,
                version: view.max_revision(),
            });
            Ok(pick)
        }
        Err(_) if progress.possible_runs > 0 => Err(PickFailure {
            failure: Refusal::UpstreamFailed.into(),
            max_wait: None,
        }),
        Err(e) => Err(PickFailure {
            failure: RequestFailure {
                refusal: e.reason,
                retry_after: Some(e.retry_after),
            },
            max_wait: e.max_wait,
        }),
    }
}

/// Whether the request waits for a group of its service. The first time this is counted and logged.
fn should_wait(
    gateway: &Arc<Gateway>,
    request: &CheckedRequest,
    e: &PickFailure,
    waiting: &mut Option<CountGuard>,
) -> bool {
    if waiting.is_some() {
        let may_keep_waiting = e.max_wait.is_some() || matches!(e.failure.refusal, Refusal::Busy);
        return may_keep_waiting && gateway.clock.now() < request.received_at + MAX_START_DELAY;
    }
    if e.max_wait.is_none() {
        return false;
    }
    if gateway.waiting_requests.load(Ordering::Relaxed) >= MAX_WAITING_REQUESTS {
        return false;
    }
    *waiting = Some(CountGuard::new(gateway, |g| &g.waiting_requests));
    counter!("oriole_waits_total", "reason" => e.failure.refusal.as_str()).increment(1);
    gateway.log.event(&LogEvent::Waits {
        request: &request.id,
        reason: e.failure.refusal.as_str(),
        max_wait: e.max_wait.unwrap_or_default(),
    });
    true
}

/// Checks whether a request that did not run may be sent to another upstream.
fn check_retry(
    gateway: &Gateway,
    request: &CheckedRequest,
    progress: &Progress,
    reached_upstream: bool,
) -> Result<(), RequestFailure> {
    let refusal = if progress.attempts >= MAX_ATTEMPTS {
        Refusal::Rejected
    } else if reached_upstream && !try_spend_retry(gateway, request, "not_run") {
        Refusal::BudgetSpent
    } else {
        return Ok(());
    };
    // An earlier attempt may have run, so the response must not promise otherwise.
    if progress.possible_runs > 0 {
        return Err(Refusal::UpstreamFailed.into());
    }
    Err(refusal.into())
}

/// Checks whether a request that may have run may be sent once more.
fn check_rerun(
    gateway: &Gateway,
    request: &CheckedRequest,
    progress: &Progress,
) -> Result<(), RequestFailure> {
    if allows_rerun(request, progress) && try_spend_retry(gateway, request, "unknown") {
        Ok(())
    } else {
        Err(Refusal::UpstreamFailed.into())
    }
}

fn try_spend_retry(gateway: &Gateway, request: &CheckedRequest, reason: &'static str) -> bool {
    let now = gateway.clock.now();
    let share = gateway.share();
    let is_allowed = gateway
        .traffic()
        .try_spend_retry(now, &request.service, share);
    let name = if is_allowed {
        "oriole_retries_total"
    } else {
        "oriole_retries_refused_total"
    };
    counter!(name, "reason" => reason).increment(1);
    is_allowed
}

/// Reads the whole body of a response; `None` if it breaks off or is too large to buffer.
async fn read_full(
    gateway: &Arc<Gateway>,
    request: &CheckedRequest,
    mut live: LiveResponse,
) -> Option<UpstreamResponse> {
    let (head, ()) = headers::response_head(&live.response)
        .body(())
        .ok()?
        .into_parts();
    let body = match live.read_body(&gateway.response_buffers).await {
        Ok(body) if body.is_empty() && lacks_body(request, &live) => Err(BufferError::Empty),
        read => read,
    };
    let body = match body {
        Ok(body) => body,
        Err(e) => {
            gateway.traffic().load_mut(&live.instance).record_failure();
            log_unusable(gateway, request, &live, e.as_str());
            return None;
        }
    };
    let now = gateway.clock.now();
    if head.status.is_success() {
        let took = now.saturating_sub(live.started_at);
        gateway
            .traffic()
            .load_mut(&live.instance)
            .record_success(took);
    }
    live.finish(gateway);
    Some(UpstreamResponse::Full { head, body })
}

/// Whether a successful response without a body broke off right after its head: nothing but the end of
/// the connection ends its body, and a response without one would say so.
fn lacks_body(request: &CheckedRequest, live: &LiveResponse) -> bool {
    let status = live.response.status();
    status.is_success()
        && status != StatusCode::NO_CONTENT
        && *request.outgoing.method() != Method::HEAD
        && !live.has_length()
}

/// Logs that a response whose head was valid cannot be used.
fn log_unusable(gateway: &Gateway, request: &CheckedRequest, live: &LiveResponse, reason: &str) {
    gateway.log.event(&LogEvent::Attempt {
        request: &request.id,
        attempt: live.attempt,
        content: &request.content,
        instance: &live.instance,
        outcome: AttemptOutcome::Unknown,
        reason,
        took: gateway.clock.now().saturating_sub(live.started_at),
    });
}

fn log_answered(gateway: &Gateway, request: &CheckedRequest, progress: &Progress, status: u16) {
    let took = gateway.clock.now().saturating_sub(request.received_at);
    counter!("oriole_answered_total").increment(1);
    histogram!("oriole_answer_seconds").record(took.as_secs_f64());
    gateway.log.event(&LogEvent::Answered {
        request: &request.id,
        account: account_name(request),
        route: &request.route.name,
        status,
        attempts: progress.attempts,
        took,
    });
}

fn account_name(request: &CheckedRequest) -> &str {
    request.account.as_ref().map_or("", |a| a.name.as_str())
}

fn refuse(
    gateway: &Gateway,
    request: &CheckedRequest,
    progress: &Progress,
    failure: RequestFailure,
) -> Response<ResponseBody> {
    gateway.log.event(&LogEvent::Refused {
        request: &request.id,
        account: account_name(request),
        route: &request.route.name,
        refusal: failure.refusal,
        retry_after: failure.retry_after,
        held: gateway.clock.now().saturating_sub(request.received_at),
        attempts: progress.attempts,
        configuration: request.cfg.version,
        configuration_age: gateway.configuration_age(),
    });
    refusal_response(gateway, &request.id, failure)
}

fn reject(
    gateway: &Gateway,
    received_at: Duration,
    rejected: &RejectedRequest,
) -> Response<ResponseBody> {
    let failure = RequestFailure::from(rejected.refusal);
    let configuration = gateway
        .fleet_view()
        .configuration()
        .map_or(0, |c| c.version);
    gateway.log.event(&LogEvent::Refused {
        request: &rejected.id,
        account: "",
        route: &rejected.route,
        refusal: rejected.refusal,
        retry_after: failure.retry_after,
        held: gateway.clock.now().saturating_sub(received_at),
        attempts: 0,
        configuration,
        configuration_age: gateway.configuration_age(),
    });
    refusal_response(gateway, &rejected.id, failure)
}

fn refusal_response(
    gateway: &Gateway,
    id: &str,
    failure: RequestFailure,
) -> Response<ResponseBody> {
    let reason = failure.refusal.as_str();
    counter!("oriole_refused_total", "reason" => reason).increment(1);
    let mut response = Response::new(full(Bytes::from_static(reason.as_bytes())));
    *response.status_mut() = failure.refusal.status();
    let headers = response.headers_mut();
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(gateway.dialect.headers().attempt.clone(), id);
    }
    if let Some(after) = failure.retry_after {
        let seconds = format!("{:.3}", after.as_secs_f64());
        if let Ok(value) = HeaderValue::from_str(&seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    if matches!(failure.refusal, Refusal::Malformed | Refusal::TooLarge) {
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    response
}
