//! Connections to other processes and to the platform's VM list.
//!
//! The tour:
//!
//! - [`pool`]: one channel per process, connected on demand.
//! - [`vm_list`]: following the platform's lagging VM list.
#![forbid(unsafe_code)]

pub mod pool;
pub mod vm_list;

/// Everything that daemons usually need from this crate.
pub mod prelude {
    pub use crate::pool::ChannelPool;
    pub use crate::vm_list::{HttpVmList, VmListFollower, VmListSource};
}
