//! Which upstreams an entry serves.
//!
//! In a large fleet an entry that served every upstream would hold hundreds of connections and know
//! little of each. So it serves a part of each pool, which rendezvous hashing spreads evenly.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use oriole_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Upstreams of one pool that an entry serves, unless the pool is smaller.
pub const SERVED_PER_POOL: usize = 6;

/// The upstreams of a pool that an entry serves, at most so many, spread over the failure domains.
///
/// A pool with no more upstreams than that is served whole. The choice depends on names alone, so
/// agents work it out as well, and a VM that comes or goes changes it by one.
#[must_use]
pub fn served_upstreams<'a>(
    list: &'a VmList,
    entry: &VmName,
    pool: &PoolName,
    most: usize,
) -> Vec<&'a VmRecord> {
    let mut domains: BTreeMap<&DomainName, Vec<&VmRecord>> = BTreeMap::new();
    for record in list.vms.iter().filter(|r| is_in_pool(r, pool)) {
        domains.entry(&record.domain).or_default().push(record);
    }
    let mut ranked: Vec<(usize, u64, &VmRecord)> = Vec::new();
    for records in domains.values_mut() {
        records.sort_by_key(|r| Reverse(pair_hash(entry, &r.name)));
        let places = records.iter().enumerate();
        ranked.extend(places.map(|(place, r)| (place, pair_hash(entry, &r.name), *r)));
    }
    ranked.sort_by_key(|(place, hash, _)| (*place, Reverse(*hash)));
    ranked.truncate(most);
    ranked.into_iter().map(|(_, _, r)| r).collect()
}

/// Hash of two names, the same in every process.
#[must_use]
pub fn pair_hash(a: &VmName, b: &VmName) -> u64 {
    let seed = xxh3_64_with_seed(a.as_str().as_bytes(), 0);
    xxh3_64_with_seed(b.as_str().as_bytes(), seed)
}

fn is_in_pool(record: &VmRecord, pool: &PoolName) -> bool {
    matches!(&record.role, VmRole::Upstream { pool: p } if p == pool)
}
