//! Takes in the limits that upstreams announce in their answers.

use http::HeaderMap;
use oriole_admission::fleet_limit::{FleetLimits, LimitChange, LimitNotice};
use oriole_fleet::prelude::*;

use super::head_outcome::HeadOutcome;
use crate::decision_log::LogEvent;
use crate::gateway::Gateway;
use crate::traffic::Pick;

/// Handles the head of an answer. Only a success without a limit shows that there is none: other
/// answers need not come from the upstream itself.
pub fn on_answer(gateway: &Gateway, pick: &Pick, outcome: &HeadOutcome, headers: &HeaderMap) {
    let is_success = matches!(outcome, HeadOutcome::Success);
    if !is_success && !matches!(outcome, HeadOutcome::Failure | HeadOutcome::NotRun(_)) {
        return;
    }
    let per_s = match gateway.dialect.announced_limit(headers) {
        AnnouncedLimit::None if is_success => None,
        AnnouncedLimit::None => return,
        AnnouncedLimit::PerSecond(per_s) if FleetLimits::is_valid(per_s) => Some(per_s),
        AnnouncedLimit::PerSecond(per_s) => return log_ignored(gateway, pick, &per_s.to_string()),
        AnnouncedLimit::Unreadable(text) => return log_ignored(gateway, pick, &text),
    };
    let now = gateway.clock.now();
    let change = {
        let limits = &mut gateway.traffic().limits;
        let notice = LimitNotice {
            upstream: pick.run_hash,
            per_s,
            at: limits.fleet_time(now),
        };
        limits.merge(now, notice)
    };
    if let Some(change) = change {
        metrics::counter!("oriole_limit_changes_total").increment(1);
        log(gateway, &pick.instance, change, "answer");
        gateway.mesh_wake.notify_one();
    }
}

/// Logs a change of an upstream's limit.
pub fn log(gateway: &Gateway, instance: &str, change: LimitChange, source: &str) {
    let (now, per_s) = match change {
        LimitChange::Named(per_s) => ("named", Some(per_s)),
        LimitChange::Ended => ("ended", None),
    };
    gateway.log.event(&LogEvent::Limit {
        upstream: instance,
        now,
        per_s,
        value: "",
        source,
    });
}

fn log_ignored(gateway: &Gateway, pick: &Pick, value: &str) {
    gateway.log.event(&LogEvent::Limit {
        upstream: &pick.instance,
        now: "ignored",
        per_s: None,
        value,
        source: "answer",
    });
}
