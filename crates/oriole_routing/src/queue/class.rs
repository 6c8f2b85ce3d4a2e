//! The waiting requests of one priority, by account.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::prelude::*;

use super::account_queue::{AccountQueue, Queued};
use super::wait_queue::Ticket;

/// The waiting requests of one priority.
///
/// Accounts take turns in proportion to their weights (weighted fair queueing): the account that is
/// due first in virtual time is next, and each request it sends moves its due time back by the
/// inverse of its weight.
#[derive(Clone, Debug)]
pub(super) struct ClassQueue<T> {
    /// Requests by account.
    pub accounts: BTreeMap<AccountName, AccountQueue<T>>,
    /// Number of waiting requests.
    pub len: usize,
    /// Virtual time: the latest due time of a request that was taken.
    virtual_now: f64,
}

impl<T> Default for ClassQueue<T> {
    fn default() -> Self {
        Self {
            accounts: BTreeMap::new(),
            len: 0,
            virtual_now: 0.0,
        }
    }
}

impl<T> ClassQueue<T> {
    /// Adds a request. An account without waiting requests gets no credit for the time before.
    pub fn insert(&mut self, ticket: Ticket, queued: Queued<T>) {
        let account = queued.request.account.clone();
        let virtual_now = self.virtual_now;
        let queue = self
            .accounts
            .entry(account)
            .or_insert_with(|| AccountQueue::new(virtual_now));
        if queue.is_empty() {
            queue.virtual_due = queue.virtual_due.max(virtual_now);
        }
        queue.insert(ticket, queued);
        self.len += 1;
    }

    /// Accounts with waiting requests and the virtual times at which they are due.
    pub fn virtual_dues(&self) -> impl Iterator<Item = (f64, &AccountName)> {
        let waiting = self.accounts.iter().filter(|(_, queue)| !queue.is_empty());
        waiting.map(|(account, queue)| (queue.virtual_due, account))
    }

    /// Takes an account's next request.
    pub fn take(&mut self, account: &AccountName) -> Option<(Ticket, Queued<T>)> {
        let queue = self.accounts.get_mut(account)?;
        let (ticket, queued) = queue.pop_first()?;
        self.virtual_now = self.virtual_now.max(queue.virtual_due);
        queue.virtual_due += 1.0 / f64::from(queued.request.weight.max(1));
        self.len -= 1;
        self.remove_if_idle(account);
        Some((ticket, queued))
    }

    /// Number of requests of an account that are sent before a new one with this deadline.
    pub fn count_ahead_of(&self, account: &AccountName, deadline: Duration) -> usize {
        self.accounts
            .get(account)
            .map_or(0, |queue| queue.count_ahead_of(deadline))
    }

    /// Number of waiting requests of an account.
    pub fn waiting_count(&self, account: &AccountName) -> usize {
        self.accounts.get(account).map_or(0, AccountQueue::len)
    }

    /// An account with a request whose deadline has passed, if there is one.
    pub fn account_with_expired(&self, now: Duration) -> Option<AccountName> {
        self.accounts
            .iter()
            .find(|(_, queue)| queue.first_deadline().is_some_and(|d| d <= now))
            .map(|(account, _)| account.clone())
    }

    /// Drops an account that has no waiting requests and is already due again, which keeps the map
    /// small.
    pub fn remove_if_idle(&mut self, account: &AccountName) {
        let virtual_now = self.virtual_now;
        if self
            .accounts
            .get(account)
            .is_some_and(|queue| queue.is_empty() && queue.virtual_due <= virtual_now)
        {
            self.accounts.remove(account);
        }
        if self.len == 0 {
            self.accounts.clear();
        }
    }
}
