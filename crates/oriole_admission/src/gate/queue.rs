//! Bounded queue of waiting work: by priority class, then by earliest deadline.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::catalog::Priority;

use super::types::{Offer, WorkId};

/// Share of the queue (numerator, denominator) up to which normal work is queued, so that some
/// capacity is left for high priority.
const NORMAL_SHARE: (u32, u32) = (3, 4);
/// Share of the queue up to which low-priority work is queued.
const LOW_SHARE: (u32, u32) = (1, 2);

/// Sort key of the queue; the last field is the order of arrival.
type QueueKey = (Priority, Duration, u64);

/// Waiting work, most urgent first.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<QueueKey, Offer>,
    next_arrival: u64,
}

impl Queue {
    pub(super) fn len(&self) -> u32 {
        self.waiting.len() as u32
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Whether work of this priority may still be queued.
    pub(super) fn has_room(&self, priority: Priority, capacity: u32) -> bool {
        let (numerator, denominator) = match priority {
            Priority::High => (1, 1),
            Priority::Normal => NORMAL_SHARE,
            Priority::Low => LOW_SHARE,
        };
        self.len() < capacity * numerator / denominator
    }

    /// Number of waiting requests that would start before an offer.
    pub(super) fn count_ahead(&self, offer: &Offer) -> u32 {
        let key = (offer.priority, offer.deadline, self.next_arrival);
        self.waiting.range(..key).count() as u32
    }

    pub(super) fn push(&mut self, offer: Offer) {
        let key = (offer.priority, offer.deadline, self.next_arrival);
        self.next_arrival += 1;
        self.waiting.insert(key, offer);
    }

    /// Removes the most urgent work.
    pub(super) fn pop(&mut self) -> Option<Offer> {
        self.waiting.pop_first().map(|(_, offer)| offer)
    }

    /// Removes the least urgent work.
    pub(super) fn pop_last(&mut self) -> Option<Offer> {
        self.waiting.pop_last().map(|(_, offer)| offer)
    }

    pub(super) fn withdraw(&mut self, id: WorkId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|_, offer| offer.id != id);
        self.waiting.len() < before
    }

    /// Removes all work that matches.
    pub(super) fn take_if(&mut self, f: impl Fn(&Offer) -> bool) -> Vec<WorkId> {
        let taken = self.waiting.extract_if(.., |_, offer| f(offer));
        taken.map(|(_, offer)| offer.id).collect()
    }
}
