//! Requests of one class, by account.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::prelude::*;

use super::lane::{Held, Lane};
use super::wait_queue::Ticket;

/// Requests of one class. Accounts take turns by weight: each request moves its account's next one
/// back in virtual time by the inverse of the weight.
#[derive(Clone, Debug)]
pub(super) struct Class<T> {
    /// Requests by account.
    pub lanes: BTreeMap<AccountName, Lane<T>>,
    /// Number of waiting requests.
    pub waiting: usize,
    now: f64,
}

impl<T> Default for Class<T> {
    fn default() -> Self {
        Self {
            lanes: BTreeMap::new(),
            waiting: 0,
            now: 0.0,
        }
    }
}

impl<T> Class<T> {
    /// Lets a request wait.
    pub fn insert(&mut self, ticket: Ticket, held: Held<T>) {
        let account = held.waiting.account.clone();
        let now = self.now;
        let lane = self.lanes.entry(account).or_insert_with(|| Lane::new(now));
        if lane.is_empty() {
            lane.due = lane.due.max(now);
        }
        lane.insert(ticket, held);
        self.waiting += 1;
    }

    /// Accounts with waiting requests and when their next one is due, in virtual time.
    pub fn due(&self) -> impl Iterator<Item = (f64, &AccountName)> {
        let waiting = self.lanes.iter().filter(|(_, lane)| !lane.is_empty());
        waiting.map(|(account, lane)| (lane.due, account))
    }

    /// Takes an account's next request.
    pub fn take(&mut self, account: &AccountName) -> Option<(Ticket, Held<T>)> {
        let lane = self.lanes.get_mut(account)?;
        let (ticket, held) = lane.pop_first()?;
        self.now = self.now.max(lane.due);
        lane.due += 1.0 / f64::from(held.waiting.weight.max(1));
        self.waiting -= 1;
        self.drop_if_idle(account);
        Some((ticket, held))
    }

    /// Requests of an account that are sent before one of it with this deadline.
    pub fn ahead_of(&self, account: &AccountName, deadline: Duration) -> usize {
        self.lanes
            .get(account)
            .map_or(0, |lane| lane.ahead_of(deadline))
    }

    /// Number of waiting requests of an account.
    pub fn waiting_for(&self, account: &AccountName) -> usize {
        self.lanes.get(account).map_or(0, Lane::len)
    }

    /// An account with a request whose deadline has passed.
    pub fn late_account(&self, now: Duration) -> Option<AccountName> {
        self.lanes
            .iter()
            .find(|(_, lane)| lane.first_deadline().is_some_and(|d| d <= now))
            .map(|(account, _)| account.clone())
    }

    /// Forgets an account that owes nothing, so that the map stays small.
    pub fn drop_if_idle(&mut self, account: &AccountName) {
        let now = self.now;
        if self
            .lanes
            .get(account)
            .is_some_and(|l| l.is_empty() && l.due <= now)
        {
            self.lanes.remove(account);
        }
        if self.waiting == 0 {
            self.lanes.clear();
        }
    }
}
