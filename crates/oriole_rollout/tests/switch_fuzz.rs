//! Fuzz test of the switch: random sequences of faults of ranks, coordinators, engines and network.
//!
//! The environment variable `SWITCH_FUZZ_CASES` sets the number of cases for a longer run.

mod test_cluster;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use test_cluster::{SeededBug, TestCluster};

/// Number of cases when `SWITCH_FUZZ_CASES` is not set.
const DEFAULT_CASES: u32 = 10_000;
/// Number of fault-free rounds within which the group must make progress.
const PROGRESS_ROUND_LIMIT: usize = 600;

/// An event of a fuzz sequence. Indices are taken modulo the number of items.
#[derive(Clone, Debug)]
enum Event {
    FaultFree(u8),
    Stalled {
        rank: u8,
        rounds: u8,
    },
    EngineUnreachable {
        rank: u8,
        rounds: u8,
    },
    /// Advances the clock by this many milliseconds.
    Advance(u16),
    TickAgent(u8),
    TickCoordinator(u8),
    DeliverOrder {
        rank: u8,
        connection: u8,
    },
    DeliverAnswer(u8),
    LoseAnswer(u8),
    Deliver(u16),
    Lose(u16),
    Duplicate(u16),
    FinishLoad {
        rank: u8,
        succeeded: bool,
    },
    Step(u8),
    DeliverAllOrders(u8),
    RestartAgent(u8),
    RestartEngine(u8),
    RestartVm(u8),
    StartCoordinator,
    StopCoordinator(u8),
}

#[derive(Clone, Debug)]
struct ClusterSetup {
    ranks: usize,
    checks_fencing: bool,
}

/// The reference model has no state beyond the setup, since the invariants are the same in every
/// state; [`TestCluster`] checks them.
struct Invariants;

impl ReferenceStateMachine for Invariants {
    type State = ClusterSetup;
    type Transition = Event;

    fn init_state() -> BoxedStrategy<ClusterSetup> {
        (2usize..=4, any::<bool>())
            .prop_map(|(ranks, checks_fencing)| ClusterSetup {
                ranks,
                checks_fencing,
            })
            .boxed()
    }

    fn transitions(_: &ClusterSetup) -> BoxedStrategy<Event> {
        prop_oneof![
            4 => (1u8..12).prop_map(Event::FaultFree),
            3 => (any::<u8>(), 1u8..8).prop_map(|(rank, rounds)| Event::Stalled { rank, rounds }),
            2 => (any::<u8>(), 1u8..8)
                .prop_map(|(rank, rounds)| Event::EngineUnreachable { rank, rounds }),
            2 => (1u16..900).prop_map(Event::Advance),
            4 => any::<u8>().prop_map(Event::TickAgent),
            3 => any::<u8>().prop_map(Event::TickCoordinator),
            6 => (any::<u8>(), any::<u8>())
                .prop_map(|(rank, connection)| Event::DeliverOrder { rank, connection }),
            6 => any::<u8>().prop_map(Event::DeliverAnswer),
            1 => any::<u8>().prop_map(Event::LoseAnswer),
            10 => any::<u16>().prop_map(Event::Deliver),
            3 => any::<u16>().prop_map(Event::Lose),
            2 => any::<u16>().prop_map(Event::Duplicate),
            3 => (any::<u8>(), prop::bool::weighted(0.7))
                .prop_map(|(rank, succeeded)| Event::FinishLoad { rank, succeeded }),
            5 => any::<u8>().prop_map(Event::Step),
            3 => any::<u8>().prop_map(Event::DeliverAllOrders),
            2 => any::<u8>().prop_map(Event::RestartAgent),
            1 => any::<u8>().prop_map(Event::RestartEngine),
            1 => any::<u8>().prop_map(Event::RestartVm),
            2 => Just(Event::StartCoordinator),
            1 => any::<u8>().prop_map(Event::StopCoordinator),
        ]
        .boxed()
    }

    fn apply(state: ClusterSetup, _: &Event) -> ClusterSetup {
        state
    }
}

struct SwitchTest;

impl StateMachineTest for SwitchTest {
    type SystemUnderTest = TestCluster;
    type Reference = Invariants;

    fn init_test(setup: &ClusterSetup) -> TestCluster {
        start(setup, None)
    }

    fn apply(mut cluster: TestCluster, _: &ClusterSetup, event: Event) -> TestCluster {
        apply(&mut cluster, &event);
        cluster
    }

    fn teardown(cluster: TestCluster, _: ClusterSetup) {
        check_progress(cluster);
    }
}

/// Starts a cluster and lets it run without faults for a while.
fn start(setup: &ClusterSetup, bug: Option<SeededBug>) -> TestCluster {
    let mut cluster = TestCluster::new(setup.ranks, setup.checks_fencing, bug);
    cluster.start_coordinator();
    for _ in 0..12 {
        cluster.fault_free_round();
    }
    cluster
}

fn apply(cluster: &mut TestCluster, event: &Event) {
    let rank = |r: &u8| usize::from(*r) % cluster.ranks();
    let coordinator = |c: &u8| usize::from(*c) % cluster.coordinators.len().max(1);
    match event {
        Event::FaultFree(rounds) => (0..*rounds).for_each(|_| cluster.fault_free_round()),
        Event::Stalled { rank: r, rounds } => {
            let r = Some(rank(r));
            (0..*rounds).for_each(|_| cluster.round_with_faults(r, None));
        }
        Event::EngineUnreachable { rank: r, rounds } => {
            let r = Some(rank(r));
            (0..*rounds).for_each(|_| cluster.round_with_faults(None, r));
        }
        Event::Advance(ms) => cluster.now += std::time::Duration::from_millis((*ms).into()),
        Event::TickAgent(r) => cluster.tick_agent(rank(r)),
        Event::TickCoordinator(c) => cluster.tick_coordinator(coordinator(c)),
        Event::DeliverOrder {
            rank: r,
            connection,
        } => cluster.deliver_order(rank(r), usize::from(*connection)),
        Event::DeliverAnswer(r) => cluster.deliver_answer(rank(r)),
        Event::LoseAnswer(r) => cluster.lose_answer(rank(r)),
        Event::Deliver(i) => cluster.deliver(usize::from(*i)),
        Event::Lose(i) => cluster.lose(usize::from(*i)),
        Event::Duplicate(i) => cluster.duplicate(usize::from(*i)),
        Event::FinishLoad { rank: r, succeeded } => cluster.finish_load(rank(r), *succeeded),
        Event::Step(r) => {
            cluster.begin_step(rank(r));
        }
        Event::DeliverAllOrders(r) => cluster.deliver_all_orders(rank(r)),
        Event::RestartAgent(r) => cluster.restart_agent(rank(r)),
        Event::RestartEngine(r) => cluster.restart_engine(rank(r)),
        Event::RestartVm(r) => {
            let r = rank(r);
            cluster.restart_engine(r);
            cluster.restart_agent(r);
        }
        Event::StartCoordinator if cluster.coordinators.len() < 3 => cluster.start_coordinator(),
        Event::StartCoordinator => {}
        Event::StopCoordinator(c) => cluster.stop_coordinator(coordinator(c)),
    }
}

/// Checks that without further faults steps continue and another map comes into force on all ranks.
fn check_progress(mut cluster: TestCluster) {
    cluster.start_coordinator();
    let step = cluster.group_step();
    let active = cluster.active();
    for _ in 0..PROGRESS_ROUND_LIMIT {
        cluster.fault_free_round();
        let active_now = cluster.active();
        let switched = active_now[0].is_some()
            && active_now.iter().all(|m| *m == active_now[0])
            && active_now[0] != active[0];
        if switched && cluster.group_step() > step + 20 {
            return;
        }
    }
    panic!(
        "no progress: step {step} -> {}, maps {active:?} -> {:?}",
        cluster.group_step(),
        cluster.active()
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
    let value = std::env::var("SWITCH_FUZZ_CASES").ok();
    value.and_then(|n| n.parse().ok()).unwrap_or(DEFAULT_CASES)
}

/// Runs some cases with a seed; the test runs several seeds in parallel.
fn fuzz_with_seed(cases: u32, seed: u8) {
    let strategy = Invariants::sequential_strategy(1..60);
    let result = runner(cases, seed).run(&strategy, |(setup, events, seen)| {
        SwitchTest::test_sequential(Config::default(), setup, events, seen);
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
            scope.spawn(move || fuzz_with_seed(cases, seed));
        }
    });
}

/// Whether the checks find an injected bug.
fn finds_bug(bug: SeededBug) -> bool {
    let strategy = Invariants::sequential_strategy(1..60);
    let result = runner(4_000, 7).run(&strategy, |(setup, events, _)| {
        let run = std::panic::AssertUnwindSafe(|| {
            let mut cluster = start(&setup, Some(bug));
            events.iter().for_each(|e| apply(&mut cluster, e));
        });
        std::panic::catch_unwind(run).map_err(|_| TestCaseError::fail("found"))
    });
    matches!(result, Err(TestError::Fail(..)))
}

#[rstest::rstest]
#[case::vote_without_hold(SeededBug::VoteWithoutHold)]
#[case::closer_alone(SeededBug::CloserAlone)]
fn switch_checks_find(#[case] bug: SeededBug) {
    assert!(finds_bug(bug), "{bug:?} was not found");
}

/// Replays a sequence that once failed.
fn replay(ranks: usize, events: &[Event]) {
    let setup = ClusterSetup {
        ranks,
        checks_fencing: false,
    };
    let mut cluster = start(&setup, None);
    events.iter().for_each(|e| apply(&mut cluster, e));
    check_progress(cluster);
}

/// Guards against a vote while an order that lifts the hold is in flight: the closer restarts,
/// orders its engine to lift the hold, and then receives a vote that makes it count votes again.
#[test]
fn replay_vote_while_release_is_under_way() {
    let stalled = |rank, rounds| Event::Stalled { rank, rounds };
    replay(
        2,
        &[
            Event::FaultFree(2),
            stalled(0, 1),
            Event::FaultFree(6),
            stalled(1, 6),
            Event::EngineUnreachable { rank: 0, rounds: 3 },
            stalled(1, 1),
            Event::RestartAgent(1),
            stalled(0, 1),
            stalled(1, 1),
            Event::FaultFree(1),
        ],
    );
    replay(
        3,
        &[
            stalled(1, 4),
            Event::EngineUnreachable { rank: 2, rounds: 2 },
            Event::RestartAgent(2),
            stalled(0, 1),
            stalled(2, 1),
            Event::EngineUnreachable { rank: 0, rounds: 1 },
        ],
    );
}

/// Guards against a stuck group after all maps are lost while a committed switch waits for its
/// step.
#[test]
fn replay_all_lost_before_decided_step() {
    let stalled = |rank, rounds| Event::Stalled { rank, rounds };
    replay(
        2,
        &[
            stalled(0, 1),
            Event::StartCoordinator,
            Event::RestartAgent(0),
            Event::FaultFree(6),
            stalled(0, 3),
            Event::EngineUnreachable { rank: 1, rounds: 6 },
            Event::FaultFree(9),
            Event::RestartAgent(1),
            Event::RestartVm(0),
            Event::EngineUnreachable { rank: 0, rounds: 1 },
            Event::RestartEngine(1),
        ],
    );
}

/// A rank restarts after its vote while another rank's vote is delayed; then that vote arrives. If
/// the closer still counted the vote of the earlier run, it would commit a switch for which the
/// restarted rank does not hold its engine.
fn restart_during_vote(bug: Option<SeededBug>) {
    let setup = ClusterSetup {
        ranks: 3,
        checks_fencing: false,
    };
    let mut cluster = TestCluster::new(setup.ranks, setup.checks_fencing, bug);
    cluster.rank_cfg.vote_timeout = std::time::Duration::from_secs(2);
    (0..setup.ranks).for_each(|r| cluster.restart_agent(r));
    cluster.start_coordinator();
    for _ in 0..12 {
        cluster.fault_free_round();
    }
    let proposal = cluster.run_to_vote().expect("a switch is proposed");
    let voters: Vec<u16> = (0..3).filter(|r| *r != proposal.closer).collect();
    cluster.muted_voter = Some(voters[0]);
    for _ in 0..60 {
        cluster.hop();
    }
    cluster.restart_agent(usize::from(voters[1]));
    for _ in 0..80 {
        cluster.hop();
    }
    cluster.muted_voter = None;
    for _ in 0..30 {
        cluster.fault_free_round();
    }
}

#[test]
fn restart_during_vote_noticed() {
    restart_during_vote(None);
}

#[test]
#[should_panic(expected = "mixes maps")]
fn restart_during_vote_unnoticed() {
    restart_during_vote(Some(SeededBug::RestartUnnoticed));
}
