//! Which experts are in demand, from counts of choices.

use std::time::Duration;

/// Time after which a choice counts 1/e: the requests that run now make the demand of the next
/// second, and a group makes many choices in each pass.
const MEMORY: Duration = Duration::from_millis(280);

/// Shares of the experts of each layer set, forgetting old choices.
#[derive(Debug, Default)]
pub struct Demand {
    choices: Vec<f64>,
    at: Duration,
}

impl Demand {
    /// Adds choices that were made up to `now`.
    pub fn add(&mut self, now: Duration, picks: &[u32]) {
        if picks.is_empty() {
            return;
        }
        if self.choices.len() != picks.len() {
            self.choices = vec![0.0; picks.len()];
            self.at = now;
        }
        let faded = now.saturating_sub(self.at).as_secs_f64() / MEMORY.as_secs_f64();
        let keep = (-faded).exp();
        self.at = self.at.max(now);
        for (choices, picks) in self.choices.iter_mut().zip(picks) {
            *choices = *choices * keep + f64::from(*picks);
        }
    }

    /// Choices by layer set; `None` if none is known.
    #[must_use]
    pub fn by_set(&self, sets: usize) -> Option<Vec<Vec<f64>>> {
        if sets == 0 || self.choices.is_empty() || !self.choices.len().is_multiple_of(sets) {
            return None;
        }
        let experts = self.choices.len() / sets;
        if self.choices.iter().all(|c| *c <= 0.0) {
            return None;
        }
        // One more choice of each, so that an expert that was not chosen keeps some weight.
        let smoothed = self.choices.chunks(experts);
        Some(
            smoothed
                .map(|s| s.iter().map(|c| c + 1.0).collect())
                .collect(),
        )
    }
}
