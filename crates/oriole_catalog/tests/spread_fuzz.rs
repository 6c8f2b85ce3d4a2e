//! Runs random operations of operators and processes against a faulty store and network, and compares
//! the configuration of every process with the list of accepted revisions.
//!
//! Set `ORIOLE_FUZZ_CASES` to change the number of cases, such as `ORIOLE_FUZZ_CASES=1000000`.

mod common;

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use common::{
    Reachability, StoreLink, StoreLinkState, TestCluster, TestNetwork, meta, repository, set_region,
};
use oriole_catalog::prelude::*;
use oriole_catalog::spread::config::{InstallRule, NewerRevisionOnly};
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rstest::rstest;
use tokio::runtime::{Builder, Runtime};

/// Default number of cases, divided among the seeds.
const CASES: u32 = 10_000;
const SEEDS: u32 = 8;
const DOMAINS: usize = 2;
const PROCESSES: usize = 5;
/// Maximum time until all processes hold the newest revision after all faults are removed.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(120);

#[derive(Clone, Copy, Debug)]
struct Change {
    domain: u8,
    region: u8,
    /// Whether the edit is based on the newest revision; otherwise on the empty catalog.
    from_newest: bool,
}

#[derive(Clone, Debug)]
enum Step {
    Change(Change),
    Race(Change, Change),
    Rollback(u64),
    FaultyWrite {
        /// Number of writes that succeed before the faulty one.
        passing_writes: usize,
        fault: WriteFault,
    },
    Store(StoreFault),
    StoreLink(usize, StoreLinkState),
    Reachability(usize, Reachability),
    Restart(usize),
    Stop(usize),
    Hint {
        to: usize,
        from: usize,
    },
    Wait(u16),
}

/// Generates the steps. Every step is valid at any time, so the reference state is just the seed.
struct StepGenerator;

impl ReferenceStateMachine for StepGenerator {
    type State = u64;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<u64> {
        any::<u64>().boxed()
    }

    fn transitions(_: &u64) -> BoxedStrategy<Step> {
        let change =
            (0..3u8, 0..4u8, prop::bool::weighted(0.8)).prop_map(|(d, region, from_newest)| {
                Change {
                    domain: d,
                    region,
                    from_newest,
                }
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
            Just(StoreLinkState::Up),
            Just(StoreLinkState::Cut),
            Just(StoreLinkState::WatchesNeverWake)
        ];
        let reach = prop_oneof![
            Just(Reachability::Open),
            Just(Reachability::Closed),
            Just(Reachability::Silent)
        ];
        prop_oneof![
            4 => change.clone().prop_map(Step::Change),
            2 => (change.clone(), change).prop_map(|(a, b)| Step::Race(a, b)),
            1 => (1..4u64).prop_map(Step::Rollback),
            3 => (0..3usize, fault).prop_map(|(passing_writes, fault)| Step::FaultyWrite {
                passing_writes,
                fault,
            }),
            2 => store.prop_map(Step::Store),
            2 => (process(), link).prop_map(|(i, l)| Step::StoreLink(i, l)),
            2 => (process(), reach).prop_map(|(i, r)| Step::Reachability(i, r)),
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

/// The cluster under test, with the accepted revisions and the configuration of each process.
struct Harness {
    runtime: Runtime,
    cluster: TestCluster,
    operators: [Repository; 2],
    /// Accepted catalogs by revision.
    accepted: BTreeMap<Revision, Arc<Catalog>>,
    /// Highest revision observed at each running process.
    seen: BTreeMap<VmName, Revision>,
}

/// Selects by type whether the code under test is correct or has an injected bug.
trait Variant {
    fn install_rule() -> Arc<dyn InstallRule> {
        Arc::new(NewerRevisionOnly)
    }

    const REPORT_LOST_AS_FAILED: bool = false;
}

/// The code as it is.
struct Correct;

impl Variant for Correct {}

/// Injects a bug: the revision that arrives last is installed, even an older one.
struct LastArrivalWins;

impl InstallRule for LastArrivalWins {
    fn should_install(&self, held: Revision, offered: Revision) -> bool {
        offered != held
    }
}

impl Variant for LastArrivalWins {
    fn install_rule() -> Arc<dyn InstallRule> {
        Arc::new(Self)
    }
}

/// Injects a bug: a lost answer is reported as a failed write.
struct LostReportedAsFailed;

impl Variant for LostReportedAsFailed {
    const REPORT_LOST_AS_FAILED: bool = true;
}

struct SpreadTest<V>(std::marker::PhantomData<V>);

impl<V: Variant> StateMachineTest for SpreadTest<V> {
    type SystemUnderTest = Harness;
    type Reference = StepGenerator;

    fn init_test(seed: &u64) -> Harness {
        Harness::new::<V>(*seed)
    }

    fn apply(mut harness: Harness, _: &u64, step: Step) -> Harness {
        harness.step(step);
        harness
    }

    fn teardown(mut harness: Harness, _: u64) {
        harness.recover_and_converge();
    }
}

impl Harness {
    fn new<V: Variant>(seed: u64) -> Self {
        let runtime = Builder::new_current_thread()
            .enable_time()
            .start_paused(true)
            .build()
            .unwrap();
        let guard = runtime.enter();
        let net = TestNetwork::new(seed, Duration::from_millis(400));
        let cfg = SpreadConfig {
            relays_per_domain: 1,
            ..SpreadConfig::default()
        };
        let mut cluster = TestCluster::new(DOMAINS, PROCESSES.div_ceil(DOMAINS), cfg, net);
        cluster.members.truncate(PROCESSES);
        cluster.install_rule = Some(V::install_rule());
        cluster.start_all();
        let mut link = StoreLink::new(cluster.store.clone(), cluster.net.clone());
        link.report_lost_as_failed = V::REPORT_LOST_AS_FAILED;
        let operators = [seed, !seed].map(|s| repository(&link, s));
        drop(guard);
        Self {
            runtime,
            cluster,
            operators,
            accepted: BTreeMap::new(),
            seen: BTreeMap::new(),
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Change(change) => self.make_changes([change, change], 1),
            Step::Race(a, b) => self.make_changes([a, b], 2),
            Step::Rollback(to) => self.rollback(to),
            Step::FaultyWrite {
                passing_writes,
                fault,
            } => {
                for _ in 0..passing_writes {
                    self.cluster.store.queue_write_fault(WriteFault::Pass);
                }
                self.cluster.store.queue_write_fault(fault);
            }
            Step::Store(fault) => self.cluster.store.set_fault(fault),
            Step::StoreLink(i, state) => {
                if let Some((_, link)) = self.cluster.running.get(&self.cluster.name(i)) {
                    link.set(state);
                }
            }
            Step::Reachability(i, reach) => self
                .cluster
                .net
                .set_reachability(&self.cluster.name(i), reach),
            Step::Restart(i) => {
                self.stop(i);
                let _guard = self.runtime.enter();
                self.cluster.start(i);
            }
            Step::Stop(i) => self.stop(i),
            Step::Hint { to, from } => self.hint(to, from),
            Step::Wait(ms) => self.wait(Duration::from_millis(ms.into())),
        }
        self.check();
    }

    /// Advances the time in short steps and checks every process after each.
    fn wait(&mut self, time: Duration) {
        const MAX_STEP: Duration = Duration::from_millis(250);
        let mut left = time;
        while !left.is_zero() {
            let step = left.min(MAX_STEP);
            self.runtime
                .block_on(async { tokio::time::sleep(step).await });
            self.check();
            left -= step;
        }
    }

    fn stop(&mut self, i: usize) {
        let name = self.cluster.name(i);
        self.cluster.stop(&name);
        self.seen.remove(&name);
    }

    fn hint(&self, to: usize, from: usize) {
        let running = |i| self.cluster.running.get(&self.cluster.name(i));
        if let (Some((to, _)), Some((source, _))) = (running(to), running(from)) {
            to.hint(source.revision(), &self.cluster.name(from));
        }
    }

    fn newest(&self) -> Arc<Catalog> {
        let newest = self.accepted.last_key_value();
        newest.map(|(_, c)| Arc::clone(c)).unwrap_or_default()
    }

    fn edit(&self, change: Change) -> Edit {
        let base = if change.from_newest {
            self.newest()
        } else {
            Arc::default()
        };
        let region = format!("region-{}", change.region);
        set_region(&base, &format!("domain-{}", change.domain), &region)
    }

    /// Makes the first `n` changes, concurrently if there are two.
    fn make_changes(&mut self, changes: [Change; 2], n: usize) {
        let edits = changes.map(|c| self.edit(c));
        let [first, second] = &self.operators;
        let metas = [meta("ada"), meta("bob")];
        let results = self.runtime.block_on(async {
            let first = first.change(&edits[0], &metas[0]);
            let second = second.change(&edits[1], &metas[1]);
            if n == 1 {
                return vec![(0, first.await)];
            }
            let (first, second) = tokio::join!(first, second);
            vec![(0, first), (1, second)]
        });
        self.record_results(
            results
                .into_iter()
                .map(|(i, result)| (edits[i].clone(), result)),
        );
    }

    fn rollback(&mut self, to: u64) {
        let before = self.newest();
        let Some(target) = self.accepted.get(&Revision(to)).cloned() else {
            return;
        };
        let author = meta("ada");
        let result = self.operators[0].rollback(Revision(to), &author);
        let result = self.runtime.block_on(result);
        let edit = Edit::between(&before, &target);
        self.record_results([(edit, result)].into_iter());
    }

    /// Records the results of changes. Each accepted change must have created the next revision.
    fn record_results(
        &mut self,
        results: impl Iterator<Item = (Edit, Result<Accepted, ChangeError>)>,
    ) {
        let mut results: Vec<_> = results.collect();
        let unknown = (Revision(u64::MAX), false);
        results.sort_by_key(|(_, result)| {
            result
                .as_ref()
                .map_or(unknown, |a| (a.revision, !a.changed))
        });
        let mut unsettled = false;
        for (edit, result) in results {
            match result {
                Ok(Accepted {
                    revision,
                    changed: true,
                }) => {
                    let mut catalog = edit
                        .apply(&self.newest())
                        .expect("an accepted change conflicts with an earlier one");
                    catalog.revision = self.newest().revision.next();
                    assert_eq!(
                        revision, catalog.revision,
                        "a change was accepted twice or out of order"
                    );
                    self.accepted.insert(revision, Arc::new(catalog));
                }
                Ok(Accepted { revision, .. }) => assert!(revision <= self.newest().revision),
                Err(ChangeError::Unsettled { .. }) => unsettled = true,
                Err(ChangeError::Conflict { others, .. }) => {
                    assert!(!others.is_empty(), "a conflict must list the other change");
                }
                Err(ChangeError::Repository(_)) => {}
                Err(e) => panic!("unexpected error: {e}"),
            }
        }
        if unsettled {
            self.adopt_stored_revisions();
        }
    }

    /// Adds the revisions in the store to the accepted ones, after a change whose result is unknown.
    fn adopt_stored_revisions(&mut self) {
        let fault = self.cluster.store.fault();
        self.cluster.store.set_fault(StoreFault::Up);
        let stored = self.runtime.block_on(self.operators[0].read()).unwrap();
        self.cluster.store.set_fault(fault);
        let known = self.newest().revision;
        assert!(stored.revision().0 <= known.0 + 2);
        for revision in known.0 + 1..=stored.revision().0 {
            self.cluster.store.set_fault(StoreFault::Up);
            let snapshot = self
                .runtime
                .block_on(self.operators[0].read_at(Revision(revision)));
            self.cluster.store.set_fault(fault);
            let catalog = Arc::clone(snapshot.unwrap().catalog());
            self.accepted.insert(Revision(revision), catalog);
        }
    }

    /// Checks that each process holds a complete accepted catalog that is not older than before.
    fn check(&mut self) {
        for (name, (follower, _)) in &self.cluster.running {
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
                "{name} holds a catalog that was never accepted"
            );
        }
    }

    /// Removes all faults and waits until all processes hold the newest revision.
    fn recover_and_converge(&mut self) {
        self.cluster.store.set_fault(StoreFault::Up);
        for i in 0..PROCESSES {
            let name = self.cluster.name(i);
            self.cluster.net.set_reachability(&name, Reachability::Open);
            match self.cluster.running.get(&name) {
                Some((_, link)) => link.set(StoreLinkState::Up),
                None => {
                    let _guard = self.runtime.enter();
                    self.cluster.start(i);
                }
            }
        }
        let newest = self.newest();
        let stored = self.runtime.block_on(self.operators[0].read()).unwrap();
        assert_eq!(
            **stored.catalog(),
            *newest,
            "the store must hold the last accepted catalog"
        );
        let converged = self
            .cluster
            .wait_until_all_hold(newest.revision, CONVERGENCE_TIMEOUT);
        assert!(
            self.runtime.block_on(converged),
            "not all processes hold the newest revision after recovery"
        );
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
    let steps = StepGenerator::sequential_strategy(1..14);
    let result = runner.run(&steps, |(seed, steps, seen)| {
        SpreadTest::<V>::test_sequential(config.clone(), seed, steps, seen);
        Ok(())
    });
    result.map_err(|e| e.to_string())
}

#[rstest]
fn spread_keeps_promises(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u8) {
    if let Err(e) = run::<Correct>(seed, cases() / SEEDS) {
        panic!("{e}");
    }
}

#[test]
fn spread_newest_arrival_is_caught() {
    let e = run::<LastArrivalWins>(1, CASES).expect_err("the faulty install rule was not detected");
    assert!(e.contains("reverted"), "{e}");
}

#[test]
fn spread_lost_answer_as_failure_is_caught() {
    let e = run::<LostReportedAsFailed>(1, CASES)
        .expect_err("the faulty store client was not detected");
    let caught = ["accepted", "changed meanwhile", "conflict"];
    assert!(caught.iter().any(|c| e.contains(c)), "{e}");
}
