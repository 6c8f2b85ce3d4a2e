//! Communication of entries and agents with one another and with the platform.
//!
//! Modules:
//!
//! - [`config_peer`]: exchange of configuration between processes.
//! - [`status`]: status messages that entries and agents exchange periodically.
//! - [`platform`]: plugin that starts the store client, the VM list and the configuration.
//! - [`pool`]: pool with one channel per process, connected on demand.
//! - [`relayed_list`]: reads the VM list through relays.
//! - [`vm_list`]: reads the platform's VM list periodically.
#![forbid(unsafe_code)]

pub mod config_peer;
pub mod platform;
pub mod pool;
pub mod relayed_list;
pub mod status;
pub mod vm_list;

/// The types that daemons usually need.
pub mod prelude {
    pub use crate::pool::ChannelPool;
    pub use crate::status::{AgentStatus, LOAD_SERVICE, PeerStatus};
    pub use crate::vm_list::{HttpVmList, VmListFollower, VmListSource};
}
