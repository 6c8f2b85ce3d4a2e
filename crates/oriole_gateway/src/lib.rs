//! Entry daemon for fleets whose callers speak plain HTTP.
//!
//! The tour, state machines first:
//!
//! - [`fleet_view`]: configuration, upstreams and evacuations as last heard, by revision.
//! - [`traffic`]: loads, suspects, outages, cold starts and the retry budget; picks an upstream.
//! - [`mesh`]: which entry daemons live, what they have in flight, and how far their belief is.
//! - [`forward`]: the life of one request: its attempts, its answer, its events.
//! - [`refusal`]: why a request is refused, and what the caller is told.
//! - [`endpoints`]: the answer to a caller that asks where to connect.
//! - [`upstream`]: connections to upstreams.
//!
//! and the tasks around them:
//!
//! - [`watcher`]: follows the store. [`registration`]: keeps this daemon's address in it.
//! - [`ingress`], [`service_port`]: callers' connections, and questions about the process.
//! - [`daemon`]: all of these, from bind to shutdown. [`settings`]: what it is told at start.
//! - [`decision_log`]: one line for each decision, within a budget.
#![forbid(unsafe_code)]

pub mod daemon;
pub mod decision_log;
pub mod endpoints;
pub mod fleet_view;
pub mod forward;
pub mod gateway;
pub mod ingress;
pub mod mesh;
pub mod refusal;
pub mod registration;
pub mod service_port;
pub mod settings;
pub mod traffic;
pub mod upstream;
pub mod watcher;

/// Everything that a composition root or a test usually needs.
pub mod prelude {
    pub use crate::daemon::GatewayDaemon;
    pub use crate::settings::GatewaySettings;
}
