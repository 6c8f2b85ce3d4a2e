//! Agent of one rank of an expert-parallel group.
//!
//! One agent runs next to each engine (rank) of a group. The agent of rank 0 is the leader: it plans
//! expert maps and coordinates the switch to each new map on all ranks.
//!
//! Terms of the engines:
//!
//! - A *pass* is one step that all ranks of a group run in lock-step. Passes are numbered.
//! - An *epoch* is one run of a group. A re-formed group starts a new one and counts its passes from
//!   zero.
//! - A *layer set* is a number of layers that share one placement of experts.
//! - A *map* says which experts each rank holds, by layer set. It is identified by its version.
//! - An engine *prepares* a map (copies its experts), is *armed* to switch to a prepared map at a
//!   pass, *holds* a pass (does not let the group begin it), and begins a held pass on *go*.
//!
//! Modules:
//!
//! - [`message`]: datagrams between the agents of a group.
//! - [`follower`]: chooses the next order to the agent's own engine, from its report and the
//!   leader's intent.
//! - [`leader`]: the state machine of the agent of rank 0.
//! - [`map_cache`]: sends maps as a patch to the one in use.
//! - [`group_addresses`]: chooses the addresses of the group's engines from the upstreams' entries.
//! - [`forwarding`]: spreads an intent over the ranks through some of them.
//! - [`recovery`]: completes a map switch when the leader is silent.
//! - [`choices`]: samples of expert choices, and their form in messages.
//! - [`sampler`]: chooses when a rank sends a sample of its choices.
//! - [`status_pacer`]: chooses when a rank sends its status.
//! - [`demand`]: estimates which experts are in demand.
//! - [`agent`]: the tasks of a running agent.
//! - [`settings`]: settings of the process.
#![forbid(unsafe_code)]

pub mod agent;
pub mod choices;
pub mod demand;
pub mod follower;
pub mod forwarding;
pub mod group_addresses;
pub mod leader;
pub mod map_cache;
pub mod message;
pub mod recovery;
pub mod sampler;
pub mod settings;
pub mod status_pacer;

/// The types that `main` and tests commonly need.
pub mod prelude {
    pub use crate::agent::{AgentParts, RankAgent};
    pub use crate::follower::{PrepareTracker, is_awaited, next_order};
    pub use crate::group_addresses::GroupAddresses;
    pub use crate::leader::{Leader, LeaderAction, LeaderConfig, Phase};
    pub use crate::map_cache::MapCache;
    pub use crate::message::{Intent, Status};
    pub use crate::recovery::{RecoveryStep, StallDetector};
    pub use crate::settings::RankAgentSettings;
}
