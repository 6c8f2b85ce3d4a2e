//! Computes a placement from scratch: replicates the heaviest experts, then assigns replicas to
//! ranks, heaviest first.
//!
//! Used for a group without a map, and as the periodic full rebalance that serves as the baseline
//! for the planner.

use crate::balance::MAX_REPLICAS;
use crate::map::{ExpertId, FULL_SHARE, LayerMap};
use crate::shape::GroupShape;

/// Places the experts of one layer for the given loads and rank speeds, with even shares.
#[must_use]
pub fn place_layer(shape: &GroupShape, loads: &[f32], speeds: &[f32]) -> LayerMap {
    let counts = replica_counts(shape, loads);
    let mut packing = Packing::new(shape, speeds);
    for (expert, load) in heaviest_first(loads, &counts) {
        packing.place(expert, load);
    }
    packing.fill_empty_slots(shape.experts);
    let experts: Vec<ExpertId> = packing.ranks.into_iter().flatten().collect();
    let shares = even_shares(&experts, shape.experts);
    LayerMap { experts, shares }
}

/// Even shares for a placement of `count` experts; an expert's first replicas take the remainder.
#[must_use]
pub fn even_shares(experts: &[ExpertId], count: usize) -> Vec<u16> {
    let mut counts = vec![0u16; count];
    for e in experts {
        counts[usize::from(*e)] += 1;
    }
    let mut seen = vec![0u16; count];
    let mut share = |e: usize| {
        let part = FULL_SHARE / counts[e];
        let extra = u16::from(seen[e] < FULL_SHARE % counts[e]);
        seen[e] += 1;
        part + extra
    };
    experts.iter().map(|e| share(usize::from(*e))).collect()
}

fn replica_counts(shape: &GroupShape, loads: &[f32]) -> Vec<usize> {
    let max_replicas = shape.ranks.min(MAX_REPLICAS);
    let mut counts = vec![1usize; shape.experts];
    for _ in shape.experts..shape.slots() {
        let heaviest = (0..shape.experts)
            .filter(|e| counts[*e] < max_replicas)
            .max_by(|a, b| {
                let (a, b) = (loads[*a] / counts[*a] as f32, loads[*b] / counts[*b] as f32);
                a.total_cmp(&b)
            });
        match heaviest {
            Some(e) => counts[e] += 1,
            None => break,
        }
    }
    counts
}

fn heaviest_first(loads: &[f32], counts: &[usize]) -> Vec<(ExpertId, f32)> {
    let mut items: Vec<(ExpertId, f32)> = (0..loads.len())
        .flat_map(|e| {
            let load = loads[e] / counts[e] as f32;
            std::iter::repeat_n((e as ExpertId, load), counts[e])
        })
        .collect();
    items.sort_by(|a, b| b.1.total_cmp(&a.1).then(a.0.cmp(&b.0)));
    items
}

struct Packing<'a> {
    slots_per_rank: usize,
    speeds: &'a [f32],
    domains: &'a [u16],
    ranks: Vec<Vec<ExpertId>>,
    loads: Vec<f32>,
}

impl<'a> Packing<'a> {
    fn new(shape: &'a GroupShape, speeds: &'a [f32]) -> Self {
        Self {
            slots_per_rank: shape.slots_per_rank,
            speeds,
            domains: &shape.domains,
            ranks: vec![Vec::with_capacity(shape.slots_per_rank); shape.ranks],
            loads: vec![0.0; shape.ranks],
        }
    }

    fn place(&mut self, expert: ExpertId, load: f32) {
        let target = self
            .free_ranks()
            .filter(|r| !self.ranks[*r].contains(&expert))
            .min_by(|a, b| {
                let domain_is_used = |r: &usize| self.domain_holds(self.domains[*r], expert);
                self.time_with(*a, load)
                    .total_cmp(&self.time_with(*b, load))
                    .then(domain_is_used(a).cmp(&domain_is_used(b)))
            });
        match target {
            Some(rank) => {
                self.ranks[rank].push(expert);
                self.loads[rank] += load;
            }
            None => self.place_by_swap(expert, load),
        }
    }

    /// Places an expert that every rank with a free slot holds already: another rank takes it and
    /// moves one of its own experts to the free slot.
    fn place_by_swap(&mut self, expert: ExpertId, load: f32) {
        let Some(free) = self.free_ranks().next() else {
            return;
        };
        let candidate = (0..self.ranks.len())
            .filter(|r| !self.ranks[*r].contains(&expert))
            .find_map(|r| {
                let slot = (self.ranks[r].iter()).rposition(|e| !self.ranks[free].contains(e))?;
                Some((r, slot))
            });
        if let Some((rank, slot)) = candidate {
            let moved = std::mem::replace(&mut self.ranks[rank][slot], expert);
            self.ranks[free].push(moved);
            self.loads[free] += load;
        }
    }

    /// Fills the remaining slots with any expert that the rank does not hold.
    fn fill_empty_slots(&mut self, experts: usize) {
        for rank in &mut self.ranks {
            let not_held = (0..experts as ExpertId).filter(|e| !rank.contains(e));
            let fillers: Vec<ExpertId> = not_held.take(self.slots_per_rank - rank.len()).collect();
            rank.extend(fillers);
        }
    }

    fn free_ranks(&self) -> impl Iterator<Item = usize> + '_ {
        (0..self.ranks.len()).filter(|r| self.ranks[*r].len() < self.slots_per_rank)
    }

    fn domain_holds(&self, domain: u16, expert: ExpertId) -> bool {
        let in_domain = |r: &usize| self.domains[*r] == domain;
        (0..self.ranks.len())
            .filter(in_domain)
            .any(|r| self.ranks[r].contains(&expert))
    }

    fn time_with(&self, rank: usize, load: f32) -> f32 {
        (self.loads[rank] + load) / self.speeds[rank]
    }
}
