//! The platform's VM list and the load reports of upstreams.

use std::net::SocketAddr;

use crate::ids::{DomainName, PoolName, VmName};

value_type! {
    /// State of a VM according to the platform's list, which can be out of date.
    pub enum VmState {
        /// Running.
        Live,
        /// About to be stopped; it should get no new work.
        Leaving,
    }
}

domain_type! {
    /// The oriole process that runs on a VM.
    pub enum VmRole {
        /// An entry daemon.
        Entry,
        /// The agent of an upstream, which runs on the same VM.
        Upstream {
            /// Pool the upstream serves.
            pool: PoolName,
        },
    }
}

domain_type! {
    /// An entry of the platform's VM list.
    pub struct VmRecord {
        /// Name of the VM.
        pub name: VmName,
        /// Failure domain of the VM.
        pub domain: DomainName,
        /// Process that runs on the VM.
        pub role: VmRole,
        /// Address of the oriole process: for an entry, where it accepts callers (HTTP); for an agent,
        /// where it accepts frames.
        pub address: SocketAddr,
        /// Address where the process accepts frames of its peers; equal to `address` for agents.
        pub peer_address: SocketAddr,
        /// State according to the platform.
        pub state: VmState,
    }
}

domain_type! {
    /// The platform's VM list.
    #[derive(Default)]
    pub struct VmList {
        /// Version of the list; increases with each change.
        pub version: u64,
        /// The VMs, sorted by name.
        pub vms: Vec<VmRecord>,
    }
}

domain_type! {
    /// Load of an upstream as measured by its agent, sent with each answer.
    #[derive(Copy, Default)]
    pub struct LoadReport {
        /// Number of requests running at the upstream.
        pub in_flight: u32,
        /// Number of requests queued at the agent.
        pub queued: u32,
        /// Maximum number of requests in flight that the agent currently admits; low during cold start.
        pub limit: u32,
        /// Smoothed time from admission to the end of the answer, in milliseconds.
        pub service_ms: u32,
        /// Whether the upstream is in cold start.
        pub cold: bool,
        /// Whether the upstream takes no new work: drained, leaving or shutting down.
        pub leaving: bool,
        /// Age of the report, in milliseconds since the agent created it.
        pub age_ms: u32,
    }
}
