//! The store as the rest of the project sees it.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

use crate::error::StoreError;

/// Largest value the store holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

oriole_types::number_type! {
    /// Version of a value; each write to any key gets a higher one.
    pub struct StoreVersion
}

oriole_types::number_type! {
    /// Number of a lease.
    pub struct LeaseId
}

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// The value.
    pub value: Bytes,
    /// Its version.
    pub version: StoreVersion,
}

/// What a write expects to find.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// No value.
    Absent,
    /// A value of exactly this version.
    Version(StoreVersion),
    /// Anything.
    Any,
}

/// The platform's key-value service.
///
/// Each call ends in bounded time. A write that ends in [`StoreError::Ambiguous`] may have taken
/// effect: read the value back and look for what the write contained.
#[async_trait]
pub trait Store: Send + Sync + 'static {
    /// Reads a value.
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError>;

    /// Writes a value if the store holds what is expected; returns the new version.
    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
    ) -> Result<StoreVersion, StoreError>;

    /// Writes a value that the store removes when the lease lapses.
    async fn put_leased(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
        lease: LeaseId,
    ) -> Result<StoreVersion, StoreError>;

    /// Removes a value if the store holds what is expected.
    async fn delete(&self, key: &str, expect: Precondition) -> Result<(), StoreError>;

    /// Waits until the value's version is above `after`, at most for `wait`; `None` if it did not
    /// change. A value removed meanwhile also ends the wait, with an empty value.
    async fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError>;

    /// Grants a lease of some duration.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease for its duration.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}
