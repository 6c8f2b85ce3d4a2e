//! Agent beside one rank of an expert-parallel group.
//!
//! The tour:
//!
//! - [`message`]: what agents of a group tell each other.
//! - [`follower`]: the next order to the agent's own engine, from its report and the leader's intent.
//! - [`leader`]: the state machine of the agent beside rank 0.
//! - [`map_cache`]: maps told as what differs from the one in use.
//! - [`recovery`]: how a held group goes on without its leader.
//! - [`demand`]: which experts are in demand, from counts.
//! - [`agent`]: the tasks. [`settings`]: what the process is told at start.
#![forbid(unsafe_code)]

pub mod agent;
pub mod demand;
pub mod follower;
pub mod leader;
pub mod map_cache;
pub mod message;
pub mod recovery;
pub mod settings;

/// Everything that a composition root or a test usually needs.
pub mod prelude {
    pub use crate::agent::{AgentParts, RankAgent};
    pub use crate::follower::{PrepareTracker, next_order};
    pub use crate::leader::{Leader, LeaderAction, LeaderConfig, Phase};
    pub use crate::map_cache::MapCache;
    pub use crate::message::{Intent, Status};
    pub use crate::recovery::{RecoveryStep, StallDetector};
    pub use crate::settings::RankAgentSettings;
}
