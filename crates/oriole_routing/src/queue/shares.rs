//! What each account had of a pool, and what it may count on.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::prelude::*;

use super::rate::Rate;

/// Time between two looks at what accounts had.
const REFRESH: Duration = Duration::from_millis(100);

/// How far above its share an account counts as over it.
const TOLERANCE: f64 = 1.1;

/// Requests a second below which an account that waits for nothing is forgotten.
const IDLE_BELOW_PER_S: f64 = 0.01;

/// Use of one pool by its accounts.
///
/// The level is the rate at weight one up to which every account is served while some wait for
/// more: accounts that ask for less leave the rest to the others.
#[derive(Clone, Debug)]
pub(super) struct Shares {
    smoothing: Duration,
    accounts: BTreeMap<AccountName, Use>,
    level: Option<f64>,
    refreshed: Duration,
}

#[derive(Clone, Debug)]
struct Use {
    weight: f64,
    waiting: usize,
    had: Rate,
    arrived: BTreeMap<Priority, Rate>,
}

impl Shares {
    pub fn new(smoothing: Duration) -> Self {
        let (accounts, level, refreshed) = (BTreeMap::new(), None, Duration::ZERO);
        Self {
            smoothing,
            accounts,
            level,
            refreshed,
        }
    }

    /// Notes a request that was taken in.
    pub fn arrived(&mut self, now: Duration, account: &AccountName, priority: Priority) {
        let smoothing = self.smoothing;
        let used = self.of(account);
        let rate = used
            .arrived
            .entry(priority)
            .or_insert_with(|| Rate::new(smoothing));
        rate.add(now, 1.0);
    }

    /// Notes a request that waits.
    pub fn queued(&mut self, account: &AccountName, weight: u32) {
        let used = self.of(account);
        used.weight = f64::from(weight.max(1));
        used.waiting += 1;
    }

    /// Notes a request that waits no longer.
    pub fn left(&mut self, account: &AccountName) {
        let used = self.of(account);
        used.waiting = used.waiting.saturating_sub(1);
    }

    /// Notes a request that was sent.
    pub fn had(&mut self, now: Duration, account: &AccountName) {
        self.of(account).had.add(now, 1.0);
    }

    /// Takes back that a request was sent.
    pub fn had_not(&mut self, account: &AccountName) {
        self.of(account).had.take_back(1.0);
    }

    /// Number of waiting requests of an account.
    pub fn waiting(&self, account: &AccountName) -> usize {
        self.accounts.get(account).map_or(0, |a| a.waiting)
    }

    /// Looks again at what accounts had, if that was not done just now.
    pub fn refresh(&mut self, now: Duration) {
        if self.level.is_some() && now.saturating_sub(self.refreshed) < REFRESH {
            return;
        }
        self.refreshed = now;
        self.accounts
            .retain(|_, a| a.waiting > 0 || a.had.per_s(now) >= IDLE_BELOW_PER_S);
        self.level = self.find_level(now);
    }

    /// Whether an account had more than its share while others wait.
    pub fn is_over(&self, now: Duration, account: &AccountName) -> bool {
        let (Some(level), Some(used)) = (self.level, self.accounts.get(account)) else {
            return false;
        };
        used.had.per_s(now) > used.weight * level * TOLERANCE
    }

    /// Requests a second of a class that all accounts together bring.
    pub fn arriving(&self, now: Duration, priority: Priority) -> f64 {
        let rates = self
            .accounts
            .values()
            .filter_map(|a| a.arrived.get(&priority));
        rates.map(|rate| rate.per_s(now)).sum()
    }

    /// Requests a second of a class that an account can count on; `least` is the part of its share
    /// that a class gets although the account's more urgent ones take it all.
    pub fn counts_on(
        &self,
        now: Duration,
        waiting: (&AccountName, u32, Priority),
        least: f64,
    ) -> Option<f64> {
        let (account, weight, priority) = waiting;
        let share = self.level? * f64::from(weight.max(1));
        let urgent: f64 = self.accounts.get(account).map_or(0.0, |a| {
            a.arrived
                .range(..priority)
                .map(|(_, rate)| rate.per_s(now))
                .sum()
        });
        Some((share - urgent).max(share * least))
    }

    /// The level at which the accounts with waiting requests share what the others leave.
    fn find_level(&self, now: Duration) -> Option<f64> {
        let mut total: f64 = self.accounts.values().map(|a| a.had.per_s(now)).sum();
        let mut weight: f64 = self.accounts.values().map(|a| a.weight).sum();
        let asks = |a: &Use| {
            if a.waiting > 0 {
                f64::INFINITY
            } else {
                a.had.per_s(now) / a.weight
            }
        };
        let mut modest: Vec<(f64, f64)> = self
            .accounts
            .values()
            .map(|a| (asks(a), a.weight))
            .collect();
        modest.sort_by(|a, b| a.0.total_cmp(&b.0));
        for (ask, w) in modest {
            if weight <= 0.0 || ask * weight > total {
                break;
            }
            total -= ask * w;
            weight -= w;
        }
        (weight > 0.0 && total > 0.0).then(|| total / weight)
    }

    fn of(&mut self, account: &AccountName) -> &mut Use {
        let smoothing = self.smoothing;
        self.accounts.entry(account.clone()).or_insert_with(|| Use {
            weight: 1.0,
            waiting: 0,
            had: Rate::new(smoothing),
            arrived: BTreeMap::new(),
        })
    }
}
