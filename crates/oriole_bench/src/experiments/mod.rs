//! All experiments by name. Each has a module of its own.

use crate::experiment::Experiment;

pub mod skew;
pub mod skew_large;
pub mod switch;

/// Every experiment, in the order `oriole-bench list` shows them.
#[must_use]
pub fn all() -> Vec<Box<dyn Experiment>> {
    vec![
        Box::new(skew::Skew),
        Box::new(skew_large::SkewLarge),
        Box::new(switch::Switch),
    ]
}

/// The experiment of some name.
#[must_use]
pub fn find(name: &str) -> Option<Box<dyn Experiment>> {
    all().into_iter().find(|e| e.name() == name)
}
