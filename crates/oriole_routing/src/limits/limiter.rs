//! The machine that admits requests by the limits of their account and catalog entry.

use std::collections::BTreeMap;
use std::time::Duration;

use metrics::counter;
use oriole_types::prelude::*;

use super::bucket::TokenBucket;
use super::share::{LimitDigest, PeerUsage, Usage, share_of};
use crate::queue::rate::Rate;

/// Part of a catalog entry's bucket that is kept for accounts below their fair share.
const RESERVED_FOR_SMALL: f64 = 0.5;

/// Offered requests a second below which an account counts as idle.
const IDLE_BELOW_PER_S: f64 = 0.01;

/// Slack for rounding where shares are compared with counts.
const ROUNDING: f64 = 1e-6;

/// Part of an even share of a limit from which peers are told of the usage. Below it at every
/// entry, the limit is not in question.
const TELL_FROM: f64 = 0.5;

/// Settings of a [`Limiter`].
#[derive(Clone, Debug)]
pub struct LimiterConfig {
    /// Time over which demand is smoothed.
    pub smoothing: Duration,
    /// Age after which a peer's digest counts no more.
    pub digest_ttl: Duration,
    /// Time for which the bucket of a catalog entry holds its rate.
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

/// A request that was admitted; hand it back with [`Limiter::release`] when the request ends.
#[derive(Debug)]
#[must_use = "a permit that is not released counts as in flight for good"]
pub struct Permit {
    account: AccountName,
    entry: EntryName,
}

/// Why a request was not admitted.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
#[error("refused: {reason}")]
pub struct LimitRefusal {
    /// Reason.
    pub reason: RefusalReason,
    /// Time after which a new try makes sense.
    pub retry_after: Duration,
    /// What an operator wrote about a block.
    pub detail: Option<String>,
}

/// Admits requests by account, catalog entry and block.
///
/// Tell it with [`Limiter::set_account_sharers`] how many entries an account is steered to, send
/// [`Limiter::digest`] to them every second or so, and feed theirs to [`Limiter::record_peer_digest`].
#[derive(Clone, Debug)]
pub struct Limiter {
    cfg: LimiterConfig,
    accounts: BTreeMap<AccountName, Held>,
    entries: BTreeMap<EntryName, Held>,
    by_entry: BTreeMap<(EntryName, AccountName), Rate>,
    entry_holders: usize,
}

/// State of one account or catalog entry.
#[derive(Clone, Debug)]
struct Held {
    bucket: TokenBucket,
    offered: Rate,
    in_flight: u32,
    holders: usize,
    even: EvenShare,
    peers: PeerUsage,
}

/// An even share of a limit.
#[derive(Clone, Copy, Debug, Default)]
struct EvenShare {
    per_s: f64,
    in_flight: f64,
}

impl Limiter {
    /// A limiter that has admitted nothing yet.
    #[must_use]
    pub fn new(cfg: LimiterConfig) -> Self {
        Self {
            cfg,
            accounts: BTreeMap::new(),
            entries: BTreeMap::new(),
            by_entry: BTreeMap::new(),
            entry_holders: 1,
        }
    }

    /// Sets the number of entries that an account is steered to.
    pub fn set_account_sharers(&mut self, now: Duration, account: &AccountName, holders: usize) {
        held(&mut self.accounts, account, now, &self.cfg).holders = holders.max(1);
    }

    /// Sets the number of entries in service, which share the limits of catalog entries.
    pub fn set_catalog_entry_sharers(&mut self, holders: usize) {
        self.entry_holders = holders.max(1);
    }

    /// Admits a request or refuses it.
    ///
    /// # Errors
    ///
    /// An account or entry that is unknown, blocked or over its limit.
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

    /// Notes that an admitted request ended.
    pub fn release(&mut self, permit: Permit) {
        if let Some(held) = self.accounts.get_mut(&permit.account) {
            held.in_flight = held.in_flight.saturating_sub(1);
        }
        if let Some(held) = self.entries.get_mut(&permit.entry) {
            held.in_flight = held.in_flight.saturating_sub(1);
        }
    }

    /// What to tell the peers: usage that is far enough below its limit everywhere is left out.
    #[must_use]
    pub fn digest(&self, now: Duration) -> LimitDigest {
        LimitDigest {
            accounts: usages(&self.accounts, now),
            entries: usages(&self.entries, now),
        }
    }

    /// Takes in what a peer told.
    pub fn record_peer_digest(&mut self, now: Duration, peer: &VmName, digest: &LimitDigest) {
        for (account, usage) in &digest.accounts {
            held(&mut self.accounts, account, now, &self.cfg)
                .peers
                .note(now, peer, *usage);
        }
        for (entry, usage) in &digest.entries {
            held(&mut self.entries, entry, now, &self.cfg)
                .peers
                .note(now, peer, *usage);
        }
    }

    /// Forgets accounts and entries that are no longer in use; call it every few seconds.
    pub fn prune(&mut self, now: Duration, catalog: &Catalog) {
        self.accounts
            .retain(|name, h| h.in_flight > 0 || catalog.accounts.contains_key(name));
        self.entries
            .retain(|name, h| h.in_flight > 0 || catalog.entries.contains_key(name));
        self.by_entry
            .retain(|_, rate| rate.per_s(now) >= IDLE_BELOW_PER_S);
    }

    fn try_admit(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        account: &AccountName,
        entry: &EntryName,
        key: Option<&Digest>,
    ) -> Result<Permit, LimitRefusal> {
        let known = catalog.accounts.get(account);
        let known = known.ok_or_else(|| refusal(RefusalReason::AccountUnknown, Duration::ZERO))?;
        let offered = catalog.entries.get(entry);
        let offered =
            offered.ok_or_else(|| refusal(RefusalReason::EntryUnknown, Duration::ZERO))?;
        if let Some((_, block)) = catalog.block_for(account, entry, key) {
            let detail = Some(block.reason.clone());
            return Err(LimitRefusal {
                detail,
                ..refusal(RefusalReason::Blocked, Duration::ZERO)
            });
        }
        self.take_account(now, account, known)?;
        if let Err(refusal) = self.take_entry(now, catalog, account, entry, offered) {
            if let Some(held) = self.accounts.get_mut(account) {
                held.bucket.put_back();
            }
            return Err(refusal);
        }
        held(&mut self.accounts, account, now, &self.cfg).in_flight += 1;
        held(&mut self.entries, entry, now, &self.cfg).in_flight += 1;
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
        let held = held(&mut self.accounts, account, now, &self.cfg);
        held.offered.add(now, 1.0);
        let peers = held.fresh_peers(now, ttl);
        let rate = f64::from(limits.requests_per_s);
        held.even = EvenShare::new(rate, limits.max_in_flight.into(), held.holders);
        let share = share_of(rate, held.holders, held.offered.per_s(now), peers.0);
        let depth = f64::from(limits.burst) * share / rate.max(1.0);
        held.bucket.set(now, share, depth.max(1.0));
        let slots = f64::from(limits.max_in_flight);
        let slots = share_of(
            slots,
            held.holders,
            f64::from(held.in_flight) + 1.0,
            peers.1,
        );
        if f64::from(held.in_flight) + 1.0 > slots.max(1.0) + ROUNDING {
            return Err(refusal(RefusalReason::AccountLimit, Duration::from_secs(1)));
        }
        if !held.bucket.take(now, 0.0) {
            return Err(refusal(RefusalReason::AccountLimit, held.bucket.wait(0.0)));
        }
        Ok(())
    }

    /// Takes a token of the catalog entry. An account that asks for more than its weighted share
    /// of the entry's rate leaves a reserve for the others.
    fn take_entry(
        &mut self,
        now: Duration,
        catalog: &Catalog,
        account: &AccountName,
        entry: &EntryName,
        limits: &CatalogEntry,
    ) -> Result<(), LimitRefusal> {
        let of_account = self.note_entry_demand(now, account, entry);
        let fair = self.fair_part(now, catalog, account, entry);
        let (ttl, burst) = (self.cfg.digest_ttl, self.cfg.entry_burst.as_secs_f64());
        let holders = self.entry_holders;
        let held = held(&mut self.entries, entry, now, &self.cfg);
        held.offered.add(now, 1.0);
        let peers = held.fresh_peers(now, ttl);
        let rate = f64::from(limits.requests_per_s);
        held.even = EvenShare::new(rate, f64::INFINITY, holders);
        let share = share_of(rate, holders, held.offered.per_s(now), peers.0);
        held.bucket.set(now, share, (share * burst).max(1.0));
        let is_large = of_account > share * fair;
        let leave = if is_large {
            (held.bucket.depth() - 1.0) * RESERVED_FOR_SMALL
        } else {
            0.0
        };
        if !held.bucket.take(now, leave) {
            return Err(refusal(RefusalReason::EntryLimit, held.bucket.wait(leave)));
        }
        Ok(())
    }

    fn note_entry_demand(
        &mut self,
        now: Duration,
        account: &AccountName,
        entry: &EntryName,
    ) -> f64 {
        let smoothing = self.cfg.smoothing;
        let rate = self
            .by_entry
            .entry((entry.clone(), account.clone()))
            .or_insert_with(|| Rate::new(smoothing));
        rate.add(now, 1.0);
        rate.per_s(now)
    }

    /// Part of a catalog entry's rate that an account may claim, by weight among those that ask;
    /// all of it while it asks alone.
    fn fair_part(
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
            .by_entry
            .range((entry.clone(), AccountName::new(""))..)
            .take_while(|((e, _), _)| e == entry)
            .filter(|(_, rate)| rate.per_s(now) >= IDLE_BELOW_PER_S)
            .map(|((_, name), _)| weight(name))
            .sum();
        if total <= weight(account) {
            return f64::INFINITY;
        }
        weight(account) / total
    }
}

impl EvenShare {
    fn new(per_s: f64, in_flight: f64, holders: usize) -> Self {
        let holders = holders.max(1) as f64;
        Self {
            per_s: per_s / holders,
            in_flight: in_flight / holders,
        }
    }
}

impl Held {
    fn usage(&self, now: Duration) -> Usage {
        Usage::new(self.offered.per_s(now), self.in_flight)
    }

    /// Whether the usage is large enough that peers must know of it.
    fn is_worth_telling(&self, now: Duration) -> bool {
        self.offered.per_s(now) >= self.even.per_s * TELL_FROM
            || f64::from(self.in_flight) >= self.even.in_flight * TELL_FROM
    }

    fn fresh_peers(&mut self, now: Duration, ttl: Duration) -> (f64, f64) {
        self.peers.expire(now, ttl);
        self.peers.total()
    }
}

fn held<'a, K: Ord + Clone>(
    map: &'a mut BTreeMap<K, Held>,
    name: &K,
    now: Duration,
    cfg: &LimiterConfig,
) -> &'a mut Held {
    map.entry(name.clone()).or_insert_with(|| Held {
        bucket: TokenBucket::new(now, 0.0, f64::INFINITY),
        offered: Rate::new(cfg.smoothing),
        in_flight: 0,
        holders: 1,
        even: EvenShare::default(),
        peers: PeerUsage::default(),
    })
}

fn usages<K: Ord + Clone>(map: &BTreeMap<K, Held>, now: Duration) -> BTreeMap<K, Usage> {
    map.iter()
        .filter(|(_, h)| h.is_worth_telling(now))
        .map(|(name, h)| (name.clone(), h.usage(now)))
        .filter(|(_, u)| u.in_flight > 0 || u.offered() >= IDLE_BELOW_PER_S)
        .collect()
}

fn refusal(reason: RefusalReason, retry_after: Duration) -> LimitRefusal {
    LimitRefusal {
        reason,
        retry_after,
        detail: None,
    }
}
