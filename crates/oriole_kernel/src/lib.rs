//! Micro-kernel of every oriole process.
//!
//! The tour:
//!
//! - [`registry`]: where services find each other by name.
//! - [`app`]: plugins register services into an [`app::App`]; starting it starts the services in
//!   order of their dependencies and yields a [`app::RunningApp`] that stops them in reverse.
//! - [`clock`]: time since the process started.
//! - [`logging`]: JSON lines through `slog`.
//! - [`telemetry`]: the process-wide metrics recorder; [`metrics_port`] serves it.
//! - [`settings`]: reading and checking a daemon's TOML settings.
//! - [`signals`]: signals that ask a process to end or to read its settings again.
//! - [`sockets`]: TCP connections that notice a silent peer.
//!
//! ```
//! use oriole_kernel::prelude::*;
//!
//! struct GreetingPlugin;
//! impl Plugin for GreetingPlugin {
//!     fn name(&self) -> &'static str {
//!         "greeting"
//!     }
//!     fn build(&self, app: &mut App) -> Result<(), KernelError> {
//!         app.registry().insert("greeting.text", std::sync::Arc::new(String::from("hello")))
//!     }
//! }
//!
//! let mut app = App::new();
//! app.add_plugin(&GreetingPlugin).unwrap();
//! assert_eq!(*app.registry().get::<String>("greeting.text").unwrap(), "hello");
//! ```
#![forbid(unsafe_code)]

pub mod app;
pub mod clock;
pub mod error;
pub mod logging;
pub mod metrics_port;
pub mod registry;
pub mod settings;
pub mod signals;
pub mod sockets;
pub mod telemetry;

/// Everything that daemons usually need from this crate.
pub mod prelude {
    pub use crate::app::{App, Plugin, RunningApp, Service};
    pub use crate::clock::Clock;
    pub use crate::error::KernelError;
    pub use crate::registry::Registry;
}
