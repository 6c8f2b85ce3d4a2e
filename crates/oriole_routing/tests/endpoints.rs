//! Tests of the endpoint selection.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::*;
use oriole_routing::prelude::*;
use oriole_types::prelude::*;
use rstest::rstest;

struct Fixture {
    list: VmList,
    catalog: Catalog,
    unavailable: BTreeSet<VmName>,
    headroom: BTreeMap<VmName, f64>,
}

impl Fixture {
    fn new() -> Self {
        let (list, catalog) = (fleet(18, 0), catalog());
        Self {
            list,
            catalog,
            unavailable: BTreeSet::new(),
            headroom: BTreeMap::new(),
        }
    }

    fn names(&self, account: &str, caller: u64) -> Vec<VmName> {
        let inputs = EndpointInputs {
            list: &self.list,
            catalog: &self.catalog,
            unavailable: &self.unavailable,
            headroom: &self.headroom,
        };
        let answer = EndpointSelector::default().answer(&inputs, &account.into(), caller);
        answer.endpoints.into_iter().map(|e| e.vm).collect()
    }

    fn entries(&self, account: &str) -> BTreeSet<VmName> {
        self.names(account, 0).into_iter().collect()
    }
}

fn domain_of(vm: &VmName) -> usize {
    vm.as_str()[1..].parse::<usize>().unwrap() % 3
}

#[test]
fn answer_spread_over_domains() {
    let fixture = Fixture::new();
    for i in 0..100 {
        let names = fixture.entries(&format!("a{i}"));
        let domains: BTreeSet<_> = names.iter().map(domain_of).collect();
        assert_eq!((names.len(), domains.len()), (4, 3));
    }
}

#[test]
fn answer_accounts_shuffled() {
    let fixture = Fixture::new();
    let mut load = BTreeMap::<VmName, usize>::new();
    for i in 0..900 {
        for vm in fixture.entries(&format!("a{i}")) {
            *load.entry(vm).or_default() += 1;
        }
    }
    let even = 900 * 4 / 18;
    assert!(
        load.values().all(|n| *n > even / 2 && *n < even * 2),
        "{load:?}"
    );
}

#[test]
fn answer_callers_turn_order_only() {
    let fixture = Fixture::new();
    let firsts: BTreeSet<_> = (0..50)
        .map(|c| fixture.names("small", c)[0].clone())
        .collect();
    assert_eq!(firsts, fixture.entries("small"));
}

#[rstest]
#[case::away(0)]
#[case::vm_drained(1)]
#[case::listed_leaving(2)]
fn answer_leaves_out_one(#[case] exclusion: usize) {
    let mut fixture = Fixture::new();
    let before = fixture.entries("small");
    let removed = before.first().unwrap().clone();
    match exclusion {
        0 => drop(fixture.unavailable.insert(removed.clone())),
        1 => drop(
            fixture
                .catalog
                .vms
                .insert(removed.clone(), ServiceState::Drained),
        ),
        _ => {
            let record = fixture
                .list
                .vms
                .iter_mut()
                .find(|r| r.name == removed)
                .unwrap();
            record.state = VmState::Leaving;
        }
    }
    let after = fixture.entries("small");
    assert!(!after.contains(&removed));
    assert!(
        before.intersection(&after).count() >= 2,
        "{before:?} {after:?}"
    );
}

#[test]
fn answer_drained_domain_left_out() {
    let mut fixture = Fixture::new();
    drain_domain(&mut fixture.catalog, "d1", ServiceState::Drained);
    for i in 0..50 {
        let names = fixture.entries(&format!("a{i}"));
        assert_eq!(names.len(), 4);
        assert!(names.iter().all(|vm| domain_of(vm) != 1));
    }
}

#[test]
fn answer_room_weighs() {
    let mut fixture = Fixture::new();
    fixture.headroom.insert("e00".into(), 0.0);
    let named = |f: &Fixture, vm: &str| {
        (0..300)
            .filter(|i| f.entries(&format!("a{i}")).contains(vm))
            .count()
    };
    assert!(named(&fixture, "e00") * 2 < named(&fixture, "e03"));
}

#[test]
fn answer_stable_under_small_changes() {
    let mut fixture = Fixture::new();
    let before: Vec<_> = (0..100)
        .map(|i| fixture.entries(&format!("a{i}")))
        .collect();
    fixture.headroom.insert("e05".into(), 0.95);
    fixture.list.vms.push(vm("e90", "d0", VmRole::Entry));
    let moved = |(i, set): (usize, &BTreeSet<VmName>)| {
        set.difference(&fixture.entries(&format!("a{i}"))).count()
    };
    let moved: usize = before.iter().enumerate().map(moved).sum();
    assert!(
        moved <= 400 / 9,
        "{moved} of 400 selected entries changed when one of 19 was added"
    );
}
