//! Expert map switch that never mixes maps within one step.
//!
//! All decisions are plain state machines: events and the time go in, actions come out. A driver
//! carries the actions out and feeds the answers back.
//!
//! The tour:
//!
//! - [`messages`]: what ranks and coordinator say to each other ([`messages::GroupMessage`]).
//! - [`engine`]: the orders that an agent gives its own engine, and the engine's state.
//! - [`peer_runs`]: which run of each peer is the live one, and when a restarted agent knows enough.
//! - [`rank`]: the machine that each agent runs for its rank ([`rank::RankAgent`]).
//! - [`election`]: lease and fencing number of the coordinator ([`election::Election`]).
//! - [`coordinator`]: the machine that plans and orders switches
//!   ([`coordinator::GroupCoordinator`]).
//! - [`driver`]: tasks that run the machines over a transport, an engine and the store.
//! - [`status`]: what operators see of a group ([`status::GroupStatus`]).
//! - [`standin`]: an engine in memory for tests and experiments.
//!
//! A switch takes three rounds. The coordinator has every rank read the weights of the next map
//! in the background (`Prepare`). Then it proposes a step from which the map is in force
//! (`Propose`). Each rank stops its engine short of that step and votes; one rank, the closer,
//! counts the votes and alone decides. The outcome lets every engine go on, with the next map if
//! all voted for it, else with the old one. Nobody needs the store or the coordinator to decide.
#![forbid(unsafe_code)]

pub mod coordinator;
pub mod driver;
pub mod election;
pub mod engine;
pub mod messages;
pub mod peer_runs;
pub mod rank;
pub mod standin;
pub mod status;

/// Everything that other crates usually need from this one.
pub mod prelude {
    pub use crate::coordinator::{CoordinatorAction, CoordinatorConfig, GroupCoordinator};
    pub use crate::election::{Election, ElectionConfig, StoreOp, StoreReply};
    pub use crate::engine::{EngineOp, EngineOrder, EngineState};
    pub use crate::messages::{
        Envelope, GroupMessage, Party, Proposal, RankId, RankReport, SwitchId,
    };
    pub use crate::rank::{RankAction, RankAgent, RankConfig};
    pub use crate::status::GroupStatus;
}
