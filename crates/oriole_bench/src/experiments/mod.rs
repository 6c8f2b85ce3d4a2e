//! All experiments by name. Each has a module of its own.

use crate::experiment::Experiment;

mod claims;
mod claims_baseline;
mod claims_fleet;
mod claims_history;
pub mod departure;
pub mod hot_account;
pub mod overload;
pub mod retry_storm;
mod skew;
mod skew_large;
mod store_outage;

/// Every experiment, in the order `oriole-bench list` shows them.
#[must_use]
pub fn all() -> Vec<Box<dyn Experiment>> {
    vec![
        Box::new(departure::Departure),
        Box::new(hot_account::HotAccount),
        Box::new(overload::Overload),
        Box::new(retry_storm::RetryStorm),
        Box::new(claims::Claims),
        Box::new(skew::Skew),
        Box::new(skew_large::SkewLarge),
        Box::new(store_outage::StoreOutage),
    ]
}

/// The experiment of some name.
#[must_use]
pub fn find(name: &str) -> Option<Box<dyn Experiment>> {
    all().into_iter().find(|e| e.name() == name)
}
