//! The waiting requests of one account and priority.

use std::collections::BTreeMap;
use std::time::Duration;

use super::wait_queue::{QueueRequest, Ticket};

/// Requests of one account and priority, in order of their deadlines.
#[derive(Clone, Debug)]
pub(super) struct AccountQueue<T> {
    items: BTreeMap<(Duration, Ticket), Queued<T>>,
    /// Virtual time at which the next request of the account is due; see
    /// [`ClassQueue`](super::class::ClassQueue).
    pub virtual_due: f64,
}

/// A waiting request and its payload.
#[derive(Clone, Debug)]
pub(super) struct Queued<T> {
    pub request: QueueRequest,
    pub queued_at: Duration,
    pub value: T,
}

impl<T> AccountQueue<T> {
    pub fn new(virtual_due: f64) -> Self {
        Self {
            items: BTreeMap::new(),
            virtual_due,
        }
    }

    pub fn insert(&mut self, ticket: Ticket, queued: Queued<T>) {
        self.items.insert((queued.request.deadline, ticket), queued);
    }

    pub fn first(&self) -> Option<&Queued<T>> {
        self.items.first_key_value().map(|(_, queued)| queued)
    }

    pub fn pop_first(&mut self) -> Option<(Ticket, Queued<T>)> {
        let ((_, ticket), queued) = self.items.pop_first()?;
        Some((ticket, queued))
    }

    pub fn pop_last(&mut self) -> Option<(Ticket, Queued<T>)> {
        let ((_, ticket), queued) = self.items.pop_last()?;
        Some((ticket, queued))
    }

    pub fn remove(&mut self, deadline: Duration, ticket: Ticket) -> Option<Queued<T>> {
        self.items.remove(&(deadline, ticket))
    }

    /// Number of requests that are sent before a new one with this deadline.
    pub fn count_ahead_of(&self, deadline: Duration) -> usize {
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
