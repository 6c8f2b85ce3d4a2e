//! The difference between two revisions, item by item.

use std::collections::BTreeMap;
use std::sync::Arc;

use oriole_types::prelude::*;
use serde_json::Value;

use super::part::PartName;
use super::root::{ChangeRecord, PartRef, Root};
use super::snapshot::{Snapshot, SnapshotError};
use crate::edit::Edit;
use crate::section::{ItemPath, Section, catalog_from_items, catalog_to_items};

oriole_types::domain_type! {
    /// New state of one item.
    struct ItemState {
        section: Section,
        name: String,
        /// `None` if the item was removed.
        value: Option<Value>,
    }
}

oriole_types::domain_type! {
    /// The difference between two revisions.
    ///
    /// Sent in place of a [`Bundle`](super::Bundle) when the sender still holds the receiver's
    /// revision: the change of one item takes a few hundred bytes.
    pub struct Delta {
        /// Revision that the delta applies to.
        pub base: Revision,
        /// Revision that results.
        pub revision: Revision,
        parts: BTreeMap<PartName, PartRef>,
        removed: Vec<PartName>,
        changes: Vec<ChangeRecord>,
        items: BTreeMap<PartName, Vec<ItemState>>,
    }
}

impl Delta {
    /// Computes the delta between two revisions; `None` if a part of the new one cannot be decoded.
    #[must_use]
    pub fn between(old: &Snapshot, new: &Snapshot) -> Option<Self> {
        let mut items = BTreeMap::new();
        let mut parts = BTreeMap::new();
        for (name, part) in old.missing_parts(new.root()) {
            let before = old.part(&name).unwrap_or_default();
            let edit = Edit::between(&before, &new.part(&name)?);
            let states = edit.changes.into_iter().map(|c| ItemState {
                section: c.path.section,
                name: c.path.name,
                value: c.after,
            });
            items.insert(name.clone(), states.collect());
            parts.insert(name, part);
        }
        let removed = old.root().parts.keys();
        let removed = removed.filter(|name| !new.root().parts.contains_key(*name));
        Some(Self {
            base: old.revision(),
            revision: new.revision(),
            parts,
            removed: removed.cloned().collect(),
            changes: new.root().changes_after(old.revision()),
            items,
        })
    }

    /// Applies the delta to the revision that it is based on.
    ///
    /// # Errors
    ///
    /// Fails if the delta is based on another revision, or if a resulting part does not have the
    /// digest in the new root.
    pub fn apply(self, old: &Snapshot) -> Result<Snapshot, SnapshotError> {
        if self.base != old.revision() {
            return Err(SnapshotError::BaseMismatch(self.base));
        }
        let mut new_parts = BTreeMap::new();
        for (name, states) in self.items {
            let part = old.part(&name).unwrap_or_default();
            let text = apply_to_part(&part, states);
            let text = text.map_err(|e| SnapshotError::Undecodable(e.to_string()))?;
            new_parts.insert(name, Arc::from(text));
        }
        let mut root = Root::clone(old.root());
        root.revision = self.revision;
        root.parts.retain(|name, _| !self.removed.contains(name));
        root.parts.extend(self.parts);
        root.add_changes(self.changes);
        old.advance(Arc::new(root), new_parts)
    }
}

/// Encodes a part after its changes. The caller checks by digest that the text is the one that the
/// author of the change wrote.
fn apply_to_part(part: &Catalog, states: Vec<ItemState>) -> Result<String, serde_json::Error> {
    let mut items = catalog_to_items(part);
    for state in states {
        let path = ItemPath::new(state.section, state.name);
        match state.value {
            Some(value) => drop(items.insert(path, value)),
            None => drop(items.remove(&path)),
        }
    }
    serde_json::to_string(&catalog_from_items(&items, Revision::default())?)
}
