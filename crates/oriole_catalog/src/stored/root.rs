//! The root value.

use std::collections::BTreeMap;

use bytes::Bytes;
use oriole_types::prelude::*;

use super::part::PartName;

/// Key of the root value. Its compare-and-swap is what accepts a change.
pub const ROOT_KEY: &str = "catalog/root";
/// Most changes a root value lists.
const MAX_LISTED_CHANGES: usize = 16;

oriole_types::name_type! {
    /// Random name of one change, by which a lost answer is settled.
    pub struct ChangeId
}

oriole_types::domain_type! {
    /// Who changed what, when and why.
    pub struct ChangeRecord {
        /// Name of the change.
        pub id: ChangeId,
        /// Revision the change made.
        pub revision: Revision,
        /// Who.
        pub author: String,
        /// When by the author's clock, in milliseconds since 1970.
        pub at_unix_ms: u64,
        /// Why, in the author's words.
        pub message: String,
        /// The first items that changed.
        pub items: Vec<String>,
        /// Number of items that changed.
        pub item_count: u64,
    }
}

oriole_types::domain_type! {
    /// Where a part is and what it must contain.
    pub struct PartRef {
        /// Its key in the store, used for no other content ever.
        pub key: String,
        /// Digest of its content.
        pub digest: Digest,
    }
}

oriole_types::domain_type! {
    /// The root value: what is in force under one revision.
    #[derive(Default)]
    pub struct Root {
        /// Revision.
        pub revision: Revision,
        /// The parts that make up the catalog; empty ones are left out.
        pub parts: BTreeMap<PartName, PartRef>,
        /// Recent changes, newest first; the first one made this revision.
        pub changes: Vec<ChangeRecord>,
    }
}

/// Key of the root value of an earlier revision.
#[must_use]
pub fn history_key(revision: Revision) -> String {
    format!("catalog/history/{:012}", revision.0)
}

impl Root {
    /// Reads a root value.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a root value.
    pub fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// The root value as bytes.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be written as JSON.
    pub fn encode(&self) -> Result<Bytes, serde_json::Error> {
        serde_json::to_vec(self).map(Bytes::from)
    }

    /// The root that follows this one.
    #[must_use]
    pub fn successor(&self, parts: BTreeMap<PartName, PartRef>, change: ChangeRecord) -> Self {
        let earlier = self.changes.iter().take(MAX_LISTED_CHANGES - 1).cloned();
        Self {
            revision: self.revision.next(),
            parts,
            changes: std::iter::once(change).chain(earlier).collect(),
        }
    }

    /// Adds later changes, newest first.
    pub(super) fn add_changes(&mut self, later: Vec<ChangeRecord>) {
        self.changes.splice(0..0, later);
        self.changes.truncate(MAX_LISTED_CHANGES);
    }

    /// The change that made a revision, if this root still lists it.
    #[must_use]
    pub fn change_for(&self, revision: Revision) -> Option<&ChangeRecord> {
        self.changes.iter().find(|c| c.revision == revision)
    }

    /// Changes after a revision, newest first.
    #[must_use]
    pub fn changes_after(&self, revision: Revision) -> Vec<ChangeRecord> {
        let later = self.changes.iter().filter(|c| c.revision > revision);
        later.cloned().collect()
    }
}
