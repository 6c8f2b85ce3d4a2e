//! Which upstreams an entry serves.
//!
//! In a large fleet, an entry that served every upstream would hold hundreds of connections and get
//! little information about each upstream. So each entry serves a part of each pool, chosen by
//! rendezvous hashing to spread the load evenly.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use oriole_types::prelude::*;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Number of upstreams per pool that an entry serves, unless the pool is smaller.
pub const SERVED_PER_POOL: usize = 6;

/// Returns the upstreams of a pool that an entry serves, spread over the failure domains.
///
/// A pool with at most `limit` upstreams is served whole. The choice depends on names only, so agents
/// can compute it too, and a VM that joins or leaves changes it by one upstream.
#[must_use]
pub fn served_upstreams<'a>(
    list: &'a VmList,
    entry: &VmName,
    pool: &PoolName,
    limit: usize,
) -> Vec<&'a VmRecord> {
    let mut domains: BTreeMap<&DomainName, Vec<&VmRecord>> = BTreeMap::new();
    for record in list.vms.iter().filter(|r| is_in_pool(r, pool)) {
        domains.entry(&record.domain).or_default().push(record);
    }
    let mut ranked: Vec<(usize, u64, &VmRecord)> = Vec::new();
    for records in domains.values_mut() {
        records.sort_by_key(|r| Reverse(pair_hash(entry, &r.name)));
        let indexed = records.iter().enumerate();
        ranked.extend(indexed.map(|(index, r)| (index, pair_hash(entry, &r.name), *r)));
    }
    ranked.sort_by_key(|(index, hash, _)| (*index, Reverse(*hash)));
    ranked.truncate(limit);
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
