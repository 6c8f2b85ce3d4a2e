//! The operators' catalog: its documents, their validation, versioned changes in the store and
//! distribution to every process.
//!
//! Modules:
//!
//! - [`document`]: parses TOML documents; errors name the file, line, key and allowed values.
//! - [`validate`]: checks ranges, and references between the sections of a catalog.
//! - [`section`], [`edit`]: a catalog as a map of items, and changes as sets of item changes.
//! - [`stored`]: the catalog in the store: changes, history, rollback, and snapshots of revisions.
//! - [`spread`]: the task that keeps every process's catalog up to date.
//! - [`account_key`]: generates account keys; the catalog holds only their digests.
#![forbid(unsafe_code)]

pub mod account_key;
pub mod document;
pub mod edit;
pub mod section;
pub mod spread;
pub mod stored;
pub mod validate;

/// The items that other crates usually need.
pub mod prelude {
    pub use crate::account_key::AccountKey;
    pub use crate::document::{Document, DocumentErrors};
    pub use crate::edit::{Edit, EditError};
    pub use crate::spread::config::{FollowerConfig, SpreadConfig};
    pub use crate::spread::follower::ConfigFollower;
    pub use crate::spread::members::Member;
    pub use crate::spread::peer::{ConfigPeer, NoPeers, PeerAnswer, PeerError};
    pub use crate::spread::status::{ConfigEvent, ConfigSource, ConfigStatus};
    pub use crate::stored::{
        Accepted, ChangeError, ChangeMeta, ChangeRecord, Repository, RepositoryConfig, Snapshot,
    };
}
