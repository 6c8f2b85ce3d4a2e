//! Connections to other processes and to the platform's VM list.
//!
//! The tour:
//!
//! - [`config_peer`]: configuration over frames.
//! - [`status`]: what processes tell each other once a second.
//! - [`platform`]: store, VM list and configuration as services of a process.
//! - [`pool`]: one channel per process, connected on demand.
//! - [`relayed_list`]: the VM list through relays.
//! - [`vm_list`]: following the platform's lagging VM list.
#![forbid(unsafe_code)]

pub mod config_peer;
pub mod platform;
pub mod pool;
pub mod relayed_list;
pub mod status;
pub mod vm_list;

/// Everything that daemons usually need from this crate.
pub mod prelude {
    pub use crate::pool::ChannelPool;
    pub use crate::status::{AgentStatus, LOAD_SERVICE, PeerStatus};
    pub use crate::vm_list::{HttpVmList, VmListFollower, VmListSource};
}
