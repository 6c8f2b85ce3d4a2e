//! Entry daemon for fleets whose callers speak plain HTTP.
//!
//! Modules that make decisions:
//!
//! - [`fleet_view`]: cached configuration, upstreams and evacuations, by revision.
//! - [`freshness`]: confirmation of the cached view by the store, and which watches are trusted.
//! - [`traffic`]: loads, backoff, outages, cold starts and the retry budget; picks an upstream.
//! - [`streams`]: pace and standstill of groups, and admission of streams by priority.
//! - [`mesh`]: liveness of the other entry daemons, their requests in flight and the revisions that
//!   they hold.
//! - [`forward`]: handling of one request: attempts, response and event stream.
//! - [`refusal`]: reasons to refuse a request, and the resulting status and `Retry-After`.
//! - [`departure`]: which requests are still accepted during a shutdown.
//! - [`endpoints`]: selection of the addresses that callers should connect to.
//! - [`upstream`]: connections to upstreams.
//!
//! Tasks that run them:
//!
//! - [`watcher`]: watches the store. [`observed_store`]: records which calls are answered.
//!   [`registration`]: keeps this daemon's address in the store.
//! - [`ingress`]: connections from callers. [`service_port`]: readiness and endpoint queries.
//! - [`daemon`]: starts and stops all tasks. [`settings`]: settings read at the start.
//! - [`decision_log`]: one log line per decision, with limits per second.
#![forbid(unsafe_code)]

pub mod daemon;
pub mod decision_log;
pub mod departure;
pub mod endpoints;
pub mod fleet_view;
pub mod forward;
pub mod freshness;
pub mod gateway;
pub mod ingress;
pub mod mesh;
pub mod observed_store;
pub mod refusal;
pub mod registration;
pub mod service_port;
pub mod settings;
pub mod streams;
pub mod traffic;
pub mod upstream;
pub mod watcher;

/// Everything that a binary or a test usually needs.
pub mod prelude {
    pub use crate::daemon::GatewayDaemon;
    pub use crate::settings::GatewaySettings;
}
