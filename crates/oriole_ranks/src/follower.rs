//! The next order to the agent's own engine.

use std::time::Duration;

use oriole_fleet::prelude::*;

use crate::message::Intent;

/// Time after which an unanswered preparation is ordered again.
const PREPARE_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// What an agent remembers of the orders that it gave.
#[derive(Clone, Debug, Default)]
pub struct PrepareTracker {
    /// Run of the group and version that the engine accepted.
    accepted: Option<(u64, u64)>,
    /// Version that the engine refused.
    pub refused_version: Option<u64>,
    refused_once: Option<u64>,
    last_prepare_at: Option<Duration>,
}

impl PrepareTracker {
    /// Version that the engine has accepted to copy, in a run of the group.
    #[must_use]
    pub fn preparing(&self, epoch: u64) -> Option<u64> {
        self.accepted.filter(|(e, _)| *e == epoch).map(|(_, v)| v)
    }

    /// Notes how an order ended; `None` if no answer came.
    pub fn on_order_outcome(
        &mut self,
        now: Duration,
        epoch: u64,
        order: &EngineOrder,
        outcome: Option<OrderEnd>,
    ) {
        if let EngineOrder::Prepare { version, .. } = order {
            self.last_prepare_at = Some(now);
            match outcome {
                Some(OrderEnd::Accepted) => self.accepted = Some((epoch, *version)),
                // Another order may have been carried out since the report: once is no refusal.
                Some(OrderEnd::Refused) if self.refused_once == Some(*version) => {
                    self.refused_version = Some(*version);
                }
                Some(OrderEnd::Refused) => self.refused_once = Some(*version),
                None => {}
            }
        }
    }
}

/// The order that brings the engine closer to the leader's intent.
///
/// It arms only what the engine has prepared whole, and only at the pass that the leader holds.
#[must_use]
pub fn next_order(
    now: Duration,
    report: &EngineReport,
    intent: &Intent,
    tracker: &PrepareTracker,
) -> Option<EngineOrder> {
    let version = intent.version;
    if intent.epoch != report.epoch || intent.group != report.group || !report.open {
        return None;
    }
    if report.map_version >= version || report.armed.is_some() {
        return None;
    }
    if report.prepared == Some(version) {
        let pass = intent.arm_pass?;
        return (report.pass < pass).then_some(EngineOrder::Arm { version, pass });
    }
    let is_under_way = tracker.accepted == Some((report.epoch, version));
    let was_sent_recently = tracker
        .last_prepare_at
        .is_some_and(|at| now < at + PREPARE_RETRY_INTERVAL && tracker.accepted.is_none());
    if is_under_way
        || was_sent_recently
        || tracker.refused_version == Some(version)
        || intent.map.is_empty()
    {
        return None;
    }
    Some(EngineOrder::Prepare {
        version,
        after: report.orders,
        map: intent.rank_map(),
    })
}
