//! Rendezvous hashing: all processes that know the same names rank them in the same order.
//!
//! A member's score depends only on its own name, so a chosen subset changes little when members
//! are added or removed.

use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Hashes several fields in order; field boundaries are part of the hash.
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

/// The score of a candidate with the given hash and weight; the highest score is chosen.
///
/// Over many keys, candidates are chosen in proportion to their weights. A candidate of weight zero
/// is never chosen over one with a positive weight.
#[must_use]
pub fn weighted_score(hash: u64, weight: f64) -> f64 {
    if weight <= 0.0 {
        return 0.0;
    }
    -weight / unit_interval(hash).ln()
}

/// Maps a hash to a number strictly between 0 and 1.
pub(crate) fn unit_interval(hash: u64) -> f64 {
    const MANTISSA_BITS: u32 = 52;
    let mantissa = hash >> (u64::BITS - MANTISSA_BITS);
    (mantissa as f64 + 0.5) / (1_u64 << MANTISSA_BITS) as f64
}
