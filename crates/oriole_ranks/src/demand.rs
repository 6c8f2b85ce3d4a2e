//! Estimates which experts are in demand from how often the router chose them.
//!
//! Demand is stable for seconds and then shifts abruptly. A group makes enough choices in one pass
//! to tell a shift from noise. After a shift, earlier choices are discarded.

use std::time::Duration;

/// Time in which the weight of a choice decays to 1/e while demand does not shift: longer than a
/// pass, but shorter than the seconds in which demand may drift.
const CHOICE_DECAY_TIME: Duration = Duration::from_millis(600);

/// Number of new choices per expert of a layer set that are compared with the estimate by default.
/// Their noise is then a tenth of the distance between two unrelated demands.
const MIN_COMPARED_PER_EXPERT: f64 = 16.0;

/// Distance between two demands, from 0 to 1 and on top of the expected noise, above which a shift
/// is assumed: more than the distance between the requests of one rank and those of its group.
const SHIFT_DISTANCE: f64 = 0.12;

/// Expected distance from its mean of a sample with one choice per expert: `sqrt(2 / pi) / 2`.
const UNIT_NOISE_DISTANCE: f64 = 0.4;

/// Maximum weight of a sample of one pass, in choices per expert. While a prompt is processed, nearly
/// all choices come from one request, which must not dominate the estimate.
pub const MAX_SAMPLE_PER_EXPERT: f64 = 32.0;

/// Number of choices per expert that suffice for a plan: the share of an average expert is then
/// known to an eighth, and that of experts in high demand far better.
const MIN_SETTLED_PER_EXPERT: f64 = 60.0;

/// Time after a shift at which a plan is made even with fewer choices.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(150);

/// Experts chosen for the requests of one rank between two reads of its counts.
#[derive(Clone, Copy, Debug)]
pub struct Sample<'a> {
    /// Choices by layer set and expert; only their proportions within a layer set count.
    pub scaled_choices: &'a [u32],
    /// Number of choices in each layer set.
    pub total: u64,
    /// Last pass at the time of the earlier read.
    pub from_pass: u64,
    /// Number of passes in which the choices were counted.
    pub passes: u64,
}

/// Accumulated choices of several samples.
#[derive(Clone, Debug, Default)]
struct ChoiceCounts {
    by_expert: Vec<f64>,
    /// Number of choices in each layer set.
    total: f64,
    /// Lowest `from_pass` of the samples.
    from_pass: u64,
}

impl ChoiceCounts {
    fn add(&mut self, sample: &Sample<'_>, layer_sets: usize) {
        if self.by_expert.len() != sample.scaled_choices.len() {
            self.by_expert = vec![0.0; sample.scaled_choices.len()];
            self.total = 0.0;
        }
        if self.total == 0.0 {
            self.from_pass = sample.from_pass;
        }
        self.from_pass = self.from_pass.min(sample.from_pass);
        let scaled_sum: u64 = sample.scaled_choices.iter().map(|p| u64::from(*p)).sum();
        let experts = (sample.scaled_choices.len() / layer_sets) as f64;
        let max_total = MAX_SAMPLE_PER_EXPERT * experts * sample.passes.max(1) as f64;
        let total = (sample.total as f64).min(max_total);
        let scale = total * layer_sets as f64 / scaled_sum.max(1) as f64;
        for (choices, scaled) in self.by_expert.iter_mut().zip(sample.scaled_choices) {
            *choices += f64::from(*scaled) * scale;
        }
        self.total += total;
    }

    fn merge(&mut self, newer: &Self, decay: f64) {
        for (choices, newer) in self.by_expert.iter_mut().zip(&newer.by_expert) {
            *choices = *choices * decay + newer;
        }
        self.total = self.total * decay + newer.total;
    }

    /// Total variation distance, averaged over layer sets: the fraction of choices that would have to
    /// go to other experts to make both distributions equal.
    fn distance(&self, other: &Self, layer_sets: usize) -> f64 {
        let experts = self.by_expert.len() / layer_sets;
        let pairs = self.by_expert.chunks(experts);
        let pairs = pairs.zip(other.by_expert.chunks(experts));
        let sum: f64 = pairs.map(|(a, b)| layer_set_distance(a, b)).sum();
        sum / layer_sets as f64
    }

    fn choices_per_expert(&self, layer_sets: usize) -> f64 {
        let experts = (self.by_expert.len() / layer_sets.max(1)).max(1);
        self.total / experts as f64
    }
}

fn layer_set_distance(a: &[f64], b: &[f64]) -> f64 {
    let sum_a = a.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let sum_b = b.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    let differences = a.iter().zip(b).map(|(a, b)| (a / sum_a - b / sum_b).abs());
    differences.sum::<f64>() / 2.0
}

/// Estimates the demand for each expert and detects shifts.
#[derive(Debug)]
pub struct Demand {
    /// Number of new choices per expert that are compared with the estimate.
    min_compared: f64,
    /// Choices since the last shift, older ones with less weight.
    estimate: ChoiceCounts,
    /// Newest samples, collected until there are enough to compare with the estimate.
    pending: ChoiceCounts,
    /// `from_pass` of the samples that showed the last shift. Samples that begin earlier are ignored.
    shift_pass: u64,
    last_shift_at: Option<Duration>,
    last_merge_at: Duration,
}

impl Default for Demand {
    fn default() -> Self {
        Self::with_min_compared(MIN_COMPARED_PER_EXPERT)
    }
}

impl Demand {
    /// Creates an empty estimate that is compared with `min_compared` new choices per expert at a time.
    #[must_use]
    pub fn with_min_compared(min_compared: f64) -> Self {
        Self {
            min_compared,
            estimate: ChoiceCounts::default(),
            pending: ChoiceCounts::default(),
            shift_pass: 0,
            last_shift_at: None,
            last_merge_at: Duration::ZERO,
        }
    }

    /// Adds a sample that was received at `now`. Returns whether demand has shifted.
    pub fn add(&mut self, now: Duration, layer_sets: usize, sample: &Sample<'_>) -> bool {
        let len = sample.scaled_choices.len();
        if layer_sets == 0 || len == 0 || !len.is_multiple_of(layer_sets) || sample.total == 0 {
            return false;
        }
        if sample.from_pass < self.shift_pass {
            // At least some of these choices were made before the shift.
            return false;
        }
        self.pending.add(sample, layer_sets);
        if self.pending.choices_per_expert(layer_sets) < self.min_compared {
            return false;
        }
        let pending = std::mem::take(&mut self.pending);
        if self.estimate.by_expert.len() != pending.by_expert.len() {
            self.reset_to(now, pending);
            return true;
        }
        let noise = 1.0 / pending.choices_per_expert(layer_sets)
            + 1.0 / self.estimate.choices_per_expert(layer_sets);
        let noise = UNIT_NOISE_DISTANCE * noise.sqrt();
        if pending.distance(&self.estimate, layer_sets) > noise + SHIFT_DISTANCE {
            self.reset_to(now, pending);
            return true;
        }
        let elapsed_s = now.saturating_sub(self.last_merge_at).as_secs_f64();
        self.estimate.merge(
            &pending,
            (-elapsed_s / CHOICE_DECAY_TIME.as_secs_f64()).exp(),
        );
        self.last_merge_at = self.last_merge_at.max(now);
        false
    }

    fn reset_to(&mut self, now: Duration, pending: ChoiceCounts) {
        self.shift_pass = pending.from_pass;
        self.last_shift_at = Some(now);
        self.last_merge_at = now;
        self.estimate = pending;
    }

    /// Notes that the group counts its passes from zero again. The estimate is kept.
    pub fn on_pass_counter_reset(&mut self) {
        self.shift_pass = 0;
        self.pending = ChoiceCounts::default();
    }

    /// Whether the estimate since the last shift suffices for a plan.
    #[must_use]
    pub fn is_settled(&self, now: Duration, layer_sets: usize) -> bool {
        self.estimate.choices_per_expert(layer_sets) >= MIN_SETTLED_PER_EXPERT
            || self
                .last_shift_at
                .is_some_and(|at| now >= at + SETTLE_TIMEOUT)
    }

    /// Estimated choices by layer set and expert. `None` if there are none.
    #[must_use]
    pub fn choices_by_layer_set(&self, layer_sets: usize) -> Option<Vec<Vec<f64>>> {
        let choices = &self.estimate.by_expert;
        if layer_sets == 0 || choices.is_empty() || !choices.len().is_multiple_of(layer_sets) {
            return None;
        }
        // Additive smoothing, so that experts that were not chosen keep some weight.
        let smoothed = choices.chunks(choices.len() / layer_sets);
        Some(
            smoothed
                .map(|s| s.iter().map(|c| c + 1.0).collect())
                .collect(),
        )
    }
}
