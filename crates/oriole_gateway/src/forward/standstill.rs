//! How requests of ordered services use groups that stand still, and slots.

use std::time::Duration;

use super::request::CheckedRequest;
use super::{PickFailure, Progress, QUEUE_WAIT_SHARE, WAIT_POLL_INTERVAL};
use crate::gateway::Gateway;
use crate::refusal::Refusal;

pub(super) fn is_stopped(group: Option<&str>, stopped: &[String]) -> bool {
    group.is_some_and(|group| stopped.iter().any(|s| s == group))
}

/// Whether all upstreams of an ordered service belong to groups that stand still.
pub(super) fn all_stopped(gateway: &Gateway, request: &CheckedRequest) -> bool {
    gateway.streams().update(gateway);
    let stopped = gateway.streams().stopped_groups(&request.service);
    if stopped.is_empty() {
        return false;
    }
    let now = gateway.clock.now();
    let view = gateway.fleet_view();
    let mut usable = view.usable_upstreams(now, &request.service);
    usable.all(|known| is_stopped(known.group(), &stopped))
}

/// Waits while all groups of an ordered service stand still: another attempt there would be lost.
pub(super) async fn wait_for_progress(gateway: &Gateway, request: &CheckedRequest) {
    while all_stopped(gateway, request) && gateway.clock.now() < request.respond_by {
        tokio::time::sleep(WAIT_POLL_INTERVAL).await;
    }
}

/// Whether a request that has not run must be admitted before it is sent. One that an upstream did not
/// run is asked for again only if its group stands still.
pub(super) fn needs_admission(
    gateway: &Gateway,
    request: &CheckedRequest,
    progress: &Progress,
) -> bool {
    if progress.attempts == 0 {
        progress.admission.is_none()
    } else {
        all_stopped(gateway, request)
    }
}

/// Time that a request may spend in an upstream's queue.
pub(super) fn queue_wait(gateway: &Gateway, request: &CheckedRequest) -> Duration {
    let now = gateway.clock.now();
    let slot_use = gateway
        .streams()
        .slot_use(now, &request.service, request.priority);
    let objective = request.route.latency_objective;
    match slot_use {
        None => objective.mul_f64(QUEUE_WAIT_SHARE),
        // What it waited for its admission counts, unless it is late anyway.
        Some(slot_use) => {
            let most = objective.mul_f64(slot_use.queue_share);
            let waited = now.saturating_sub(request.received_at);
            most.checked_sub(waited).unwrap_or(most)
        }
    }
}

/// Whether an admitted request that found no free slot should look again. That is better than a
/// refusal as long as it can meet its objective.
pub(super) fn awaits_slot(
    gateway: &Gateway,
    request: &CheckedRequest,
    progress: &Progress,
    e: &PickFailure,
) -> bool {
    let start_by = request.received_at + request.route.latency_objective.mul_f64(QUEUE_WAIT_SHARE);
    progress.admission.is_some()
        && progress.possible_runs == 0
        && matches!(e.failure.refusal, Refusal::Busy)
        && gateway.clock.now() < start_by
}
