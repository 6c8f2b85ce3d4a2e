//! Changes of a placement that are worth their bytes.
//!
//! From the slowest ranks' experts towards the fastest ranks' slots: copy an expert over a spare
//! replica (one read), or swap two experts (two reads). Each candidate is tried with its shares
//! balanced anew, and the one with the best gain for its price is taken, until none pays.

use crate::balance::LayerWork;
use crate::map::ExpertId;

/// Limits and prices of a search.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SearchConfig {
    /// Gain, relative to a perfect balance, that one read has to bring.
    pub price_per_read: f32,
    /// The search ends when the slowest rank is within this part of a perfect balance.
    pub good_enough: f32,
    /// Most reads.
    pub max_reads: usize,
    /// Slowest ranks' experts that are considered in each round.
    pub sources: usize,
    /// Fastest ranks whose slots are considered in each round.
    pub targets: usize,
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
    fn undo(self, changed: &mut LayerWork, original: &LayerWork) {
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

    fn apply(self, work: &mut LayerWork) {
        match self {
            Self::Copy { expert, slot } => {
                let evicted = work.slots[slot];
                work.replace(slot, expert);
                work.fill(usize::from(evicted));
                work.fill(usize::from(expert));
            }
            Self::Swap { from, to } => {
                let (a, b) = (work.slots[from], work.slots[to]);
                work.replace(from, b);
                work.replace(to, a);
                work.fill(usize::from(a));
                work.fill(usize::from(b));
            }
        }
    }
}

/// Improves a placement as long as it pays. Returns the number of reads it takes.
pub fn improve(work: &mut LayerWork, cfg: &SearchConfig, domains: &[u16]) -> usize {
    let mut reads = 0;
    let mut trial = work.clone();
    work.balance();
    while work.peak() > 1.0 + cfg.good_enough && reads < cfg.max_reads {
        let Some(change) = best_change(work, &mut trial, cfg, cfg.max_reads - reads, domains)
        else {
            break;
        };
        change.apply(work);
        work.balance();
        reads += change.reads();
    }
    reads
}

fn best_change(
    work: &LayerWork,
    trial: &mut LayerWork,
    cfg: &SearchConfig,
    budget: usize,
    domains: &[u16],
) -> Option<Change> {
    let before = work.smooth_peak();
    let mut best: Option<(f32, usize, Change)> = None;
    for change in shortlist(work, trial, cfg, budget) {
        trial.clone_from(work);
        change.apply(trial);
        trial.balance_for(TRIAL_SWEEPS);
        let gain = before - trial.smooth_peak() - cfg.price_per_read * change.reads() as f32;
        let spread = domain_spread(work, change, domains);
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
    work: &LayerWork,
    trial: &mut LayerWork,
    cfg: &SearchConfig,
    budget: usize,
) -> Vec<Change> {
    trial.clone_from(work);
    let mut scored: Vec<(f32, Change)> = Vec::new();
    for change in candidates(work, cfg) {
        if change.reads() <= budget {
            change.apply(trial);
            let price = cfg.price_per_read * change.reads() as f32;
            scored.push((trial.smooth_peak() + price, change));
            change.undo(trial, work);
        }
    }
    scored.sort_by(|a, b| a.0.total_cmp(&b.0));
    scored.truncate(SHORTLIST_LEN);
    scored.into_iter().map(|(_, change)| change).collect()
}

/// Gains closer than this count as equal, and the wider spread over failure domains wins.
const EQUAL_GAIN_MARGIN: f32 = 1e-4;

/// Failure domains that hold the copied expert once the change is made; 0 for a swap.
fn domain_spread(work: &LayerWork, change: Change, domains: &[u16]) -> usize {
    let Change::Copy { expert, slot } = change else {
        return 0;
    };
    let mut held_by: Vec<u16> = work.replicas[usize::from(expert)]
        .ranks()
        .iter()
        .map(|r| domains[usize::from(*r)])
        .collect();
    held_by.push(domains[slot / work.slots_per_rank]);
    held_by.sort_unstable();
    held_by.dedup();
    held_by.len()
}

fn candidates(work: &LayerWork, cfg: &SearchConfig) -> Vec<Change> {
    let mut ranks: Vec<usize> = (0..work.rank_loads.len()).collect();
    ranks.sort_by(|a, b| work.time(*b).total_cmp(&work.time(*a)));
    let sources = source_slots(work, &ranks, cfg.sources);
    let targets = ranks.iter().rev().take(cfg.targets).copied();
    let mut changes = Vec::new();
    for rank in targets {
        for from in &sources {
            push_candidates(work, *from, rank, &mut changes);
        }
    }
    changes
}

/// Slots of the ranks that are slowest within a small margin, heaviest load first.
fn source_slots(work: &LayerWork, slowest_first: &[usize], count: usize) -> Vec<usize> {
    let peak = work.time(slowest_first[0]);
    let limit = 1.0 + 0.7 * (peak - 1.0);
    let slow_ranks = slowest_first.iter().filter(|r| work.time(**r) >= limit);
    let mut slots: Vec<(usize, f32)> = slow_ranks
        .flat_map(|r| r * work.slots_per_rank..(r + 1) * work.slots_per_rank)
        .map(|slot| (slot, slot_load(work, slot)))
        .collect();
    slots.sort_by(|a, b| b.1.total_cmp(&a.1));
    slots.truncate(count);
    slots.into_iter().map(|(slot, _)| slot).collect()
}

fn slot_load(work: &LayerWork, slot: usize) -> f32 {
    let rank = (slot / work.slots_per_rank) as u16;
    let list = &work.replicas[usize::from(work.slots[slot])];
    list.find(rank).map_or(0.0, |i| list.loads[i])
}

fn push_candidates(work: &LayerWork, from: usize, rank: usize, changes: &mut Vec<Change>) {
    let source = from / work.slots_per_rank;
    let expert = work.slots[from];
    if source == rank || work.holds(rank, usize::from(expert)) {
        return;
    }
    let load = slot_load(work, from);
    for to in rank * work.slots_per_rank..(rank + 1) * work.slots_per_rank {
        let other = work.slots[to];
        let (target_replicas, source_replicas) = (
            &work.replicas[usize::from(other)],
            &work.replicas[usize::from(expert)],
        );
        if source_replicas.is_full() || target_replicas.is_full() {
            continue;
        }
        if target_replicas.len > 1 {
            changes.push(Change::Copy { expert, slot: to });
        }
        if !work.holds(source, usize::from(other)) && slot_load(work, to) < load {
            changes.push(Change::Swap { from, to });
        }
    }
}
