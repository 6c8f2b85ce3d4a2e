//! Chooses the next order to the agent's own engine.

use std::time::Duration;

use oriole_fleet::prelude::*;

use crate::message::Intent;

/// Time after which an unanswered order to prepare is sent again.
const PREPARE_RETRY_INTERVAL: Duration = Duration::from_millis(50);

/// Time after an intent in which the leader may wait for the rank although it repeats the intent only to
/// others: it holds a pass once the last rank is prepared.
const AWAITED_TIME: Duration = Duration::from_secs(3);

/// Whether the leader may wait for this rank to carry out an intent that was received at `received_at`.
#[must_use]
pub fn is_awaited(
    now: Duration,
    report: &EngineReport,
    intent: &Intent,
    received_at: Duration,
) -> bool {
    intent.epoch == report.epoch
        && report.map_version < intent.version
        && now < received_at + AWAITED_TIME
}

/// Tracks the outcomes of an agent's orders to prepare a map.
#[derive(Clone, Debug, Default)]
pub struct PrepareTracker {
    /// Epoch and version of the map that the engine accepted to prepare.
    accepted: Option<(u64, u64)>,
    /// Version that the engine refused twice, if any.
    pub refused_version: Option<u64>,
    /// Version that the engine refused last, maybe only once.
    refused_once: Option<u64>,
    last_prepare_at: Option<Duration>,
}

impl PrepareTracker {
    /// Version that the engine has accepted to prepare in an epoch, if any.
    #[must_use]
    pub fn preparing(&self, epoch: u64) -> Option<u64> {
        self.accepted.filter(|(e, _)| *e == epoch).map(|(_, v)| v)
    }

    /// Records the outcome of an order. `None` if there was no answer.
    pub fn on_order_outcome(
        &mut self,
        now: Duration,
        epoch: u64,
        order: &EngineOrder,
        outcome: Option<OrderOutcome>,
    ) {
        if let EngineOrder::Prepare { version, .. } = order {
            self.last_prepare_at = Some(now);
            match outcome {
                Some(OrderOutcome::Accepted) => self.accepted = Some((epoch, *version)),
                // An order that was carried out after the report makes the engine refuse this one, so
                // only the second refusal counts.
                Some(OrderOutcome::Refused) if self.refused_once == Some(*version) => {
                    self.refused_version = Some(*version);
                }
                Some(OrderOutcome::Refused) => self.refused_once = Some(*version),
                None => {}
            }
        }
    }
}

/// The next order towards the leader's intent; `None` if there is nothing to order now.
///
/// Arms only a map that the engine has prepared completely, and only for the pass that the leader
/// holds.
#[must_use]
pub fn next_order(
    now: Duration,
    report: &EngineReport,
    intent: &Intent,
    tracker: &PrepareTracker,
) -> Option<EngineOrder> {
    let version = intent.version;
    if intent.epoch != report.epoch || intent.group != report.group || !report.group_running {
        return None;
    }
    if report.map_version >= version || report.armed_version.is_some() {
        return None;
    }
    if report.prepared_version == Some(version) {
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
        expected_orders: report.accepted_orders,
        map: intent.rank_map(),
    })
}
