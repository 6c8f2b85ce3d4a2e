//! Maps that are told as what differs from the one in use.

use oriole_fleet::prelude::RankMap;
use oriole_ranks::map_memory::{MapMemory, difference, map_digest, patched, sort};
use oriole_ranks::message::{Intent, layer_sets};
use proptest::prelude::*;

const SETS: usize = 3;
const RANKS: usize = 4;

fn maps() -> impl Strategy<Value = RankMap> {
    let experts = prop::collection::vec(0_u16..32, 0..6);
    prop::collection::vec(prop::collection::vec(experts, RANKS), SETS)
}

fn told_whole(version: u64, map: &RankMap) -> Intent {
    Intent {
        epoch: 1,
        version,
        map: layer_sets(map),
        ..Intent::default()
    }
}

fn told_as_patch(version: u64, base: u64, old: &RankMap, map: &RankMap) -> Intent {
    Intent {
        epoch: 1,
        version,
        base: Some(base),
        patch: difference(old, map),
        digest: map_digest(map),
        ..Intent::default()
    }
}

fn map_of(first: u16) -> RankMap {
    vec![vec![vec![first, first + 1]; RANKS]; SETS]
}

proptest! {
    #[test]
    fn patched_difference_is_the_map(mut old in maps(), mut new in maps()) {
        sort(&mut old);
        sort(&mut new);
        prop_assert_eq!(patched(&old, &difference(&old, &new)), Some(new));
    }

    #[test]
    fn patched_any_numbers_never_panics(
        old in maps(),
        patch in prop::collection::vec(any::<u32>(), 0..20),
    ) {
        let _ = patched(&old, &patch);
    }
}

#[test]
fn complete_patch_on_known_map_gives_whole_map() {
    let mut memory = MapMemory::default();
    memory.complete(told_whole(1, &map_of(0))).unwrap();
    let intent = memory
        .complete(told_as_patch(2, 1, &map_of(0), &map_of(4)))
        .unwrap();
    assert_eq!(intent.rank_map(), map_of(4));
    assert_eq!(memory.versions(1), [1, 2]);
}

#[test]
fn complete_patch_on_unknown_map_is_refused() {
    let mut memory = MapMemory::default();
    let patch = told_as_patch(2, 1, &map_of(0), &map_of(4));
    assert_eq!(memory.complete(patch), None);
    assert!(memory.versions(1).is_empty());
}

/// Two runs of a leader may tell different maps under the version that the patch builds on.
#[test]
fn complete_patch_on_other_content_is_refused() {
    let mut memory = MapMemory::default();
    memory.complete(told_whole(1, &map_of(8))).unwrap();
    let mut patch = told_as_patch(2, 1, &map_of(0), &map_of(4));
    patch.patch.truncate(4);
    assert_eq!(memory.complete(patch), None);
}

#[test]
fn complete_map_of_other_epoch_is_not_built_on() {
    let mut memory = MapMemory::default();
    memory.complete(told_whole(1, &map_of(0))).unwrap();
    let mut patch = told_as_patch(2, 1, &map_of(0), &map_of(4));
    patch.epoch = 2;
    assert_eq!(memory.complete(patch), None);
}
