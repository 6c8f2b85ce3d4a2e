//! All experiments by name. Each has a module of its own.

pub mod cold_start;
pub mod poison;

use crate::experiment::Experiment;

/// Every experiment, in the order `oriole-bench list` shows them.
#[must_use]
pub fn all() -> Vec<Box<dyn Experiment>> {
    vec![Box::new(cold_start::ColdStart), Box::new(poison::Poison)]
}

/// The experiment of some name.
#[must_use]
pub fn find(name: &str) -> Option<Box<dyn Experiment>> {
    all().into_iter().find(|e| e.name() == name)
}
