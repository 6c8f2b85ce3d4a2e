//! Placement for engines whose ranks share an expert's tokens evenly.
//!
//! A pass waits, layer set by layer set, for the most loaded rank. The planner starts from the map
//! in use and looks for the few copies that shorten the pass most: copying is slow, and the
//! demand will have shifted again soon.

/// Exponent of the norm that stands for the most loaded rank, so that relieving one of several
/// equally loaded ranks counts as a gain.
const NORM: i32 = 10;

/// Least loaded ranks that are looked at for a copy: hotter ones would only be the next to be relieved.
const LOOKED_AT: usize = 8;

/// How much each copy that a rank makes already lowers the score of another one.
const BUSY_WEIGHT: f64 = 0.2;

/// Experts of a layer set, by rank.
pub type RankSets = Vec<Vec<u16>>;

/// What a plan may cost.
#[derive(Clone, Debug)]
pub struct EvenSplitConfig {
    /// Most experts of a layer set on one rank.
    pub places: usize,
    /// Most experts of a layer set that may be new to a rank.
    pub spare: usize,
    /// Most experts that may be new to a rank, over all layer sets.
    pub copies_per_rank: usize,
    /// Least share of a layer set's time that a copy must save.
    pub min_gain: f64,
}

impl Default for EvenSplitConfig {
    fn default() -> Self {
        Self {
            places: 8,
            spare: 4,
            copies_per_rank: 8,
            min_gain: 0.004,
        }
    }
}

/// A planned map and what it is worth.
#[derive(Clone, Debug, PartialEq)]
pub struct EvenSplitPlan {
    /// Experts by layer set and rank.
    pub map: Vec<RankSets>,
    /// Time of the most loaded ranks with the map in use, relative to an even spread.
    pub before: f64,
    /// The same with the planned map.
    pub after: f64,
    /// Experts that are copied.
    pub copies: usize,
    /// Most experts that one rank copies.
    pub copies_of_busiest: usize,
}

/// What some copies gain.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Gain {
    /// Time of the most loaded ranks with the map in use, relative to an even spread.
    pub before: f64,
    /// The same after the copies.
    pub after: f64,
    /// Most of these copies that one rank makes.
    pub copies: usize,
    /// Most copies that one rank would make until nothing is left to gain.
    pub copies_in_full: usize,
}

impl EvenSplitPlan {
    /// What the plan gains, as if nothing were left to gain after it.
    #[must_use]
    pub fn gain(&self) -> Gain {
        Gain {
            before: self.before,
            after: self.after,
            copies: self.copies_of_busiest,
            copies_in_full: self.copies_of_busiest,
        }
    }
}

/// Time of the most loaded ranks over all layer sets, relative to an even spread; one at best.
///
/// `demand` has the share of each expert by layer set, `pace` how much longer each rank takes.
#[must_use]
pub fn skew(map: &[RankSets], demand: &[Vec<f64>], pace: &[f64]) -> f64 {
    mean_skew(&layers_of(map, demand, pace))
}

/// Plans the next map from the one in use.
///
/// Of the copies that shorten the pass, as many are made as leave `worth` highest.
#[must_use]
pub fn plan(
    map: &[RankSets],
    demand: &[Vec<f64>],
    pace: &[f64],
    cfg: &EvenSplitConfig,
    worth: impl Fn(&Gain) -> f64,
) -> EvenSplitPlan {
    let mut layers = layers_of(map, demand, pace);
    let ranks = map.first().map_or(0, Vec::len);
    let mut copied = vec![0; ranks];
    let mut steps: Vec<Option<Step>> = layers.iter().map(|l| l.best_step(cfg, &copied)).collect();
    let before = mean_skew(&layers);
    let mut taken: Vec<(usize, Step)> = Vec::new();
    let mut gains: Vec<Gain> = Vec::new();
    while let Some(i) = best_layer(&steps) {
        let Some(step) = steps[i].take() else { break };
        let is_full = copied[usize::from(step.rank)] >= cfg.copies_per_rank;
        if !(step.is_copy && is_full) {
            layers[i].apply(&step);
            copied[usize::from(step.rank)] += usize::from(step.is_copy);
            taken.push((i, step));
            let busiest = copied.iter().copied().max().unwrap_or(0);
            gains.push(Gain {
                before,
                after: mean_skew(&layers),
                copies: busiest,
                copies_in_full: 0,
            });
        }
        steps[i] = layers[i].best_step(cfg, &copied);
    }
    let copies_in_full = copied.iter().copied().max().unwrap_or(0);
    let mut best = (0.0, 0);
    for (i, gain) in gains.iter_mut().enumerate() {
        gain.copies_in_full = copies_in_full;
        let worth = worth(gain);
        if worth > best.0 {
            best = (worth, i + 1);
        }
    }
    taken.truncate(best.1);
    made_of(map, demand, pace, &taken, before)
}

/// The plan that some steps lead to.
fn made_of(
    map: &[RankSets],
    demand: &[Vec<f64>],
    pace: &[f64],
    steps: &[(usize, Step)],
    before: f64,
) -> EvenSplitPlan {
    let mut layers = layers_of(map, demand, pace);
    let mut copied = vec![0; map.first().map_or(0, Vec::len)];
    for (i, step) in steps {
        layers[*i].apply(step);
        copied[usize::from(step.rank)] += usize::from(step.is_copy);
    }
    EvenSplitPlan {
        before,
        after: mean_skew(&layers),
        map: layers.into_iter().map(|l| l.ranks).collect(),
        copies: copied.iter().sum(),
        copies_of_busiest: copied.iter().copied().max().unwrap_or(0),
    }
}

fn layers_of(map: &[RankSets], demand: &[Vec<f64>], pace: &[f64]) -> Vec<Layer> {
    map.iter()
        .zip(demand)
        .map(|(ranks, shares)| Layer::new(ranks, shares, pace))
        .collect()
}

fn mean_skew(layers: &[Layer]) -> f64 {
    let sum: f64 = layers.iter().map(|l| l.peak() / l.mean).sum();
    sum / layers.len().max(1) as f64
}

fn best_layer(steps: &[Option<Step>]) -> Option<usize> {
    steps
        .iter()
        .enumerate()
        .filter_map(|(i, s)| s.as_ref().map(|s| (i, s.score)))
        .max_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(i, _)| i)
}

/// One change of a layer set.
#[derive(Clone, Debug)]
struct Step {
    /// Expert that a rank gets.
    expert: u16,
    /// The rank.
    rank: u16,
    /// Expert that makes room there.
    evicted: Option<u16>,
    /// Rank that gives the expert up.
    given_up_by: Option<u16>,
    /// Whether the rank has to copy the expert.
    is_copy: bool,
    /// Share of the layer set's time that it saves.
    gain: f64,
    /// The gain, less for a rank that copies much already.
    score: f64,
}

struct Layer {
    ranks: RankSets,
    base: RankSets,
    holders: Vec<Vec<u16>>,
    shares: Vec<f64>,
    pace: Vec<f64>,
    load: Vec<f64>,
    mean: f64,
}

impl Layer {
    fn new(ranks: &RankSets, shares: &[f64], pace: &[f64]) -> Self {
        let mut holders = vec![Vec::new(); shares.len()];
        for (rank, experts) in ranks.iter().enumerate() {
            for expert in experts {
                if let Some(holders) = holders.get_mut(usize::from(*expert)) {
                    holders.push(rank as u16);
                }
            }
        }
        let pace: Vec<f64> = (0..ranks.len())
            .map(|r| pace.get(r).copied().unwrap_or(1.0))
            .collect();
        let total: f64 = shares.iter().sum();
        let mut layer = Self {
            ranks: ranks.clone(),
            base: ranks.clone(),
            holders,
            shares: shares.to_vec(),
            load: vec![0.0; ranks.len()],
            pace,
            mean: (total / ranks.len().max(1) as f64).max(f64::MIN_POSITIVE),
        };
        for rank in 0..layer.ranks.len() {
            layer.load[rank] = layer.load_of(rank);
        }
        layer
    }

    fn load_of(&self, rank: usize) -> f64 {
        let sum: f64 = self.ranks[rank].iter().map(|e| self.part(*e)).sum();
        sum * self.pace[rank]
    }

    /// What each holder of an expert carries.
    fn part(&self, expert: u16) -> f64 {
        let holders = self.holders[usize::from(expert)].len().max(1);
        self.shares[usize::from(expert)] / holders as f64
    }

    fn peak(&self) -> f64 {
        self.load.iter().copied().fold(0.0, f64::max)
    }

    fn power(&self, load: f64) -> f64 {
        (load.max(0.0) / self.mean).powi(NORM)
    }

    fn power_sum(&self) -> f64 {
        self.load.iter().map(|l| self.power(*l)).sum()
    }

    fn hottest(&self) -> Option<usize> {
        (0..self.load.len()).max_by(|a, b| self.load[*a].total_cmp(&self.load[*b]))
    }

    /// The change that relieves the most loaded rank most.
    fn best_step(&self, cfg: &EvenSplitConfig, copied: &[usize]) -> Option<Step> {
        let hot = self.hottest()?;
        let sum = self.power_sum();
        let mut best: Option<Step> = None;
        let mut coolest: Vec<usize> = (0..self.ranks.len()).filter(|r| *r != hot).collect();
        coolest.sort_unstable_by(|a, b| self.load[*a].total_cmp(&self.load[*b]));
        let may_copy: Vec<bool> = (0..self.ranks.len())
            .map(|r| self.may_copy(r, cfg, copied))
            .collect();
        for expert in &self.ranks[hot] {
            let takers = coolest.iter().copied().filter(|r| {
                let holds = self.ranks[*r].contains(expert);
                !holds && (may_copy[*r] || self.base[*r].contains(expert))
            });
            for rank in takers.take(LOOKED_AT) {
                let is_copy = !self.base[rank].contains(expert);
                for evicted in self.rooms(rank, cfg.places) {
                    for given_up_by in [None, Some(hot as u16)] {
                        let mut step = Step {
                            expert: *expert,
                            rank: rank as u16,
                            evicted,
                            given_up_by,
                            is_copy,
                            gain: 0.0,
                            score: 0.0,
                        };
                        step.gain = self.gain(&step, sum);
                        // The change waits for the rank that copies most.
                        let busy = if is_copy { copied[rank] as f64 } else { 0.0 };
                        step.score = step.gain / (1.0 + BUSY_WEIGHT * busy);
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
        let fresh = self.ranks[rank]
            .iter()
            .filter(|e| !self.base[rank].contains(e))
            .count();
        fresh < cfg.spare && copied[rank] < cfg.copies_per_rank
    }

    /// What may make room on a rank: nothing if a place is free, else an expert that others hold.
    fn rooms(&self, rank: usize, places: usize) -> Vec<Option<u16>> {
        if self.ranks[rank].len() < places {
            return vec![None];
        }
        self.ranks[rank]
            .iter()
            .filter(|e| self.holders[usize::from(**e)].len() > 1)
            .map(|e| Some(*e))
            .collect()
    }

    /// Share of the norm of all loads that a step saves.
    fn gain(&self, step: &Step, sum: f64) -> f64 {
        let rank = usize::from(step.rank);
        let mut changes: Vec<(usize, f64)> = Vec::with_capacity(16);
        let giver = step.given_up_by.map(usize::from);
        self.shift(&mut changes, step.expert, Some(rank), giver);
        if let Some(evicted) = step.evicted {
            self.shift(&mut changes, evicted, None, Some(rank));
        }
        let mut after = sum;
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
            after += self.power(self.load[rank] + change) - self.power(self.load[rank]);
        }
        let ratio = (after.max(0.0) / sum).powf(1.0 / f64::from(NORM));
        1.0 - ratio
    }

    /// How loads change as an expert gets and loses a holder.
    fn shift(
        &self,
        changes: &mut Vec<(usize, f64)>,
        expert: u16,
        added: Option<usize>,
        removed: Option<usize>,
    ) {
        let holders = &self.holders[usize::from(expert)];
        let count = holders.len() + usize::from(added.is_some()) - usize::from(removed.is_some());
        let old = self.part(expert);
        let new = self.shares[usize::from(expert)] / count.max(1) as f64;
        for holder in holders {
            let holder = usize::from(*holder);
            let part = if Some(holder) == removed { 0.0 } else { new };
            changes.push((holder, (part - old) * self.pace[holder]));
        }
        if let Some(added) = added {
            changes.push((added, new * self.pace[added]));
        }
    }

    fn apply(&mut self, step: &Step) {
        let rank = usize::from(step.rank);
        if let Some(evicted) = step.evicted {
            self.drop_holder(evicted, step.rank);
        }
        if let Some(giver) = step.given_up_by {
            self.drop_holder(step.expert, giver);
        }
        self.ranks[rank].push(step.expert);
        self.holders[usize::from(step.expert)].push(step.rank);
        for rank in 0..self.ranks.len() {
            self.load[rank] = self.load_of(rank);
        }
    }

    fn drop_holder(&mut self, expert: u16, rank: u16) {
        self.ranks[usize::from(rank)].retain(|e| *e != expert);
        self.holders[usize::from(expert)].retain(|r| *r != rank);
    }
}
