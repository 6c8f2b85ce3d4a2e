//! Rendezvous hashing: every process that knows the same names ranks them in the same order.
//!
//! Use it to choose a subset that changes little when a member comes or goes: a member's rank
//! depends on its own name alone.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes several fields in order; the length of each is part of the hash.
///
/// ```
/// use oriole_routing::rendezvous::hash_fields;
/// assert_ne!(hash_fields(&["ab", "c"]), hash_fields(&["a", "bc"]));
/// ```
#[must_use]
pub fn hash_fields(fields: &[&str]) -> u64 {
    fields
        .iter()
        .fold(0, |seed, field| xxh3_64_with_seed(field.as_bytes(), seed))
}

/// The score of a candidate with a weight; the highest score wins.
///
/// A candidate wins against others in proportion to its weight. A weight of zero never wins
/// against a positive one.
#[must_use]
pub fn weighted_score(hash: u64, weight: f64) -> f64 {
    if weight <= 0.0 {
        return 0.0;
    }
    -weight / unit(hash).ln()
}

/// Maps a hash to a number strictly between 0 and 1.
pub(crate) fn unit(hash: u64) -> f64 {
    const MANTISSA_BITS: u32 = 52;
    let mantissa = hash >> (u64::BITS - MANTISSA_BITS);
    (mantissa as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64
}
