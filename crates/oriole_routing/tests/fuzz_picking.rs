//! Compares the router with plain lists of what is in service over random sessions.

mod common;
#[path = "common/fuzz.rs"]
mod fuzz;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use common::*;
use fuzz::fuzz;
use oriole_routing::prelude::*;
use oriole_types::prelude::*;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rand_chacha::ChaCha8Rng;

const UPSTREAMS: usize = 6;
const WARM_CONCURRENCY: u32 = 8;

#[derive(Clone, Debug)]
enum Step {
    Pick(Priority),
    Finish(usize),
    Refuse(usize),
    Fail(usize),
    Report {
        vm: usize,
        in_flight: u32,
        limit: u32,
        leaving: bool,
    },
    DomainInService(usize, bool),
    VmInService(usize, bool),
    Listed(usize, bool),
    Wait(u64),
}

struct Session;

impl ReferenceStateMachine for Session {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let priority = prop_oneof![
            Just(Priority::High),
            Just(Priority::Normal),
            Just(Priority::Low)
        ];
        let report = (
            0..UPSTREAMS,
            0..12_u32,
            1..=WARM_CONCURRENCY,
            prop::bool::weighted(0.2),
        )
            .prop_map(|(vm, in_flight, limit, leaving)| Step::Report {
                vm,
                in_flight,
                limit,
                leaving,
            });
        let nth = 0..32_usize;
        prop_oneof![
            8 => priority.prop_map(Step::Pick),
            3 => nth.clone().prop_map(Step::Finish),
            1 => nth.clone().prop_map(Step::Refuse),
            2 => nth.prop_map(Step::Fail),
            3 => report,
            1 => (0..3_usize, any::<bool>()).prop_map(|(d, on)| Step::DomainInService(d, on)),
            1 => (0..UPSTREAMS, any::<bool>()).prop_map(|(vm, on)| Step::VmInService(vm, on)),
            1 => (0..UPSTREAMS, any::<bool>()).prop_map(|(vm, on)| Step::Listed(vm, on)),
            2 => (0..4000_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// A fault injected between the session and the router; the test must detect it.
trait Fault {
    const IGNORES_DRAINS: bool = false;
    const LOSES_FINISHED: bool = false;
}

struct NoFault;
impl Fault for NoFault {}

struct IgnoresDrains;
impl Fault for IgnoresDrains {
    const IGNORES_DRAINS: bool = true;
}

struct LosesFinished;
impl Fault for LosesFinished {
    const LOSES_FINISHED: bool = true;
}

struct Harness {
    router: Router,
    rng: ChaCha8Rng,
    now: Duration,
    list: VmList,
    catalog: Catalog,
    running: Vec<VmName>,
    leaving_since: BTreeMap<VmName, Duration>,
    out_of_service: BTreeSet<VmName>,
}

impl Harness {
    fn update_router<F: Fault>(&mut self) {
        self.drop_reports_before_return();
        let undrained = catalog();
        let catalog = if F::IGNORES_DRAINS {
            &undrained
        } else {
            &self.catalog
        };
        self.router.on_fleet_change(self.now, &self.list, catalog);
        let listed = |vm: &VmName| self.list.vms.iter().any(|r| r.name == *vm);
        self.running.retain(listed);
        self.leaving_since.retain(|vm, _| listed(vm));
    }

    /// Reports that an upstream sent before it went out of service no longer count.
    fn drop_reports_before_return(&mut self) {
        let (leaving_since, was_out) = (&mut self.leaving_since, &self.out_of_service);
        leaving_since.retain(|vm, _| !was_out.contains(vm));
        let is_out = |r: &&VmRecord| !self.catalog.is_in_service(&r.name, &r.domain);
        self.out_of_service = self
            .list
            .vms
            .iter()
            .filter(is_out)
            .map(|r| r.name.clone())
            .collect();
    }

    fn in_service(&self, vm: &VmName) -> bool {
        let record = self.list.vms.iter().find(|r| r.name == *vm);
        record.is_some_and(|r| self.catalog.is_in_service(vm, &r.domain))
    }

    fn is_leaving(&self, vm: &VmName) -> bool {
        let ttl = RouterConfig::default().leaving_ttl;
        self.leaving_since
            .get(vm)
            .is_some_and(|at| self.now - *at < ttl)
    }

    fn pick(&mut self, priority: Priority) {
        let pool = POOL.into();
        let req = PickRequest {
            priority,
            ..PickRequest::new(&pool)
        };
        match self.router.pick(self.now, &req, &mut self.rng) {
            Ok(vm) => {
                assert!(self.in_service(&vm), "{vm} is out of service");
                assert!(!self.is_leaving(&vm), "{vm} is leaving");
                assert!(
                    self.own_in_flight(&vm) < WARM_CONCURRENCY + WARM_CONCURRENCY / 4,
                    "{vm} has too many requests of this entry"
                );
                self.router.on_attempt_started(self.now, &vm, None);
                self.running.push(vm);
            }
            Err(RefusalReason::NoUpstream) => {
                let usable = |vm: &VmName| self.in_service(vm) && !self.is_leaving(vm);
                assert!(
                    !self.list.vms.iter().any(|r| usable(&r.name)),
                    "an upstream accepts work"
                );
            }
            Err(reason) => assert_eq!(reason, RefusalReason::NoCapacity),
        }
    }

    fn own_in_flight(&self, vm: &VmName) -> u32 {
        self.running.iter().filter(|v| *v == vm).count() as u32
    }

    fn remove_running(&mut self, n: usize) -> Option<VmName> {
        let len = self.running.len();
        (len > 0).then(|| self.running.remove(n % len))
    }

    fn report(&mut self, vm: usize, in_flight: u32, limit: u32, leaving: bool) {
        let vm = VmName::new(&format!("u{vm:02}"));
        let load = LoadReport {
            leaving,
            ..load(in_flight, limit)
        };
        self.router.on_load_report(self.now, &vm, &load);
        self.leaving_since.remove(&vm);
        if leaving && self.list.vms.iter().any(|r| r.name == vm) {
            self.leaving_since.insert(vm, self.now);
        }
    }

    fn check_router(&self) {
        for record in &self.list.vms {
            let vm = &record.name;
            assert_eq!(
                self.router.in_flight(vm),
                self.own_in_flight(vm),
                "requests in flight at {vm}"
            );
            let usable = self.in_service(vm) && !self.is_leaving(vm);
            assert_eq!(
                self.router.check_accepts_work(self.now, vm).is_ok(),
                usable,
                "{vm}"
            );
        }
        let usable = |r: &&VmRecord| self.in_service(&r.name) && !self.is_leaving(&r.name);
        let usable = self.list.vms.iter().filter(usable).count();
        let available = self.router.capacity(self.now, &POOL.into()).upstreams as usize;
        assert!(
            available <= usable,
            "at most the upstreams that accept work"
        );
    }
}

struct Test<F>(std::marker::PhantomData<F>);

impl<F: Fault> StateMachineTest for Test<F> {
    type SystemUnderTest = Harness;
    type Reference = Session;

    fn init_test((): &()) -> Harness {
        let mut harness = Harness {
            router: Router::new(RouterConfig::default(), "d0".into()),
            rng: rng(7),
            now: secs(1),
            list: fleet(2, UPSTREAMS),
            catalog: catalog(),
            running: Vec::new(),
            leaving_since: BTreeMap::new(),
            out_of_service: BTreeSet::new(),
        };
        harness.list.vms.retain(|r| r.role != VmRole::Entry);
        harness.update_router::<F>();
        harness
    }

    fn apply(mut harness: Harness, (): &(), step: Step) -> Harness {
        let now = harness.now;
        let state = |on| {
            if on {
                ServiceState::InService
            } else {
                ServiceState::Drained
            }
        };
        match step {
            Step::Pick(priority) => harness.pick(priority),
            Step::Finish(n) => {
                if let Some(vm) = harness.remove_running(n).filter(|_| !F::LOSES_FINISHED) {
                    harness.router.on_attempt_finished(now, &vm, ms(100), None);
                }
            }
            Step::Refuse(n) => {
                if let Some(vm) = harness.remove_running(n) {
                    let reason = RefusalReason::UpstreamFull;
                    harness
                        .router
                        .on_attempt_refused(now, &vm, reason, None, None);
                }
            }
            Step::Fail(n) => {
                if let Some(vm) = harness.remove_running(n) {
                    harness.router.on_attempt_failed(now, &vm, None);
                }
            }
            Step::Report {
                vm,
                in_flight,
                limit,
                leaving,
            } => {
                harness.report(vm, in_flight, limit, leaving);
            }
            Step::DomainInService(d, on) => {
                drain_domain(&mut harness.catalog, &format!("d{d}"), state(on));
                harness.update_router::<F>();
            }
            Step::VmInService(vm, on) => {
                harness
                    .catalog
                    .vms
                    .insert(VmName::new(&format!("u{vm:02}")), state(on));
                harness.update_router::<F>();
            }
            Step::Listed(vm, on) => {
                let name = format!("u{vm:02}");
                harness.list.vms.retain(|r| r.name.as_str() != name);
                if on {
                    harness
                        .list
                        .vms
                        .push(upstream(&name, &format!("d{}", vm % 3)));
                }
                harness.update_router::<F>();
            }
            Step::Wait(millis) => harness.now += ms(millis),
        }
        harness
    }

    fn check_invariants(harness: &Harness, (): &()) {
        harness.check_router();
    }
}

#[test]
fn fuzz_picking_only_where_work_is_taken() {
    assert_eq!(fuzz::<Test<NoFault>>(2), Ok(()));
}

#[test]
fn fuzz_picking_catches_ignored_drain() {
    assert!(fuzz::<Test<IgnoresDrains>>(2).is_err());
}

#[test]
fn fuzz_picking_catches_lost_ends() {
    assert!(fuzz::<Test<LosesFinished>>(2).is_err());
}
