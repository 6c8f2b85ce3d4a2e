//! Which agents to ask for a key, as an entry decides it.

use oriole_types::ids::{AccountName, EntryName, IdempotencyKey, PoolName, VmName};
use xxhash_rust::xxh3::xxh3_64;

use crate::key::{ClaimKey, KeyForm};

/// Most agents that an entry asks for one request.
pub const MAX_CANDIDATES: usize = 3;

/// The agent among `live` that should own a partition: the one with the highest hash.
///
/// It is a hint: a different view costs a detour, never a second run.
#[must_use]
pub fn preferred_owner<'a>(
    pool: &PoolName,
    partition: u32,
    live: impl IntoIterator<Item = &'a VmName>,
) -> Option<&'a VmName> {
    live.into_iter()
        .max_by_key(|vm| (weight(pool, partition, vm), *vm))
}

/// The agents to ask for a key, best first: the ticket's home alone, or the partition's soft owner
/// and the next ones that would own it.
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
    vms.sort_by_key(|vm| std::cmp::Reverse((weight(pool, partition, vm), *vm)));
    vms.into_iter().take(MAX_CANDIDATES).cloned().collect()
}

fn weight(pool: &PoolName, partition: u32, vm: &VmName) -> u64 {
    xxh3_64(format!("{pool}\0{partition}\0{vm}").as_bytes())
}
