//! A complete revision of the catalog in memory, and the bundle that transfers it to another
//! process.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use oriole_types::prelude::*;

use super::part::{PartName, add_items, remove_items};
use super::root::{PartRef, Root};

/// A complete revision: its root, its parts and the catalog assembled from them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    root: Arc<Root>,
    parts: BTreeMap<PartName, Arc<str>>,
    catalog: Arc<Catalog>,
}

/// Why a snapshot could not be assembled, or a bundle or delta not decoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// A part that the root names was not provided.
    #[error("part {0} is missing")]
    MissingPart(PartName),
    /// The content of a part does not have the digest in the root.
    #[error("part {0} has another digest than the root says")]
    DigestMismatch(PartName),
    /// A delta is based on another revision than the one held.
    #[error("a delta starts from revision {0}")]
    BaseMismatch(Revision),
    /// The bytes are not a valid encoding of the expected value.
    #[error("cannot be decoded: {0}")]
    Undecodable(String),
}

/// A complete revision for transfer.
#[derive(Clone, Debug, PartialEq)]
pub struct Bundle {
    /// Root of the revision.
    pub root: Arc<Root>,
    /// Encoded parts, by name.
    pub parts: BTreeMap<PartName, Arc<str>>,
}

oriole_types::domain_type! {
    /// First line of an encoded bundle. The encoded parts follow it without separators.
    struct BundleHead {
        root: Arc<Root>,
        /// Lengths of the parts in bytes.
        parts: BTreeMap<PartName, usize>,
    }
}

impl SnapshotError {
    /// Returns the reason label in metrics.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::MissingPart(_) => "part_missing",
            Self::DigestMismatch(_) => "digest",
            Self::BaseMismatch(_) => "other_base",
            Self::Undecodable(_) => "undecodable",
        }
    }
}

impl Bundle {
    /// Decodes a bundle.
    ///
    /// # Errors
    ///
    /// Fails if the bytes are not a bundle.
    pub fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let undecodable = |what: &str| SnapshotError::Undecodable(what.to_owned());
        let text = std::str::from_utf8(bytes).map_err(|e| undecodable(&e.to_string()))?;
        let (head, mut rest) = text
            .split_once('\n')
            .ok_or_else(|| undecodable("no head"))?;
        let head: BundleHead =
            serde_json::from_str(head).map_err(|e| undecodable(&e.to_string()))?;
        let mut parts = BTreeMap::new();
        for (name, len) in head.parts {
            let (part, after) = rest
                .split_at_checked(len)
                .ok_or_else(|| undecodable("cut off"))?;
            parts.insert(name, part.into());
            rest = after;
        }
        let root = head.root;
        Ok(Self { root, parts })
    }

    /// Encodes the bundle.
    ///
    /// # Errors
    ///
    /// Fails if it cannot be written as JSON.
    pub fn encode(&self) -> Result<Bytes, serde_json::Error> {
        let lens = self
            .parts
            .iter()
            .map(|(name, part)| (name.clone(), part.len()));
        let head = BundleHead {
            root: Arc::clone(&self.root),
            parts: lens.collect(),
        };
        let mut buf = serde_json::to_vec(&head)?;
        buf.push(b'\n');
        for part in self.parts.values() {
            buf.extend_from_slice(part.as_bytes());
        }
        Ok(buf.into())
    }
}

impl Snapshot {
    /// Returns the revision; zero for the empty snapshot.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.root.revision
    }

    /// Returns the root.
    #[must_use]
    pub fn root(&self) -> &Arc<Root> {
        &self.root
    }

    /// Returns the catalog.
    #[must_use]
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// Returns the parts of `root` that this snapshot does not contain with the same digest.
    #[must_use]
    pub fn missing_parts(&self, root: &Root) -> Vec<(PartName, PartRef)> {
        let parts = root.parts.iter();
        parts
            .filter(|(name, part)| !self.has_part(name, part))
            .map(|(name, part)| (name.clone(), part.clone()))
            .collect()
    }

    /// Removes the items of one of this snapshot's parts from a catalog.
    fn remove_part(&self, catalog: &mut Catalog, name: &PartName) {
        if let Some(part) = self.part(name) {
            remove_items(catalog, &part);
        }
    }

    /// Decodes one part; `None` if the snapshot does not contain it or it cannot be decoded.
    pub(super) fn part(&self, name: &PartName) -> Option<Catalog> {
        serde_json::from_str(self.parts.get(name)?).ok()
    }

    fn has_part(&self, name: &PartName, part: &PartRef) -> bool {
        let held = self.root.parts.get(name);
        held.is_some_and(|held| held.digest == part.digest)
    }

    /// Assembles the snapshot of another root from the parts of this one and `new_parts`.
    ///
    /// # Errors
    ///
    /// Fails if a part is in neither, or if a new one cannot be decoded or has the wrong digest.
    pub fn advance(
        &self,
        root: Arc<Root>,
        mut new_parts: BTreeMap<PartName, Arc<str>>,
    ) -> Result<Self, SnapshotError> {
        let mut catalog = Catalog::clone(&self.catalog);
        let mut parts = BTreeMap::new();
        for (name, part) in &root.parts {
            if self.has_part(name, part) {
                let text = self.parts.get(name).cloned();
                let text = text.ok_or_else(|| SnapshotError::MissingPart(name.clone()))?;
                parts.insert(name.clone(), text);
                continue;
            }
            let text = new_parts.remove(name);
            let text = text.ok_or_else(|| SnapshotError::MissingPart(name.clone()))?;
            self.remove_part(&mut catalog, name);
            add_items(&mut catalog, decode_part(name, part, &text)?);
            parts.insert(name.clone(), text);
        }
        for name in self.parts.keys().filter(|n| !root.parts.contains_key(*n)) {
            self.remove_part(&mut catalog, name);
        }
        catalog.revision = root.revision;
        Ok(Self {
            root,
            parts,
            catalog: Arc::new(catalog),
        })
    }

    /// Returns the complete revision, for a process to which no delta can be sent.
    #[must_use]
    pub fn bundle(&self) -> Bundle {
        Bundle {
            root: Arc::clone(&self.root),
            parts: self.parts.clone(),
        }
    }
}

fn decode_part(name: &PartName, part: &PartRef, text: &str) -> Result<Catalog, SnapshotError> {
    if Digest::of(text.as_bytes()) != part.digest {
        return Err(SnapshotError::DigestMismatch(name.clone()));
    }
    serde_json::from_str(text).map_err(|e| SnapshotError::Undecodable(e.to_string()))
}
