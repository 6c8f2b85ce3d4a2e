//! Access to the platform's key-value store.
//!
//! Modules:
//!
//! - [`store`]: the [`store::Store`] trait: compare-and-swap, leases and watches.
//! - [`error`]: errors of calls, notably [`error::StoreError::Ambiguous`] for writes that may have
//!   taken effect.
//! - [`http`]: the HTTP client that daemons use, [`http::HttpStore`].
//! - [`memory`]: an in-process store that can simulate faults, [`memory::MemoryStore`].
//! - [`backoff`], [`rate`], [`counters`]: jittered backoff, rate limits, call counters.
//! - [`protocol`]: paths and headers of the HTTP protocol.
#![forbid(unsafe_code)]

pub mod backoff;
pub mod counters;
pub mod error;
pub mod http;
pub mod memory;
pub mod protocol;
pub mod rate;
pub mod store;

/// The types that other crates usually need.
pub mod prelude {
    pub use crate::counters::CallCounts;
    pub use crate::error::StoreError;
    pub use crate::http::{HttpStore, StoreClientConfig};
    pub use crate::memory::{MemoryStore, MemoryStoreConfig, StoreFault, WriteFault};
    pub use crate::store::{LeaseId, Precondition, Store, StoreVersion, Versioned};
}
