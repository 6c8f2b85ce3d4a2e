//! Catalog documents: parsing, validation, versioned change and spread to every process.
//!
//! The tour:
//!
//! - [`document`]: TOML documents and their errors with file, line, key and allowed values.
//! - [`validate`]: what must hold between the parts of a catalog.
//! - [`section`], [`edit`]: a catalog as items, and changes as sets of item changes.
//! - [`stored`]: the catalog in the store: change, history, rollback, and whole revisions in memory.
//! - [`spread`]: the task that keeps every process's catalog up to date.
//! - [`account_key`]: fresh account keys, of which the catalog holds only digests.
#![forbid(unsafe_code)]

pub mod account_key;
pub mod document;
pub mod edit;
pub mod section;
pub mod spread;
pub mod stored;
pub mod validate;

/// Everything that other crates usually need from this one.
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
