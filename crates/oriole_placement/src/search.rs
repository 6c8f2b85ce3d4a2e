//! Finds placement changes whose gain exceeds their cost in bytes read.
//!
//! A change moves an expert of one of the slowest ranks to one of the fastest: it either
//! overwrites a redundant replica there (one read) or swaps two experts (two reads). Each
//! candidate is tried with rebalanced shares, and the one with the highest gain after its cost is
//! applied, until no candidate pays.

use crate::balance::LayerDraft;
use crate::map::ExpertId;

/// Limits and costs of a search.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SearchConfig {
    /// Minimum gain for each read, relative to a perfect balance.
    pub min_gain_per_read: f32,
    /// The search ends once the slowest rank exceeds a perfect balance by no more than this fraction.
    pub target_excess: f32,
    /// Maximum number of reads.
    pub max_reads: usize,
    /// Number of slots of the slowest ranks that are considered in each round.
    pub source_slots: usize,
    /// Number of fastest ranks whose slots are considered in each round.
    pub target_ranks: usize,
}

/// Maximum number of share balancing passes when a candidate is tried.
const TRIAL_SWEEPS: usize = 8;
/// Number of candidates per round that are tried with all shares rebalanced.
const SHORTLIST_LEN: usize = 16;

/// A change of a placement.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Change {
    Copy { expert: ExpertId, slot: usize },
    Swap { from: usize, to: usize },
}

impl Change {
    fn reads(self) -> usize {
        match self {
            Self::Copy { .. } => 1,
            Self::Swap { .. } => 2,
        }
    }

    /// Slots that the change overwrites; a copy yields its slot twice.
    fn slots(self) -> [usize; 2] {
        match self {
            Self::Copy { slot, .. } => [slot, slot],
            Self::Swap { from, to } => [from, to],
        }
    }

    /// Reverts a change that was applied to a copy of `original`.
    fn undo(self, changed: &mut LayerDraft, original: &LayerDraft) {
        changed.rank_loads.copy_from_slice(&original.rank_loads);
        for slot in self.slots() {
            for expert in [changed.slots[slot], original.slots[slot]] {
                let e = usize::from(expert);
                changed.replicas[e] = original.replicas[e];
            }
        }
        for slot in self.slots() {
            changed.slots[slot] = original.slots[slot];
        }
    }

    fn apply(self, draft: &mut LayerDraft) {
        match self {
            Self::Copy { expert, slot } => {
                let evicted = draft.slots[slot];
                draft.replace_expert(slot, expert);
                draft.split_load(usize::from(evicted));
                draft.split_load(usize::from(expert));
            }
            Self::Swap { from, to } => {
                let (a, b) = (draft.slots[from], draft.slots[to]);
                draft.replace_expert(from, b);
                draft.replace_expert(to, a);
                draft.split_load(usize::from(a));
                draft.split_load(usize::from(b));
            }
        }
    }
}

/// Improves a placement as long as that pays. Returns the number of reads that this takes.
pub fn improve(draft: &mut LayerDraft, cfg: &SearchConfig, domains: &[u16]) -> usize {
    let mut reads = 0;
    let mut trial = draft.clone();
    draft.balance();
    while draft.peak() > 1.0 + cfg.target_excess && reads < cfg.max_reads {
        let Some(change) = best_change(draft, &mut trial, cfg, cfg.max_reads - reads, domains)
        else {
            break;
        };
        change.apply(draft);
        draft.balance();
        reads += change.reads();
    }
    reads
}

fn best_change(
    draft: &LayerDraft,
    trial: &mut LayerDraft,
    cfg: &SearchConfig,
    budget: usize,
    domains: &[u16],
) -> Option<Change> {
    let before = draft.smooth_peak();
    let mut best: Option<(f32, usize, Change)> = None;
    for change in shortlist(draft, trial, cfg, budget) {
        trial.clone_from(draft);
        change.apply(trial);
        trial.balance_up_to(TRIAL_SWEEPS);
        let gain = before - trial.smooth_peak() - cfg.min_gain_per_read * change.reads() as f32;
        let spread = domain_spread(draft, change, domains);
        let better = match best {
            None => true,
            Some((g, s, _)) => {
                gain > g + EQUAL_GAIN_MARGIN || (gain > g - EQUAL_GAIN_MARGIN && spread > s)
            }
        };
        if better && gain > 0.0 {
            best = Some((gain, spread, change));
        }
    }
    best.map(|(_, _, change)| change)
}

/// The best candidates when only the shares of the moved experts are rebalanced, which is cheap.
fn shortlist(
    draft: &LayerDraft,
    trial: &mut LayerDraft,
    cfg: &SearchConfig,
    budget: usize,
) -> Vec<Change> {
    trial.clone_from(draft);
    let mut scored: Vec<(f32, Change)> = Vec::new();
    for change in candidates(draft, cfg) {
        if change.reads() <= budget {
            change.apply(trial);
            let cost = cfg.min_gain_per_read * change.reads() as f32;
            scored.push((trial.smooth_peak() + cost, change));
            change.undo(trial, draft);
        }
    }
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    scored.truncate(SHORTLIST_LEN);
    scored.into_iter().map(|(_, change)| change).collect()
}

/// Gains that differ by less count as equal; the wider spread over failure domains then wins.
const EQUAL_GAIN_MARGIN: f32 = 1e-4;

/// Number of failure domains that hold the copied expert after the change; 0 for a swap.
fn domain_spread(draft: &LayerDraft, change: Change, domains: &[u16]) -> usize {
    let Change::Copy { expert, slot } = change else {
        return 0;
    };
    let mut held_by: Vec<u16> = draft.replicas[usize::from(expert)]
        .ranks()
        .iter()
        .map(|r| domains[usize::from(*r)])
        .collect();
    held_by.push(domains[slot / draft.slots_per_rank]);
    held_by.sort_unstable();
    held_by.dedup();
    held_by.len()
}

fn candidates(draft: &LayerDraft, cfg: &SearchConfig) -> Vec<Change> {
    let mut ranks: Vec<usize> = (0..draft.rank_loads.len()).collect();
    ranks.sort_by(|a, b| draft.relative_time(*b).total_cmp(&draft.relative_time(*a)));
    let source_slots = source_slots(draft, &ranks, cfg.source_slots);
    let target_ranks = ranks.iter().rev().take(cfg.target_ranks).copied();
    let mut changes = Vec::new();
    for rank in target_ranks {
        for from in &source_slots {
            push_candidates(draft, *from, rank, &mut changes);
        }
    }
    changes
}

/// The heaviest slots of the slowest ranks, heaviest first. A rank counts as slow if its excess over
/// a perfect balance is at least 70% of the slowest rank's.
fn source_slots(draft: &LayerDraft, slowest_first: &[usize], count: usize) -> Vec<usize> {
    let peak = draft.relative_time(slowest_first[0]);
    let limit = 1.0 + 0.7 * (peak - 1.0);
    let slow_ranks = slowest_first
        .iter()
        .filter(|r| draft.relative_time(**r) >= limit);
    let mut slots: Vec<(usize, f32)> = slow_ranks
        .flat_map(|r| r * draft.slots_per_rank..(r + 1) * draft.slots_per_rank)
        .map(|slot| (slot, slot_load(draft, slot)))
        .collect();
    slots.sort_by(|a, b| b.1.total_cmp(&a.1));
    slots.truncate(count);
    slots.into_iter().map(|(slot, _)| slot).collect()
}

fn slot_load(draft: &LayerDraft, slot: usize) -> f32 {
    let rank = (slot / draft.slots_per_rank) as u16;
    let replicas = &draft.replicas[usize::from(draft.slots[slot])];
    replicas.find(rank).map_or(0.0, |i| replicas.loads[i])
}

fn push_candidates(draft: &LayerDraft, from: usize, rank: usize, changes: &mut Vec<Change>) {
    let source = from / draft.slots_per_rank;
    let expert = draft.slots[from];
    if source == rank || draft.holds(rank, usize::from(expert)) {
        return;
    }
    let load = slot_load(draft, from);
    for to in rank * draft.slots_per_rank..(rank + 1) * draft.slots_per_rank {
        let other = draft.slots[to];
        let (target_replicas, source_replicas) = (
            &draft.replicas[usize::from(other)],
            &draft.replicas[usize::from(expert)],
        );
        if source_replicas.is_full() || target_replicas.is_full() {
            continue;
        }
        if target_replicas.len > 1 {
            changes.push(Change::Copy { expert, slot: to });
        }
        if !draft.holds(source, usize::from(other)) && slot_load(draft, to) < load {
            changes.push(Change::Swap { from, to });
        }
    }
}
