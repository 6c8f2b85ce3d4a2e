//! Connections to other processes and to the platform's VM list.
//!
//! The tour:
//!
//! - [`config_peer`]: configuration over frames.
//! - [`note`]: what processes tell each other once a second.
//! - [`platform`]: store, VM list and configuration as services of a process.
//! - [`pool`]: one channel per process, connected on demand.
//! - [`relayed_list`]: the VM list through relays.
//! - [`vm_list`]: following the platform's lagging VM list.
#![forbid(unsafe_code)]

pub mod config_peer;
pub mod note;
pub mod platform;
pub mod pool;
pub mod relayed_list;
pub mod vm_list;

/// Everything that daemons usually need from this crate.
pub mod prelude {
    pub use crate::note::{LOAD_SERVICE, LoadNote, Note};
    pub use crate::pool::ChannelPool;
    pub use crate::vm_list::{HttpVmList, VmListFollower, VmListSource};
}
