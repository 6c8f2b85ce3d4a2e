//! Random schedules of calls, messages, faults and crashes, checked against a ledger of all runs.

mod cluster;

use std::time::Duration;

use cluster::TestCluster;
use cluster::types::{InjectedBug, OutcomeCounts, REQUIRED_OUTCOMES, Step};
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;

/// Schedules of [`requests_run_at_most_once`]; `ORIOLE_CLAIMS_CASES` sets another number.
const DEFAULT_CASES: u32 = 10_000;
/// Schedules within which an injected bug must be caught.
const MAX_BUG_CASES: u32 = 3_000;
/// Schedules within which all required outcomes must be reached.
const REACH_CASES: u32 = 600;
/// Runs of the takeover test.
const HISTORY_COUNT: u32 = 60;
/// Claims made in each run of the takeover test.
const HISTORY_KEYS: usize = 40;
/// Length of a schedule.
const STEPS_PER_CASE: std::ops::Range<usize> = 10..100;
/// Seed of all tests; `ORIOLE_CLAIMS_SEED` sets another one for [`requests_run_at_most_once`].
const SEED: u64 = 0x6f72_696f_6c65;

/// Generates the schedule. It has no state, because the ledger is part of the cluster.
struct Schedule;

impl ReferenceStateMachine for Schedule {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        // Most views contain all agents.
        let view = || prop_oneof![5 => Just(0x07_u8), 1 => any::<u8>()];
        let body = || prop_oneof![6 => Just(0_u8), 1 => Just(1_u8)];
        let by = prop_oneof![8 => 0..3_u8, 1 => 3..5_u8];
        prop_oneof![
            6 => (any::<u8>(), body(), view())
                .prop_map(|(key, body, view)| Step::Call { key, body, view }),
            3 => (any::<u8>(), view()).prop_map(|(form, view)| Step::CallNewKey { form, view }),
            8 => any::<u16>().prop_map(Step::Deliver),
            10 => (1..24_u8).prop_map(Step::DeliverInOrder),
            4 => (any::<u16>(), any::<u8>()).prop_map(|(n, variant)| Step::Fault(n, variant)),
            2 => any::<u8>().prop_map(Step::Crash),
            1 => any::<u8>().prop_map(Step::Pause),
            2 => (any::<u8>(), view()).prop_map(|(slot, mask)| Step::SetView(slot, mask)),
            5 => (by, any::<u8>()).prop_map(|(by, mask)| Step::Advance(by, mask)),
            1 => prop_oneof![1 => Just(true), 3 => Just(false)].prop_map(Step::Outage),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct ClusterTest;

impl StateMachineTest for ClusterTest {
    type SystemUnderTest = TestCluster;
    type Reference = Schedule;

    fn init_test((): &()) -> TestCluster {
        let mut cluster = TestCluster::new(InjectedBug::None);
        cluster.log = std::env::var_os("ORIOLE_CLAIMS_LOG").map(|_| Vec::new());
        cluster
    }

    fn apply(mut cluster: TestCluster, (): &(), step: Step) -> TestCluster {
        cluster.step(&step);
        cluster
    }

    fn check_invariants(cluster: &TestCluster, (): &()) {
        assert_eq!(cluster.violation, None);
    }

    fn teardown(mut cluster: TestCluster, (): ()) {
        cluster.quiesce();
        assert_eq!(cluster.violation, None, "{:#?}", cluster.log);
    }
}

fn runner(cases: u32, seed: u64) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 4_000,
        ..Config::default()
    };
    let mut bytes = [0; 32];
    bytes[..8].copy_from_slice(&seed.to_be_bytes());
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &bytes))
}

fn env_number(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |v| v.parse().expect("a number"))
}

#[test]
fn requests_run_at_most_once() {
    let cases = env_number("ORIOLE_CLAIMS_CASES", DEFAULT_CASES.into()) as u32;
    let seed = env_number("ORIOLE_CLAIMS_SEED", SEED);
    let mut runner = runner(cases, seed);
    let config = runner.config().clone();
    runner
        .run(
            &Schedule::sequential_strategy(STEPS_PER_CASE),
            |((), steps, seen)| {
                ClusterTest::test_sequential(config.clone(), (), steps, seen);
                Ok(())
            },
        )
        .unwrap_or_else(|e| panic!("{e}"));
}

/// The first violation within [`MAX_BUG_CASES`] schedules.
fn violation(bug: InjectedBug) -> Option<String> {
    let strategy = Schedule::sequential_strategy(STEPS_PER_CASE);
    let mut runner = runner(1, SEED);
    (0..MAX_BUG_CASES).find_map(|_| {
        let (_, steps, _) = strategy
            .new_tree(&mut runner)
            .expect("a schedule")
            .current();
        let mut cluster = TestCluster::new(bug);
        steps.iter().for_each(|step| cluster.step(step));
        cluster.violation
    })
}

#[rstest]
#[case::lease_only(InjectedBug::LeaseOnly)]
#[case::lost_write_is_done(InjectedBug::LostWriteIsDone)]
#[case::lost_answer_is_failure(InjectedBug::LostAnswerIsFailure)]
#[case::segments_ignored(InjectedBug::SegmentsIgnored)]
#[case::tickets_inherited(InjectedBug::TicketsInherited)]
fn ledger_catches(#[case] bug: InjectedBug) {
    assert!(violation(bug).is_some(), "{bug:?} was not caught");
}

/// A lost write that is assumed to have failed does no harm: the next commit conflicts and reads
/// what is in the store.
#[test]
fn lost_write_assumed_failed_is_harmless() {
    assert_eq!(violation(InjectedBug::LostWriteIsNotDone), None);
}

/// Guards against schedules that never reach the outcomes that the tests above check.
#[test]
fn schedules_reach_required_outcomes() {
    let mut tally = OutcomeCounts::default();
    let strategy = Schedule::sequential_strategy(STEPS_PER_CASE);
    let mut runner = runner(1, SEED);
    for _ in 0..REACH_CASES {
        let (_, steps, _) = strategy
            .new_tree(&mut runner)
            .expect("a schedule")
            .current();
        let mut cluster = TestCluster::new(InjectedBug::None);
        steps.iter().for_each(|step| cluster.step(step));
        tally.add(&cluster.counts);
    }
    println!("{tally:#?}");
    for outcome in REQUIRED_OUTCOMES {
        assert!(
            tally.outcomes.contains_key(outcome),
            "no call ended {outcome}"
        );
    }
}

/// Makes many claims, some of them with faults, then crashes every agent in turn and requests every
/// key again after each crash.
fn run_history(bug: InjectedBug, rng: &mut StdRng) -> TestCluster {
    let mut cluster = TestCluster::new(bug);
    cluster.run_until_idle();
    for _ in 0..HISTORY_KEYS {
        cluster.call_new_key(rng.random_range(0..2), 0xff);
        if rng.random_bool(0.3) {
            cluster.deliver(0);
            cluster.step(&Step::Fault(0, rng.random()));
        }
        cluster.deliver_all();
        cluster.advance_clock(Duration::from_millis(150));
    }
    for slot in 0..cluster::AGENT_COUNT {
        cluster.crash(slot);
        wait_for_takeover(&mut cluster);
        (0..HISTORY_KEYS).for_each(|key| cluster.call(key, 0, 0xff));
        wait_for_takeover(&mut cluster);
    }
    cluster
}

/// Gives a new owner the time to read its partition and to serve requests.
fn wait_for_takeover(cluster: &mut TestCluster) {
    for _ in 0..8 {
        cluster.deliver_all();
        cluster.advance_clock(Duration::from_millis(250));
    }
}

/// A new owner that misses a claim would run its request a second time.
#[test]
fn takeover_knows_every_claim() {
    let mut rng = StdRng::seed_from_u64(SEED);
    for _ in 0..HISTORY_COUNT {
        let cluster = run_history(InjectedBug::None, &mut rng);
        assert_eq!(cluster.violation, None);
        let ended: u64 = cluster.counts.outcomes.values().sum();
        assert_eq!(ended, 4 * HISTORY_KEYS as u64, "{:?}", cluster.counts);
    }
}

#[test]
fn takeover_without_segments_is_caught() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let cluster = run_history(InjectedBug::SegmentsIgnored, &mut rng);
    assert!(cluster.violation.is_some());
}
