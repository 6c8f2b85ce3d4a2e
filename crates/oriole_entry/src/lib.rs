//! Entry daemon: accepts callers' requests and sends them to agents.
//!
//! Modules in the order in which a request passes through them:
//!
//! - [`api`]: the HTTP interface for callers.
//! - [`intake`]: checks a request's account, catalog entry, timeout, body and limits.
//! - [`routing`]: picks an upstream, or queues the request until one has capacity.
//! - [`dispatch`]: sends a request to agents, with retries, until it has one final outcome.
//! - `at_most_once`: the same for requests that must not run twice.
//! - [`answer`]: the events of an answer.
//!
//! Other modules:
//!
//! - [`settings`]: the daemon's TOML settings.
//! - [`memory`]: charges requests and their bodies to the memory budget.
//! - [`state`]: state that handlers and tasks share.
//! - [`fleet`]: the process's view of upstreams and other entries.
//! - [`groups`]: model group status, as reported by the coordinators.
//! - [`poison`]: suspect and quarantined content.
//! - [`liveness`]: failure detection among entries.
//! - [`sharers`]: which entries share which limits.
//! - [`watchers`]: tasks that keep the view of the fleet and the routing state up to date.
//! - [`peer_handler`]: serves calls from other processes.
//! - [`daemon`]: start and graceful shutdown.
#![forbid(unsafe_code)]

pub mod answer;
pub mod api;
mod at_most_once;
pub mod daemon;
pub mod dispatch;
pub mod fleet;
pub mod groups;
pub mod intake;
pub mod liveness;
pub mod memory;
pub mod peer_handler;
pub mod poison;
pub mod routing;
pub mod settings;
pub mod sharers;
pub mod state;
pub mod watchers;

/// The types needed to embed an entry daemon in another program.
pub mod prelude {
    pub use crate::daemon::EntryDaemon;
    pub use crate::settings::EntrySettings;
}
