//! Placement of expert replicas on the ranks of a model group, adapted as demand drifts.
//!
//! Two planners share this crate: [`planner`] for engines that accept a routing share for each
//! replica, and [`even_split`] for engines that split an expert's tokens evenly over its replicas.
//!
//! Modules:
//!
//! - [`shape`]: the fixed sizes of a group ([`shape::GroupShape`]).
//! - [`map`]: which rank holds which expert and which share of its load ([`map::ExpertMap`]).
//! - [`loads`]: estimates expert loads from late, noisy and incomplete reports.
//! - [`speeds`]: estimates rank speeds and tells stragglers from stalls.
//! - [`balance`]: computes the best routing shares for a given placement.
//! - [`search`]: finds placement changes whose gain exceeds their cost in bytes read.
//! - [`greedy`]: computes a placement from scratch.
//! - [`planner`]: combines the modules above ([`planner::Planner`]).
//! - [`even_split`]: plans for engines without routing shares; independent of the modules above.
#![forbid(unsafe_code)]

pub mod balance;
pub mod even_split;
pub mod greedy;
pub mod loads;
pub mod map;
pub mod planner;
pub mod search;
pub mod shape;
pub mod speeds;

/// The types that other crates commonly need.
pub mod prelude {
    pub use crate::loads::{LoadEstimator, LoadSample};
    pub use crate::map::{ExpertId, ExpertMap, LayerMap, MapId, MapVersion, Move};
    pub use crate::planner::{Plan, PlanReason, Planner, PlannerConfig};
    pub use crate::shape::GroupShape;
    pub use crate::speeds::SpeedEstimator;
}
