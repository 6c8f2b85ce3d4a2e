//! The fleet view when changes arrive late, repeatedly, out of order and around store outages.

use oriole_gateway::fleet_view::{FleetView, PrefixRevisions};
use proptest::prelude::*;

use crate::fake::{fleet_view, item, put, removed, secs};

fn usable(view: &FleetView, at: f64) -> Vec<String> {
    let mut names: Vec<String> = view
        .usable_upstreams(secs(at), "llm")
        .map(|u| u.upstream.instance.clone())
        .collect();
    names.sort();
    names
}

/// A view with ready upstreams, named by their numbers.
fn view_of(numbers: std::ops::Range<u64>) -> FleetView {
    let mut view = fleet_view();
    for i in numbers {
        let upstream = format!("llm 10.0.0.{i}:80 n ready");
        view.apply(secs(0.0), put(&format!("up/{i}"), &upstream, i + 1));
    }
    view
}

const A: &str = "llm 10.0.0.1:80 north ready";

#[test]
fn apply_older_configuration_has_no_effect() {
    let mut view = fleet_view();
    view.apply(secs(0.0), put("cfg/0", "7", 20));
    view.apply(secs(1.0), put("cfg/0", "3", 10));
    assert_eq!(view.configuration().unwrap().version, 7);
}

#[test]
fn apply_removed_upstream_is_unusable_at_once() {
    let mut view = view_of(0..8);
    view.apply(secs(10.0), removed("up/3", 20));
    assert!(!usable(&view, 10.0).contains(&"3".to_owned()));
}

#[test]
fn apply_draining_upstream_is_unusable_at_once() {
    let mut view = fleet_view();
    view.apply(secs(0.0), put("up/a", A, 1));
    view.apply(secs(1.0), put("up/a", "llm 10.0.0.1:80 north draining", 2));
    assert!(usable(&view, 1.0).is_empty());
}

/// Leases expire during a store outage, and entries are written again about two seconds after it.
#[test]
fn apply_lapsed_around_outage_stays_usable_for_grace() {
    let mut view = fleet_view();
    view.apply(secs(0.0), put("up/a", A, 1));
    view.record_store_trouble(secs(10.0));
    view.apply(secs(10.5), removed("up/a", 2));
    assert_eq!(usable(&view, 12.0), ["a"]);
    assert!(
        usable(&view, 13.0).is_empty(),
        "it should be unusable after the grace"
    );
}

/// Guards against late departures: an upstream that left 2.9 s after an outage was treated as an
/// expired lease and got a request 2,005 ms later, where 2,000 ms are allowed.
#[test]
fn apply_departure_after_outage_is_unusable_in_time() {
    let mut view = view_of(0..8);
    view.record_store_trouble(secs(12.1));
    view.apply(secs(15.0), removed("up/3", 20));
    assert!(!usable(&view, 15.0).contains(&"3".to_owned()));
    view.record_store_trouble(secs(20.0));
    view.apply(secs(21.0), removed("up/4", 21));
    assert!(usable(&view, 22.0).contains(&"4".to_owned()));
    assert!(!usable(&view, 22.9).contains(&"4".to_owned()));
}

/// The store may be unreachable without any failed call; then many entries vanish at the same time.
#[test]
fn apply_mass_lapse_is_no_departure() {
    let mut view = view_of(1..11);
    for i in 1..=10 {
        view.apply(secs(9.0), removed(&format!("up/{i}"), 20 + i));
    }
    assert_eq!(usable(&view, 10.0).len(), 10);
    view.apply(secs(10.5), put("up/1", "llm 10.0.0.1:80 n ready", 50));
    assert_eq!(usable(&view, 12.0), ["1"]);
}

/// After a power loss the entries of earlier instances exist next to those of the new ones.
#[test]
fn apply_new_run_at_an_address_supersedes_the_old() {
    let mut view = fleet_view();
    view.apply(secs(0.0), put("up/new", "llm 10.0.0.1:80 n ready 2000", 9));
    view.apply(secs(0.1), put("up/old", "llm 10.0.0.1:80 n ready 1000", 5));
    assert_eq!(usable(&view, 0.2), ["new"]);
}

#[test]
fn refute_is_unusable_until_new_entry() {
    let mut view = fleet_view();
    view.apply(secs(0.0), put("up/a", A, 1));
    view.refute(secs(0.0), "a");
    assert!(usable(&view, 0.1).is_empty());
    view.apply(secs(1.0), put("up/a", A, 2));
    assert_eq!(usable(&view, 1.1), ["a"]);
}

#[test]
fn apply_evacuated_domain_is_unusable_until_returned() {
    let mut view = fleet_view();
    view.apply(secs(0.0), put("up/a", A, 1));
    view.apply(secs(1.0), put("cfg/out/north", "{}", 2));
    assert!(usable(&view, 1.0).is_empty());
    view.apply(secs(5.0), removed("cfg/out/north", 3));
    assert_eq!(usable(&view, 5.0), ["a"]);
}

#[test]
fn apply_unreadable_entry_removes_upstream() {
    let mut view = fleet_view();
    view.apply(secs(0.0), put("up/a", A, 1));
    view.apply(secs(1.0), put("up/a", "llm nowhere", 2));
    assert!(usable(&view, 1.0).is_empty());
}

#[test]
fn apply_listing_removes_missing_key() {
    let mut view = fleet_view();
    view.apply(secs(0.0), put("cfg/0", "1", 1));
    view.apply(secs(0.0), put("cfg/out/north", "{}", 2));
    view.apply(secs(0.0), put("up/a", A, 3));
    view.apply_listing(secs(9.0), "cfg", vec![item("cfg/0", "1", 1)], 8);
    assert_eq!(usable(&view, 9.0), ["a"]);
}

#[test]
fn apply_listing_keeps_newer_items() {
    let mut view = fleet_view();
    view.apply(secs(0.0), put("up/a", A, 30));
    view.apply_listing(secs(0.1), "up/", vec![], 20);
    assert_eq!(usable(&view, 0.2), ["a"]);
}

/// Guards against a hidden gap: the watch of the configuration missed a change while the watch of
/// the upstreams continued, and a single revision for both hid the gap.
#[test]
fn is_ahead_of_gap_under_one_prefix_is_detected() {
    let (mut whole, mut gap) = (fleet_view(), fleet_view());
    for view in [&mut whole, &mut gap] {
        view.apply(secs(0.0), put("cfg/0", "1", 1));
    }
    whole.apply(secs(1.0), put("cfg/0", "2", 60));
    for view in [&mut whole, &mut gap] {
        view.apply(secs(2.0), put("up/a", A, 61));
    }
    assert_eq!(whole.max_revision(), gap.max_revision());
    assert!(whole.revisions().is_ahead_of(gap.revisions()));
    let missing = whole.items_since(gap.revisions());
    assert_eq!(
        missing.iter().map(|(k, _)| *k).collect::<Vec<_>>(),
        ["cfg/0"]
    );
}

#[test]
fn is_ahead_of_equal_is_false() {
    let revisions = PrefixRevisions(vec![3, 4]);
    assert!(!revisions.is_ahead_of(&revisions.clone()));
}

proptest! {
    /// Regardless of the order and number of times in which changes arrive, all daemons reach the
    /// same view: the highest revision of each key.
    #[test]
    fn apply_any_order_same_view(
        changes in prop::collection::vec((0..4u8, 0..3u8), 1..20),
        order in prop::collection::vec(any::<prop::sample::Index>(), 60),
    ) {
        let changes: Vec<_> = changes
            .iter()
            .enumerate()
            .map(|(i, (key, what))| {
                let (key, revision) = (format!("up/{key}"), i as u64 + 1);
                match what {
                    0 => removed(&key, revision),
                    _ => put(&key, &format!("llm 10.0.0.{i}:80 n ready {i}"), revision),
                }
            })
            .collect();
        let (mut ordered, mut shuffled) = (fleet_view(), fleet_view());
        for change in &changes {
            ordered.apply(secs(0.0), change.clone());
        }
        for i in &order {
            shuffled.apply(secs(0.0), i.get(&changes).clone());
        }
        for change in changes.iter().rev() {
            shuffled.apply(secs(0.0), change.clone());
        }
        prop_assert_eq!(ordered.revisions(), shuffled.revisions());
        let held = |view: &FleetView| {
            let mut items: Vec<_> = view
                .items_since(&PrefixRevisions::default())
                .into_iter()
                .map(|(k, h)| (k.to_owned(), h.revision, h.value.clone()))
                .collect();
            items.sort();
            items
        };
        prop_assert_eq!(held(&ordered), held(&shuffled));
    }
}
