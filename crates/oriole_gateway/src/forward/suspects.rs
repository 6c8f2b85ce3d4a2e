//! Screens a request and the shared parts of its prompt before it is sent, and records what its
//! attempts show about them.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use metrics::counter;
use oriole_admission::poison::{CrashId, ScreenedRequest, Verdict};
use oriole_kernel::sockets::TcpTimeouts;
use oriole_types::ids::VmName;

use super::request::CheckedRequest;
use super::{MAX_WAITING_REQUESTS, RequestFailure, WAIT_POLL_INTERVAL};
use crate::decision_log::{DisconnectOutcome, LogEvent, short_digest};
use crate::gateway::{CountGuard, Gateway};
use crate::refusal::Refusal;

/// Time for which an upstream must stream events before it is past the point at which a request can
/// crash it. Upstreams crash as they begin to write; the rest is for events under way.
pub const PASSED_AFTER: Duration = Duration::from_millis(250);

/// Time between a claim to try a request and the trial, in which claims of other daemons arrive.
const CLAIM_SETTLE_TIME: Duration = Duration::from_millis(40);

/// Longest time that a request waits until it or its parts are excused.
const MAX_EXCUSE_WAIT: Duration = Duration::from_millis(600);

/// Permission to send a suspected request.
#[derive(Clone, Debug)]
pub struct Trial {
    /// Upstream that crashed last; the trial goes to its group.
    pub crashed: VmName,
}

/// Decides whether a request may be sent; waits if that is likely to be known within moments.
/// Returns the trial if it is suspected and may only be tried.
pub async fn admit(
    gateway: &Arc<Gateway>,
    request: &CheckedRequest,
) -> Result<Option<Trial>, RequestFailure> {
    let give_up_at = gateway.clock.now() + MAX_EXCUSE_WAIT;
    let mut waiting = None;
    loop {
        let now = gateway.clock.now();
        let verdict = gateway
            .part_screen()
            .screen_request(now, screened(request), rand::random());
        match verdict {
            Verdict::Clear => return Ok(None),
            Verdict::Hold(until) => return Err(held(Refusal::SuspectPart, until - now)),
            Verdict::HoldContent(until) => {
                return Err(held(Refusal::SuspectRequest, until - now));
            }
            Verdict::Wait => {
                let is_full =
                    gateway.waiting_requests.load(Ordering::Relaxed) >= MAX_WAITING_REQUESTS;
                if now >= give_up_at || (waiting.is_none() && is_full) {
                    return Err(held(waiting_refusal(request), MAX_EXCUSE_WAIT));
                }
                waiting.get_or_insert_with(|| CountGuard::new(gateway, |g| &g.waiting_requests));
                tokio::time::sleep(WAIT_POLL_INTERVAL).await;
            }
            Verdict::Trial { claims, crashed } => {
                gateway.mesh_wake.notify_one();
                tokio::time::sleep(CLAIM_SETTLE_TIME).await;
                if gateway.part_screen().wins(&claims) {
                    counter!("oriole_part_trials_total").increment(1);
                    log(gateway, request, "trial", crashed.as_str());
                    return Ok(Some(Trial { crashed }));
                }
            }
        }
    }
}

fn screened(request: &CheckedRequest) -> ScreenedRequest<'_> {
    ScreenedRequest {
        content: &request.content,
        parts: &request.shared_parts,
    }
}

/// Reason for a request whose suspicion has not been settled in time.
fn waiting_refusal(request: &CheckedRequest) -> Refusal {
    if request.shared_parts.is_empty() {
        Refusal::SuspectRequest
    } else {
        Refusal::SuspectPart
    }
}

fn held(refusal: Refusal, retry_after: Duration) -> RequestFailure {
    RequestFailure {
        refusal,
        retry_after: Some(retry_after),
    }
}

/// Handles a connection that broke before the upstream was past the point at which a request can
/// crash it. If the upstream is gone, the request and its parts become suspect.
pub async fn on_disconnect(gateway: &Gateway, request: &CheckedRequest, instance: &str) {
    let (outcome, id) = examine(gateway, instance).await;
    gateway.log.event(&LogEvent::Disconnected {
        request: &request.id,
        content: &request.content,
        upstream: instance,
        outcome,
    });
    let Some(id) = id else {
        return;
    };
    let now = gateway.clock.now();
    let is_news = gateway
        .part_screen()
        .record_crash(now, &id, screened(request));
    if is_news {
        counter!("oriole_suspect_crashes_total").increment(1);
        log(gateway, request, "suspected", instance);
        gateway.mesh_wake.notify_one();
    }
}

/// Finds out whether an upstream has crashed, and the identity of the crash if so.
async fn examine(gateway: &Gateway, instance: &str) -> (DisconnectOutcome, Option<CrashId>) {
    let upstream = {
        let view = gateway.fleet_view();
        let mut upstreams = view.upstreams().map(|known| &known.upstream);
        upstreams
            .find(|upstream| upstream.instance == instance)
            .map(|upstream| (upstream.address, upstream.started_at_ms))
    };
    let Some((address, started_at_ms)) = upstream else {
        return (DisconnectOutcome::Unlisted, None);
    };
    // Connections also break while the upstream runs; only a crashed one accepts no other.
    if TcpTimeouts::default().connect(address).await.is_ok() {
        return (DisconnectOutcome::Running, None);
    }
    let id = CrashId {
        vm: VmName::new(instance),
        number: started_at_ms.unwrap_or_default(),
    };
    (DisconnectOutcome::Crashed, Some(id))
}

/// Records that an upstream began to answer at `began_at` and is past the point at which a request
/// can crash it.
pub fn on_passed(gateway: &Gateway, request: &CheckedRequest, instance: &str, began_at: Duration) {
    let is_excused = gateway
        .part_screen()
        .record_request_passed(screened(request), began_at);
    if is_excused {
        log(gateway, request, "excused", instance);
        gateway.mesh_wake.notify_one();
    }
}

fn log(gateway: &Gateway, request: &CheckedRequest, now: &str, upstream: &str) {
    let parts = request.shared_parts.iter();
    let parts: Vec<String> = parts.map(short_digest).collect();
    gateway.log.event(&LogEvent::Suspicion {
        request: &request.id,
        content: &request.content,
        now,
        parts: &parts.join(","),
        upstream,
    });
}
