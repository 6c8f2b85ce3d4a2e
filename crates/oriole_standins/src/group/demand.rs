//! Demand for experts that changes over time, determined by a seed.

use std::f32::consts::TAU;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::GroupConfig;

/// Amplitude of the demand for an expert, as a fraction of its mean.
const AMPLITUDE: f32 = 0.8;

/// Lowest mean demand for an expert, in tokens per step.
const MIN_MEAN_TOKENS_PER_STEP: f32 = 10.0;

/// Highest mean demand for an expert, as a multiple of the lowest.
const MAX_TO_MIN_MEAN: f32 = 8.0;

/// Demand for the experts of each layer.
#[derive(Debug)]
pub(crate) struct Demand {
    period: Duration,
    layers: Vec<Vec<Wave>>,
}

/// Demand for one expert: a sine wave around its mean.
#[derive(Clone, Copy, Debug)]
struct Wave {
    /// In tokens per step.
    mean: f32,
    /// In radians.
    phase: f32,
}

impl Demand {
    pub(crate) fn new(cfg: &GroupConfig) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(cfg.seed);
        let mut random_wave = || Wave {
            mean: MIN_MEAN_TOKENS_PER_STEP * MAX_TO_MIN_MEAN.powf(rng.random_range(0.0..1.0)),
            phase: rng.random_range(0.0..TAU),
        };
        let layers = 0..cfg.layers;
        Self {
            period: cfg.drift_period,
            layers: layers
                .map(|_| (0..cfg.experts).map(|_| random_wave()).collect())
                .collect(),
        }
    }

    /// Tokens per step of each expert of each layer, at a time since the start of the group.
    pub(crate) fn tokens_at(&self, time: Duration) -> Vec<Vec<f32>> {
        let angle = TAU * time.div_duration_f32(self.period).fract();
        let tokens = |w: &Wave| w.mean * (1.0 + AMPLITUDE * (angle + w.phase).sin());
        let layers = self.layers.iter();
        layers.map(|l| l.iter().map(tokens).collect()).collect()
    }
}
