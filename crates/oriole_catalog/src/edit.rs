//! Changes to a catalog as sets of item changes.

use oriole_types::prelude::*;
use serde_json::Value;

use crate::section::{ItemPath, catalog_to_items};

/// Change of one item: what its author saw and what it shall be.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemChange {
    /// The item.
    pub path: ItemPath,
    /// What the author saw; absent if there was no such item.
    pub before: Option<Value>,
    /// What it shall be; absent if it is to be removed.
    pub after: Option<Value>,
}

/// A set of item changes that is accepted as a whole or not at all.
///
/// It can be applied to any later catalog in which nobody changed the same items otherwise.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Edit {
    /// Revision the author saw.
    pub base: Revision,
    /// The changes in order of their paths.
    pub changes: Vec<ItemChange>,
}

/// Why an edit cannot be applied.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EditError {
    /// These items are neither as the author saw them nor as they shall be.
    #[error("changed meanwhile: {}", join_paths(.0))]
    Overlap(Vec<ItemPath>),
    /// The outcome is not a catalog.
    #[error("not a catalog: {0}")]
    Malformed(String),
}

fn join_paths(paths: &[ItemPath]) -> String {
    let paths: Vec<_> = paths.iter().map(ToString::to_string).collect();
    paths.join(", ")
}

impl Edit {
    /// What leads from one catalog to another.
    #[must_use]
    pub fn between(before: &Catalog, after: &Catalog) -> Self {
        let old = catalog_to_items(before);
        let mut new = catalog_to_items(after);
        let mut changes = Vec::new();
        for (path, value) in old {
            let after = new.remove(&path);
            if after.as_ref() != Some(&value) {
                let before = Some(value);
                changes.push(ItemChange {
                    path,
                    before,
                    after,
                });
            }
        }
        for (path, value) in new {
            let after = Some(value);
            let before = None;
            changes.push(ItemChange {
                path,
                before,
                after,
            });
        }
        changes.sort_by(|a, b| a.path.cmp(&b.path));
        let base = before.revision;
        Self { base, changes }
    }

    /// The edit that a function makes of a catalog.
    pub fn from_fn(catalog: &Catalog, change: impl FnOnce(&mut Catalog)) -> Self {
        let mut after = catalog.clone();
        change(&mut after);
        Self::between(catalog, &after)
    }

    /// Whether nothing changes.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// The catalog after the edit, with the revision of the one before it.
    ///
    /// # Errors
    ///
    /// Fails if somebody else changed one of the items to something else.
    pub fn apply(&self, catalog: &Catalog) -> Result<Catalog, EditError> {
        let mut items = catalog_to_items(catalog);
        let mut overlap = Vec::new();
        for change in &self.changes {
            let current = items.get(&change.path);
            if current != change.before.as_ref() && current != change.after.as_ref() {
                overlap.push(change.path.clone());
                continue;
            }
            match &change.after {
                Some(value) => drop(items.insert(change.path.clone(), value.clone())),
                None => drop(items.remove(&change.path)),
            }
        }
        if !overlap.is_empty() {
            return Err(EditError::Overlap(overlap));
        }
        crate::section::catalog_from_items(&items, catalog.revision)
            .map_err(|e| EditError::Malformed(e.to_string()))
    }
}
