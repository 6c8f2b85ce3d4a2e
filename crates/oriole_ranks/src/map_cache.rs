//! Caches received maps so that the leader can send the next one as a patch.
//!
//! A full map of a large group takes several kilobytes for each rank, the leader's link is slow, and
//! a new map changes few of the expert lists.

use oriole_fleet::prelude::RankMap;
use oriole_types::digest::Digest;

use crate::message::{Intent, to_layer_sets};

/// Number of cached maps: the one in use and the next.
const MAX_CACHED_MAPS: usize = 2;

/// Version of the map with which each epoch begins.
pub const INITIAL_VERSION: u64 = 0;

/// The map with which each epoch begins: experts are assigned to ranks in turn.
///
/// A patch that builds on it carries a digest, so an engine that assigns them otherwise costs only a
/// full map.
#[must_use]
pub fn initial_map(layer_sets: usize, experts: usize, ranks: usize) -> RankMap {
    let experts = u16::try_from(experts).unwrap_or(u16::MAX);
    let set = (0..ranks).map(|rank| (0..experts).skip(rank).step_by(ranks.max(1)).collect());
    vec![set.collect(); layer_sets]
}

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

    /// Caches the map with which an epoch begins.
    pub fn begin_epoch(&mut self, epoch: u64, map: RankMap) {
        self.push(CachedMap {
            epoch,
            version: INITIAL_VERSION,
            map,
        });
    }

    /// Replaces the patch in an intent by the full map, which is then cached. Returns `None` if the
    /// base map is not cached or the patched map does not match the digest. The base map differs from
    /// the leader's then, and is dropped.
    pub fn expand(&mut self, mut intent: Intent) -> Option<Intent> {
        if let Some(base) = intent.base_version {
            let is_base = |m: &CachedMap| m.epoch == intent.epoch && m.version == base;
            let cached = self.maps.iter().find(|m| is_base(m))?;
            let map = apply_patch(&cached.map, &intent.patch)
                .filter(|map| map_digest(map) == intent.digest);
            let Some(map) = map else {
                self.maps.retain(|m| !is_base(m));
                return None;
            };
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
        self.push(CachedMap {
            epoch: intent.epoch,
            version: intent.version,
            map: intent.rank_map(),
        });
    }

    fn push(&mut self, map: CachedMap) {
        if self.maps.len() >= MAX_CACHED_MAPS {
            self.maps.remove(0);
        }
        self.maps.push(map);
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

/// Encodes the expert lists of `next` that differ from `base`, both sorted by [`sort_experts`]. For
/// each: the distance of its index (`layer set * ranks + rank`) from that of the list before, the
/// numbers of removed and of added experts, the positions of the removed ones, and the added ones.
#[must_use]
pub fn diff(base: &RankMap, next: &RankMap) -> Vec<u32> {
    let mut patch = Vec::new();
    let mut next_index = 0;
    let lists = base.iter().flatten().zip(next.iter().flatten());
    for (index, (old, new)) in lists.enumerate() {
        if old == new {
            continue;
        }
        let (removed, added) = list_difference(old, new);
        let gap = index - next_index;
        patch.extend([gap as u32, removed.len() as u32, added.len() as u32]);
        patch.extend(removed);
        patch.extend(added);
        next_index = index + 1;
    }
    patch
}

/// Positions of the experts in `old` that are not in `new`, and the experts in `new` that are not in
/// `old`. Both lists are sorted.
fn list_difference(old: &[u16], new: &[u16]) -> (Vec<u32>, Vec<u32>) {
    let (mut removed, mut added) = (Vec::new(), Vec::new());
    let mut old_rest = old.iter().enumerate().peekable();
    for expert in new {
        while let Some((position, _)) = old_rest.next_if(|(_, e)| *e < expert) {
            removed.push(position as u32);
        }
        if old_rest.next_if(|(_, e)| *e == expert).is_none() {
            added.push(u32::from(*expert));
        }
    }
    removed.extend(old_rest.map(|(position, _)| position as u32));
    (removed, added)
}

/// Applies a patch made by [`diff`]. Returns `None` if it does not fit the base map.
#[must_use]
pub fn apply_patch(base: &RankMap, patch: &[u32]) -> Option<RankMap> {
    let mut map = base.clone();
    let ranks = base.first().map_or(0, Vec::len);
    let mut next_index = 0_usize;
    let mut rest = patch;
    while let [gap, removed, added, rest_after @ ..] = rest {
        let (removed, rest_after) = rest_after.split_at_checked(*removed as usize)?;
        let (added, rest_after) = rest_after.split_at_checked(*added as usize)?;
        let index = next_index.checked_add(*gap as usize)?;
        let list = map
            .get_mut(index.checked_div(ranks)?)?
            .get_mut(index % ranks)?;
        let mut position = 0;
        list.retain(|_| {
            let is_kept = !removed.contains(&position);
            position += 1;
            is_kept
        });
        for expert in added {
            list.push(u16::try_from(*expert).ok()?);
        }
        list.sort_unstable();
        next_index = index + 1;
        rest = rest_after;
    }
    rest.is_empty().then_some(map)
}
