//! Stateful fuzz of the switch: ranks, coordinators, engines and network under all faults.
//!
//! `SWITCH_FUZZ_CASES` sets the number of cases for a longer run.

mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use world::{Broken, World};

/// Cases of a run in CI.
const CASES: u32 = 10_000;
/// Rounds without faults after which the group must have made progress.
const PROGRESS_ROUNDS: usize = 600;

#[derive(Clone, Debug)]
enum Event {
    Fair(u8),
    Stalled { rank: u8, rounds: u8 },
    Cut { rank: u8, rounds: u8 },
    Advance(u16),
    TickAgent(u8),
    TickCoordinator(u8),
    Order { rank: u8, connection: u8 },
    Answer(u8),
    LoseAnswer(u8),
    Deliver(u16),
    Lose(u16),
    Double(u16),
    Load { rank: u8, whole: bool },
    Step(u8),
    Settle(u8),
    RestartAgent(u8),
    RestartEngine(u8),
    RestartVm(u8),
    StartCoordinator,
    KillCoordinator(u8),
}

#[derive(Clone, Debug)]
struct Setup {
    ranks: usize,
    checks_fencing: bool,
}

/// The oracle needs no state beyond the set-up: what must hold is the same in every state.
struct Oracle;

impl ReferenceStateMachine for Oracle {
    type State = Setup;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<Setup> {
        (2usize..=4, any::<bool>())
            .prop_map(|(ranks, checks_fencing)| Setup {
                ranks,
                checks_fencing,
            })
            .boxed()
    }

    fn transitions(_: &Setup) -> BoxedStrategy<Event> {
        prop_oneof![
            4 => (1u8..12).prop_map(Event::Fair),
            3 => (any::<u8>(), 1u8..8).prop_map(|(rank, rounds)| Event::Stalled { rank, rounds }),
            2 => (any::<u8>(), 1u8..8).prop_map(|(rank, rounds)| Event::Cut { rank, rounds }),
            2 => (1u16..900).prop_map(Event::Advance),
            4 => any::<u8>().prop_map(Event::TickAgent),
            3 => any::<u8>().prop_map(Event::TickCoordinator),
            6 => (any::<u8>(), any::<u8>())
                .prop_map(|(rank, connection)| Event::Order { rank, connection }),
            6 => any::<u8>().prop_map(Event::Answer),
            1 => any::<u8>().prop_map(Event::LoseAnswer),
            10 => any::<u16>().prop_map(Event::Deliver),
            3 => any::<u16>().prop_map(Event::Lose),
            2 => any::<u16>().prop_map(Event::Double),
            3 => (any::<u8>(), prop::bool::weighted(0.7))
                .prop_map(|(rank, whole)| Event::Load { rank, whole }),
            5 => any::<u8>().prop_map(Event::Step),
            3 => any::<u8>().prop_map(Event::Settle),
            2 => any::<u8>().prop_map(Event::RestartAgent),
            1 => any::<u8>().prop_map(Event::RestartEngine),
            1 => any::<u8>().prop_map(Event::RestartVm),
            2 => Just(Event::StartCoordinator),
            1 => any::<u8>().prop_map(Event::KillCoordinator),
        ]
        .boxed()
    }

    fn apply(state: Setup, _: &Event) -> Setup {
        state
    }
}

struct Switch;

impl StateMachineTest for Switch {
    type SystemUnderTest = World;
    type Reference = Oracle;

    fn init_test(setup: &Setup) -> World {
        start(setup, None)
    }

    fn apply(mut world: World, _: &Setup, event: Event) -> World {
        apply(&mut world, &event);
        world
    }

    fn teardown(world: World, _: Setup) {
        check_progress(world);
    }
}

fn start(setup: &Setup, broken: Option<Broken>) -> World {
    let mut world = World::new(setup.ranks, setup.checks_fencing, broken);
    world.start_coordinator();
    for _ in 0..12 {
        world.fair_round();
    }
    world
}

fn apply(world: &mut World, event: &Event) {
    let rank = |r: &u8| usize::from(*r) % world.ranks();
    let coordinator = |c: &u8| usize::from(*c) % world.coordinators.len().max(1);
    match event {
        Event::Fair(rounds) => (0..*rounds).for_each(|_| world.fair_round()),
        Event::Stalled { rank: r, rounds } => {
            let r = Some(rank(r));
            (0..*rounds).for_each(|_| world.round(r, None));
        }
        Event::Cut { rank: r, rounds } => {
            let r = Some(rank(r));
            (0..*rounds).for_each(|_| world.round(None, r));
        }
        Event::Advance(ms) => world.now += std::time::Duration::from_millis((*ms).into()),
        Event::TickAgent(r) => world.tick_agent(rank(r)),
        Event::TickCoordinator(c) => world.tick_coordinator(coordinator(c)),
        Event::Order {
            rank: r,
            connection,
        } => world.deliver_order(rank(r), usize::from(*connection)),
        Event::Answer(r) => world.deliver_answer(rank(r)),
        Event::LoseAnswer(r) => world.lose_answer(rank(r)),
        Event::Deliver(i) => world.deliver(usize::from(*i)),
        Event::Lose(i) => world.lose(usize::from(*i)),
        Event::Double(i) => world.double(usize::from(*i)),
        Event::Load { rank: r, whole } => world.finish_load(rank(r), *whole),
        Event::Step(r) => {
            world.begin_step(rank(r));
        }
        Event::Settle(r) => world.settle_engine(rank(r)),
        Event::RestartAgent(r) => world.restart_agent(rank(r)),
        Event::RestartEngine(r) => world.restart_engine(rank(r)),
        Event::RestartVm(r) => {
            let r = rank(r);
            world.restart_engine(r);
            world.restart_agent(r);
        }
        Event::StartCoordinator if world.coordinators.len() < 3 => world.start_coordinator(),
        Event::StartCoordinator => {}
        Event::KillCoordinator(c) => world.kill_coordinator(coordinator(c)),
    }
}

/// Once faults cease, steps go on and another map comes into force on all ranks.
fn check_progress(mut world: World) {
    world.start_coordinator();
    let step = world.group_step();
    let active = world.active();
    for _ in 0..PROGRESS_ROUNDS {
        world.fair_round();
        let now = world.active();
        let switched = now[0].is_some() && now.iter().all(|m| *m == now[0]) && now[0] != active[0];
        if switched && world.group_step() > step + 20 {
            return;
        }
    }
    panic!(
        "no progress: step {step} -> {}, maps {active:?} -> {:?}",
        world.group_step(),
        world.active()
    );
}

fn runner(cases: u32, seed: u8) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 2_000,
        ..Config::default()
    };
    TestRunner::new_with_rng(
        config,
        TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]),
    )
}

fn cases() -> u32 {
    let set = std::env::var("SWITCH_FUZZ_CASES").ok();
    set.and_then(|n| n.parse().ok()).unwrap_or(CASES)
}

/// Runs a part of the cases on a thread of its own.
fn fuzz_part(cases: u32, seed: u8) {
    let strategy = Oracle::sequential_strategy(1..60);
    let result = runner(cases, seed).run(&strategy, |(setup, events, seen)| {
        Switch::test_sequential(Config::default(), setup, events, seen);
        Ok(())
    });
    if let Err(e) = result {
        panic!("{e}");
    }
}

#[test]
fn switch_never_mixes_maps() {
    const PARTS: u8 = 4;
    let cases = cases().div_ceil(PARTS.into());
    std::thread::scope(|scope| {
        for seed in 0..PARTS {
            scope.spawn(move || fuzz_part(cases, seed));
        }
    });
}

/// Whether the checks find a mistake that is built in.
fn finds(broken: Broken) -> bool {
    let strategy = Oracle::sequential_strategy(1..60);
    let result = runner(4_000, 7).run(&strategy, |(setup, events, _)| {
        let run = std::panic::AssertUnwindSafe(|| {
            let mut world = start(&setup, Some(broken));
            events.iter().for_each(|e| apply(&mut world, e));
        });
        std::panic::catch_unwind(run).map_err(|_| TestCaseError::fail("found"))
    });
    matches!(result, Err(TestError::Fail(..)))
}

#[rstest::rstest]
#[case::vote_without_hold(Broken::VoteWithoutHold)]
#[case::closer_alone(Broken::CloserAlone)]
fn switch_checks_find(#[case] broken: Broken) {
    assert!(finds(broken), "{broken:?} was not found");
}

/// Sequences that once failed.
fn replay(ranks: usize, events: &[Event]) {
    let setup = Setup {
        ranks,
        checks_fencing: false,
    };
    let mut world = start(&setup, None);
    events.iter().for_each(|e| apply(&mut world, e));
    check_progress(world);
}

/// The closer restarts, orders its engine to lift the hold, and is asked to count votes again
/// while that order is on its way.
#[test]
fn replay_vote_while_release_is_under_way() {
    let stalled = |rank, rounds| Event::Stalled { rank, rounds };
    replay(
        2,
        &[
            Event::Fair(2),
            stalled(0, 1),
            Event::Fair(6),
            stalled(1, 6),
            Event::Cut { rank: 0, rounds: 3 },
            stalled(1, 1),
            Event::RestartAgent(1),
            stalled(0, 1),
            stalled(1, 1),
            Event::Fair(1),
        ],
    );
    replay(
        3,
        &[
            stalled(1, 4),
            Event::Cut { rank: 2, rounds: 2 },
            Event::RestartAgent(2),
            stalled(0, 1),
            stalled(2, 1),
            Event::Cut { rank: 0, rounds: 1 },
        ],
    );
}

/// All bodies of maps are lost while a switch is decided for a step that has not been reached.
#[test]
fn replay_all_lost_before_decided_step() {
    let stalled = |rank, rounds| Event::Stalled { rank, rounds };
    replay(
        2,
        &[
            stalled(0, 1),
            Event::StartCoordinator,
            Event::RestartAgent(0),
            Event::Fair(6),
            stalled(0, 3),
            Event::Cut { rank: 1, rounds: 6 },
            Event::Fair(9),
            Event::RestartAgent(1),
            Event::RestartVm(0),
            Event::Cut { rank: 0, rounds: 1 },
            Event::RestartEngine(1),
        ],
    );
}

/// A rank restarts after its vote while another rank's vote is held up; then that vote arrives.
fn restart_during_vote(broken: Option<Broken>) {
    let setup = Setup {
        ranks: 3,
        checks_fencing: false,
    };
    let mut world = World::new(setup.ranks, setup.checks_fencing, broken);
    world.rank_cfg.vote_timeout = std::time::Duration::from_secs(2);
    (0..setup.ranks).for_each(|r| world.restart_agent(r));
    world.start_coordinator();
    for _ in 0..12 {
        world.fair_round();
    }
    let proposal = world.run_to_vote().expect("a switch is proposed");
    let voters: Vec<u16> = (0..3).filter(|r| *r != proposal.closer).collect();
    world.mute_votes_of = Some(voters[0]);
    for _ in 0..60 {
        world.small_round();
    }
    world.restart_agent(usize::from(voters[1]));
    for _ in 0..80 {
        world.small_round();
    }
    world.mute_votes_of = None;
    for _ in 0..30 {
        world.fair_round();
    }
}

#[test]
fn restart_during_vote_noticed() {
    restart_during_vote(None);
}

#[test]
#[should_panic(expected = "mixes maps")]
fn restart_during_vote_unnoticed() {
    restart_during_vote(Some(Broken::RestartUnnoticed));
}
