//! What an experiment is.

use std::time::Duration;

use async_trait::async_trait;

use crate::report::Report;

/// Options of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunOptions {
    /// Seed of everything random in the run.
    pub seed: u64,
    /// Length of the measured part; each experiment has a default.
    pub duration: Option<Duration>,
}

impl RunOptions {
    /// The requested length, or a default.
    #[must_use]
    pub fn duration_or(&self, default: Duration) -> Duration {
        self.duration.unwrap_or(default)
    }
}

/// A measurement that can be repeated by name and seed.
///
/// All contenders of a comparison run within one run. With its defaults a run ends within 50 s on
/// 10 cores.
#[async_trait]
pub trait Experiment: Send + Sync {
    /// Name on the command line.
    fn name(&self) -> &'static str;

    /// What it measures, in one line.
    fn about(&self) -> &'static str;

    /// Runs it.
    ///
    /// # Errors
    ///
    /// Fails if the run could not be carried out; a missed bound is not an error.
    async fn run(&self, options: &RunOptions) -> eyre::Result<Report>;
}
