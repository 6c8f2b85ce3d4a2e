//! The rate at which each account is served by a pool, and its fair share.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::prelude::*;

use super::rate::Rate;

/// Time between two updates of the fair level.
const REFRESH_INTERVAL: Duration = Duration::from_millis(100);

/// An account is over its share if it is served at more than this multiple of the share.
const OVER_SHARE_FACTOR: f64 = 1.1;

/// An account without waiting requests is dropped below this rate, in requests per second.
const IDLE_RATE_PER_S: f64 = 0.01;

/// Use of one pool by its accounts, with max-min fair shares.
///
/// The fair level is the rate per unit of weight at which the accounts with waiting requests are
/// served. Accounts that need less than their share leave the rest to the others.
#[derive(Clone, Debug)]
pub(super) struct AccountShares {
    smoothing: Duration,
    accounts: BTreeMap<AccountName, AccountUse>,
    /// Requests per second and unit of weight; `None` if nothing was served lately.
    fair_level: Option<f64>,
    refreshed_at: Duration,
}

/// Use of the pool by one account.
#[derive(Clone, Debug)]
struct AccountUse {
    weight: f64,
    /// Number of waiting requests.
    waiting: usize,
    /// Requests sent to upstreams.
    served: Rate,
    /// Requests accepted, whether they waited or not.
    arrivals: BTreeMap<Priority, Rate>,
}

impl AccountShares {
    pub fn new(smoothing: Duration) -> Self {
        let (accounts, fair_level, refreshed_at) = (BTreeMap::new(), None, Duration::ZERO);
        Self {
            smoothing,
            accounts,
            fair_level,
            refreshed_at,
        }
    }

    /// Records a request that was accepted.
    pub fn record_arrival(&mut self, now: Duration, account: &AccountName, priority: Priority) {
        let smoothing = self.smoothing;
        let usage = self.account_mut(account);
        let rate = usage
            .arrivals
            .entry(priority)
            .or_insert_with(|| Rate::new(smoothing));
        rate.add(now, 1.0);
    }

    /// Records that a request started to wait.
    pub fn record_queued(&mut self, account: &AccountName, weight: u32) {
        let usage = self.account_mut(account);
        usage.weight = f64::from(weight.max(1));
        usage.waiting += 1;
    }

    /// Records that a request left the queue.
    pub fn record_left(&mut self, account: &AccountName) {
        let usage = self.account_mut(account);
        usage.waiting = usage.waiting.saturating_sub(1);
    }

    /// Records a request that was sent to an upstream.
    pub fn record_served(&mut self, now: Duration, account: &AccountName) {
        self.account_mut(account).served.add(now, 1.0);
    }

    /// Reverts [`AccountShares::record_served`] for one request.
    pub fn undo_served(&mut self, account: &AccountName) {
        self.account_mut(account).served.subtract(1.0);
    }

    /// Number of waiting requests of an account.
    pub fn waiting_count(&self, account: &AccountName) -> usize {
        self.accounts.get(account).map_or(0, |a| a.waiting)
    }

    /// Updates the fair level and drops idle accounts, unless the last update is recent.
    pub fn refresh(&mut self, now: Duration) {
        if self.fair_level.is_some() && now.saturating_sub(self.refreshed_at) < REFRESH_INTERVAL {
            return;
        }
        self.refreshed_at = now;
        self.accounts
            .retain(|_, a| a.waiting > 0 || a.served.per_s(now) >= IDLE_RATE_PER_S);
        self.fair_level = self.compute_fair_level(now);
    }

    /// Whether an account is served at more than its share.
    pub fn is_over_share(&self, now: Duration, account: &AccountName) -> bool {
        let (Some(fair_level), Some(usage)) = (self.fair_level, self.accounts.get(account)) else {
            return false;
        };
        usage.served.per_s(now) > usage.weight * fair_level * OVER_SHARE_FACTOR
    }

    /// Arrival rate of a priority over all accounts, in requests per second.
    pub fn arrival_rate(&self, now: Duration, priority: Priority) -> f64 {
        let rates = self
            .accounts
            .values()
            .filter_map(|a| a.arrivals.get(&priority));
        rates.map(|rate| rate.per_s(now)).sum()
    }

    /// Rate at which requests of an account and priority can expect to be served, in requests per
    /// second.
    ///
    /// It is the account's share minus the arrivals of its more urgent requests, but at least
    /// `min_share` of the share. `None` if nothing was served lately.
    pub fn guaranteed_rate(
        &self,
        now: Duration,
        class_of_account: (&AccountName, u32, Priority),
        min_share: f64,
    ) -> Option<f64> {
        let (account, weight, priority) = class_of_account;
        let share = self.fair_level? * f64::from(weight.max(1));
        let urgent_rate: f64 = self.accounts.get(account).map_or(0.0, |a| {
            a.arrivals
                .range(..priority)
                .map(|(_, rate)| rate.per_s(now))
                .sum()
        });
        Some((share - urgent_rate).max(share * min_share))
    }

    /// Rate per unit of weight that remains for the accounts with waiting requests once the
    /// accounts that need less than their share are served.
    fn compute_fair_level(&self, now: Duration) -> Option<f64> {
        let mut total: f64 = self.accounts.values().map(|a| a.served.per_s(now)).sum();
        let mut weight: f64 = self.accounts.values().map(|a| a.weight).sum();
        let demand = |a: &AccountUse| {
            if a.waiting > 0 {
                f64::INFINITY
            } else {
                a.served.per_s(now) / a.weight
            }
        };
        let mut by_demand: Vec<(f64, f64)> = self
            .accounts
            .values()
            .map(|a| (demand(a), a.weight))
            .collect();
        by_demand.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (rate, w) in by_demand {
            if weight <= 0.0 || rate * weight > total {
                break;
            }
            total -= rate * w;
            weight -= w;
        }
        (weight > 0.0 && total > 0.0).then(|| total / weight)
    }

    fn account_mut(&mut self, account: &AccountName) -> &mut AccountUse {
        let smoothing = self.smoothing;
        self.accounts
            .entry(account.clone())
            .or_insert_with(|| AccountUse {
                weight: 1.0,
                waiting: 0,
                served: Rate::new(smoothing),
                arrivals: BTreeMap::new(),
            })
    }
}
