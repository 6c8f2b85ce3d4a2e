//! The agent's part in a model group: the task of its own rank, and a candidate coordinator.
//!
//! - [`place`]: where messages of other agents are delivered.
//! - [`seat`]: which rank of which group an agent is.
//! - [`engine`]: the orders to the agent's own engine over HTTP.
//! - [`post`]: messages to other agents over frames.
//! - [`follow`]: joins and leaves groups as the catalog and the VM list say.

pub mod assignment;
pub mod engine;
pub mod follow;
pub mod member;
pub mod transport;

pub use self::assignment::RankAssignment;
pub use self::follow::{GroupConnections, follow_groups};
pub use self::member::GroupMembership;

/// Name of the agents' service that takes messages of a group.
pub const GROUP_SERVICE: &str = "group";

/// Name of the agents' service that tells the state of the group it coordinates.
pub const GROUP_STATUS_SERVICE: &str = "group_status";
