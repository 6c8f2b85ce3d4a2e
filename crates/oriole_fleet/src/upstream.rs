//! Upstreams as they are declared.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_types::prelude::*;

value_type! {
    /// Whether an upstream takes new work.
    pub enum UpstreamState {
        /// It does.
        Ready,
        /// It is leaving.
        Draining,
    }
}

domain_type! {
    /// Place of an upstream in an expert-parallel group.
    pub struct GroupMembership {
        /// Group.
        pub group: String,
        /// Rank in it.
        pub rank: usize,
        /// Whether the group runs; one that lost a rank refuses requests until it is formed anew.
        pub group_running: bool,
    }
}

domain_type! {
    /// A declared upstream.
    pub struct Upstream {
        /// Identity of this run; another run at the same address has another.
        pub instance: String,
        /// Service it belongs to.
        pub service: String,
        /// Where it listens.
        pub address: SocketAddr,
        /// Failure domain.
        pub domain: String,
        /// Requests that it runs at once.
        pub capacity: u32,
        /// Whether it takes new work.
        pub state: UpstreamState,
        /// Time for which it stays cold, counted from when this was written.
        pub cold_remaining: Duration,
        /// Millisecond of its start, if it tells; a run under the same identity has another.
        pub started_at_ms: Option<u64>,
        /// Place in a group, if it belongs to one.
        pub group_membership: Option<GroupMembership>,
    }
}
