//! Stateful fuzz of callers, entries, agents and the store against the ledger.

mod world;

use std::time::Duration;

use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use rstest::rstest;
use world::World;
use world::parts::{Broken, ENDS, Step, Tally};

/// Cases of a run in CI. `ORIOLE_CLAIMS_CASES` sets another number.
const CASES: u32 = 10_000;
/// Most cases within which a broken variant must be caught.
const BROKEN_CASES: u32 = 3_000;
/// Cases within which every kind of end must be seen.
const REACH_CASES: u32 = 600;
/// Histories of many claims, and the claims of each.
const HISTORIES: u32 = 60;
const HISTORY_KEYS: usize = 40;
const STEPS: std::ops::Range<usize> = 10..100;
const SEED: u64 = 0x6f72_696f_6c65;

/// The ledger lives in the world; the reference machine only draws the schedule.
struct Schedule;

impl ReferenceStateMachine for Schedule {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        // Most entries and agents know all agents.
        let view = || prop_oneof![5 => Just(0x07_u8), 1 => any::<u8>()];
        let body = || prop_oneof![6 => Just(0_u8), 1 => Just(1_u8)];
        let by = prop_oneof![8 => 0..3_u8, 1 => 3..5_u8];
        prop_oneof![
            6 => (any::<u8>(), body(), view())
                .prop_map(|(key, body, view)| Step::Call { key, body, view }),
            3 => (any::<u8>(), view()).prop_map(|(form, view)| Step::Fresh { form, view }),
            8 => any::<u16>().prop_map(Step::Deliver),
            10 => (1..24_u8).prop_map(Step::Settle),
            4 => (any::<u16>(), any::<u8>()).prop_map(|(n, kind)| Step::Fault(n, kind)),
            2 => any::<u8>().prop_map(Step::Kill),
            1 => any::<u8>().prop_map(Step::Pause),
            2 => (any::<u8>(), view()).prop_map(|(slot, mask)| Step::View(slot, mask)),
            5 => (by, any::<u8>()).prop_map(|(by, mask)| Step::Advance(by, mask)),
            1 => prop_oneof![1 => Just(true), 3 => Just(false)].prop_map(Step::Outage),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Fleet;

impl StateMachineTest for Fleet {
    type SystemUnderTest = World;
    type Reference = Schedule;

    fn init_test((): &()) -> World {
        let mut world = World::new(Broken::Nothing);
        world.log = std::env::var_os("ORIOLE_CLAIMS_LOG").map(|_| Vec::new());
        world
    }

    fn apply(mut world: World, (): &(), step: Step) -> World {
        world.step(&step);
        world
    }

    fn check_invariants(world: &World, (): &()) {
        assert_eq!(world.violation, None);
    }

    fn teardown(mut world: World, (): ()) {
        world.quiesce();
        assert_eq!(world.violation, None, "{:#?}", world.log);
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

fn env(name: &str, default: u64) -> u64 {
    std::env::var(name).map_or(default, |v| v.parse().expect("a number"))
}

#[test]
fn home_keeps_the_ledger() {
    let cases = env("ORIOLE_CLAIMS_CASES", CASES.into()) as u32;
    let seed = env("ORIOLE_CLAIMS_SEED", SEED);
    let mut runner = runner(cases, seed);
    let config = runner.config().clone();
    runner
        .run(
            &Schedule::sequential_strategy(STEPS),
            |((), steps, seen)| {
                Fleet::test_sequential(config.clone(), (), steps, seen);
                Ok(())
            },
        )
        .unwrap_or_else(|e| panic!("{e}"));
}

/// The first violation within some number of schedules.
fn violation(broken: Broken) -> Option<String> {
    let strategy = Schedule::sequential_strategy(STEPS);
    let mut runner = runner(1, SEED);
    (0..BROKEN_CASES).find_map(|_| {
        let (_, steps, _) = strategy
            .new_tree(&mut runner)
            .expect("a schedule")
            .current();
        let mut world = World::new(broken);
        steps.iter().for_each(|step| world.step(step));
        world.violation
    })
}

#[rstest]
#[case::lease_only(Broken::LeaseOnly)]
#[case::lost_write_is_done(Broken::LostWriteIsDone)]
#[case::lost_answer_is_failure(Broken::LostAnswerIsFailure)]
#[case::segments_ignored(Broken::SegmentsIgnored)]
#[case::tickets_inherited(Broken::TicketsInherited)]
fn ledger_catches(#[case] broken: Broken) {
    assert!(violation(broken).is_some(), "{broken:?} was not caught");
}

/// No safety rests on a write's refusal either: the next commit finds what is in the store.
#[test]
fn lost_write_taken_for_not_done_is_harmless() {
    assert_eq!(violation(Broken::LostWriteIsNotDone), None);
}

/// The schedules reach every kind of end, so the checks above have something to judge.
#[test]
fn schedules_reach_all_ends() {
    let mut tally = Tally::default();
    let strategy = Schedule::sequential_strategy(STEPS);
    let mut runner = runner(1, SEED);
    for _ in 0..REACH_CASES {
        let (_, steps, _) = strategy
            .new_tree(&mut runner)
            .expect("a schedule")
            .current();
        let mut world = World::new(Broken::Nothing);
        steps.iter().for_each(|step| world.step(step));
        tally.add(&world.tally);
    }
    println!("{tally:#?}");
    for end in ENDS {
        assert!(tally.ends.contains_key(end), "no call ended {end}");
    }
}

/// Plays a history of many claims under lost writes, then lets every agent die in turn and asks for
/// every key again.
fn history(broken: Broken, rng: &mut StdRng) -> World {
    let mut world = World::new(broken);
    world.rest();
    for _ in 0..HISTORY_KEYS {
        world.fresh(rng.random_range(0..2), 0xff);
        if rng.random_bool(0.3) {
            world.deliver(0);
            world.step(&Step::Fault(0, rng.random()));
        }
        world.flush();
        world.pass(Duration::from_millis(150));
    }
    for slot in 0..world::AGENTS {
        world.kill(slot);
        settle(&mut world);
        (0..HISTORY_KEYS).for_each(|key| world.call(key, 0, 0xff));
        settle(&mut world);
    }
    world
}

/// Lets a new owner read its partition and serve.
fn settle(world: &mut World) {
    for _ in 0..8 {
        world.flush();
        world.pass(Duration::from_millis(250));
    }
}

#[test]
fn takeover_knows_every_claim() {
    let mut rng = StdRng::seed_from_u64(SEED);
    for _ in 0..HISTORIES {
        let world = history(Broken::Nothing, &mut rng);
        assert_eq!(world.violation, None);
        let ends: u64 = world.tally.ends.values().sum();
        assert_eq!(ends, 4 * HISTORY_KEYS as u64, "{:?}", world.tally);
    }
}

#[test]
fn takeover_without_segments_is_caught() {
    let mut rng = StdRng::seed_from_u64(SEED);
    let world = history(Broken::SegmentsIgnored, &mut rng);
    assert!(world.violation.is_some());
}
