//! Guesses about prompt prefixes that upstreams hold.
//!
//! Upstreams publish cache events late and with gaps, so a guess may be wrong both ways. It only
//! ever earns an upstream a small advance in expected finish, never a slot beyond its capacity.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use oriole_types::prelude::*;

/// Most upstreams remembered for one prefix.
const HOLDERS_PER_PREFIX: usize = 3;

/// Weight of the newest outcome in the smoothed share of right guesses.
const TRUST_SMOOTHING: f64 = 0.05;

/// An upstream that may hold a prefix.
#[derive(Clone, Debug, PartialEq)]
struct Holder {
    vm: VmName,
    seen: Duration,
}

/// Which upstreams of a pool may hold which prefixes, bounded in size.
#[derive(Clone, Debug)]
pub struct PrefixTable {
    capacity: usize,
    half_life: Duration,
    holders: BTreeMap<u64, Vec<Holder>>,
    order: VecDeque<u64>,
    trust: f64,
}

impl PrefixTable {
    /// An empty table for so many prefixes.
    #[must_use]
    pub fn new(capacity: usize, half_life: Duration) -> Self {
        Self {
            capacity: capacity.max(1),
            half_life,
            holders: BTreeMap::new(),
            order: VecDeque::new(),
            trust: 1.0,
        }
    }

    /// Notes that an upstream holds a prefix, as a request or a cache event shows.
    pub fn learn(&mut self, now: Duration, prefix: u64, vm: &VmName) {
        if !self.holders.contains_key(&prefix) {
            self.make_room();
            self.order.push_back(prefix);
        }
        let holders = self.holders.entry(prefix).or_default();
        holders.retain(|h| h.vm != *vm);
        holders.insert(
            0,
            Holder {
                vm: vm.clone(),
                seen: now,
            },
        );
        holders.truncate(HOLDERS_PER_PREFIX);
    }

    /// Notes that an upstream no longer holds a prefix.
    pub fn forget(&mut self, prefix: u64, vm: &VmName) {
        if let Some(holders) = self.holders.get_mut(&prefix) {
            holders.retain(|h| h.vm != *vm);
        }
    }

    /// Notes that an upstream lost everything it held.
    pub fn forget_upstream(&mut self, vm: &VmName) {
        for holders in self.holders.values_mut() {
            holders.retain(|h| h.vm != *vm);
        }
    }

    /// Notes whether a guess was right, as an answer told.
    pub fn note_guess(&mut self, right: bool) {
        let outcome = if right { 1.0 } else { 0.0 };
        self.trust += TRUST_SMOOTHING * (outcome - self.trust);
    }

    /// Chance that an upstream holds a prefix, between 0 and 1.
    #[must_use]
    pub fn chance(&self, now: Duration, prefix: u64, vm: &VmName) -> f64 {
        let holder = self
            .holders
            .get(&prefix)
            .and_then(|holders| holders.iter().find(|h| h.vm == *vm));
        holder.map_or(0.0, |h| {
            let age = now.saturating_sub(h.seen).as_secs_f64();
            self.trust * (-age / self.half_life.as_secs_f64()).exp2()
        })
    }

    /// Upstreams that may hold a prefix, the one seen last first.
    pub fn holders(&self, prefix: u64) -> impl Iterator<Item = &VmName> {
        self.holders
            .get(&prefix)
            .into_iter()
            .flatten()
            .map(|h| &h.vm)
    }

    fn make_room(&mut self) {
        while self.order.len() >= self.capacity {
            let Some(oldest) = self.order.pop_front() else {
                return;
            };
            self.holders.remove(&oldest);
        }
    }
}
