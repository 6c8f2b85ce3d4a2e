//! A queue of events in order of their time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};

/// Milliseconds since the start of a run.
pub type Ms = u64;

/// Scheduled events; events of the same time are returned in the order of scheduling.
#[derive(Debug)]
pub struct Timeline<E> {
    now: Ms,
    last_seq: u64,
    due: BinaryHeap<Reverse<(Ms, u64)>>,
    events: BTreeMap<u64, E>,
}

impl<E> Default for Timeline<E> {
    fn default() -> Self {
        Self {
            now: 0,
            last_seq: 0,
            due: BinaryHeap::new(),
            events: BTreeMap::new(),
        }
    }
}

impl<E> Timeline<E> {
    /// Returns the time of the last event.
    pub fn now(&self) -> Ms {
        self.now
    }

    /// Schedules an event after a delay.
    pub fn schedule_after(&mut self, delay: Ms, event: E) {
        self.last_seq += 1;
        self.due.push(Reverse((self.now + delay, self.last_seq)));
        self.events.insert(self.last_seq, event);
    }

    /// Removes the next event and advances the time to it.
    pub fn pop(&mut self) -> Option<E> {
        let Reverse((at, number)) = self.due.pop()?;
        self.now = at;
        self.events.remove(&number)
    }
}
