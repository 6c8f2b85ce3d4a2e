//! Expert replica placement that follows drifting demand.
//!
//! The tour:
//!
//! - [`shape`]: the fixed sizes of a group ([`shape::GroupShape`]).
//! - [`map`]: which rank holds which expert and which share of its load ([`map::ExpertMap`]).
//! - [`loads`]: smoothing of lagging, noisy and incomplete expert loads.
//! - [`speeds`]: rank speeds, with stragglers told from stalls.
//! - [`balance`]: best routing shares for a given placement.
//! - [`search`]: changes of a placement that are worth their bytes.
//! - [`greedy`]: a placement from scratch.
//! - [`planner`]: all of it together ([`planner::Planner`]).
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

/// Everything that other crates usually need from this one.
pub mod prelude {
    pub use crate::loads::{LoadEstimator, LoadSample};
    pub use crate::map::{ExpertId, ExpertMap, LayerMap, MapId, MapVersion, Move};
    pub use crate::planner::{Plan, PlanReason, Planner, PlannerConfig};
    pub use crate::shape::GroupShape;
    pub use crate::speeds::SpeedEstimator;
}
