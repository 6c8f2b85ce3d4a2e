//! Agent beside one rank of an expert-parallel group.
//!
//! The tour:
//!
//! - [`message`]: what agents of a group tell each other.
//! - [`follower`]: the next order to the agent's own engine, from its report and the leader's intent.
//! - [`leader`]: the state machine of the agent beside rank 0.
//! - [`map_memory`]: maps told as what differs from the one in use.
//! - [`rescue`]: how a held group goes on without its leader.
//! - [`demand`]: which experts are in demand, from counts.
//! - [`agent`]: the tasks. [`settings`]: what the process is told at start.
#![forbid(unsafe_code)]

pub mod agent;
pub mod demand;
pub mod follower;
pub mod leader;
pub mod map_memory;
pub mod message;
pub mod rescue;
pub mod settings;

/// Everything that a composition root or a test usually needs.
pub mod prelude {
    pub use crate::agent::{AgentParts, RankAgent};
    pub use crate::follower::{Follower, next_order};
    pub use crate::leader::{Leader, LeaderAction, LeaderConfig, Phase};
    pub use crate::map_memory::MapMemory;
    pub use crate::message::{Intent, Status};
    pub use crate::rescue::{RescueStep, StillWatch};
    pub use crate::settings::RankAgentSettings;
}
