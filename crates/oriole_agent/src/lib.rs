//! Agent daemon: the only sender of work and orders to one upstream.
//!
//! The tour, along the way of a request:
//!
//! - [`handler`]: what entries and other agents ask.
//! - [`run`]: running one request at the upstream.
//! - [`gatekeeper`]: the admission gate, on which requests wait.
//! - [`upstream`]: clients of model engines and plain services.
//!
//! Around it:
//!
//! - [`settings`]: the daemon's TOML settings.
//! - [`core`]: what handlers and tasks share.
//! - [`group`]: the agent's part in a model group.
//! - [`watchers`]: tasks that keep the gate informed.
//! - [`daemon`]: start and graceful shutdown.
#![forbid(unsafe_code)]

pub mod core;
pub mod daemon;
pub mod gate;
pub mod group;
pub mod handler;
pub mod run;
pub mod settings;
pub mod upstream;
pub mod watchers;

/// Everything that embeds an agent daemon.
pub mod prelude {
    pub use crate::daemon::AgentDaemon;
    pub use crate::settings::AgentSettings;
}
