//! Maps that are sent as a patch to the one in use.

use oriole_fleet::prelude::RankMap;
use oriole_ranks::map_cache::{MapCache, apply_patch, diff, map_digest, sort_experts};
use oriole_ranks::message::{Intent, to_layer_sets};
use proptest::prelude::*;

const LAYER_SETS: usize = 3;
const RANKS: usize = 4;

fn maps() -> impl Strategy<Value = RankMap> {
    let experts = prop::collection::vec(0_u16..32, 0..6);
    prop::collection::vec(prop::collection::vec(experts, RANKS), LAYER_SETS)
}

fn full_intent(version: u64, map: &RankMap) -> Intent {
    Intent {
        epoch: 1,
        version,
        map: to_layer_sets(map),
        ..Intent::default()
    }
}

fn patch_intent(version: u64, base: u64, old: &RankMap, map: &RankMap) -> Intent {
    Intent {
        epoch: 1,
        version,
        base_version: Some(base),
        patch: diff(old, map),
        digest: map_digest(map),
        ..Intent::default()
    }
}

fn uniform_map(first: u16) -> RankMap {
    vec![vec![vec![first, first + 1]; RANKS]; LAYER_SETS]
}

proptest! {
    #[test]
    fn apply_patch_of_diff_gives_next_map(mut old in maps(), mut new in maps()) {
        sort_experts(&mut old);
        sort_experts(&mut new);
        prop_assert_eq!(apply_patch(&old, &diff(&old, &new)), Some(new));
    }

    #[test]
    fn apply_patch_any_numbers_never_panics(
        old in maps(),
        patch in prop::collection::vec(any::<u32>(), 0..20),
    ) {
        let _ = apply_patch(&old, &patch);
    }
}

#[test]
fn expand_patch_on_known_map_gives_full_map() {
    let mut cache = MapCache::default();
    cache.expand(full_intent(1, &uniform_map(0))).unwrap();
    let intent = cache
        .expand(patch_intent(2, 1, &uniform_map(0), &uniform_map(4)))
        .unwrap();
    assert_eq!(intent.rank_map(), uniform_map(4));
    assert_eq!(cache.versions(1), [1, 2]);
}

#[test]
fn expand_patch_on_unknown_map_is_refused() {
    let mut cache = MapCache::default();
    let patch = patch_intent(2, 1, &uniform_map(0), &uniform_map(4));
    assert_eq!(cache.expand(patch), None);
    assert!(cache.versions(1).is_empty());
}

/// Two runs of a leader may send different maps with the same version. A patch on the other map has to
/// be refused, since its result does not match the digest.
#[test]
fn expand_patch_on_other_content_is_refused() {
    let mut cache = MapCache::default();
    cache.expand(full_intent(1, &uniform_map(8))).unwrap();
    let mut patch = patch_intent(2, 1, &uniform_map(0), &uniform_map(4));
    patch.patch.truncate(4);
    assert_eq!(cache.expand(patch), None);
}

#[test]
fn expand_patch_on_map_of_other_epoch_is_refused() {
    let mut cache = MapCache::default();
    cache.expand(full_intent(1, &uniform_map(0))).unwrap();
    let mut patch = patch_intent(2, 1, &uniform_map(0), &uniform_map(4));
    patch.epoch = 2;
    assert_eq!(cache.expand(patch), None);
}
