//! Collects the expert choices of a rank, and chooses when a sample of them is sent to the leader.
//!
//! The leader has to hear of a shift of demand within a pass, but its link is too slow for the counts
//! of each pass. So a rank looks for shifts in its own choices. While there is none, it sends a sample
//! of many passes now and then, and after one a sample of each pass.

use std::time::Duration;

use oriole_fleet::prelude::ExpertCounts;

use crate::choices::scale_choices;
use crate::demand::{Demand, MAX_SAMPLE_PER_EXPERT, Sample};

/// Minimum time between two samples while demand does not shift.
const MIN_CALM_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two samples while demand does not shift, for each count in them.
const CALM_INTERVAL_PER_COUNT: Duration = Duration::from_micros(750);

/// Time after a shift in which each pass is sent as a sample of its own: the leader plans within the
/// first of them.
const SHIFT_INTERVAL: Duration = Duration::from_millis(400);

/// Number of choices per expert that a rank compares with its estimate. They are much noisier than
/// those that the leader compares, but a wrong guess only costs a few messages.
const MIN_COMPARED_PER_EXPERT: f64 = 4.0;

/// Choices that are sent to the leader in one message.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ChoiceSample {
    /// Choices by layer set and expert, scaled by [`scale_choices`].
    pub scaled: Vec<u32>,
    /// Number of choices in each layer set before scaling.
    pub total: u64,
    /// Pass after which the choices were counted.
    pub from_pass: u64,
}

/// Collects the choices of one rank.
#[derive(Debug)]
pub struct ChoiceSampler {
    /// Last counts that were read.
    counts: Option<ExpertCounts>,
    /// Choices since the last sample, by layer set and expert.
    pending: Vec<u64>,
    /// Pass after which the pending choices were counted.
    from_pass: u64,
    layer_sets: usize,
    demand: Demand,
    last_shift_at: Option<Duration>,
    last_sample_at: Option<Duration>,
}

impl Default for ChoiceSampler {
    fn default() -> Self {
        Self {
            counts: None,
            pending: Vec::new(),
            from_pass: 0,
            layer_sets: 0,
            demand: Demand::with_min_compared(MIN_COMPARED_PER_EXPERT),
            last_shift_at: None,
            last_sample_at: None,
        }
    }
}

impl ChoiceSampler {
    /// Whether the counts of a pass were read already.
    #[must_use]
    pub fn has_read(&self, pass: u64) -> bool {
        self.counts.as_ref().is_some_and(|c| c.pass >= pass)
    }

    /// Adds the choices between the last counts and these.
    pub fn add(&mut self, now: Duration, counts: ExpertCounts, layer_sets: usize) {
        let Some(last) = self.counts.replace(counts) else {
            return;
        };
        let Some(counts) = self.counts.as_ref() else {
            return;
        };
        if last.counts.len() != counts.counts.len() || layer_sets == 0 {
            return;
        }
        let pairs = counts.counts.iter().zip(&last.counts);
        let choices: Vec<u64> = pairs.map(|(new, old)| new.saturating_sub(*old)).collect();
        let passes = counts.pass.saturating_sub(last.pass);
        let sample = Sample {
            scaled_choices: &scale_choices(&choices, layer_sets),
            total: total_per_set(&choices, layer_sets),
            from_pass: last.pass,
            passes,
        };
        if self.demand.add(now, layer_sets, &sample) {
            self.last_shift_at = Some(now);
            self.pending.clear();
        }
        if self.pending.len() != choices.len() {
            self.pending = vec![0; choices.len()];
            self.from_pass = last.pass;
            self.layer_sets = layer_sets;
        }
        let weight = pass_weight(&choices, layer_sets);
        for (pending, new) in self.pending.iter_mut().zip(&choices) {
            let weighted = (*new as f64 * weight).round() as u64;
            *pending = pending.saturating_add(weighted);
        }
    }

    /// The sample to send now, if one is due.
    pub fn take_due(&mut self, now: Duration) -> Option<ChoiceSample> {
        let is_shifting = self
            .last_shift_at
            .is_some_and(|at| now < at + SHIFT_INTERVAL);
        let counts = u32::try_from(self.pending.len()).unwrap_or(u32::MAX);
        let interval = MIN_CALM_INTERVAL.max(CALM_INTERVAL_PER_COUNT.saturating_mul(counts));
        let is_due = self.last_sample_at.is_none_or(|at| now >= at + interval);
        if is_shifting || is_due {
            self.take(now)
        } else {
            None
        }
    }

    /// All choices since the last sample, if there are any.
    pub fn take(&mut self, now: Duration) -> Option<ChoiceSample> {
        let total = total_per_set(&self.pending, self.layer_sets);
        if total == 0 {
            return None;
        }
        self.last_sample_at = Some(now);
        let pending = std::mem::take(&mut self.pending);
        Some(ChoiceSample {
            scaled: scale_choices(&pending, self.layer_sets),
            total,
            from_pass: self.from_pass,
        })
    }
}

/// Weight of the choices of one pass in a sample of many: they may count only as much as in a sample of
/// their own, so that a pass with a prompt does not dominate.
fn pass_weight(choices: &[u64], layer_sets: usize) -> f64 {
    let experts = (choices.len() / layer_sets.max(1)) as f64;
    let total = total_per_set(choices, layer_sets).max(1) as f64;
    (MAX_SAMPLE_PER_EXPERT * experts / total).min(1.0)
}

/// Average number of choices in a layer set.
fn total_per_set(choices: &[u64], layer_sets: usize) -> u64 {
    let sum = choices.iter().fold(0_u64, |sum, c| sum.saturating_add(*c));
    sum / layer_sets.max(1) as u64
}
