//! The platform's key-value store, as a trait: listing and watching by key prefix, and writes bound
//! to a lease.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use oriole_store::error::StoreError;
use oriole_store::store::LeaseId;

/// A key with its value and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key, including the prefix.
    pub key: String,
    /// Value as stored.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: u64,
}

/// One change to a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The key was created or overwritten.
    Put(Item),
    /// The key was removed.
    Removed {
        /// Key that was removed.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

/// How up to date a listing must be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// Includes all changes accepted before the call.
    Latest,
    /// May lag behind by some seconds.
    Stale,
}

/// One page of a listing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListPage {
    /// Items in key order.
    pub items: Vec<Item>,
    /// Whether more items follow after the last key.
    pub truncated: bool,
    /// Revision of the store at the time of the listing.
    pub store_revision: u64,
}

/// Result of a watch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// The watch returned with all changes since its start revision.
    Changes {
        /// Changes, oldest first; empty if nothing changed while the watch waited.
        changes: Vec<Change>,
        /// Revision after which the next watch starts.
        resume_revision: u64,
    },
    /// The store no longer has the changes after the start revision; list the prefix again.
    HistoryGone,
}

/// A value to write under a lease.
#[derive(Clone, Debug)]
pub struct PutItem<'a> {
    /// Key to write.
    pub key: &'a str,
    /// Value to store.
    pub value: Bytes,
    /// Lease; the key is removed when it expires.
    pub lease: LeaseId,
}

/// Client of the platform's store. Every call has a timeout.
#[async_trait]
pub trait FleetStore: Send + Sync + 'static {
    /// Lists a page of the items under a prefix, starting after the key `after`.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached, refuses the call, or sends a malformed answer.
    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<ListPage, StoreError>;

    /// Returns the changes under a prefix after the revision `after`, waiting for the first one for
    /// at most `wait`.
    ///
    /// # Errors
    ///
    /// As [`FleetStore::list`].
    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchOutcome, StoreError>;

    /// Requests a lease that expires after `ttl` unless it is renewed.
    ///
    /// # Errors
    ///
    /// As [`FleetStore::list`].
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease before it expires.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseLapsed`] if it has expired; otherwise as [`FleetStore::list`].
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Writes a value unconditionally, replacing any present one.
    ///
    /// # Errors
    ///
    /// [`StoreError::Ambiguous`] if the value may have been written; otherwise as
    /// [`FleetStore::list`].
    async fn put(&self, item: PutItem<'_>) -> Result<(), StoreError>;
}
