//! The [`Store`] trait and its value types.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;

use crate::error::StoreError;

/// Maximum size of a value, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

oriole_types::number_type! {
    /// Version of a value. Each write, to any key, gets a higher version than all before.
    pub struct StoreVersion
}

oriole_types::number_type! {
    /// Identifier of a lease.
    pub struct LeaseId
}

/// A value with its version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Versioned {
    /// The value.
    pub value: Bytes,
    /// The version of the value.
    pub version: StoreVersion,
}

/// Condition on the current value under which a write takes effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Precondition {
    /// The key has no value.
    Absent,
    /// The key has a value with exactly this version.
    Version(StoreVersion),
    /// No condition.
    Any,
}

/// The platform's key-value store.
///
/// Each call returns in bounded time. A write that fails with [`StoreError::Ambiguous`] may have taken
/// effect: read the value back and compare it with what was written.
#[async_trait]
pub trait Store: Send + Sync + 'static {
    /// Reads a value; `None` if the key has none.
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError>;

    /// Writes a value if the precondition `expect` holds; returns the new version.
    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
    ) -> Result<StoreVersion, StoreError>;

    /// Like [`Store::put`]; the store removes the value when the lease expires.
    async fn put_leased(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
        lease: LeaseId,
    ) -> Result<StoreVersion, StoreError>;

    /// Removes a value if the precondition `expect` holds.
    async fn delete(&self, key: &str, expect: Precondition) -> Result<(), StoreError>;

    /// Waits until the version of the value is above `after`, for at most `wait`; returns `None` if
    /// it did not change. The removal of the value is reported as an empty value.
    async fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError>;

    /// Creates a lease that expires after `ttl` unless it is renewed.
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease for its whole duration.
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;
}
