//! The bounded queue: most urgent first, earliest deadline first within a class.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::catalog::Priority;

use super::types::{Offer, WorkId};

/// Share of the queue that less urgent classes may fill, so that room is left for the others.
const NORMAL_SHARE: (u32, u32) = (3, 4);
const LOW_SHARE: (u32, u32) = (1, 2);

type Place = (Priority, Duration, u64);

/// Work that waits.
#[derive(Clone, Debug, Default)]
pub(super) struct Queue {
    waiting: BTreeMap<Place, Offer>,
    next: u64,
}

impl Queue {
    pub(super) fn len(&self) -> u32 {
        self.waiting.len() as u32
    }

    pub(super) fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    pub(super) fn has_room(&self, priority: Priority, capacity: u32) -> bool {
        let (share, of) = match priority {
            Priority::High => (1, 1),
            Priority::Normal => NORMAL_SHARE,
            Priority::Low => LOW_SHARE,
        };
        self.len() < capacity * share / of
    }

    /// Work that goes before an offer.
    pub(super) fn ahead_of(&self, offer: &Offer) -> u32 {
        let place = (offer.priority, offer.deadline, self.next);
        self.waiting.range(..place).count() as u32
    }

    pub(super) fn push(&mut self, offer: Offer) {
        let place = (offer.priority, offer.deadline, self.next);
        self.next += 1;
        self.waiting.insert(place, offer);
    }

    pub(super) fn pop(&mut self) -> Option<Offer> {
        self.waiting.pop_first().map(|(_, offer)| offer)
    }

    pub(super) fn pop_last(&mut self) -> Option<Offer> {
        self.waiting.pop_last().map(|(_, offer)| offer)
    }

    pub(super) fn withdraw(&mut self, id: WorkId) -> bool {
        let before = self.waiting.len();
        self.waiting.retain(|_, offer| offer.id != id);
        self.waiting.len() < before
    }

    /// Takes out everything that matches.
    pub(super) fn take_if(&mut self, f: impl Fn(&Offer) -> bool) -> Vec<WorkId> {
        let taken = self.waiting.extract_if(.., |_, offer| f(offer));
        taken.map(|(_, offer)| offer.id).collect()
    }
}
