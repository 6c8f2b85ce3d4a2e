//! Sends an agent's load to entries that got no answer from it for a while.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Maximum time for which an entry gets no load report of an upstream that it serves.
pub const MAX_LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(2);

/// Minimum time from an immediate report to another that only says whether a cold upstream is full.
pub const FULL_CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// A load report that is sent separately, not with an answer.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, prost::Message)]
pub struct LoadMessage {
    /// Requests in flight at the upstream.
    #[prost(uint32, tag = "1")]
    pub in_flight: u32,
    /// Requests that wait in the agent's queue.
    #[prost(uint32, tag = "2")]
    pub queued: u32,
    /// Maximum number of requests in flight that the agent admits now.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    /// Smoothed service time, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub service_ms: u32,
    /// Whether the upstream is in cold start.
    #[prost(bool, tag = "5")]
    pub cold: bool,
    /// Whether the upstream takes no new work.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Age of the report, in milliseconds.
    #[prost(uint32, tag = "7")]
    pub age_ms: u32,
}

impl From<&LoadReport> for LoadMessage {
    fn from(load: &LoadReport) -> Self {
        let LoadReport {
            in_flight,
            queued,
            limit,
            service_ms,
            cold,
            leaving,
            age_ms,
        } = *load;
        Self {
            in_flight,
            queued,
            limit,
            service_ms,
            cold,
            leaving,
            age_ms,
        }
    }
}

impl From<&LoadMessage> for LoadReport {
    fn from(message: &LoadMessage) -> Self {
        let LoadMessage {
            in_flight,
            queued,
            limit,
            service_ms,
            cold,
            leaving,
            age_ms,
        } = *message;
        Self {
            in_flight,
            queued,
            limit,
            service_ms,
            cold,
            leaving,
            age_ms,
        }
    }
}

/// Decides which entries an agent sends its load to.
///
/// Each answer carries the load, so only entries that got no answer for a while need a separate
/// report. All entries get one at once when the upstream starts or stops taking work, becomes cold or
/// warm, or runs out of slots while cold.
#[derive(Clone, Debug)]
pub struct LoadFeed {
    period: Duration,
    /// When each subscriber last got the load.
    last_sent_at: BTreeMap<VmName, Duration>,
    last_urgent: Option<UrgentState>,
    /// When the urgent state last changed.
    last_urgent_at: Duration,
}

/// The part of the load whose changes are sent to all entries at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct UrgentState {
    leaving: bool,
    cold: bool,
    /// Whether the upstream is cold and has no free slot. A cold upstream has few slots, for which
    /// many entries compete.
    cold_and_full: bool,
}

impl From<&LoadReport> for UrgentState {
    fn from(load: &LoadReport) -> Self {
        let full = load.in_flight + load.queued >= load.limit;
        Self {
            leaving: load.leaving,
            cold: load.cold,
            cold_and_full: load.cold && full,
        }
    }
}

impl LoadFeed {
    /// Creates a feed that sends the load to each subscriber at least once per period.
    #[must_use]
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            last_sent_at: BTreeMap::new(),
            last_urgent: None,
            last_urgent_at: Duration::ZERO,
        }
    }

    /// Sets the entries that serve the upstream.
    pub fn set_subscribers<'a>(&mut self, entries: impl Iterator<Item = &'a VmName>) {
        let old = std::mem::take(&mut self.last_sent_at);
        self.last_sent_at = entries
            .map(|name| (name.clone(), old.get(name).copied().unwrap_or_default()))
            .collect();
    }

    /// Records that an answer carried the load to an entry.
    pub fn record_answer(&mut self, now: Duration, entry: &VmName) {
        if let Some(sent_at) = self.last_sent_at.get_mut(entry) {
            *sent_at = now;
        }
    }

    /// The entries to which the load must be sent now; it counts as sent.
    pub fn due(&mut self, now: Duration, load: &LoadReport) -> Vec<VmName> {
        let changed = self.urgent_state_changed(now, load);
        let period = self.period;
        let due = |sent_at: &Duration| changed || now.saturating_sub(*sent_at) >= period;
        let mut names = Vec::new();
        for (name, sent_at) in self
            .last_sent_at
            .iter_mut()
            .filter(|(_, sent_at)| due(sent_at))
        {
            *sent_at = now;
            names.push(name.clone());
        }
        names
    }

    /// Whether a change must be sent to all entries at once. Whether a cold upstream is full changes
    /// often, so the rate of reports about only that is limited.
    fn urgent_state_changed(&mut self, now: Duration, load: &LoadReport) -> bool {
        let current = UrgentState::from(load);
        let Some(last) = self.last_urgent else {
            self.last_urgent = Some(current);
            return false;
        };
        let only_full = UrgentState {
            cold_and_full: current.cold_and_full,
            ..last
        } == current;
        let too_soon = only_full && now.saturating_sub(self.last_urgent_at) < FULL_CHANGE_INTERVAL;
        if last == current || too_soon {
            return false;
        }
        self.last_urgent = Some(current);
        self.last_urgent_at = now;
        true
    }
}
