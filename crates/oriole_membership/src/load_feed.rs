//! How an agent tells its load to entries that got no answer from it lately.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::prelude::*;
use serde::{Deserialize, Serialize};

/// Longest time that an entry is without news of an upstream it serves.
pub const MAX_LOAD_AGE: Duration = Duration::from_secs(2);

/// Shortest time between two words on whether a cold upstream is full.
pub const FULL_CHANGE_INTERVAL: Duration = Duration::from_millis(500);

/// A load report on its own, for an entry that got no answer lately.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, prost::Message)]
pub struct LoadMessage {
    /// Requests running at the upstream.
    #[prost(uint32, tag = "1")]
    pub in_flight: u32,
    /// Requests that wait at the agent.
    #[prost(uint32, tag = "2")]
    pub queued: u32,
    /// Most requests in flight that the agent admits now.
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
    /// Milliseconds since the report was made.
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

/// Decides which entries an agent tells its load now.
///
/// An answer carries the load, so only entries that got none for a while are told, and all of them
/// at once when the upstream stops or starts taking work.
#[derive(Clone, Debug)]
pub struct LoadFeed {
    period: Duration,
    told: BTreeMap<VmName, Duration>,
    last_word: Option<Word>,
    last_full: Duration,
}

/// What entries must hear at once when it changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Word {
    leaving: bool,
    cold: bool,
    /// Whether a cold upstream has no slot left; its slots are few, and many entries watch them.
    cold_and_full: bool,
}

impl From<&LoadReport> for Word {
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
    /// A feed that lets no subscriber be without news for longer than a period.
    #[must_use]
    pub fn new(period: Duration) -> Self {
        Self {
            period,
            told: BTreeMap::new(),
            last_word: None,
            last_full: Duration::ZERO,
        }
    }

    /// Sets the entries that serve the upstream.
    pub fn set_subscribers<'a>(&mut self, entries: impl Iterator<Item = &'a VmName>) {
        let old = std::mem::take(&mut self.told);
        self.told = entries
            .map(|name| (name.clone(), old.get(name).copied().unwrap_or_default()))
            .collect();
    }

    /// Notes that an answer told an entry the load.
    pub fn record_answer(&mut self, now: Duration, entry: &VmName) {
        if let Some(told) = self.told.get_mut(entry) {
            *told = now;
        }
    }

    /// The entries to tell now; they count as told.
    pub fn due(&mut self, now: Duration, load: &LoadReport) -> Vec<VmName> {
        let changed = self.word_changed(now, load);
        let period = self.period;
        let due = |told: &Duration| changed || now.saturating_sub(*told) >= period;
        let mut names = Vec::new();
        for (name, told) in self.told.iter_mut().filter(|(_, told)| due(told)) {
            *told = now;
            names.push(name.clone());
        }
        names
    }

    /// Whether entries must hear of a change at once. Whether a cold upstream is full changes
    /// often, so that is told only now and then.
    fn word_changed(&mut self, now: Duration, load: &LoadReport) -> bool {
        let word = Word::from(load);
        let Some(last) = self.last_word else {
            self.last_word = Some(word);
            return false;
        };
        let only_full = Word {
            cold_and_full: word.cold_and_full,
            ..last
        } == word;
        let too_soon = only_full && now.saturating_sub(self.last_full) < FULL_CHANGE_INTERVAL;
        if last == word || too_soon {
            return false;
        }
        self.last_word = Some(word);
        self.last_full = now;
        true
    }
}
