//! Services that requests are forwarded to.

use std::time::Duration;

use oriole_types::domain_type;

use crate::engine::ExpertLimits;

domain_type! {
    /// A service: settings that its upstreams have in common.
    pub struct Service {
        /// Name, unique in a configuration.
        pub name: String,
        /// Path of the upstreams' health check.
        pub health_path: String,
        /// Maximum number of connections to one upstream, from all senders together.
        pub max_connections: u32,
        /// Time after its start for which an upstream is cold and handles only
        /// `cold_requests_per_s`.
        pub cold_start: Duration,
        /// Requests per second that a cold upstream can handle; zero if it is not limited.
        pub cold_requests_per_s: f64,
        /// Limits on the expert maps, if the upstreams form expert-parallel groups.
        pub group: Option<ExpertLimits>,
    }
}
