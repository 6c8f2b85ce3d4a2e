//! Experiments that measure the daemons and their decisions.
//!
//! A run prints its figures as one JSON line and can draw them as an SVG plot.
//!
//! Modules:
//!
//! - [`experiment`]: the trait of all experiments and the options of a run.
//! - [`report`]: the figures of a run, their bounds, and the series to plot.
//! - [`plot`]: draws series as SVG.
//! - [`process`]: processor time and memory of this process.
//! - [`fit`]: fits a straight line to measured points.
//! - [`scrape`]: reads counters from the process's own metrics.
//! - [`capacity`]: the capacity table, extrapolated from measured slopes.
//! - [`experiments`]: all experiments by name.
//! - [`service`]: a discrete-event simulation of entries and upstreams.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod experiment;
pub mod experiments;
pub mod fit;
pub mod plot;
pub mod process;
pub mod report;
pub mod scrape;
pub mod service;

/// The types that every experiment uses.
pub mod prelude {
    pub use crate::experiment::{Experiment, RunOptions};
    pub use crate::report::{Limit, Report, Series};
}
