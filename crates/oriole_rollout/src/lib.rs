//! Switches a model group from one expert map to the next without mixing maps within one step.
//!
//! All decisions are made by state machines without I/O: events and the current time go in,
//! actions come out. A driver executes the actions and feeds the results back.
//!
//! Modules:
//!
//! - [`messages`]: messages between ranks and coordinator ([`messages::GroupMessage`]).
//! - [`engine`]: the orders that an agent sends to its own engine, and the engine's state.
//! - [`peer_runs`]: which run of each peer is live, and when a restarted agent is up to date.
//! - [`rank`]: the state machine that each agent runs for its rank ([`rank::RankAgent`]).
//! - [`election`]: lease and fencing number of the coordinator ([`election::Election`]).
//! - [`coordinator`]: the state machine that plans and proposes switches
//!   ([`coordinator::GroupCoordinator`]).
//! - [`driver`]: tasks that run the state machines over a transport, an engine and the store.
//! - [`status`]: the state of a group for operators ([`status::GroupStatus`]).
//! - [`standin`]: an in-memory engine for tests and experiments.
//!
//! A switch takes three rounds:
//!
//! 1. `Prepare`: the coordinator sends the next map, and every rank has its engine read the
//!    weights in the background.
//! 2. `Propose`: the coordinator proposes the first step that uses the map. Each rank stops its
//!    engine before that step and votes. One rank, the *closer*, counts the votes and decides.
//! 3. `Outcome`: the closer sends the outcome and every engine continues, with the next map if all
//!    ranks voted for it, otherwise with the old one.
//!
//! The decision needs neither the store nor the coordinator.
//!
//! A *run* is one lifetime of a process, identified by its [`Incarnation`]. A map is *staged* on an
//! engine once its weights are loaded, and *in force* from the step at which a committed switch
//! puts it into use.
//!
//! [`Incarnation`]: oriole_types::ids::Incarnation
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

/// The items that other crates usually need.
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
