//! Takes in what upstreams say of themselves in their answers: that they leave, or that they want no
//! requests for a while.

use http::{HeaderMap, StatusCode};
use oriole_fleet::bounded;
use oriole_fleet::prelude::*;

use crate::decision_log::LogEvent;
use crate::gateway::Gateway;
use crate::traffic::Pick;

/// Handles the head of an answer that belongs to the request.
pub fn on_answer(gateway: &Gateway, pick: &Pick, status: StatusCode, headers: &HeaderMap) {
    // A refusal as another instance comes from whoever has the address now.
    if status == StatusCode::MISDIRECTED_REQUEST {
        return;
    }
    let now = gateway.clock.now();
    if gateway.dialect.is_leaving(headers) {
        if gateway.traffic().notices.leave(now, pick.run_hash) {
            log(gateway, pick, "leaving", "");
        }
        return;
    }
    if status != StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    match gateway.dialect.retry_after(headers) {
        RetryAfter::None => {}
        RetryAfter::Seconds(secs) if secs >= 0.0 => {
            let time = bounded::duration_from_secs(secs);
            if gateway.traffic().notices.pause(now, pick.run_hash, time) {
                log(gateway, pick, "paused", &secs.to_string());
            }
        }
        RetryAfter::Seconds(secs) => log(gateway, pick, "ignored", &secs.to_string()),
        RetryAfter::Unreadable(text) => log(gateway, pick, "ignored", &text),
    }
}

fn log(gateway: &Gateway, pick: &Pick, now: &'static str, value: &str) {
    metrics::counter!("oriole_upstream_notices_total", "notice" => now).increment(1);
    gateway.log.event(&LogEvent::Notice {
        upstream: &pick.instance,
        now,
        value,
    });
}
