//! The root value, which names the parts of a revision.

use std::collections::BTreeMap;

use bytes::Bytes;
use oriole_types::prelude::*;

use super::part::PartName;

/// Store key of the root value. A change is accepted by a compare-and-swap of this value.
pub const ROOT_KEY: &str = "catalog/root";
/// Maximum number of changes that a root value lists.
const MAX_LISTED_CHANGES: usize = 16;

oriole_types::name_type! {
    /// Random identifier of a change. It shows whether a write whose answer was lost took effect.
    pub struct ChangeId
}

oriole_types::domain_type! {
    /// Record of an accepted change.
    pub struct ChangeRecord {
        /// Identifier of the change.
        pub id: ChangeId,
        /// Revision that the change created.
        pub revision: Revision,
        /// Author of the change.
        pub author: String,
        /// Time by the author's clock, in milliseconds since the Unix epoch.
        pub at_unix_ms: u64,
        /// Reason, in the author's words.
        pub message: String,
        /// Paths of the first items that changed.
        pub items: Vec<String>,
        /// Number of all items that changed.
        pub item_count: u64,
    }
}

oriole_types::domain_type! {
    /// Reference to the stored content of a part.
    pub struct PartRef {
        /// Store key of the part. It is never reused for other content.
        pub key: String,
        /// Digest that the content must have.
        pub digest: Digest,
    }
}

oriole_types::domain_type! {
    /// The root value of a revision.
    #[derive(Default)]
    pub struct Root {
        /// Number of the revision.
        pub revision: Revision,
        /// Parts of the catalog; empty ones are omitted.
        pub parts: BTreeMap<PartName, PartRef>,
        /// Recent changes, newest first. The first one created this revision.
        pub changes: Vec<ChangeRecord>,
    }
}

/// Returns the store key of the root value of an earlier revision.
#[must_use]
pub fn history_key(revision: Revision) -> String {
    format!("catalog/history/{:012}", revision.0)
}

impl Root {
    /// Decodes a root value.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a root value.
    pub fn decode(bytes: &[u8]) -> Result<Self, serde_json::Error> {
        serde_json::from_slice(bytes)
    }

    /// Encodes the root value.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be written as JSON.
    pub fn encode(&self) -> Result<Bytes, serde_json::Error> {
        serde_json::to_vec(self).map(Bytes::from)
    }

    /// Returns the root of the next revision.
    #[must_use]
    pub fn successor(&self, parts: BTreeMap<PartName, PartRef>, change: ChangeRecord) -> Self {
        let earlier = self.changes.iter().take(MAX_LISTED_CHANGES - 1).cloned();
        Self {
            revision: self.revision.next(),
            parts,
            changes: std::iter::once(change).chain(earlier).collect(),
        }
    }

    /// Prepends later changes, which must be sorted newest first.
    pub(super) fn add_changes(&mut self, later: Vec<ChangeRecord>) {
        self.changes.splice(0..0, later);
        self.changes.truncate(MAX_LISTED_CHANGES);
    }

    /// Returns the change that created a revision, if this root still lists it.
    #[must_use]
    pub fn change_for(&self, revision: Revision) -> Option<&ChangeRecord> {
        self.changes.iter().find(|c| c.revision == revision)
    }

    /// Returns the listed changes after a revision, newest first.
    #[must_use]
    pub fn changes_after(&self, revision: Revision) -> Vec<ChangeRecord> {
        let later = self.changes.iter().filter(|c| c.revision > revision);
        later.cloned().collect()
    }
}
