//! What the platform and the upstreams say about the fleet.

use std::net::SocketAddr;

use crate::ids::{DomainName, PoolName, VmName};

value_type! {
    /// State of a VM in the platform's list, which lags.
    pub enum VmState {
        /// Runs.
        Live,
        /// Will be stopped; it should get no new work.
        Leaving,
    }
}

domain_type! {
    /// What runs on a VM.
    pub enum VmRole {
        /// An entry daemon.
        Entry,
        /// An upstream of a pool, with its agent.
        Upstream {
            /// Pool the upstream serves.
            pool: PoolName,
        },
    }
}

domain_type! {
    /// One VM of the platform's list.
    pub struct VmRecord {
        /// Name of the VM.
        pub name: VmName,
        /// Failure domain it lies in.
        pub domain: DomainName,
        /// What runs on it.
        pub role: VmRole,
        /// Address of the oriole process on it: callers' address of an entry, frame address of an
        /// agent.
        pub address: SocketAddr,
        /// Frame address for traffic between peers; the same as `address` for agents.
        pub peer_address: SocketAddr,
        /// State.
        pub state: VmState,
    }
}

domain_type! {
    /// The platform's VM list as one answer.
    #[derive(Default)]
    pub struct VmList {
        /// Number of the list; it grows with each change.
        pub version: u64,
        /// The VMs, ordered by name.
        pub vms: Vec<VmRecord>,
    }
}

domain_type! {
    /// Load of one upstream as its agent knows it, sent in-band with each answer.
    #[derive(Copy, Default)]
    pub struct LoadReport {
        /// Requests running at the upstream.
        pub in_flight: u32,
        /// Requests that wait at the agent.
        pub queued: u32,
        /// Most requests in flight that the agent admits now; low while cold.
        pub limit: u32,
        /// Smoothed time from admission to the whole answer, in milliseconds.
        pub service_ms: u32,
        /// Whether the upstream is in cold start.
        pub cold: bool,
        /// Whether the upstream takes no new work: drained, leaving or shutting down.
        pub leaving: bool,
        /// Milliseconds since the report was made at its source.
        pub age_ms: u32,
    }
}
