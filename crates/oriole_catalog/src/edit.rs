//! Changes to a catalog, expressed as sets of item changes.

use oriole_types::prelude::*;
use serde_json::Value;

use crate::section::{ItemPath, catalog_to_items};

/// The change of one item from the value its author saw to a new one.
#[derive(Clone, Debug, PartialEq)]
pub struct ItemChange {
    /// Path of the item.
    pub path: ItemPath,
    /// Value that the author saw; `None` if the item did not exist.
    pub before: Option<Value>,
    /// New value; `None` to remove the item.
    pub after: Option<Value>,
}

/// A set of item changes that is applied as a whole or not at all.
///
/// It applies to any later catalog in which the same items still have the value that the author
/// saw, or already have the new one.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Edit {
    /// Revision that the author saw.
    pub base: Revision,
    /// The changes, sorted by path.
    pub changes: Vec<ItemChange>,
}

/// Why an edit cannot be applied.
#[derive(Clone, Debug, PartialEq, thiserror::Error)]
pub enum EditError {
    /// These items have neither the value that the author saw nor the new one.
    #[error("changed meanwhile: {}", join_paths(.0))]
    Overlap(Vec<ItemPath>),
    /// The changed items do not form a catalog.
    #[error("not a catalog: {0}")]
    Malformed(String),
}

fn join_paths(paths: &[ItemPath]) -> String {
    let paths: Vec<_> = paths.iter().map(ToString::to_string).collect();
    paths.join(", ")
}

impl Edit {
    /// Computes the edit that turns one catalog into another.
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

    /// Computes the edit that results from running `change` on a copy of the catalog.
    pub fn from_fn(catalog: &Catalog, change: impl FnOnce(&mut Catalog)) -> Self {
        let mut after = catalog.clone();
        change(&mut after);
        Self::between(catalog, &after)
    }

    /// Returns whether the edit changes nothing.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.changes.is_empty()
    }

    /// Applies the edit. The result keeps the revision of `catalog`.
    ///
    /// # Errors
    ///
    /// Fails if an item was changed to something else in the meantime, or if the changed items do
    /// not form a catalog.
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
