//! Operators, processes and a faulty store at random, against the list of accepted revisions.
//!
//! `ORIOLE_FUZZ_CASES=1000000` runs that many cases in place of the default.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::{Fleet, Link, LinkState, Net, Reach, meta, repository, set_region};
use oriole_catalog::prelude::*;
use oriole_catalog::spread::config::{InstallRule, NewerRevisionOnly};
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rstest::rstest;
use tokio::runtime::{Builder, Runtime};

/// Cases over all seeds.
const CASES: u32 = 10_000;
const SEEDS: u32 = 8;
const DOMAINS: usize = 2;
const PROCESSES: usize = 5;
/// Longest time until all processes are equal once nothing is wrong any more.
const QUIET: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug)]
struct Change {
    domain: u8,
    region: u8,
    /// Whether the author saw the newest revision or started from nothing.
    fresh: bool,
}

#[derive(Clone, Debug)]
enum Step {
    Change(Change),
    Race(Change, Change),
    Rollback(u64),
    Script {
        /// Writes that pass before.
        passing: usize,
        fault: WriteFault,
    },
    Store(StoreFault),
    Link(usize, LinkState),
    Reach(usize, Reach),
    Restart(usize),
    Stop(usize),
    Hint {
        to: usize,
        from: usize,
    },
    Wait(u16),
}

/// The reference needs no state: steps are possible at any time.
struct Steps;

impl ReferenceStateMachine for Steps {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let change =
            (0..3u8, 0..4u8, prop::bool::weighted(0.8)).prop_map(|(d, region, fresh)| Change {
                domain: d,
                region,
                fresh,
            });
        let process = || 0..PROCESSES;
        let fault = prop_oneof![Just(WriteFault::LoseAnswer), Just(WriteFault::LoseRequest)];
        let store = prop_oneof![
            3 => Just(StoreFault::Up),
            2 => Just(StoreFault::Down),
            1 => Just(StoreFault::Slow),
            1 => Just(StoreFault::LoseAnswers),
        ];
        let link = prop_oneof![
            Just(LinkState::Up),
            Just(LinkState::Cut),
            Just(LinkState::Deaf)
        ];
        let reach = prop_oneof![Just(Reach::Open), Just(Reach::Closed), Just(Reach::Silent)];
        prop_oneof![
            4 => change.clone().prop_map(Step::Change),
            2 => (change.clone(), change).prop_map(|(a, b)| Step::Race(a, b)),
            1 => (1..4u64).prop_map(Step::Rollback),
            3 => (0..3usize, fault).prop_map(|(passing, fault)| Step::Script { passing, fault }),
            2 => store.prop_map(Step::Store),
            2 => (process(), link).prop_map(|(i, l)| Step::Link(i, l)),
            2 => (process(), reach).prop_map(|(i, r)| Step::Reach(i, r)),
            2 => process().prop_map(Step::Restart),
            1 => process().prop_map(Step::Stop),
            2 => (process(), process()).prop_map(|(to, from)| Step::Hint { to, from }),
            4 => (0..4_000u16).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply(state: u64, _: &Step) -> u64 {
        state
    }
}

/// What operators were told, and what each process had in force.
struct World {
    runtime: Runtime,
    fleet: Fleet,
    operators: [Repository; 2],
    /// Accepted catalogs by revision.
    accepted: BTreeMap<Revision, Arc<Catalog>>,
    /// Highest revision seen at each running process.
    seen: BTreeMap<VmName, Revision>,
}

/// What is under test, chosen by type so that a broken variant can take its place.
trait Variant {
    fn install_rule() -> Arc<dyn InstallRule> {
        Arc::new(NewerRevisionOnly)
    }

    const LOST_IS_FAILED: bool = false;
}

/// Nothing is broken.
struct Sound;

impl Variant for Sound {}

/// Broken on purpose: whatever arrives last is in force.
struct NewestArrival;

impl InstallRule for NewestArrival {
    fn should_install(&self, held: Revision, offered: Revision) -> bool {
        offered != held
    }
}

impl Variant for NewestArrival {
    fn install_rule() -> Arc<dyn InstallRule> {
        Arc::new(Self)
    }
}

/// Broken on purpose: a lost answer counts as a failed write.
struct LostIsFailed;

impl Variant for LostIsFailed {
    const LOST_IS_FAILED: bool = true;
}

struct Sut<V>(std::marker::PhantomData<V>);

impl<V: Variant> StateMachineTest for Sut<V> {
    type SystemUnderTest = World;
    type Reference = Steps;

    fn init_test(seed: &u64) -> World {
        World::new::<V>(*seed)
    }

    fn apply(mut world: World, _: &u64, step: Step) -> World {
        world.step(step);
        world
    }

    fn teardown(mut world: World, _: u64) {
        world.quiet();
    }
}

impl World {
    fn new<V: Variant>(seed: u64) -> Self {
        let runtime = Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let guard = runtime.enter();
        let net = Net::new(seed, Duration::from_millis(400));
        let cfg = SpreadConfig {
            relays_per_domain: 1,
            ..SpreadConfig::default()
        };
        let mut fleet = Fleet::new(DOMAINS, PROCESSES.div_ceil(DOMAINS), cfg, net);
        fleet.members.truncate(PROCESSES);
        fleet.install_rule = Some(V::install_rule());
        fleet.start_all();
        let mut link = Link::new(fleet.store.clone(), fleet.net.clone());
        link.lost_is_failed = V::LOST_IS_FAILED;
        let operators = [seed, !seed].map(|s| repository(&link, s));
        drop(guard);
        Self {
            runtime,
            fleet,
            operators,
            accepted: BTreeMap::new(),
            seen: BTreeMap::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Change(change) => self.race([change, change], 1),
            Step::Race(a, b) => self.race([a, b], 2),
            Step::Rollback(to) => self.rollback(to),
            Step::Script { passing, fault } => {
                for _ in 0..passing {
                    self.fleet.store.queue_write_fault(WriteFault::Pass);
                }
                self.fleet.store.queue_write_fault(fault);
            }
            Step::Store(fault) => self.fleet.store.set_fault(fault),
            Step::Link(i, state) => {
                if let Some((_, link)) = self.fleet.running.get(&self.fleet.name(i)) {
                    link.set(state);
                }
            }
            Step::Reach(i, reach) => self.fleet.net.set_reach(&self.fleet.name(i), reach),
            Step::Restart(i) => {
                self.stop(i);
                let _guard = self.runtime.enter();
                self.fleet.start(i);
            }
            Step::Stop(i) => self.stop(i),
            Step::Hint { to, from } => self.hint(to, from),
            Step::Wait(ms) => self.wait(Duration::from_millis(ms.into())),
        }
        self.check();
    }

    /// Lets time pass in small pieces and looks at every process after each.
    fn wait(&mut self, time: Duration) {
        const PIECE: Duration = Duration::from_millis(250);
        let mut left = time;
        while !left.is_zero() {
            let piece = left.min(PIECE);
            self.runtime
                .block_on(async { tokio::time::sleep(piece).await });
            self.check();
            left -= piece;
        }
    }

    fn stop(&mut self, i: usize) {
        let name = self.fleet.name(i);
        self.fleet.stop(&name);
        self.seen.remove(&name);
    }

    fn hint(&self, to: usize, from: usize) {
        let running = |i| self.fleet.running.get(&self.fleet.name(i));
        if let (Some((to, _)), Some((source, _))) = (running(to), running(from)) {
            to.hint(source.revision(), &self.fleet.name(from));
        }
    }

    fn newest(&self) -> Arc<Catalog> {
        let newest = self.accepted.last_key_value();
        newest.map(|(_, c)| Arc::clone(c)).unwrap_or_default()
    }

    fn edit(&self, change: Change) -> Edit {
        let seen = if change.fresh {
            self.newest()
        } else {
            Arc::default()
        };
        let region = format!("region-{}", change.region);
        set_region(&seen, &format!("domain-{}", change.domain), &region)
    }

    fn race(&mut self, changes: [Change; 2], n: usize) {
        let edits = changes.map(|c| self.edit(c));
        let [first, second] = &self.operators;
        let metas = [meta("ada"), meta("bob")];
        let ends = self.runtime.block_on(async {
            let first = first.change(&edits[0], &metas[0]);
            let second = second.change(&edits[1], &metas[1]);
            if n == 1 {
                return vec![(0, first.await)];
            }
            let (first, second) = tokio::join!(first, second);
            vec![(0, first), (1, second)]
        });
        self.ended(ends.into_iter().map(|(i, end)| (edits[i].clone(), end)));
    }

    fn rollback(&mut self, to: u64) {
        let before = self.newest();
        let Some(target) = self.accepted.get(&Revision(to)).cloned() else {
            return;
        };
        let by = meta("ada");
        let end = self.operators[0].rollback(Revision(to), &by);
        let end = self.runtime.block_on(end);
        let edit = Edit::between(&before, &target);
        self.ended([(edit, end)].into_iter());
    }

    /// Notes what operators were told: each accepted change makes the next revision.
    fn ended(&mut self, ends: impl Iterator<Item = (Edit, Result<Accepted, ChangeError>)>) {
        let mut ends: Vec<_> = ends.collect();
        let unknown = (Revision(u64::MAX), false);
        ends.sort_by_key(|(_, end)| end.as_ref().map_or(unknown, |a| (a.revision, !a.changed)));
        let mut unsettled = false;
        for (edit, end) in ends {
            match end {
                Ok(Accepted {
                    revision,
                    changed: true,
                }) => {
                    let mut catalog = edit
                        .apply(&self.newest())
                        .expect("accepted but overlapping");
                    catalog.revision = self.newest().revision.next();
                    assert_eq!(revision, catalog.revision, "accepted twice or out of order");
                    self.accepted.insert(revision, Arc::new(catalog));
                }
                Ok(Accepted { revision, .. }) => assert!(revision <= self.newest().revision),
                Err(ChangeError::Unsettled { .. }) => unsettled = true,
                Err(ChangeError::Conflict { others, .. }) => {
                    assert!(!others.is_empty(), "a conflict shows the other's change");
                }
                Err(ChangeError::Repository(_)) => {}
                Err(e) => panic!("unexpected end: {e}"),
            }
        }
        if unsettled {
            self.settle();
        }
    }

    /// Operators were told that nobody knows yet: takes over what the store says.
    fn settle(&mut self) {
        let fault = self.fleet.store.fault();
        self.fleet.store.set_fault(StoreFault::Up);
        let stored = self.runtime.block_on(self.operators[0].read()).unwrap();
        self.fleet.store.set_fault(fault);
        let known = self.newest().revision;
        assert!(stored.revision().0 <= known.0 + 2);
        for revision in known.0 + 1..=stored.revision().0 {
            self.fleet.store.set_fault(StoreFault::Up);
            let snapshot = self
                .runtime
                .block_on(self.operators[0].read_at(Revision(revision)));
            self.fleet.store.set_fault(fault);
            let catalog = Arc::clone(snapshot.unwrap().catalog());
            self.accepted.insert(Revision(revision), catalog);
        }
    }

    /// In force at each process: an accepted catalog, whole, and none older than before.
    fn check(&mut self) {
        for (name, (follower, _)) in &self.fleet.running {
            let Some(catalog) = follower.current() else {
                continue;
            };
            let seen = self.seen.entry(name.clone()).or_default();
            assert!(catalog.revision >= *seen, "{name} reverted from {seen}");
            *seen = catalog.revision;
            let accepted = self.accepted.get(&catalog.revision);
            assert_eq!(
                accepted,
                Some(&catalog),
                "{name} holds what was never accepted"
            );
        }
    }

    /// Mends everything and waits until all processes hold the newest revision.
    fn quiet(&mut self) {
        self.fleet.store.set_fault(StoreFault::Up);
        for i in 0..PROCESSES {
            let name = self.fleet.name(i);
            self.fleet.net.set_reach(&name, Reach::Open);
            match self.fleet.running.get(&name) {
                Some((_, link)) => link.set(LinkState::Up),
                None => {
                    let _guard = self.runtime.enter();
                    self.fleet.start(i);
                }
            }
        }
        let newest = self.newest();
        let stored = self.runtime.block_on(self.operators[0].read()).unwrap();
        assert_eq!(
            **stored.catalog(),
            *newest,
            "the store holds what was accepted"
        );
        let equal = self.fleet.all_hold(newest.revision, QUIET);
        assert!(self.runtime.block_on(equal), "not all equal once quiet");
        self.check();
    }
}

fn cases() -> u32 {
    let cases = std::env::var("ORIOLE_FUZZ_CASES").ok();
    cases.and_then(|c| c.parse().ok()).unwrap_or(CASES)
}

fn run<V: Variant>(seed: u8, cases: u32) -> Result<(), String> {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 200,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let steps = Steps::sequential_strategy(1..14);
    let end = runner.run(&steps, |(seed, steps, seen)| {
        Sut::<V>::test_sequential(config.clone(), seed, steps, seen);
        Ok(())
    });
    end.map_err(|e| e.to_string())
}

#[rstest]
fn spread_keeps_promises(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u8) {
    if let Err(e) = run::<Sound>(seed, cases() / SEEDS) {
        panic!("{e}");
    }
}

#[test]
fn spread_newest_arrival_is_caught() {
    let e = run::<NewestArrival>(1, CASES).expect_err("the broken rule passed");
    assert!(e.contains("reverted"), "{e}");
}

#[test]
fn spread_lost_answer_as_failure_is_caught() {
    let e = run::<LostIsFailed>(1, CASES).expect_err("the broken store client passed");
    let caught = ["accepted", "changed meanwhile", "conflict"];
    assert!(caught.iter().any(|c| e.contains(c)), "{e}");
}
