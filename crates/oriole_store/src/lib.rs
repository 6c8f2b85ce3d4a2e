//! Border to the platform's key-value service.
//!
//! The tour:
//!
//! - [`store`]: the [`store::Store`] trait: compare-and-swap, leases and watches.
//! - [`error`]: what a call can end in, above all [`error::StoreError::Ambiguous`].
#![forbid(unsafe_code)]

pub mod error;
pub mod store;

/// Everything that other crates usually need from this one.
pub mod prelude {
    pub use crate::error::StoreError;
    pub use crate::store::{Expect, LeaseId, Store, StoreVersion, Versioned};
}
