//! Tests of the router.

mod common;

use std::collections::BTreeMap;
use std::time::Duration;

use common::*;
use oriole_routing::prelude::*;
use oriole_types::prelude::*;
use rstest::rstest;

fn router(list: &VmList, catalog: &Catalog) -> Router {
    let mut router = Router::new(RouterConfig::default(), "d0".into());
    router.on_fleet_change(Duration::ZERO, list, catalog);
    router
}

fn report_all_idle(router: &mut Router, now: Duration, list: &VmList) {
    for record in &list.vms {
        router.on_load_report(now, &record.name, &load(0, 8));
    }
}

fn pick_request(pool: &PoolName) -> PickRequest<'_> {
    PickRequest::new(pool)
}

fn pick_counts(router: &Router, now: Duration, picks: u32, seed: u64) -> BTreeMap<VmName, u32> {
    let (pool, mut rng) = (POOL.into(), rng(seed));
    let mut counts = BTreeMap::new();
    for _ in 0..picks {
        let vm = router.pick(now, &pick_request(&pool), &mut rng).unwrap();
        *counts.entry(vm).or_default() += 1;
    }
    counts
}

#[test]
fn pick_unknown_pool() {
    let router = router(&fleet(0, 3), &catalog());
    let pool = "none".into();
    let picked = router.pick(Duration::ZERO, &pick_request(&pool), &mut rng(1));
    assert_eq!(picked, Err(RefusalReason::NoUpstream));
}

#[test]
fn pick_all_full() {
    let list = fleet(0, 3);
    let mut router = router(&list, &catalog());
    let pool = POOL.into();
    for record in &list.vms {
        router.on_load_report(ms(1000), &record.name, &load(8, 8));
    }
    let picked = router.pick(ms(1000), &pick_request(&pool), &mut rng(1));
    assert_eq!(picked, Err(RefusalReason::NoCapacity));
}

#[test]
fn pick_full_upstream_probed_later() {
    let list = fleet(0, 1);
    let mut router = router(&list, &catalog());
    let pool = POOL.into();
    router.on_load_report(ms(1000), &list.vms[0].name, &load(8, 8));
    let later = ms(1000) + RouterConfig::default().probe_interval;
    let vm = router
        .pick(later, &pick_request(&pool), &mut rng(1))
        .unwrap();
    router.on_attempt_started(later, &vm, None);
    let again = router.pick(later, &pick_request(&pool), &mut rng(1));
    assert_eq!(again, Err(RefusalReason::NoCapacity));
}

#[rstest]
#[case::domain(true)]
#[case::vm(false)]
fn pick_drained(#[case] whole_domain: bool) {
    let list = fleet(0, 6);
    let mut catalog = catalog();
    let mut router = router(&list, &catalog);
    if whole_domain {
        drain_domain(&mut catalog, "d0", ServiceState::Drained);
    } else {
        catalog.vms.insert("u00".into(), ServiceState::Drained);
    }
    router.on_fleet_change(ms(1), &list, &catalog);
    let shares = pick_counts(&router, ms(1), 200, 1);
    assert!(!shares.contains_key("u00"), "{shares:?}");
    assert_eq!(
        router.check_accepts_work(ms(1), &"u00".into()),
        Err(RefusalReason::Draining)
    );
}

#[test]
fn pick_leaving_by_report() {
    let list = fleet(0, 2);
    let mut router = router(&list, &catalog());
    report_all_idle(&mut router, ms(1), &list);
    let leaving = LoadReport {
        leaving: true,
        ..load(0, 8)
    };
    router.on_load_report(ms(2), &"u00".into(), &leaving);
    assert_eq!(pick_counts(&router, ms(2), 50, 1).len(), 1);
}

#[test]
fn pick_late_report_ignored() {
    let list = fleet(0, 1);
    let mut router = router(&list, &catalog());
    router.on_load_report(ms(1000), &"u00".into(), &load(8, 8));
    router.on_load_report(
        ms(1010),
        &"u00".into(),
        &LoadReport {
            age_ms: 500,
            ..load(0, 8)
        },
    );
    let pool = POOL.into();
    let picked = router.pick(ms(1010), &pick_request(&pool), &mut rng(1));
    assert_eq!(picked, Err(RefusalReason::NoCapacity));
}

#[test]
fn pick_returned_starts_slowly() {
    let list = fleet(0, 6);
    let mut catalog = catalog();
    let mut router = router(&list, &catalog);
    report_all_idle(&mut router, ms(0), &list);
    drain_domain(&mut catalog, "d0", ServiceState::Drained);
    router.on_fleet_change(ms(1), &list, &catalog);
    drain_domain(&mut catalog, "d0", ServiceState::InService);
    router.on_fleet_change(secs(1), &list, &catalog);
    report_all_idle(&mut router, secs(1), &list);
    let returned = |s: &BTreeMap<VmName, u32>| {
        let of = |vm: &str| s.get(vm).copied().unwrap_or(0);
        of("u00") + of("u03")
    };
    let at_once = returned(&pick_counts(&router, secs(1), 1000, 1));
    let later = returned(&pick_counts(
        &router,
        secs(1) + RouterConfig::default().slow_start,
        1000,
        1,
    ));
    assert!(at_once * 5 < later, "{at_once} then {later}");
}

#[test]
fn failed_ejects_up_to_limit() {
    let list = fleet(0, 4);
    let mut router = router(&list, &catalog());
    report_all_idle(&mut router, ms(0), &list);
    for _ in 0..10 {
        for record in &list.vms {
            router.on_attempt_started(ms(1), &record.name, None);
            router.on_attempt_failed(ms(1), &record.name, None);
        }
    }
    assert_eq!(router.capacity(ms(1), &POOL.into()).upstreams, 2);
}

#[test]
fn failed_single_probe_after_ejection() {
    let list = fleet(0, 2);
    let mut router = router(&list, &catalog());
    let vm: VmName = "u00".into();
    for _ in 0..3 {
        router.on_attempt_started(ms(1), &vm, None);
        router.on_attempt_failed(ms(1), &vm, None);
    }
    assert!(!pick_counts(&router, ms(2), 50, 1).contains_key(&vm));
    let later = ms(1) + RouterConfig::default().initial_ejection + secs(10);
    router.on_load_report(later, &vm, &load(0, 8));
    router.on_load_report(later, &"u01".into(), &load(6, 8));
    assert!(pick_counts(&router, later, 200, 1).contains_key(&vm));
    router.on_attempt_started(later, &vm, None);
    assert!(!pick_counts(&router, later, 200, 1).contains_key(&vm));
    router.on_attempt_finished(later, &vm, ms(100), None);
    router.on_attempt_started(later, &vm, None);
    assert!(pick_counts(&router, later, 200, 1).contains_key(&vm));
}

#[test]
fn pick_prefix_holder_preferred_within_capacity() {
    let list = fleet(0, 6);
    let mut router = router(&list, &catalog());
    report_all_idle(&mut router, ms(0), &list);
    let (pool, vm): (PoolName, VmName) = (POOL.into(), "u04".into());
    let req = PickRequest {
        prefix: Some(7),
        ..PickRequest::new(&pool)
    };
    router.on_prefix_event(ms(1), &vm, 7, true);
    let picked = router.pick(ms(1), &req, &mut rng(1));
    assert_eq!(picked, Ok(vm.clone()));
    router.on_load_report(ms(2), &vm, &load(8, 8));
    let picked = router.pick(ms(2), &req, &mut rng(1)).unwrap();
    assert_ne!(picked, vm);
}

#[test]
fn pick_near_first_then_spill() {
    let list = fleet(0, 6);
    let mut router = router(&list, &catalog());
    for d in ["d1", "d2"] {
        router.set_domain_rtt(&d.into(), ms(100));
    }
    report_all_idle(&mut router, ms(0), &list);
    let near = pick_counts(&router, ms(1), 300, 1);
    let near = near["u00"] + near["u03"];
    for vm in ["u00", "u03"] {
        router.on_load_report(ms(2), &vm.into(), &load(8, 8));
    }
    let spilled = pick_counts(&router, ms(2), 300, 1);
    assert!(near > 150, "{near} of 300 near");
    assert_eq!(spilled.len(), 4);
}

#[test]
fn capacity_two_domains_out_low_first() {
    let list = fleet(0, 6);
    let mut catalog = catalog();
    drain_domain(&mut catalog, "d1", ServiceState::Drained);
    drain_domain(&mut catalog, "d2", ServiceState::Drained);
    let mut router = router(&list, &catalog);
    for vm in ["u00", "u03"] {
        router.on_load_report(ms(1), &vm.into(), &load(9, 8));
    }
    let capacity = router.capacity(ms(1), &POOL.into());
    assert_eq!(
        (capacity.upstreams, capacity.left, capacity.stated),
        (2, 16, 48)
    );
    assert_eq!(
        capacity.admit(Priority::Low),
        Err(RefusalReason::NoCapacity)
    );
    assert_eq!(capacity.admit(Priority::Normal), Ok(()));
    assert_eq!(capacity.admit(Priority::High), Ok(()));
}

/// Guards against an upstream that looks slow forever because its last request was long: without
/// new requests, nothing could correct its measured service time.
#[test]
fn pick_returns_to_upstream_after_a_long_request() {
    let list = fleet(0, 2);
    let mut router = router(&list, &catalog());
    report_all_idle(&mut router, ms(0), &list);
    let (long, short) = (&list.vms[0].name, &list.vms[1].name);
    router.on_attempt_started(ms(0), long, None);
    router.on_attempt_finished(ms(1000), long, secs(1), None);
    for i in 0..100 {
        let now = ms(1000 + 30 * i);
        router.on_attempt_started(now, short, None);
        router.on_attempt_finished(now + ms(30), short, ms(30), None);
    }
    report_all_idle(&mut router, secs(24), &list);
    let shares = pick_counts(&router, secs(24), 1000, 1);
    assert!(shares[long] >= 250, "{shares:?}");
}
