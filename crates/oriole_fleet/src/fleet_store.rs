//! The store with prefixes: listings, watches and leased writes.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use oriole_store::error::StoreError;
use oriole_store::store::LeaseId;

/// A value with its key and the revision of its last change.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Item {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Bytes,
    /// Revision of the last change.
    pub revision: u64,
}

/// One change to a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// The item as it was written.
    Put(Item),
    /// The key was removed.
    Removed {
        /// Key.
        key: String,
        /// Revision of the removal.
        revision: u64,
    },
}

/// How new a listing has to be.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It holds all changes that were accepted before the call.
    Latest,
    /// It may lack the changes of some seconds.
    Stale,
}

/// A part of a listing.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ListPage {
    /// Items in the order of their keys.
    pub items: Vec<Item>,
    /// Whether more follow after the last key.
    pub truncated: bool,
    /// Revision of the store when it answered.
    pub store_revision: u64,
}

/// How a watch ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum WatchOutcome {
    /// Changes, oldest first; none if nothing changed in the time asked for.
    Changes {
        /// Changes.
        changes: Vec<Change>,
        /// Revision to go on from.
        resume_revision: u64,
    },
    /// The history asked for is gone: list again.
    HistoryGone,
}

/// A value to write that goes with a lease.
#[derive(Clone, Debug)]
pub struct PutItem<'a> {
    /// Key.
    pub key: &'a str,
    /// Value.
    pub value: Bytes,
    /// Lease with whose end the key is removed.
    pub lease: LeaseId,
}

/// The platform's store as fleets use it. Each call ends in bounded time.
#[async_trait]
pub trait FleetStore: Send + Sync + 'static {
    /// Lists the items under a prefix, from after a key.
    ///
    /// # Errors
    ///
    /// Fails if the store cannot be reached, refuses, or answers what cannot be read.
    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<ListPage, StoreError>;

    /// Waits for changes under a prefix after a revision, at most for `wait`.
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

    /// Grants a lease.
    ///
    /// # Errors
    ///
    /// As [`FleetStore::list`].
    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`StoreError::LeaseLapsed`] if it has ended; else as [`FleetStore::list`].
    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError>;

    /// Writes a value whatever the key holds.
    ///
    /// # Errors
    ///
    /// [`StoreError::Ambiguous`] if it may have been written; else as [`FleetStore::list`].
    async fn put(&self, item: PutItem<'_>) -> Result<(), StoreError>;
}
