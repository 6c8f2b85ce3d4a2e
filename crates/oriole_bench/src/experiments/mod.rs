//! All experiments by name. Each has a module of its own.

use crate::experiment::Experiment;

pub mod hot_account;
pub mod overload;
pub mod retry_storm;

/// Every experiment, in the order `oriole-bench list` shows them.
#[must_use]
pub fn all() -> Vec<Box<dyn Experiment>> {
    vec![
        Box::new(hot_account::HotAccount),
        Box::new(overload::Overload),
        Box::new(retry_storm::RetryStorm),
    ]
}

/// The experiment of some name.
#[must_use]
pub fn find(name: &str) -> Option<Box<dyn Experiment>> {
    all().into_iter().find(|e| e.name() == name)
}
