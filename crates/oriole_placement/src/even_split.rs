//! Placement for engines that split an expert's tokens evenly over its replicas.
//!
//! In each layer set, a pass waits for the most loaded rank. The planner starts from the map in use
//! and looks for the few copies that shorten the pass most, since copying is slow and demand soon
//! shifts again.

/// Exponent of the norm that approximates the load of the most loaded rank. Unlike the maximum,
/// it falls when one of several equally loaded ranks is relieved.
const NORM_EXPONENT: i32 = 10;

/// Number of least loaded ranks considered as the target of a copy. More loaded ones would need
/// relief next.
const MAX_TARGET_RANKS: usize = 8;

/// Weight of the copies a rank already makes when a step is scored: `gain / (1 + weight * copies)`.
const COPY_COUNT_PENALTY: f64 = 0.2;

/// Experts that each rank holds in one layer set.
pub type RankExperts = Vec<Vec<u16>>;

/// Limits of a plan.
#[derive(Clone, Debug)]
pub struct EvenSplitConfig {
    /// Maximum number of experts of a layer set on one rank.
    pub slots_per_rank: usize,
    /// Maximum number of experts of a layer set that a rank copies.
    pub max_new_experts: usize,
    /// Maximum number of experts that a rank copies, over all layer sets.
    pub copies_per_rank: usize,
    /// Minimum fraction of a layer set's time that a step must save.
    pub min_gain: f64,
}

impl Default for EvenSplitConfig {
    fn default() -> Self {
        Self {
            slots_per_rank: 8,
            max_new_experts: 4,
            copies_per_rank: 8,
            min_gain: 0.004,
        }
    }
}

/// A planned map and its expected gain.
#[derive(Clone, Debug, PartialEq)]
pub struct EvenSplitPlan {
    /// Experts by layer set and rank.
    pub map: Vec<RankExperts>,
    /// [`skew`] of the map in use.
    pub skew_before: f64,
    /// [`skew`] of the planned map.
    pub skew_after: f64,
    /// Number of experts that are copied.
    pub copies: usize,
    /// Number of experts copied by the rank that copies most.
    pub busiest_rank_copies: usize,
}

/// Gain of the first steps of a plan.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gain {
    /// [`skew`] of the map in use.
    pub skew_before: f64,
    /// [`skew`] after these steps.
    pub skew_after: f64,
    /// Number of experts copied in these steps by the rank that copies most.
    pub busiest_rank_copies: usize,
    /// The same over all steps, until none has a gain any more.
    pub busiest_rank_copies_total: usize,
}

impl EvenSplitPlan {
    /// Gain of the plan, assuming that no further step has a gain.
    #[must_use]
    pub fn gain(&self) -> Gain {
        Gain {
            skew_before: self.skew_before,
            skew_after: self.skew_after,
            busiest_rank_copies: self.busiest_rank_copies,
            busiest_rank_copies_total: self.busiest_rank_copies,
        }
    }
}

/// Time of the most loaded rank relative to an even spread, averaged over layer sets; 1 at best.
///
/// `demand` holds the load of each expert by layer set, `slowdown` the factor by which each rank
/// takes longer than usual.
#[must_use]
pub fn skew(map: &[RankExperts], demand: &[Vec<f64>], slowdown: &[f64]) -> f64 {
    mean_skew(&build_layers(map, demand, slowdown))
}

/// Plans the next map from the one in use.
///
/// Collects steps that shorten the pass, best first, and keeps the first of them up to the one at
/// which `objective` is highest; none if it is never positive.
#[must_use]
pub fn plan(
    map: &[RankExperts],
    demand: &[Vec<f64>],
    slowdown: &[f64],
    cfg: &EvenSplitConfig,
    objective: impl Fn(&Gain) -> f64,
) -> EvenSplitPlan {
    let mut layers = build_layers(map, demand, slowdown);
    let ranks = map.first().map_or(0, Vec::len);
    let mut copied = vec![0; ranks];
    let mut steps: Vec<Option<Step>> = layers.iter().map(|l| l.best_step(cfg, &copied)).collect();
    let skew_before = mean_skew(&layers);
    let mut applied: Vec<(usize, Step)> = Vec::new();
    let mut gains: Vec<Gain> = Vec::new();
    while let Some(i) = best_step_index(&steps) {
        let Some(step) = steps[i].take() else { break };
        let is_at_limit = copied[usize::from(step.rank)] >= cfg.copies_per_rank;
        if !(step.is_copy && is_at_limit) {
            layers[i].apply(&step);
            copied[usize::from(step.rank)] += usize::from(step.is_copy);
            applied.push((i, step));
            let busiest = copied.iter().copied().max().unwrap_or(0);
            gains.push(Gain {
                skew_before,
                skew_after: mean_skew(&layers),
                busiest_rank_copies: busiest,
                busiest_rank_copies_total: 0,
            });
        }
        steps[i] = layers[i].best_step(cfg, &copied);
    }
    let busiest_rank_copies_total = copied.iter().copied().max().unwrap_or(0);
    let mut best = (0.0, 0);
    for (i, gain) in gains.iter_mut().enumerate() {
        gain.busiest_rank_copies_total = busiest_rank_copies_total;
        let objective = objective(gain);
        if objective > best.0 {
            best = (objective, i + 1);
        }
    }
    applied.truncate(best.1);
    plan_from_steps(map, demand, slowdown, &applied, skew_before)
}

/// The plan that consists of the given steps, each with the index of its layer set.
fn plan_from_steps(
    map: &[RankExperts],
    demand: &[Vec<f64>],
    slowdown: &[f64],
    steps: &[(usize, Step)],
    skew_before: f64,
) -> EvenSplitPlan {
    let mut layers = build_layers(map, demand, slowdown);
    let mut copied = vec![0; map.first().map_or(0, Vec::len)];
    for (i, step) in steps {
        layers[*i].apply(step);
        copied[usize::from(step.rank)] += usize::from(step.is_copy);
    }
    EvenSplitPlan {
        skew_before,
        skew_after: mean_skew(&layers),
        map: layers.into_iter().map(|l| l.ranks).collect(),
        copies: copied.iter().sum(),
        busiest_rank_copies: copied.iter().copied().max().unwrap_or(0),
    }
}

fn build_layers(map: &[RankExperts], demand: &[Vec<f64>], slowdown: &[f64]) -> Vec<Layer> {
    map.iter()
        .zip(demand)
        .map(|(ranks, shares)| Layer::new(ranks, shares, slowdown))
        .collect()
}

fn mean_skew(layers: &[Layer]) -> f64 {
    let sum: f64 = layers.iter().map(|l| l.peak() / l.mean).sum();
    sum / layers.len().max(1) as f64
}

fn best_step_index(steps: &[Option<Step>]) -> Option<usize> {
    steps
        .iter()
        .enumerate()
        .filter_map(|(i, s)| s.as_ref().map(|s| (i, s.score)))
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(i, _)| i)
}

/// One change of a layer set: a rank gets a replica of an expert.
#[derive(Clone, Debug)]
struct Step {
    /// Expert that the rank gets.
    expert: u16,
    /// Rank that gets the expert.
    rank: u16,
    /// Expert that the rank drops for it; `None` if it has a free slot.
    evicted: Option<u16>,
    /// Rank whose replica of the expert is removed, if any.
    removed_from: Option<u16>,
    /// Whether the rank has to copy the expert; if not, it holds it in the map in use.
    is_copy: bool,
    /// Fraction of the layer set's time that the step saves.
    gain: f64,
    /// Gain, reduced for a rank that makes many copies already.
    score: f64,
}

/// State of one layer set while steps are applied to it.
struct Layer {
    /// Experts of each rank after the steps so far.
    ranks: RankExperts,
    /// Experts of each rank in the map in use.
    base: RankExperts,
    /// Ranks that hold each expert.
    holders: Vec<Vec<u16>>,
    /// Load of each expert.
    shares: Vec<f64>,
    slowdown: Vec<f64>,
    /// Load of each rank, times its slowdown.
    load: Vec<f64>,
    /// Load of a rank in an even spread.
    mean: f64,
}

impl Layer {
    fn new(ranks: &RankExperts, shares: &[f64], slowdown: &[f64]) -> Self {
        let mut holders = vec![Vec::new(); shares.len()];
        for (rank, experts) in ranks.iter().enumerate() {
            for expert in experts {
                if let Some(holders) = holders.get_mut(usize::from(*expert)) {
                    holders.push(rank as u16);
                }
            }
        }
        let slowdown: Vec<f64> = (0..ranks.len())
            .map(|r| slowdown.get(r).copied().unwrap_or(1.0))
            .collect();
        let total: f64 = shares.iter().sum();
        let mut layer = Self {
            ranks: ranks.clone(),
            base: ranks.clone(),
            holders,
            shares: shares.to_vec(),
            load: vec![0.0; ranks.len()],
            slowdown,
            mean: (total / ranks.len().max(1) as f64).max(f64::MIN_POSITIVE),
        };
        for rank in 0..layer.ranks.len() {
            layer.load[rank] = layer.rank_load(rank);
        }
        layer
    }

    fn rank_load(&self, rank: usize) -> f64 {
        let sum: f64 = self.ranks[rank]
            .iter()
            .map(|e| self.load_per_holder(*e))
            .sum();
        sum * self.slowdown[rank]
    }

    /// Load that each holder of an expert takes.
    fn load_per_holder(&self, expert: u16) -> f64 {
        let holders = self.holders[usize::from(expert)].len().max(1);
        self.shares[usize::from(expert)] / holders as f64
    }

    fn peak(&self) -> f64 {
        self.load.iter().copied().fold(0.0, f64::max)
    }

    fn load_power(&self, load: f64) -> f64 {
        (load.max(0.0) / self.mean).powi(NORM_EXPONENT)
    }

    fn load_power_sum(&self) -> f64 {
        self.load.iter().map(|l| self.load_power(*l)).sum()
    }

    fn most_loaded_rank(&self) -> Option<usize> {
        (0..self.load.len()).max_by(|a, b| self.load[*a].total_cmp(&self.load[*b]))
    }

    /// The step with the highest score that relieves the most loaded rank; `None` if none reaches the
    /// minimum gain.
    fn best_step(&self, cfg: &EvenSplitConfig, copied: &[usize]) -> Option<Step> {
        let most_loaded = self.most_loaded_rank()?;
        let sum = self.load_power_sum();
        let mut best: Option<Step> = None;
        let mut least_loaded: Vec<usize> = (0..self.ranks.len())
            .filter(|r| *r != most_loaded)
            .collect();
        least_loaded.sort_unstable_by(|a, b| self.load[*a].total_cmp(&self.load[*b]));
        let may_copy: Vec<bool> = (0..self.ranks.len())
            .map(|r| self.may_copy(r, cfg, copied))
            .collect();
        for expert in &self.ranks[most_loaded] {
            let targets = least_loaded.iter().copied().filter(|r| {
                let holds = self.ranks[*r].contains(expert);
                !holds && (may_copy[*r] || self.base[*r].contains(expert))
            });
            for rank in targets.take(MAX_TARGET_RANKS) {
                let is_copy = !self.base[rank].contains(expert);
                for evicted in self.eviction_options(rank, cfg.slots_per_rank) {
                    for removed_from in [None, Some(most_loaded as u16)] {
                        let mut step = Step {
                            expert: *expert,
                            rank: rank as u16,
                            evicted,
                            removed_from,
                            is_copy,
                            gain: 0.0,
                            score: 0.0,
                        };
                        step.gain = self.gain(&step, sum);
                        // A map comes into use only once the rank with the most copies is done.
                        let copies = if is_copy { copied[rank] as f64 } else { 0.0 };
                        step.score = step.gain / (1.0 + COPY_COUNT_PENALTY * copies);
                        let is_better = best.as_ref().is_none_or(|b| step.score > b.score);
                        if step.gain >= cfg.min_gain && is_better {
                            best = Some(step);
                        }
                    }
                }
            }
        }
        best
    }

    fn may_copy(&self, rank: usize, cfg: &EvenSplitConfig, copied: &[usize]) -> bool {
        let new_experts = self.ranks[rank]
            .iter()
            .filter(|e| !self.base[rank].contains(e))
            .count();
        new_experts < cfg.max_new_experts && copied[rank] < cfg.copies_per_rank
    }

    /// Experts that a rank may drop for a new one: a single `None` if it has a free slot, else each
    /// expert that other ranks hold as well.
    fn eviction_options(&self, rank: usize, slots_per_rank: usize) -> Vec<Option<u16>> {
        if self.ranks[rank].len() < slots_per_rank {
            return vec![None];
        }
        self.ranks[rank]
            .iter()
            .filter(|e| self.holders[usize::from(**e)].len() > 1)
            .map(|e| Some(*e))
            .collect()
    }

    /// Fraction of the norm of all rank loads that a step saves; `sum` is the current power sum.
    fn gain(&self, step: &Step, sum: f64) -> f64 {
        let rank = usize::from(step.rank);
        let mut changes: Vec<(usize, f64)> = Vec::with_capacity(16);
        let source = step.removed_from.map(usize::from);
        self.collect_load_changes(&mut changes, step.expert, Some(rank), source);
        if let Some(evicted) = step.evicted {
            self.collect_load_changes(&mut changes, evicted, None, Some(rank));
        }
        let mut new_sum = sum;
        for i in 0..changes.len() {
            let (rank, _) = changes[i];
            if changes[..i].iter().any(|(r, _)| *r == rank) {
                continue;
            }
            let change: f64 = changes
                .iter()
                .filter(|(r, _)| *r == rank)
                .map(|(_, d)| d)
                .sum();
            new_sum += self.load_power(self.load[rank] + change) - self.load_power(self.load[rank]);
        }
        let ratio = (new_sum.max(0.0) / sum).powf(1.0 / f64::from(NORM_EXPONENT));
        1.0 - ratio
    }

    /// Collects the changes of rank loads when an expert gains or loses a holder.
    fn collect_load_changes(
        &self,
        changes: &mut Vec<(usize, f64)>,
        expert: u16,
        added: Option<usize>,
        removed: Option<usize>,
    ) {
        let holders = &self.holders[usize::from(expert)];
        let count = holders.len() + usize::from(added.is_some()) - usize::from(removed.is_some());
        let old_load = self.load_per_holder(expert);
        let new_load = self.shares[usize::from(expert)] / count.max(1) as f64;
        for holder in holders {
            let holder = usize::from(*holder);
            let load_per_holder = if Some(holder) == removed {
                0.0
            } else {
                new_load
            };
            changes.push((holder, (load_per_holder - old_load) * self.slowdown[holder]));
        }
        if let Some(added) = added {
            changes.push((added, new_load * self.slowdown[added]));
        }
    }

    fn apply(&mut self, step: &Step) {
        let rank = usize::from(step.rank);
        if let Some(evicted) = step.evicted {
            self.remove_holder(evicted, step.rank);
        }
        if let Some(source) = step.removed_from {
            self.remove_holder(step.expert, source);
        }
        self.ranks[rank].push(step.expert);
        self.holders[usize::from(step.expert)].push(step.rank);
        for rank in 0..self.ranks.len() {
            self.load[rank] = self.rank_load(rank);
        }
    }

    fn remove_holder(&mut self, expert: u16, rank: u16) {
        self.ranks[usize::from(rank)].retain(|e| *e != expert);
        self.holders[usize::from(expert)].retain(|r| *r != rank);
    }
}
