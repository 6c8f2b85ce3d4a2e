//! Membership in a model group: runs the agent's rank and a candidate coordinator.
//!
//! - [`member`]: delivers messages from other agents to the rank and the candidate.
//! - [`assignment`]: determines which rank of which group an agent runs.
//! - [`engine`]: sends orders to the agent's engine over HTTP.
//! - [`transport`]: sends messages to other agents over peer connections.
//! - [`follow`]: joins and leaves groups according to the catalog and the VM list.

pub mod assignment;
pub mod engine;
pub mod follow;
pub mod member;
pub mod transport;

pub use self::assignment::RankAssignment;
pub use self::follow::{GroupConnections, follow_groups};
pub use self::member::GroupMembership;

/// Name of the agents' service that receives messages of a group.
pub const GROUP_SERVICE: &str = "group";

/// Name of the agents' service that returns the status of the group that the agent coordinates.
pub const GROUP_STATUS_SERVICE: &str = "group_status";
