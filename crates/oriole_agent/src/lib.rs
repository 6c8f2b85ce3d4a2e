//! Agent daemon: the only process that sends work and orders to one upstream.
//!
//! Modules in the order in which a request passes through them:
//!
//! - [`handler`]: serves requests and calls from entries and other agents.
//! - [`run`]: runs one request at the upstream.
//! - [`gate`]: the admission gate, at which requests wait.
//! - [`upstream`]: clients of model engines and plain services.
//!
//! Other modules:
//!
//! - [`settings`]: the daemon's TOML settings.
//! - [`core`]: state that handlers and tasks share.
//! - [`group`]: membership in a model group.
//! - [`watchers`]: tasks that keep the gate up to date.
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

/// The types needed to embed an agent daemon in another program.
pub mod prelude {
    pub use crate::daemon::AgentDaemon;
    pub use crate::settings::AgentSettings;
}
