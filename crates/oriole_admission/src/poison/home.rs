//! Upstreams at which content that has never completed may run, by rendezvous hashing over the pool.

use oriole_types::digest::Digest;
use oriole_types::ids::VmName;

/// Number of upstreams at which content that has never completed may run.
pub const HOMES_PER_CONTENT: usize = 2;

/// The upstreams at which a content may run before it has ever completed, best first.
///
/// Processes with the same view of the pool compute the same homes. If one upstream leaves, only
/// content that had it as a home moves.
///
/// ```
/// use oriole_admission::poison::homes;
/// use oriole_types::prelude::*;
/// let pool = ["a", "b", "c"].map(VmName::new);
/// let content = Digest::of(b"body");
/// assert_eq!(homes(&content, &pool), homes(&content, pool.iter().rev()));
/// ```
pub fn homes<'a>(
    content: &Digest,
    upstreams: impl IntoIterator<Item = &'a VmName>,
) -> Vec<&'a VmName> {
    let mut ranked: Vec<_> = upstreams
        .into_iter()
        .map(|vm| (rank(content, vm), vm))
        .collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked.truncate(HOMES_PER_CONTENT);
    ranked.into_iter().map(|(_, vm)| vm).collect()
}

/// The only upstream at which a suspect may run: its first home.
pub fn home_of_suspect<'a>(
    content: &Digest,
    upstreams: impl IntoIterator<Item = &'a VmName>,
) -> Option<&'a VmName> {
    upstreams
        .into_iter()
        .max_by_key(|vm| (rank(content, vm), *vm))
}

fn rank(content: &Digest, vm: &VmName) -> u64 {
    // Half of the content digest is already a good hash of the content.
    let mut buf = [0; 16];
    buf[..8].copy_from_slice(&content.0[8..16]);
    buf[8..].copy_from_slice(&xxhash_rust::xxh3::xxh3_64(vm.as_str().as_bytes()).to_be_bytes());
    xxhash_rust::xxh3::xxh3_64(&buf)
}
