//! What failure domains tell each other about entries and capacity.
//!
//! In each failure domain a few entries speak for all; which, follows from the names of those
//! alive. Each sends a summary to the speaker of its own rank in every other domain every few
//! seconds. Inside a
//! domain the summaries go down a tree, so that no entry sends many copies.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::time::Duration;

use oriole_types::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::subset::pair_hash;

/// Entries of a failure domain that speak for it.
pub const DELEGATES_PER_DOMAIN: usize = 2;

/// Time between two summaries of a failure domain.
pub const SUMMARY_PERIOD: Duration = Duration::from_secs(5);

/// Entries to which each entry of a failure domain passes a summary on.
pub const TREE_FANOUT: usize = 2;

/// Full room in [`EntryHeadroom::headroom_percent`].
pub const FULL_HEADROOM_PERCENT: u32 = 100;

/// Room of one entry.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, prost::Message)]
pub struct EntryHeadroom {
    /// The low half of the entry's [`VmId`](crate::message::VmId).
    #[prost(fixed32, tag = "1")]
    pub vm: u32,
    /// Room in hundredths; zero for an entry that is away.
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
    /// Requests in flight that they admit.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    /// Requests in flight.
    #[prost(uint32, tag = "4")]
    pub in_flight: u32,
}

/// What one failure domain tells the others.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize, prost::Message)]
pub struct DomainSummary {
    /// Failure domain.
    #[prost(string, tag = "1")]
    pub domain: String,
    /// Number of the summary; the delegates of a domain keep it growing.
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
    /// Takes in a summary; returns whether it was newer than the held one and should be passed on.
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

    /// The number that a speaker gives its next summary of a domain.
    #[must_use]
    pub fn next_seq(&self, domain: &DomainName) -> u64 {
        self.domains.get(domain).map_or(1, |(_, held)| held.seq + 1)
    }

    /// Room of an entry between 0 and 1, if a summary not older than that names it.
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

    /// Capacity of a pool over all failure domains: upstreams, limit and requests in flight.
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

/// The short hash of a name in summaries.
#[must_use]
pub fn short_hash(name: &str) -> u32 {
    const LOW_HALF: u64 = u32::MAX as u64;
    (xxh3_64(name.as_bytes()) & LOW_HALF) as u32
}

/// Entries of a failure domain in the order in which they speak and pass summaries on.
///
/// Hand in the entries that are alive; `domain` only mixes the order.
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

/// The entries that speak for the domain: the first of its relay order.
#[must_use]
pub fn delegates<'a>(order: &[&'a VmName]) -> Vec<&'a VmName> {
    order.iter().take(DELEGATES_PER_DOMAIN).copied().collect()
}

/// The entry of another failure domain to which a speaker sends summaries: the speaker of its own
/// rank there, or the first if there are fewer.
#[must_use]
pub fn peer_delegate<'a>(rank: usize, their_order: &[&'a VmName]) -> Option<&'a VmName> {
    let theirs = delegates(their_order);
    theirs.get(rank).or(theirs.first()).copied()
}

/// The entries to which one passes a summary on: its children in a tree over the relay order, of
/// which the delegates are the roots.
#[must_use]
pub fn relay_children<'a>(order: &[&'a VmName], me: &VmName) -> Vec<&'a VmName> {
    let Some(place) = order.iter().position(|name| *name == me) else {
        return Vec::new();
    };
    let first = DELEGATES_PER_DOMAIN + place * TREE_FANOUT;
    order
        .iter()
        .skip(first)
        .take(TREE_FANOUT)
        .copied()
        .collect()
}
