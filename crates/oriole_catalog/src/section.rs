//! The sections of a catalog, and its conversion to and from a map of items.

use std::collections::BTreeMap;
use std::fmt;

use oriole_types::prelude::*;
use serde_json::{Map, Value};

oriole_types::value_type! {
    /// A section of the catalog.
    pub enum Section {
        /// Entries: the endpoints that callers can request.
        Entries,
        /// Client accounts.
        Accounts,
        /// Pools of upstreams.
        Pools,
        /// Failure domains.
        Domains,
        /// Service states of VMs.
        Vms,
        /// Model groups.
        Groups,
        /// Blocks: requests that are refused.
        Blocks,
        /// Digests released from quarantine.
        ReleasedDigests,
    }
}

/// Identifies one item of the catalog by section and name.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ItemPath {
    /// Section that holds the item.
    pub section: Section,
    /// Name within the section; for a released digest, the digest as hexadecimal text.
    pub name: String,
}

/// The items of a catalog by path, as JSON. A released digest has the value `true`.
pub type Items = BTreeMap<ItemPath, Value>;

impl Section {
    /// All sections, in the order in which errors list them.
    pub const ALL: [Self; 8] = [
        Self::Entries,
        Self::Accounts,
        Self::Pools,
        Self::Domains,
        Self::Vms,
        Self::Groups,
        Self::Blocks,
        Self::ReleasedDigests,
    ];

    /// Returns the name of the section in documents.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Entries => "entries",
            Self::Accounts => "accounts",
            Self::Pools => "pools",
            Self::Domains => "domains",
            Self::Vms => "vms",
            Self::Groups => "groups",
            Self::Blocks => "blocks",
            Self::ReleasedDigests => "released_digests",
        }
    }

    /// Returns the section with this name in documents.
    #[must_use]
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|s| s.as_str() == name)
    }
}

impl ItemPath {
    /// Creates the path of an item.
    #[must_use]
    pub fn new(section: Section, name: impl Into<String>) -> Self {
        let name = name.into();
        Self { section, name }
    }
}

impl fmt::Display for ItemPath {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{}", self.section.as_str(), self.name)
    }
}

/// Splits a catalog into its items.
#[must_use]
pub fn catalog_to_items(catalog: &Catalog) -> Items {
    let Ok(Value::Object(sections)) = serde_json::to_value(catalog) else {
        return Items::new();
    };
    let mut items = Items::new();
    for (section, content) in sections {
        let Some(section) = Section::from_name(&section) else {
            continue;
        };
        match content {
            Value::Object(map) => {
                items.extend(map.into_iter().map(|(n, v)| (ItemPath::new(section, n), v)));
            }
            Value::Array(list) => {
                let names = list
                    .into_iter()
                    .filter_map(|v| v.as_str().map(str::to_owned));
                items.extend(names.map(|n| (ItemPath::new(section, n), Value::Bool(true))));
            }
            _ => {}
        }
    }
    items
}

/// Builds a catalog from its items.
///
/// # Errors
///
/// Fails if an item does not have the fields that its section requires.
pub fn catalog_from_items(items: &Items, revision: Revision) -> Result<Catalog, serde_json::Error> {
    let mut sections = Map::new();
    sections.insert("revision".into(), revision.0.into());
    let mut released = Vec::new();
    for (path, value) in items {
        if path.section == Section::ReleasedDigests {
            released.push(Value::String(path.name.clone()));
            continue;
        }
        let section = sections
            .entry(path.section.as_str())
            .or_insert_with(|| Value::Object(Map::new()));
        if let Value::Object(map) = section {
            map.insert(path.name.clone(), value.clone());
        }
    }
    sections.insert(
        Section::ReleasedDigests.as_str().into(),
        Value::Array(released),
    );
    serde_json::from_value(Value::Object(sections))
}
