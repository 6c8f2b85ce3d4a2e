//! Which agents an entry tries for a key, and in which order.

use oriole_types::ids::{AccountName, EntryName, IdempotencyKey, PoolName, VmName};
use xxhash_rust::xxh3::xxh3_64;

use crate::key::{ClaimKey, KeyForm};

/// Most candidates for one request.
pub const MAX_CANDIDATES: usize = 3;

/// The agent among `live` that should own a partition: the one with the highest hash.
///
/// It is a hint only: processes with different views of `live` cost a redirect, never a second run.
#[must_use]
pub fn preferred_owner<'a>(
    pool: &PoolName,
    partition: u32,
    live: impl IntoIterator<Item = &'a VmName>,
) -> Option<&'a VmName> {
    live.into_iter()
        .max_by_key(|vm| (owner_weight(pool, partition, vm), *vm))
}

/// The agents to try for a key, best first: the home of a ticket alone, or else the preferred owner
/// of the key's partition followed by those that come next by hash.
#[must_use]
pub fn candidates(
    pool: &PoolName,
    partitions: u32,
    (account, entry, key): (&AccountName, &EntryName, &IdempotencyKey),
    live: &[VmName],
) -> Vec<VmName> {
    if let KeyForm::Ticket(ticket) = KeyForm::of(key) {
        return vec![ticket.home.vm];
    }
    let partition = ClaimKey::of(account, entry, key).partition(partitions);
    let mut vms: Vec<&VmName> = live.iter().collect();
    vms.sort_by_key(|vm| std::cmp::Reverse((owner_weight(pool, partition, vm), *vm)));
    vms.into_iter().take(MAX_CANDIDATES).cloned().collect()
}

fn owner_weight(pool: &PoolName, partition: u32, vm: &VmName) -> u64 {
    xxh3_64(format!("{pool}\0{partition}\0{vm}").as_bytes())
}
