//! Load and experiment tool: figures as JSON lines and plots.
//!
//! The tour:
//!
//! - [`experiment`]: what an experiment is and the options of a run.
//! - [`report`]: its figures, the bounds they are held to, and the series that are plotted.
//! - [`plot`]: drawing series as SVG.
//! - [`process`]: processor time and memory of this process.
//! - [`fit`]: straight lines through measured points.
//! - [`scrape`]: counters of the process's own metrics.
//! - [`experiments`]: all experiments by name.
//! - [`service`]: an event loop that drives the entry's machines against fakes of upstreams.
#![forbid(unsafe_code)]

pub mod experiment;
pub mod experiments;
pub mod fit;
pub mod plot;
pub mod process;
pub mod report;
pub mod scrape;
pub mod service;

/// Everything an experiment needs.
pub mod prelude {
    pub use crate::experiment::{Experiment, RunOptions};
    pub use crate::report::{Limit, Report, Series};
}
