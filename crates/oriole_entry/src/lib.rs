//! Entry daemon: accepts callers' requests and steers them to agents.
//!
//! The tour, along the way of a request:
//!
//! - [`api`]: the HTTP interface towards callers.
//! - [`intake`]: who asks, for what, and by when; limits.
//! - [`traffic`]: the routing machines behind one lock, and waiting for an upstream.
//! - [`dispatch`]: attempts, retries and the single end.
//! - `claimed`: the way of a request that must run at most once.
//! - [`answer`]: the events of an answer.
//!
//! Around it:
//!
//! - [`settings`]: the daemon's TOML settings.
//! - [`state`]: what handlers and tasks share.
//! - [`fleet`]: upstreams and entries as this process sees them.
//! - [`groups`]: model groups as their coordinators describe them.
//! - [`poison`]: suspect and quarantined content.
//! - [`liveness`]: which other entries live.
//! - [`sharers`]: which entries share which limits.
//! - [`watchers`]: tasks that keep that view and the routing machines up to date.
//! - [`peers`]: what other processes ask of this one.
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
pub mod peer_handler;
pub mod poison;
pub mod routing;
pub mod settings;
pub mod sharers;
pub mod state;
pub mod watchers;

/// Everything that embeds an entry daemon.
pub mod prelude {
    pub use crate::daemon::EntryDaemon;
    pub use crate::settings::EntrySettings;
}
