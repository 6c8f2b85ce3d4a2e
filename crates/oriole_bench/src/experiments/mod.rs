//! All experiments; each name has its own module.

use crate::experiment::Experiment;

mod announced_limit;
mod claims;
mod claims_baseline;
mod claims_fleet;
mod claims_history;
mod cold_start;
mod config_baseline;
mod config_fleet;
mod config_spread;
mod control;
mod departure;
mod hot_account;
mod overload;
mod path;
mod poison;
mod restart;
mod retry_storm;
mod skew;
mod skew_large;
mod store_outage;
mod switch;

/// Returns every experiment in the order of `oriole-bench list`.
#[must_use]
pub fn all() -> Vec<Box<dyn Experiment>> {
    vec![
        Box::new(announced_limit::AnnouncedLimit),
        Box::new(claims::Claims),
        Box::new(cold_start::ColdStart),
        Box::new(config_spread::ConfigSpread),
        Box::new(control::Control),
        Box::new(departure::Departure),
        Box::new(hot_account::HotAccount),
        Box::new(overload::Overload),
        Box::new(path::Path),
        Box::new(poison::Poison),
        Box::new(restart::Restart),
        Box::new(retry_storm::RetryStorm),
        Box::new(skew::Skew),
        Box::new(skew::SkewRough),
        Box::new(skew_large::SkewLarge),
        Box::new(store_outage::StoreOutage),
        Box::new(switch::Switch),
    ]
}

/// Returns the experiment with the given name.
#[must_use]
pub fn find(name: &str) -> Option<Box<dyn Experiment>> {
    all().into_iter().find(|e| e.name() == name)
}
