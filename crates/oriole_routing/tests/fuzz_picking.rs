//! Picking against plain lists of what is in service, over random sessions.

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
const WARM: u32 = 8;

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
    Domain(usize, bool),
    Vm(usize, bool),
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
        let report = (0..UPSTREAMS, 0..12_u32, 1..=WARM, prop::bool::weighted(0.2)).prop_map(
            |(vm, in_flight, limit, leaving)| Step::Report {
                vm,
                in_flight,
                limit,
                leaving,
            },
        );
        let nth = 0..32_usize;
        prop_oneof![
            8 => priority.prop_map(Step::Pick),
            3 => nth.clone().prop_map(Step::Finish),
            1 => nth.clone().prop_map(Step::Refuse),
            2 => nth.prop_map(Step::Fail),
            3 => report,
            1 => (0..3_usize, any::<bool>()).prop_map(|(d, on)| Step::Domain(d, on)),
            1 => (0..UPSTREAMS, any::<bool>()).prop_map(|(vm, on)| Step::Vm(vm, on)),
            1 => (0..UPSTREAMS, any::<bool>()).prop_map(|(vm, on)| Step::Listed(vm, on)),
            2 => (0..4000_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// A fault that is put between the session and the router.
trait Fault {
    const DEAF_TO_DRAINS: bool = false;
    const LOSES_ENDS: bool = false;
}

struct Sound;
impl Fault for Sound {}

struct DeafToDrains;
impl Fault for DeafToDrains {
    const DEAF_TO_DRAINS: bool = true;
}

struct LosesEnds;
impl Fault for LosesEnds {
    const LOSES_ENDS: bool = true;
}

struct Checked {
    router: Router,
    rng: ChaCha8Rng,
    now: Duration,
    list: VmList,
    catalog: Catalog,
    running: Vec<VmName>,
    leaving: BTreeMap<VmName, Duration>,
    out: BTreeSet<VmName>,
}

impl Checked {
    fn tell<F: Fault>(&mut self) {
        self.forget_word_of_returned();
        let deaf = catalog();
        let catalog = if F::DEAF_TO_DRAINS {
            &deaf
        } else {
            &self.catalog
        };
        self.router.fleet_changed(self.now, &self.list, catalog);
        let listed = |vm: &VmName| self.list.vms.iter().any(|r| r.name == *vm);
        self.running.retain(listed);
        self.leaving.retain(|vm, _| listed(vm));
    }

    /// What an upstream said of itself before it was out of service counts no more.
    fn forget_word_of_returned(&mut self) {
        let (leaving, was_out) = (&mut self.leaving, &self.out);
        leaving.retain(|vm, _| !was_out.contains(vm));
        let out = |r: &&VmRecord| !self.catalog.is_in_service(&r.name, &r.domain);
        self.out = self
            .list
            .vms
            .iter()
            .filter(out)
            .map(|r| r.name.clone())
            .collect();
    }

    fn in_service(&self, vm: &VmName) -> bool {
        let record = self.list.vms.iter().find(|r| r.name == *vm);
        record.is_some_and(|r| self.catalog.is_in_service(vm, &r.domain))
    }

    fn is_leaving(&self, vm: &VmName) -> bool {
        let ttl = RouterConfig::default().leaving_ttl;
        self.leaving.get(vm).is_some_and(|at| self.now - *at < ttl)
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
                assert!(self.own(&vm) < WARM + WARM / 4, "{vm} is full of our own");
                self.router.started(self.now, &vm, None);
                self.running.push(vm);
            }
            Err(RefusalReason::NoUpstream) => {
                let usable = |vm: &VmName| self.in_service(vm) && !self.is_leaving(vm);
                assert!(
                    !self.list.vms.iter().any(|r| usable(&r.name)),
                    "some take work"
                );
            }
            Err(reason) => assert_eq!(reason, RefusalReason::NoCapacity),
        }
    }

    fn own(&self, vm: &VmName) -> u32 {
        self.running.iter().filter(|v| *v == vm).count() as u32
    }

    fn end(&mut self, n: usize) -> Option<VmName> {
        let len = self.running.len();
        (len > 0).then(|| self.running.remove(n % len))
    }

    fn report(&mut self, vm: usize, in_flight: u32, limit: u32, leaving: bool) {
        let vm = VmName::new(&format!("u{vm:02}"));
        let load = LoadReport {
            leaving,
            ..load(in_flight, limit)
        };
        self.router.report(self.now, &vm, &load);
        self.leaving.remove(&vm);
        if leaving && self.list.vms.iter().any(|r| r.name == vm) {
            self.leaving.insert(vm, self.now);
        }
    }

    fn check(&self) {
        for record in &self.list.vms {
            let vm = &record.name;
            assert_eq!(self.router.in_flight(vm), self.own(vm), "requests at {vm}");
            let usable = self.in_service(vm) && !self.is_leaving(vm);
            assert_eq!(self.router.check(self.now, vm).is_ok(), usable, "{vm}");
        }
        let usable = |r: &&VmRecord| self.in_service(&r.name) && !self.is_leaving(&r.name);
        let usable = self.list.vms.iter().filter(usable).count();
        let left = self.router.capacity(self.now, &POOL.into()).upstreams as usize;
        assert!(left <= usable, "no more than what takes work");
    }
}

struct Test<F>(std::marker::PhantomData<F>);

impl<F: Fault> StateMachineTest for Test<F> {
    type SystemUnderTest = Checked;
    type Reference = Session;

    fn init_test((): &()) -> Checked {
        let mut checked = Checked {
            router: Router::new(RouterConfig::default(), "d0".into()),
            rng: rng(7),
            now: secs(1),
            list: fleet(2, UPSTREAMS),
            catalog: catalog(),
            running: Vec::new(),
            leaving: BTreeMap::new(),
            out: BTreeSet::new(),
        };
        checked.list.vms.retain(|r| r.role != VmRole::Entry);
        checked.tell::<F>();
        checked
    }

    fn apply(mut checked: Checked, (): &(), step: Step) -> Checked {
        let now = checked.now;
        let state = |on| {
            if on {
                ServiceState::InService
            } else {
                ServiceState::Drained
            }
        };
        match step {
            Step::Pick(priority) => checked.pick(priority),
            Step::Finish(n) => {
                if let Some(vm) = checked.end(n).filter(|_| !F::LOSES_ENDS) {
                    checked.router.finished(now, &vm, ms(100), None);
                }
            }
            Step::Refuse(n) => {
                if let Some(vm) = checked.end(n) {
                    let reason = RefusalReason::UpstreamFull;
                    checked.router.refused(now, &vm, reason, None, None);
                }
            }
            Step::Fail(n) => {
                if let Some(vm) = checked.end(n) {
                    checked.router.failed(now, &vm, None);
                }
            }
            Step::Report {
                vm,
                in_flight,
                limit,
                leaving,
            } => {
                checked.report(vm, in_flight, limit, leaving);
            }
            Step::Domain(d, on) => {
                drain_domain(&mut checked.catalog, &format!("d{d}"), state(on));
                checked.tell::<F>();
            }
            Step::Vm(vm, on) => {
                checked
                    .catalog
                    .vms
                    .insert(VmName::new(&format!("u{vm:02}")), state(on));
                checked.tell::<F>();
            }
            Step::Listed(vm, on) => {
                let name = format!("u{vm:02}");
                checked.list.vms.retain(|r| r.name.as_str() != name);
                if on {
                    checked
                        .list
                        .vms
                        .push(upstream(&name, &format!("d{}", vm % 3)));
                }
                checked.tell::<F>();
            }
            Step::Wait(millis) => checked.now += ms(millis),
        }
        checked
    }

    fn check_invariants(checked: &Checked, (): &()) {
        checked.check();
    }
}

#[test]
fn fuzz_picking_only_where_work_is_taken() {
    assert_eq!(fuzz::<Test<Sound>>(2), Ok(()));
}

#[test]
fn fuzz_picking_catches_ignored_drain() {
    assert!(fuzz::<Test<DeafToDrains>>(2).is_err());
}

#[test]
fn fuzz_picking_catches_lost_ends() {
    assert!(fuzz::<Test<LosesEnds>>(2).is_err());
}
