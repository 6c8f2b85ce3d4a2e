//! Admission of requests by the limits of their account and catalog entry.

use std::collections::BTreeMap;
use std::time::Duration;

use metrics::counter;
use oriole_types::prelude::*;

use super::bucket::TokenBucket;
use super::share::{LimitDigest, PeerUsage, Usage, limit_share};
use crate::queue::rate::Rate;

/// Fraction of a catalog entry's bucket that is reserved for accounts below their fair share.
const SMALL_ACCOUNT_RESERVE: f64 = 0.5;

/// Demand below which an account or catalog entry counts as idle, in requests per second.
const IDLE_RATE_PER_S: f64 = 0.01;

/// Tolerance for rounding errors where a fractional share is compared with a count.
const ROUNDING_SLACK: f64 = 1e-6;

/// Usage is left out of digests below this fraction of an even share of the limit. While usage is
/// below it at every entry, the limit can't be exceeded.
const DIGEST_THRESHOLD: f64 = 0.5;

/// Settings of a [`Limiter`].
#[derive(Clone, Debug)]
pub struct LimiterConfig {
    /// Smoothing time of the measured demand.
    pub smoothing: Duration,
    /// Age at which a peer's digest is ignored.
    pub digest_ttl: Duration,
    /// Depth of a catalog entry's bucket, as the time in which it refills.
    pub entry_burst: Duration,
}

impl Default for LimiterConfig {
    fn default() -> Self {
        Self {
            smoothing: Duration::from_secs(2),
            digest_ttl: Duration::from_secs(5),
            entry_burst: Duration::from_secs(1),
        }
    }
}

/// An admitted request. Pass it to [`Limiter::release`] when the request ends.
#[derive(Debug)]
#[must_use = "a permit that is never released counts as in flight forever"]
pub struct Permit {
    account: AccountName,
    entry: EntryName,
}

/// Why a request was not admitted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("refused: {reason}")]
pub struct LimitRefusal {
    /// Reason that the caller gets.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed; zero if waiting does not help.
    pub retry_after: Duration,
    /// The operator's reason for the block, if the request is blocked.
    pub detail: Option<String>,
}

/// Admits requests by the limits of their account and catalog entry, and refuses blocked ones.
///
/// Set with [`Limiter::set_account_sharers`] how many entries an account is directed to, send
/// [`Limiter::digest`] to these entries about once per second, and pass their digests to
/// [`Limiter::record_peer_digest`].
#[derive(Clone, Debug)]
pub struct Limiter {
    cfg: LimiterConfig,
    accounts: BTreeMap<AccountName, LimitState>,
    entries: BTreeMap<EntryName, LimitState>,
    /// Demand of each account at each catalog entry.
    demand_by_entry: BTreeMap<(EntryName, AccountName), Rate>,
    /// Number of entries in service, which share the limits of catalog entries.
    catalog_entry_sharers: usize,
}

/// Limits and usage of one account or catalog entry at this entry.
#[derive(Clone, Debug)]
struct LimitState {
    bucket: TokenBucket,
    demand: Rate,
    in_flight: u32,
    /// Number of entries that share the limit; used for accounts only.
    sharers: usize,
    even_share: EvenShare,
    peers: PeerUsage,
}

/// The limits divided evenly among the entries that share them.
#[derive(Clone, Copy, Debug, Default)]
struct EvenShare {
    per_s: f64,
    in_flight: f64,
}

impl Limiter {
    /// Creates a limiter without requests in flight.
    #[must_use]
    pub fn new(cfg: LimiterConfig) -> Self {
        Self {
            cfg,
            accounts: BTreeMap::new(),
            entries: BTreeMap::new(),
            demand_by_entry: BTreeMap::new(),
            catalog_entry_sharers: 1,
        }
    }

    /// Sets the number of entries that an account is directed to and that share its limits.
    pub fn set_account_sharers(&mut self, now: Duration, account: &AccountName, sharers: usize) {
        state_mut(&mut self.accounts, account, now, &self.cfg).sharers = sharers.max(1);
    }

    /// Sets the number of entries in service. They share the limits of all catalog entries.
    pub fn set_catalog_entry_sharers(&mut self, sharers: usize) {
        self.catalog_entry_sharers = sharers.max(1);
    }

    /// Admits a request or refuses it.
    ///
    /// # Errors
    ///
    /// Refuses a request whose account or catalog entry is unknown, blocked or over its limit.
    pub fn admit(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        account: &AccountName,
        entry: &EntryName,
        key: Option<&Digest>,
    ) -> Result<Permit, LimitRefusal> {
        let admitted = self.try_admit(now, catalog, account, entry, key);
        if let Err(refusal) = &admitted {
            counter!("oriole_limit_refused_total", "reason" => refusal.reason.as_str())
                .increment(1);
        }
        admitted
    }

    /// Ends an admitted request.
    pub fn release(&mut self, permit: Permit) {
        if let Some(state) = self.accounts.get_mut(&permit.account) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
        if let Some(state) = self.entries.get_mut(&permit.entry) {
            state.in_flight = state.in_flight.saturating_sub(1);
        }
    }

    /// The digest for the peers. Usage that is far below its limit is left out.
    #[must_use]
    pub fn digest(&self, now: Duration) -> LimitDigest {
        LimitDigest {
            accounts: digest_usages(&self.accounts, now),
            entries: digest_usages(&self.entries, now),
        }
    }

    /// Records the digest of a peer.
    pub fn record_peer_digest(&mut self, now: Duration, peer: &VmName, digest: &LimitDigest) {
        for (account, usage) in &digest.accounts {
            state_mut(&mut self.accounts, account, now, &self.cfg)
                .peers
                .record(now, peer, *usage);
        }
        for (entry, usage) in &digest.entries {
            state_mut(&mut self.entries, entry, now, &self.cfg)
                .peers
                .record(now, peer, *usage);
        }
    }

    /// Drops accounts and catalog entries that left the catalog and have no requests in flight, and
    /// demand that has become idle. Call it every few seconds.
    pub fn prune(&mut self, now: Duration, catalog: &Catalog) {
        self.accounts
            .retain(|name, state| state.in_flight > 0 || catalog.accounts.contains_key(name));
        self.entries
            .retain(|name, state| state.in_flight > 0 || catalog.entries.contains_key(name));
        self.demand_by_entry
            .retain(|_, rate| rate.per_s(now) >= IDLE_RATE_PER_S);
    }

    fn try_admit(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        account: &AccountName,
        entry: &EntryName,
        key: Option<&Digest>,
    ) -> Result<Permit, LimitRefusal> {
        let account_limits = catalog.accounts.get(account);
        let account_limits =
            account_limits.ok_or_else(|| refusal(RefusalReason::AccountUnknown, Duration::ZERO))?;
        let entry_limits = catalog.entries.get(entry);
        let entry_limits =
            entry_limits.ok_or_else(|| refusal(RefusalReason::EntryUnknown, Duration::ZERO))?;
        if let Some((_, block)) = catalog.block_for(account, entry, key) {
            let detail = Some(block.reason.clone());
            return Err(LimitRefusal {
                detail,
                ..refusal(RefusalReason::Blocked, Duration::ZERO)
            });
        }
        self.take_account(now, account, account_limits)?;
        if let Err(refusal) = self.take_entry(now, catalog, account, entry, entry_limits) {
            if let Some(state) = self.accounts.get_mut(account) {
                state.bucket.put_back();
            }
            return Err(refusal);
        }
        state_mut(&mut self.accounts, account, now, &self.cfg).in_flight += 1;
        state_mut(&mut self.entries, entry, now, &self.cfg).in_flight += 1;
        Ok(Permit {
            account: account.clone(),
            entry: entry.clone(),
        })
    }

    fn take_account(
        &mut self,
        now: Duration,
        account: &AccountName,
        limits: &ClientAccount,
    ) -> Result<(), LimitRefusal> {
        let ttl = self.cfg.digest_ttl;
        let state = state_mut(&mut self.accounts, account, now, &self.cfg);
        state.demand.add(now, 1.0);
        let peers = state.peer_demand(now, ttl);
        let rate = f64::from(limits.requests_per_s);
        state.even_share = EvenShare::new(rate, limits.max_in_flight.into(), state.sharers);
        let share = limit_share(rate, state.sharers, state.demand.per_s(now), peers.0);
        let depth = f64::from(limits.burst) * share / rate.max(1.0);
        state.bucket.set_rate(now, share, depth.max(1.0));
        let slots = f64::from(limits.max_in_flight);
        let slots = limit_share(
            slots,
            state.sharers,
            f64::from(state.in_flight) + 1.0,
            peers.1,
        );
        if f64::from(state.in_flight) + 1.0 > slots.max(1.0) + ROUNDING_SLACK {
            return Err(refusal(RefusalReason::AccountLimit, Duration::from_secs(1)));
        }
        if !state.bucket.try_take(now, 0.0) {
            return Err(refusal(
                RefusalReason::AccountLimit,
                state.bucket.time_until_available(0.0),
            ));
        }
        Ok(())
    }

    /// Takes a token from the bucket of the catalog entry. Accounts whose demand exceeds their
    /// weighted share of the entry's rate must leave a reserve for the others.
    fn take_entry(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        account: &AccountName,
        entry: &EntryName,
        limits: &CatalogEntry,
    ) -> Result<(), LimitRefusal> {
        let account_demand = self.record_entry_demand(now, account, entry);
        let fair_share = self.fair_share(now, catalog, account, entry);
        let (ttl, burst) = (self.cfg.digest_ttl, self.cfg.entry_burst.as_secs_f64());
        let sharers = self.catalog_entry_sharers;
        let state = state_mut(&mut self.entries, entry, now, &self.cfg);
        state.demand.add(now, 1.0);
        let peers = state.peer_demand(now, ttl);
        let rate = f64::from(limits.requests_per_s);
        state.even_share = EvenShare::new(rate, f64::INFINITY, sharers);
        let share = limit_share(rate, sharers, state.demand.per_s(now), peers.0);
        state.bucket.set_rate(now, share, (share * burst).max(1.0));
        let is_large = account_demand > share * fair_share;
        let reserve = if is_large {
            (state.bucket.depth() - 1.0) * SMALL_ACCOUNT_RESERVE
        } else {
            0.0
        };
        if !state.bucket.try_take(now, reserve) {
            return Err(refusal(
                RefusalReason::EntryLimit,
                state.bucket.time_until_available(reserve),
            ));
        }
        Ok(())
    }

    fn record_entry_demand(
        &mut self,
        now: Duration,
        account: &AccountName,
        entry: &EntryName,
    ) -> f64 {
        let smoothing = self.cfg.smoothing;
        let rate = self
            .demand_by_entry
            .entry((entry.clone(), account.clone()))
            .or_insert_with(|| Rate::new(smoothing));
        rate.add(now, 1.0);
        rate.per_s(now)
    }

    /// Fraction of a catalog entry's rate that an account is entitled to: its weight among the
    /// accounts with demand. Infinite if no other account has demand.
    fn fair_share(
        &self,
        now: Duration,
        catalog: &Catalog,
        account: &AccountName,
        entry: &EntryName,
    ) -> f64 {
        let weight = |name: &AccountName| {
            catalog
                .accounts
                .get(name)
                .map_or(1.0, |a| f64::from(a.weight.max(1)))
        };
        let total: f64 = self
            .demand_by_entry
            .range((entry.clone(), AccountName::new(""))..)
            .take_while(|((e, _), _)| e == entry)
            .filter(|(_, rate)| rate.per_s(now) >= IDLE_RATE_PER_S)
            .map(|((_, name), _)| weight(name))
            .sum();
        if total <= weight(account) {
            return f64::INFINITY;
        }
        weight(account) / total
    }
}

impl EvenShare {
    fn new(per_s: f64, in_flight: f64, sharers: usize) -> Self {
        let sharers = sharers.max(1) as f64;
        Self {
            per_s: per_s / sharers,
            in_flight: in_flight / sharers,
        }
    }
}

impl LimitState {
    fn usage(&self, now: Duration) -> Usage {
        Usage::new(self.demand.per_s(now), self.in_flight)
    }

    /// Whether the usage is large enough for peers to need it.
    fn belongs_in_digest(&self, now: Duration) -> bool {
        self.demand.per_s(now) >= self.even_share.per_s * DIGEST_THRESHOLD
            || f64::from(self.in_flight) >= self.even_share.in_flight * DIGEST_THRESHOLD
    }

    /// Demand at the peers: requests offered per second and requests in flight.
    fn peer_demand(&mut self, now: Duration, ttl: Duration) -> (f64, f64) {
        self.peers.expire(now, ttl);
        self.peers.total()
    }
}

fn state_mut<'a, K: Ord + Clone>(
    map: &'a mut BTreeMap<K, LimitState>,
    name: &K,
    now: Duration,
    cfg: &LimiterConfig,
) -> &'a mut LimitState {
    map.entry(name.clone()).or_insert_with(|| LimitState {
        bucket: TokenBucket::new(now, 0.0, f64::INFINITY),
        demand: Rate::new(cfg.smoothing),
        in_flight: 0,
        sharers: 1,
        even_share: EvenShare::default(),
        peers: PeerUsage::default(),
    })
}

fn digest_usages<K: Ord + Clone>(
    map: &BTreeMap<K, LimitState>,
    now: Duration,
) -> BTreeMap<K, Usage> {
    map.iter()
        .filter(|(_, state)| state.belongs_in_digest(now))
        .map(|(name, state)| (name.clone(), state.usage(now)))
        .filter(|(_, u)| u.in_flight > 0 || u.offered() >= IDLE_RATE_PER_S)
        .collect()
}

fn refusal(reason: RefusalReason, retry_after: Duration) -> LimitRefusal {
    LimitRefusal {
        reason,
        retry_after,
        detail: None,
    }
}
