//! One whole revision in memory, and what is sent to bring another process up to it.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::Bytes;
use oriole_types::prelude::*;

use super::part::{PartName, add_items, remove_items};
use super::root::{PartRef, Root};

/// A whole revision: its root, its parts and the catalog they make up.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Snapshot {
    root: Arc<Root>,
    parts: BTreeMap<PartName, Arc<str>>,
    catalog: Arc<Catalog>,
}

/// Why a root and parts do not make up a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SnapshotError {
    /// A part is missing.
    #[error("part {0} is missing")]
    MissingPart(PartName),
    /// A part has not the content that the root names.
    #[error("part {0} has another digest than the root says")]
    DigestMismatch(PartName),
    /// A delta starts from another revision than the one held.
    #[error("a delta starts from revision {0}")]
    BaseMismatch(Revision),
    /// The bytes are not JSON of the expected shape.
    #[error("cannot be decoded: {0}")]
    Undecodable(String),
}

/// A whole revision as it is sent.
#[derive(Clone, Debug, PartialEq)]
pub struct Bundle {
    /// Root.
    pub root: Arc<Root>,
    /// Contents of parts by name.
    pub parts: BTreeMap<PartName, Arc<str>>,
}

oriole_types::domain_type! {
    /// First line of an encoded bundle. The parts follow it one after the other, as they are.
    struct BundleHead {
        root: Arc<Root>,
        /// Lengths of the parts in bytes.
        parts: BTreeMap<PartName, usize>,
    }
}

impl SnapshotError {
    /// The reason in metrics.
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
    /// Reads a bundle.
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

    /// The bundle as bytes.
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
    /// Revision; zero for the empty snapshot.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.root.revision
    }

    /// Root.
    #[must_use]
    pub fn root(&self) -> &Arc<Root> {
        &self.root
    }

    /// Catalog.
    #[must_use]
    pub fn catalog(&self) -> &Arc<Catalog> {
        &self.catalog
    }

    /// The parts of a root that this snapshot does not hold.
    #[must_use]
    pub fn missing_parts(&self, root: &Root) -> Vec<(PartName, PartRef)> {
        let parts = root.parts.iter();
        parts
            .filter(|(name, part)| !self.has_part(name, part))
            .map(|(name, part)| (name.clone(), part.clone()))
            .collect()
    }

    /// Takes a part that is held out of a catalog.
    fn remove_part(&self, catalog: &mut Catalog, name: &PartName) {
        if let Some(part) = self.part(name) {
            remove_items(catalog, &part);
        }
    }

    /// The contents of one part, if it is held and can be read.
    pub(super) fn part(&self, name: &PartName) -> Option<Catalog> {
        serde_json::from_str(self.parts.get(name)?).ok()
    }

    fn has_part(&self, name: &PartName, part: &PartRef) -> bool {
        let held = self.root.parts.get(name);
        held.is_some_and(|held| held.digest == part.digest)
    }

    /// The snapshot of another root, made from the parts held and some new ones.
    ///
    /// # Errors
    ///
    /// Fails if a part is in neither, or is not what the root says.
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

    /// The whole revision for a process that holds none, or one that is not known here.
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
