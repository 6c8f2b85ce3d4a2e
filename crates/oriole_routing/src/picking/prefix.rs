//! Estimates of which upstreams have which prompt prefixes cached.
//!
//! Upstreams publish cache events late and with gaps, so an estimate may be wrong both ways. It
//! only shortens the expected finish time of an upstream, and never grants slots beyond its
//! capacity.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use oriole_types::prelude::*;

/// Most upstreams tracked for one prefix.
const MAX_HOLDERS_PER_PREFIX: usize = 3;

/// Weight of the latest outcome in the smoothed share of correct predictions.
const ACCURACY_SMOOTHING: f64 = 0.05;

/// An upstream that may have a prefix cached.
#[derive(Clone, Debug, PartialEq)]
struct Holder {
    vm: VmName,
    last_seen_at: Duration,
}

/// Which upstreams of a pool may have which prefixes cached, bounded in size.
#[derive(Clone, Debug)]
pub struct PrefixTable {
    /// Most prefixes in the table.
    capacity: usize,
    /// Age at which a holder counts half.
    half_life: Duration,
    /// Holders of each prefix hash, the most recently seen first.
    holders: BTreeMap<u64, Vec<Holder>>,
    insertion_order: VecDeque<u64>,
    /// Smoothed share of correct predictions, between 0 and 1.
    accuracy: f64,
}

impl PrefixTable {
    /// An empty table for at most `capacity` prefixes.
    #[must_use]
    pub fn new(capacity: usize, half_life: Duration) -> Self {
        Self {
            capacity: capacity.max(1),
            half_life,
            holders: BTreeMap::new(),
            insertion_order: VecDeque::new(),
            accuracy: 1.0,
        }
    }

    /// Records that an upstream has a prefix cached, after a request or a cache event.
    pub fn add_holder(&mut self, now: Duration, prefix: u64, vm: &VmName) {
        if !self.holders.contains_key(&prefix) {
            self.evict_oldest();
            self.insertion_order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|h| h.vm != *vm);
        holders.insert(
            0,
            Holder {
                vm: vm.clone(),
                last_seen_at: now,
            },
        );
        holders.truncate(MAX_HOLDERS_PER_PREFIX);
    }

    /// Records that an upstream no longer has a prefix cached.
    pub fn remove_holder(&mut self, prefix: u64, vm: &VmName) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|h| h.vm != *vm);
        }
    }

    /// Removes an upstream from all prefixes.
    pub fn remove_upstream(&mut self, vm: &VmName) {
        for holders in self.holders.values_mut() {
            holders.retain(|h| h.vm != *vm);
        }
    }

    /// Records whether a prediction was correct, as reported with an answer.
    pub fn record_prediction(&mut self, correct: bool) {
        let outcome = if correct { 1.0 } else { 0.0 };
        self.accuracy += ACCURACY_SMOOTHING * (outcome - self.accuracy);
    }

    /// Estimated probability that an upstream has a prefix cached.
    #[must_use]
    pub fn hit_probability(&self, now: Duration, prefix: u64, vm: &VmName) -> f64 {
        let holder = self
            .holders
            .get(&prefix)
            .and_then(|holders| holders.iter().find(|h| h.vm == *vm));
        holder.map_or(0.0, |h| {
            let age = now.saturating_sub(h.last_seen_at).as_secs_f64();
            self.accuracy * (-age / self.half_life.as_secs_f64()).exp2()
        })
    }

    /// Upstreams that may have a prefix cached, the most recently seen first.
    pub fn holders(&self, prefix: u64) -> impl Iterator<Item = &VmName> {
        self.holders
            .get(&prefix)
            .into_iter()
            .flatten()
            .map(|h| &h.vm)
    }

    /// Makes space for one more prefix by dropping those that were added first.
    fn evict_oldest(&mut self) {
        while self.insertion_order.len() >= self.capacity {
            let Some(oldest) = self.insertion_order.pop_front() else {
                return;
            };
            self.holders.remove(&oldest);
        }
    }
}
