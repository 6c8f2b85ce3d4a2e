//! Step-time skew at the planned size of a group: 64 ranks, 256 experts and 16 layers.

use async_trait::async_trait;
use oriole_placement::prelude::GroupShape;

use crate::experiments::skew::{Drift, run_day};
use crate::prelude::{Experiment, Report, RunOptions};

/// Skew of a group of 64 ranks and 256 experts.
pub struct SkewLarge;

#[async_trait]
impl Experiment for SkewLarge {
    fn name(&self) -> &'static str {
        "skew-large"
    }

    fn about(&self) -> &'static str {
        "step-time skew of 64 ranks and 256 experts over a day of drifting demand"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        run_day(&planned_shape(), Drift::SMOOTH, options)
    }
}

fn planned_shape() -> GroupShape {
    GroupShape {
        ranks: 64,
        experts: 256,
        layers: 16,
        slots_per_rank: 6,
        expert_bytes: 40_000_000,
        weight_bytes_per_s: 8_000_000_000,
        domains: (0..64).map(|r| r % 8).collect(),
    }
}
