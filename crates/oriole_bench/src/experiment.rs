//! The trait of all experiments and the options of a run.

use std::time::Duration;

use async_trait::async_trait;

use crate::report::Report;

/// Options of one run.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunOptions {
    /// Seed of everything random in the run.
    pub seed: u64,
    /// Length of the measured part; `None` selects the default of the experiment.
    pub duration: Option<Duration>,
}

impl RunOptions {
    /// Returns the requested length of the measured part, or `default`.
    #[must_use]
    pub fn duration_or(&self, default: Duration) -> Duration {
        self.duration.unwrap_or(default)
    }
}

/// A measurement that can be repeated by name and seed.
///
/// A comparison runs all its candidates in one run. With default options a run takes at most 50 s
/// on 10 cores.
#[async_trait]
pub trait Experiment: Send + Sync {
    /// Returns the name on the command line.
    fn name(&self) -> &'static str;

    /// Describes in one line what is measured.
    fn about(&self) -> &'static str;

    /// Runs the experiment and returns its figures.
    ///
    /// # Errors
    ///
    /// Fails if the run could not be completed; a missed bound is not an error.
    async fn run(&self, options: &RunOptions) -> eyre::Result<Report>;
}
