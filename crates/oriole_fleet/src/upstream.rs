//! Upstreams as registered in the store.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_types::prelude::*;

value_type! {
    /// Whether an upstream accepts new requests.
    pub enum UpstreamState {
        /// Accepts new requests.
        Ready,
        /// Finishes its running requests and accepts no new ones.
        Draining,
    }
}

domain_type! {
    /// Membership of an upstream in an expert-parallel group.
    pub struct GroupMembership {
        /// Name of the group.
        pub group: String,
        /// Rank in the group.
        pub rank: usize,
        /// Run of the group; zero if the entry does not have it.
        pub epoch: u64,
        /// Whether the group runs. A group that lost a rank refuses requests until it is formed
        /// again.
        pub group_running: bool,
    }
}

domain_type! {
    /// The registered state of an upstream.
    pub struct Upstream {
        /// Unique ID of this instance; a restarted upstream at the same address has another.
        pub instance: String,
        /// Name of the service it belongs to.
        pub service: String,
        /// Address at which it accepts requests.
        pub address: SocketAddr,
        /// Failure domain.
        pub domain: String,
        /// Maximum number of requests that it runs concurrently.
        pub capacity: u32,
        /// Whether it accepts new requests.
        pub state: UpstreamState,
        /// Remaining time for which it is cold, from the moment this entry was written.
        pub cold_remaining: Duration,
        /// Start time in milliseconds, if the entry has it. Another run under the same instance ID
        /// has another start time.
        pub started_at_ms: Option<u64>,
        /// Membership in a group, if it is in one.
        pub group_membership: Option<GroupMembership>,
    }
}
