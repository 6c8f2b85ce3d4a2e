//! One account's requests of one class.

use std::collections::BTreeMap;
use std::time::Duration;

use super::wait_queue::{QueueRequest, Ticket};

/// Requests of one account and class, in order of their deadlines.
#[derive(Clone, Debug)]
pub(super) struct Lane<T> {
    items: BTreeMap<(Duration, Ticket), Held<T>>,
    /// Virtual time at which the lane's next request is due.
    pub due: f64,
}

/// A waiting request and its payload.
#[derive(Clone, Debug)]
pub(super) struct Held<T> {
    pub waiting: QueueRequest,
    pub queued: Duration,
    pub value: T,
}

impl<T> Lane<T> {
    pub fn new(due: f64) -> Self {
        Self {
            items: BTreeMap::new(),
            due,
        }
    }

    pub fn insert(&mut self, ticket: Ticket, held: Held<T>) {
        self.items.insert((held.waiting.deadline, ticket), held);
    }

    pub fn first(&self) -> Option<&Held<T>> {
        self.items.first_key_value().map(|(_, held)| held)
    }

    pub fn pop_first(&mut self) -> Option<(Ticket, Held<T>)> {
        let ((_, ticket), held) = self.items.pop_first()?;
        Some((ticket, held))
    }

    pub fn pop_last(&mut self) -> Option<(Ticket, Held<T>)> {
        let ((_, ticket), held) = self.items.pop_last()?;
        Some((ticket, held))
    }

    pub fn remove(&mut self, deadline: Duration, ticket: Ticket) -> Option<Held<T>> {
        self.items.remove(&(deadline, ticket))
    }

    /// Requests that must be served before one with this deadline.
    pub fn ahead_of(&self, deadline: Duration) -> usize {
        self.items
            .keys()
            .take_while(|(d, _)| *d <= deadline)
            .count()
    }

    pub fn first_deadline(&self) -> Option<Duration> {
        self.items
            .first_key_value()
            .map(|((deadline, _), _)| *deadline)
    }

    pub fn len(&self) -> usize {
        self.items.len()
    }

    pub fn is_empty(&self) -> bool {
        self.items.is_empty()
    }
}
