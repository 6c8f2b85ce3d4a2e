//! Computes the best routing shares for a given placement.
//!
//! The load of an expert may be split over its replicas in any proportion. Water-filling one
//! expert after the other minimizes the sum of squared load over speed. At that minimum, the
//! slowest rank is also as fast as the placement allows.

use crate::map::{ExpertId, FULL_SHARE, LayerMap};

/// Maximum number of replicas of one expert in a layer.
pub const MAX_REPLICAS: usize = 16;
/// Maximum number of passes over all replicated experts.
const MAX_SWEEPS: usize = 60;
/// Passes stop when no replica's load changes by more than this fraction of the mean rank load.
const SHARE_TOLERANCE: f32 = 2e-4;

/// Ranks that hold a replica of one expert, and the load that each replica takes.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Replicas {
    pub len: u8,
    pub ranks: [u16; MAX_REPLICAS],
    pub loads: [f32; MAX_REPLICAS],
}

impl Replicas {
    pub fn ranks(&self) -> &[u16] {
        &self.ranks[..usize::from(self.len)]
    }

    pub fn find(&self, rank: u16) -> Option<usize> {
        self.ranks().iter().position(|r| *r == rank)
    }

    pub fn is_full(&self) -> bool {
        usize::from(self.len) == MAX_REPLICAS
    }

    pub fn add(&mut self, rank: u16) {
        let i = usize::from(self.len);
        self.ranks[i] = rank;
        self.loads[i] = 0.0;
        self.len += 1;
    }

    /// Removes the replica on a rank and returns its load.
    pub fn remove(&mut self, rank: u16) -> f32 {
        let Some(i) = self.find(rank) else { return 0.0 };
        let last = usize::from(self.len) - 1;
        let load = self.loads[i];
        self.ranks[i] = self.ranks[last];
        self.loads[i] = self.loads[last];
        self.len -= 1;
        load
    }
}

/// Working copy of one layer's placement and shares, with the loads that result from them.
#[derive(Clone, Debug, PartialEq)]
pub struct LayerDraft {
    pub(crate) slots_per_rank: usize,
    /// Expert in each slot.
    pub(crate) slots: Vec<ExpertId>,
    /// Load of each expert.
    pub(crate) loads: Vec<f32>,
    /// Replicas of each expert.
    pub(crate) replicas: Vec<Replicas>,
    /// Load of each rank.
    pub(crate) rank_loads: Vec<f32>,
    /// Speed of each rank.
    pub(crate) speeds: Vec<f32>,
    /// Load over speed that all ranks have in a perfect balance.
    pub(crate) balanced_time: f32,
}

impl LayerDraft {
    /// Copies a layer's placement and shares and applies new expert loads and rank speeds.
    #[must_use]
    pub fn new(map: &LayerMap, loads: &[f32], speeds: &[f32], slots_per_rank: usize) -> Self {
        let mut draft = Self {
            slots_per_rank,
            slots: map.experts.clone(),
            loads: loads.to_vec(),
            replicas: vec![Replicas::default(); loads.len()],
            rank_loads: vec![0.0; speeds.len()],
            speeds: speeds.to_vec(),
            balanced_time: loads.iter().sum::<f32>() / speeds.iter().sum::<f32>(),
        };
        for (slot, (expert, share)) in map.experts.iter().zip(&map.shares).enumerate() {
            let load = loads[usize::from(*expert)] * f32::from(*share) / f32::from(FULL_SHARE);
            let rank = slot / slots_per_rank;
            let replicas = &mut draft.replicas[usize::from(*expert)];
            replicas.add(rank as u16);
            replicas.loads[usize::from(replicas.len) - 1] = load;
            draft.rank_loads[rank] += load;
        }
        draft
    }

    /// Load over speed of a rank, relative to a perfect balance of the layer.
    #[must_use]
    pub fn relative_time(&self, rank: usize) -> f32 {
        self.rank_loads[rank] / (self.speeds[rank] * self.balanced_time)
    }

    /// Load over speed of the slowest rank, relative to a perfect balance; 1 at best.
    #[must_use]
    pub fn peak(&self) -> f32 {
        (0..self.rank_loads.len())
            .map(|r| self.relative_time(r))
            .fold(0.0, f32::max)
    }

    /// Smooth approximation of [`Self::peak`], in which relief of other slow ranks counts as well.
    #[must_use]
    pub fn smooth_peak(&self) -> f32 {
        let ranks = self.rank_loads.len();
        let sum: f32 = (0..ranks).map(|r| pow32(self.relative_time(r))).sum();
        (sum / ranks as f32).powf(1.0 / 32.0)
    }

    /// Computes the best shares for the placement.
    pub fn balance(&mut self) {
        self.balance_up_to(MAX_SWEEPS);
    }

    /// Improves the shares in at most `sweeps` passes.
    pub fn balance_up_to(&mut self, sweeps: usize) {
        let replicated: Vec<usize> = (0..self.replicas.len())
            .filter(|e| self.replicas[*e].len > 1)
            .collect();
        for sweep in 0..sweeps {
            let change = if sweep % 2 == 0 {
                self.sweep(replicated.iter().copied())
            } else {
                self.sweep(replicated.iter().rev().copied())
            };
            if change <= SHARE_TOLERANCE * self.balanced_time {
                return;
            }
        }
    }

    fn sweep(&mut self, experts: impl Iterator<Item = usize>) -> f32 {
        experts.map(|e| self.split_load(e)).fold(0.0, f32::max)
    }

    /// Splits one expert's load over its replicas so that all ranks that take a part of it need the
    /// same time. Returns the largest change of a replica's load.
    pub(crate) fn split_load(&mut self, expert: usize) -> f32 {
        let replicas = self.replicas[expert];
        let n = usize::from(replicas.len);
        let mut base = [0f32; MAX_REPLICAS];
        for (i, base) in base[..n].iter_mut().enumerate() {
            let rank = usize::from(replicas.ranks[i]);
            *base = (self.rank_loads[rank] - replicas.loads[i]).max(0.0);
        }
        let level = match n {
            2 => self.water_level_of_two(&replicas, [base[0], base[1]], self.loads[expert]),
            _ => self.water_level(&replicas, &base[..n], self.loads[expert]),
        };
        let mut change = 0f32;
        for (i, base) in base[..n].iter().enumerate() {
            let rank = usize::from(replicas.ranks[i]);
            let load = (level * self.speeds[rank] - base).max(0.0);
            change = change.max((load - replicas.loads[i]).abs());
            self.replicas[expert].loads[i] = load;
            self.rank_loads[rank] = base + load;
        }
        change
    }

    /// Time that both ranks need once `load` is split over them; `base` is their other load.
    fn water_level_of_two(&self, replicas: &Replicas, base: [f32; 2], load: f32) -> f32 {
        let speed = |i: usize| self.speeds[usize::from(replicas.ranks[i])];
        let shared_level = (load + base[0] + base[1]) / (speed(0) + speed(1));
        let single_level = |i: usize| (load + base[i]) / speed(i);
        if shared_level * speed(0) < base[0] {
            single_level(1)
        } else if shared_level * speed(1) < base[1] {
            single_level(0)
        } else {
            shared_level
        }
    }

    /// Like [`Self::water_level_of_two`], for any number of ranks. Ranks whose other load alone takes
    /// longer than the level get no part of `load`.
    fn water_level(&self, replicas: &Replicas, base: &[f32], load: f32) -> f32 {
        let speed = |i: usize| self.speeds[usize::from(replicas.ranks[i])];
        let mut order = [0usize; MAX_REPLICAS];
        let order = &mut order[..base.len()];
        order.iter_mut().enumerate().for_each(|(i, o)| *o = i);
        order.sort_unstable_by(|a, b| (base[*a] / speed(*a)).total_cmp(&(base[*b] / speed(*b))));
        let mut sum_base = load;
        let mut sum_speed = 0.0;
        let mut level = 0.0;
        for i in order.iter().copied() {
            if sum_speed > 0.0 && base[i] / speed(i) >= level {
                break;
            }
            sum_base += base[i];
            sum_speed += speed(i);
            level = sum_base / sum_speed;
        }
        level
    }

    /// Whether a rank holds a replica of an expert.
    pub(crate) fn holds(&self, rank: usize, expert: usize) -> bool {
        self.replicas[expert].find(rank as u16).is_some()
    }

    /// Overwrites a slot with another expert, without splitting any load again.
    pub(crate) fn replace_expert(&mut self, slot: usize, expert: ExpertId) {
        let rank = slot / self.slots_per_rank;
        let evicted = std::mem::replace(&mut self.slots[slot], expert);
        let freed = self.replicas[usize::from(evicted)].remove(rank as u16);
        self.rank_loads[rank] -= freed;
        self.replicas[usize::from(expert)].add(rank as u16);
    }

    /// Placement and shares as a layer of a map. The last replica of each expert takes the rounding
    /// error, so that shares sum to [`FULL_SHARE`].
    #[must_use]
    pub fn to_layer(&self) -> LayerMap {
        let mut shares = vec![0u16; self.slots.len()];
        let mut assigned = vec![0u16; self.replicas.len()];
        let mut seen = vec![0u8; self.replicas.len()];
        for (slot, expert) in self.slots.iter().enumerate() {
            let e = usize::from(*expert);
            seen[e] += 1;
            let remaining = FULL_SHARE - assigned[e];
            shares[slot] = if seen[e] == self.replicas[e].len {
                remaining
            } else {
                self.share(e, slot / self.slots_per_rank).min(remaining)
            };
            assigned[e] += shares[slot];
        }
        LayerMap {
            experts: self.slots.clone(),
            shares,
        }
    }

    fn share(&self, expert: usize, rank: usize) -> u16 {
        let replicas = &self.replicas[expert];
        let load = replicas
            .find(rank as u16)
            .map_or(0.0, |i| replicas.loads[i]);
        let share = load / self.loads[expert].max(f32::MIN_POSITIVE);
        (share * f32::from(FULL_SHARE)).round() as u16
    }
}

fn pow32(x: f32) -> f32 {
    let mut y = x;
    for _ in 0..5 {
        y *= y;
    }
    y
}
