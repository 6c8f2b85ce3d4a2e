//! Services that requests are forwarded to.

use std::time::Duration;

use oriole_types::domain_type;

use crate::engine::ExpertLimits;

domain_type! {
    /// A service of the configuration.
    pub struct Service {
        /// Name.
        pub name: String,
        /// Path of the health check.
        pub health_path: String,
        /// Connections that one upstream takes from all senders together.
        pub max_connections: u32,
        /// Time for which an upstream bears only `cold_requests_per_s` after its start.
        pub cold_start: Duration,
        /// Requests a second that a cold upstream bears; zero if it bears its full load.
        pub cold_requests_per_s: f64,
        /// Limits on the expert maps of the groups that its upstreams form, if they do.
        pub group: Option<ExpertLimits>,
    }
}
