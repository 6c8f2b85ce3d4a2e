//! The common base of every oriole process.
//!
//! Modules:
//!
//! - [`registry`]: objects that services share by name.
//! - [`app`]: plugins add services to an [`app::App`]. Starting it starts the services in the order of
//!   their dependencies and returns an [`app::RunningApp`] that stops them in the reverse order.
//! - [`clock`]: time since the process started.
//! - [`logging`]: logs as JSON lines, with `slog`.
//! - [`telemetry`]: the process-wide metrics recorder; [`metrics_port`] serves its metrics over HTTP.
//! - [`settings`]: reads and validates a daemon's TOML settings.
//! - [`signals`]: signals for shutdown and reload.
//! - [`sockets`]: TCP connections that detect an unresponsive peer. [`bounded_stream`]: streams that
//!   end when the peer sends too much. [`connector`]: connects pooled HTTP clients with both.
//! - [`bounded_listener`]: listeners for short queries that clients cannot exhaust.
//! - [`http_answer`]: which heads of HTTP answers end a request.
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
pub mod bounded_listener;
pub mod bounded_stream;
pub mod clock;
pub mod connector;
pub mod error;
pub mod http_answer;
pub mod logging;
pub mod metrics_port;
pub mod registry;
pub mod settings;
pub mod signals;
pub mod sockets;
pub mod telemetry;

/// The types that daemons usually need.
pub mod prelude {
    pub use crate::app::{App, Plugin, RunningApp, Service};
    pub use crate::clock::Clock;
    pub use crate::error::KernelError;
    pub use crate::registry::Registry;
}
