//! Summaries of entries and capacity that failure domains exchange.
//!
//! In each failure domain a few entries are delegates, chosen by the names of the live entries. Every
//! few seconds each delegate sends a summary to the delegate of the same rank in every other domain.
//! Inside a domain, summaries are relayed along a tree, so that no entry sends many copies.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::subset::pair_hash;

/// Number of entries that send and receive summaries for their failure domain.
pub const DELEGATES_PER_DOMAIN: usize = 2;

/// Time between two summaries of a failure domain.
pub const SUMMARY_PERIOD: Duration = Duration::from_secs(5);

/// Number of entries to which each entry of a failure domain relays a summary.
pub const TREE_FANOUT: usize = 2;

/// Maximum of [`EntryHeadroom::headroom_percent`].
pub const FULL_HEADROOM_PERCENT: u32 = 100;

/// Spare capacity of one entry.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, prost::Message)]
pub struct EntryHeadroom {
    /// The low half of the entry's [`VmId`](crate::message::VmId).
    #[prost(fixed32, tag = "1")]
    pub vm: u32,
    /// Spare capacity in percent; 0 for an entry that is away.
    #[prost(uint32, tag = "2")]
    pub headroom_percent: u32,
}

/// Capacity of the upstreams of one pool in one failure domain.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, prost::Message)]
pub struct PoolSummary {
    /// Hash of the pool's name.
    #[prost(fixed32, tag = "1")]
    pub pool: u32,
    /// Upstreams that take new work.
    #[prost(uint32, tag = "2")]
    pub upstreams: u32,
    /// Maximum number of requests in flight that these upstreams admit together.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    /// Requests in flight at these upstreams.
    #[prost(uint32, tag = "4")]
    pub in_flight: u32,
}

/// Summary that one failure domain sends to the others.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize, prost::Message)]
pub struct DomainSummary {
    /// Name of the failure domain.
    #[prost(string, tag = "1")]
    pub domain: String,
    /// Number of the summary; the domain's delegates increment it.
    #[prost(uint64, tag = "2")]
    pub seq: u64,
    /// Its entries.
    #[prost(message, repeated, tag = "3")]
    pub entries: Vec<EntryHeadroom>,
    /// Its pools.
    #[prost(message, repeated, tag = "4")]
    pub pools: Vec<PoolSummary>,
}

/// The newest summary of each failure domain.
#[derive(Clone, Debug, Default)]
pub struct SummaryTable {
    domains: BTreeMap<DomainName, (Duration, DomainSummary)>,
}

impl SummaryTable {
    /// Stores a summary if it is newer than the held one; returns whether it is, so that it should be
    /// relayed.
    pub fn update(&mut self, now: Duration, summary: DomainSummary) -> bool {
        let domain = DomainName::new(&summary.domain);
        let newer = self
            .domains
            .get(&domain)
            .is_none_or(|(_, held)| summary.seq > held.seq);
        if newer {
            self.domains.insert(domain, (now, summary));
        }
        newer
    }

    /// The number for the next summary of a domain.
    #[must_use]
    pub fn next_seq(&self, domain: &DomainName) -> u64 {
        self.domains.get(domain).map_or(1, |(_, held)| held.seq + 1)
    }

    /// Spare capacity of an entry, from 0 to 1; `None` if no summary of the last `ttl` contains it.
    #[must_use]
    pub fn headroom(&self, now: Duration, record: &VmRecord, ttl: Duration) -> Option<f64> {
        let (at, summary) = self.domains.get(&record.domain)?;
        if now.saturating_sub(*at) > ttl {
            return None;
        }
        let id = short_hash(record.name.as_str());
        let entry = summary.entries.iter().find(|e| e.vm == id)?;
        Some(f64::from(entry.headroom_percent) / f64::from(FULL_HEADROOM_PERCENT))
    }

    /// Sum of the summaries of a pool over all failure domains.
    #[must_use]
    pub fn pool(&self, pool: &PoolName) -> PoolSummary {
        let id = short_hash(pool.as_str());
        let parts = self
            .domains
            .values()
            .flat_map(|(_, s)| &s.pools)
            .filter(|p| p.pool == id);
        parts.fold(
            PoolSummary {
                pool: id,
                ..PoolSummary::default()
            },
            |sum, p| PoolSummary {
                pool: id,
                upstreams: sum.upstreams + p.upstreams,
                limit: sum.limit + p.limit,
                in_flight: sum.in_flight + p.in_flight,
            },
        )
    }
}

/// The short hash that stands for a name in summaries.
#[must_use]
pub fn short_hash(name: &str) -> u32 {
    const LOW_HALF: u64 = u32::MAX as u64;
    (xxh3_64(name.as_bytes()) & LOW_HALF) as u32
}

/// Sorts the live entries of a failure domain into the order in which they become delegates and
/// relay summaries. `domain` only salts the hash.
#[must_use]
pub fn relay_order<'a>(
    domain: &DomainName,
    entries: impl Iterator<Item = &'a VmName>,
) -> Vec<&'a VmName> {
    let salt = VmName::new(domain.as_str());
    let mut order: Vec<&VmName> = entries.collect();
    order.sort_by_key(|name| Reverse(pair_hash(&salt, name)));
    order
}

/// The delegates of a failure domain: the first entries of its relay order.
#[must_use]
pub fn delegates<'a>(order: &[&'a VmName]) -> Vec<&'a VmName> {
    order.iter().take(DELEGATES_PER_DOMAIN).copied().collect()
}

/// The entry of another failure domain to which the delegate of some rank sends summaries: the
/// delegate of the same rank there, or the first if there are fewer.
#[must_use]
pub fn peer_delegate<'a>(rank: usize, their_order: &[&'a VmName]) -> Option<&'a VmName> {
    let theirs = delegates(their_order);
    theirs.get(rank).or(theirs.first()).copied()
}

/// The entries to which `me` relays a summary: its children in a tree over the relay order whose
/// roots are the delegates.
#[must_use]
pub fn relay_children<'a>(order: &[&'a VmName], me: &VmName) -> Vec<&'a VmName> {
    let Some(index) = order.iter().position(|name| *name == me) else {
        return Vec::new();
    };
    let first = DELEGATES_PER_DOMAIN + index * TREE_FANOUT;
    order
        .iter()
        .skip(first)
        .take(TREE_FANOUT)
        .copied()
        .collect()
}
