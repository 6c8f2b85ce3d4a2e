//! Caches received maps so that the leader can send the next one as a patch.
//!
//! A full map of a large group takes several kilobytes for each rank, the leader's link is slow, and
//! a new map changes few of the expert lists.

use oriole_fleet::prelude::RankMap;
use oriole_types::digest::Digest;

use crate::message::{Intent, to_layer_sets};

/// Number of cached maps: the one in use and the next.
const MAX_CACHED_MAPS: usize = 2;

#[derive(Clone, Debug)]
struct CachedMap {
    epoch: u64,
    version: u64,
    map: RankMap,
}

/// The newest maps that an agent has received.
#[derive(Clone, Debug, Default)]
pub struct MapCache {
    maps: Vec<CachedMap>,
}

impl MapCache {
    /// Versions of the maps that are cached for an epoch.
    #[must_use]
    pub fn versions(&self, epoch: u64) -> Vec<u64> {
        let maps = self.maps.iter().filter(|m| m.epoch == epoch);
        maps.map(|m| m.version).collect()
    }

    /// Replaces the patch in an intent by the full map, which is then cached. Returns `None` if the
    /// base map is not cached or the patched map does not match the digest.
    pub fn expand(&mut self, mut intent: Intent) -> Option<Intent> {
        if let Some(base) = intent.base_version {
            let base = self
                .maps
                .iter()
                .find(|m| m.epoch == intent.epoch && m.version == base)?;
            let map = apply_patch(&base.map, &intent.patch)?;
            if map_digest(&map) != intent.digest {
                return None;
            }
            intent.map = to_layer_sets(&map);
            intent.base_version = None;
            intent.patch.clear();
        }
        if !intent.map.is_empty() {
            self.insert(&intent);
        }
        Some(intent)
    }

    fn insert(&mut self, intent: &Intent) {
        let is_same = |m: &CachedMap| m.epoch == intent.epoch && m.version == intent.version;
        if self.maps.iter().any(is_same) {
            return;
        }
        if self.maps.len() >= MAX_CACHED_MAPS {
            self.maps.remove(0);
        }
        self.maps.push(CachedMap {
            epoch: intent.epoch,
            version: intent.version,
            map: intent.rank_map(),
        });
    }
}

/// Sorts each rank's experts, so that maps with the same placement compare equal.
pub fn sort_experts(map: &mut RankMap) {
    for experts in map.iter_mut().flatten() {
        experts.sort_unstable();
    }
}

/// Digest of a map that was sorted by [`sort_experts`].
#[must_use]
pub fn map_digest(map: &RankMap) -> u64 {
    let mut bytes = Vec::new();
    for experts in map.iter().flatten() {
        bytes.push(experts.len() as u8);
        bytes.extend(experts.iter().flat_map(|e| e.to_be_bytes()));
    }
    Digest::of(&bytes).prefix_u64()
}

/// Encodes the expert lists of `next` that differ from `base`: for each, its index
/// (`layer set * ranks + rank`), its length and its experts.
#[must_use]
pub fn diff(base: &RankMap, next: &RankMap) -> Vec<u32> {
    let mut patch = Vec::new();
    let lists = base.iter().flatten().zip(next.iter().flatten());
    for (index, (old, new)) in lists.enumerate() {
        if old != new {
            patch.extend([index as u32, new.len() as u32]);
            patch.extend(new.iter().map(|e| u32::from(*e)));
        }
    }
    patch
}

/// Applies a patch made by [`diff`]. Returns `None` if it does not fit the base map.
#[must_use]
pub fn apply_patch(base: &RankMap, patch: &[u32]) -> Option<RankMap> {
    let mut map = base.clone();
    let ranks = base.first().map_or(0, Vec::len);
    let mut rest = patch;
    while let [index, len, rest_after @ ..] = rest {
        let (experts, rest_after) = rest_after.split_at_checked(*len as usize)?;
        let index = *index as usize;
        let list = map
            .get_mut(index.checked_div(ranks)?)?
            .get_mut(index % ranks)?;
        *list = experts.iter().map(|e| *e as u16).collect();
        rest = rest_after;
    }
    rest.is_empty().then_some(map)
}
