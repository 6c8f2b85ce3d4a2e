//! Border to the platform's key-value service.
//!
//! The tour:
//!
//! - [`store`]: the [`store::Store`] trait: compare-and-swap, leases and watches.
//! - [`error`]: what a call can end in, above all [`error::StoreError::Ambiguous`].
//! - [`http`]: the client that daemons use, [`http::HttpStore`].
//! - [`memory`]: the in-process fake with switchable faults, [`memory::MemoryStore`].
//! - [`backoff`], [`rate`], [`counters`]: jittered pauses, call rates, call counts.
//! - [`protocol`]: paths and headers that the client and the stand-in server share.
#![forbid(unsafe_code)]

pub mod backoff;
pub mod counters;
pub mod error;
pub mod http;
pub mod memory;
pub mod protocol;
pub mod rate;
pub mod store;

/// Everything that other crates usually need from this one.
pub mod prelude {
    pub use crate::counters::CallCounts;
    pub use crate::error::StoreError;
    pub use crate::http::{HttpStore, StoreClientConfig};
    pub use crate::memory::{MemoryStore, MemoryStoreConfig, StoreFault, WriteFault};
    pub use crate::store::{LeaseId, Precondition, Store, StoreVersion, Versioned};
}
