//! Splits the catalog into parts, so that a change transfers few bytes and no value exceeds the
//! size limit of the store.

use std::collections::BTreeMap;
use std::sync::Arc;

use oriole_types::prelude::*;

use crate::section::Section;

/// Number of parts that hold the accounts; the digest of its name selects the part of an account.
const ACCOUNT_SHARDS: u64 = 32;

oriole_types::name_type! {
    /// Name of a part: the section, and for accounts also the shard.
    pub struct PartName
}

fn account_part_name(name: &AccountName) -> PartName {
    let shard = Digest::of(name.as_str().as_bytes()).prefix_u64() % ACCOUNT_SHARDS;
    PartName::new(&format!("{}.{shard}", Section::Accounts.as_str()))
}

/// Splits a catalog into parts, each a JSON catalog with one section or shard. Empty parts are
/// omitted.
///
/// # Errors
///
/// Fails if a part cannot be written as JSON.
pub fn split_into_parts(
    catalog: &Catalog,
) -> Result<BTreeMap<PartName, Arc<str>>, serde_json::Error> {
    let mut parts: BTreeMap<PartName, Catalog> = BTreeMap::new();
    for (name, account) in &catalog.accounts {
        let shard = parts.entry(account_part_name(name)).or_default();
        shard.accounts.insert(name.clone(), account.clone());
    }
    macro_rules! section {
        ($section:ident, $field:ident) => {
            if !catalog.$field.is_empty() {
                let part = parts.entry(PartName::new(Section::$section.as_str()));
                part.or_default().$field = catalog.$field.clone();
            }
        };
    }
    section!(Entries, entries);
    section!(Pools, pools);
    section!(Domains, domains);
    section!(Vms, vms);
    section!(Groups, groups);
    section!(Blocks, blocks);
    section!(ReleasedDigests, released_digests);
    let texts = parts.into_iter().map(|(name, part)| {
        let text = serde_json::to_string(&part)?;
        Ok((name, text.into()))
    });
    texts.collect()
}

/// Adds the items of a part to a catalog that contains none of them.
pub(super) fn add_items(catalog: &mut Catalog, part: Catalog) {
    catalog.entries.extend(part.entries);
    catalog.accounts.extend(part.accounts);
    catalog.pools.extend(part.pools);
    catalog.domains.extend(part.domains);
    catalog.vms.extend(part.vms);
    catalog.groups.extend(part.groups);
    catalog.blocks.extend(part.blocks);
    catalog.released_digests.extend(part.released_digests);
}

/// Removes the items of a part from a catalog.
pub(super) fn remove_items(catalog: &mut Catalog, part: &Catalog) {
    catalog.entries.retain(|n, _| !part.entries.contains_key(n));
    for name in part.accounts.keys() {
        catalog.accounts.remove(name);
    }
    catalog.pools.retain(|n, _| !part.pools.contains_key(n));
    catalog.domains.retain(|n, _| !part.domains.contains_key(n));
    catalog.vms.retain(|n, _| !part.vms.contains_key(n));
    catalog.groups.retain(|n, _| !part.groups.contains_key(n));
    catalog.blocks.retain(|n, _| !part.blocks.contains_key(n));
    catalog
        .released_digests
        .retain(|d| !part.released_digests.contains(d));
}
