//! Spreads an intent over the ranks of a group through some of them.
//!
//! A VM's link is slow, and overflows if it sends a map to each rank of a large group at once. So each
//! sender sends it to a few ranks only, each of which forwards it to its share of the others.

/// Number of ranks that one sender sends an intent to.
const FANOUT: usize = 6;

/// A rank that receives an intent, and the ranks that it forwards it to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Branch {
    /// Rank to send the intent to.
    pub rank: usize,
    /// Ranks that it forwards the intent to.
    pub forward_to: Vec<u32>,
}

/// Divides the ranks that are to receive an intent among those that the sender sends it to.
#[must_use]
pub fn branches(ranks: &[u32]) -> Vec<Branch> {
    let share = ranks.len().div_ceil(FANOUT).max(1);
    let shares = ranks.chunks(share);
    let split = shares.filter_map(<[u32]>::split_first);
    split
        .map(|(first, rest)| Branch {
            rank: *first as usize,
            forward_to: rest.to_vec(),
        })
        .collect()
}
