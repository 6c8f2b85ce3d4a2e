//! Changes of a placement that are worth their bytes.
//!
//! From the slowest ranks' experts towards the fastest ranks' slots: copy an expert over a spare
//! replica (one read), or swap two experts (two reads). Each candidate is tried with its shares
//! balanced anew, and the one with the best gain for its price is taken, until none pays.

use crate::balance::LayerDraft;
use crate::map::ExpertId;

/// Limits and prices of a search.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SearchConfig {
    /// Gain, relative to a perfect balance, that one read has to bring.
    pub min_gain_per_read: f32,
    /// The search ends when the slowest rank is within this part of a perfect balance.
    pub target_excess: f32,
    /// Most reads.
    pub max_reads: usize,
    /// Slowest ranks' experts that are considered in each round.
    pub source_slots: usize,
    /// Fastest ranks whose slots are considered in each round.
    pub target_ranks: usize,
}

/// Passes of share balancing in a trial.
const TRIAL_SWEEPS: usize = 8;
/// Candidates of a round that are tried in full.
const SHORTLIST_LEN: usize = 16;

/// One change of a placement.
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

    /// Slots that the change touches.
    fn slots(self) -> [usize; 2] {
        match self {
            Self::Copy { slot, .. } => [slot, slot],
            Self::Swap { from, to } => [from, to],
        }
    }

    /// Takes back a change that was applied to a copy of some work.
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
                draft.replace(slot, expert);
                draft.fill(usize::from(evicted));
                draft.fill(usize::from(expert));
            }
            Self::Swap { from, to } => {
                let (a, b) = (draft.slots[from], draft.slots[to]);
                draft.replace(from, b);
                draft.replace(to, a);
                draft.fill(usize::from(a));
                draft.fill(usize::from(b));
            }
        }
    }
}

/// Improves a placement as long as it pays. Returns the number of reads it takes.
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

/// The candidates that look best while only the loads of their own experts are spread anew.
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
            let price = cfg.min_gain_per_read * change.reads() as f32;
            scored.push((trial.smooth_peak() + price, change));
            change.undo(trial, draft);
        }
    }
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    scored.truncate(SHORTLIST_LEN);
    scored.into_iter().map(|(_, change)| change).collect()
}

/// Gains closer than this count as equal, and the wider spread over failure domains wins.
const EQUAL_GAIN_MARGIN: f32 = 1e-4;

/// Failure domains that hold the copied expert once the change is made; 0 for a swap.
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

/// Slots of the ranks that are slowest within a small margin, heaviest load first.
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
    let list = &draft.replicas[usize::from(draft.slots[slot])];
    list.find(rank).map_or(0.0, |i| list.loads[i])
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
