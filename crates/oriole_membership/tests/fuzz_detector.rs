//! Compares the detectors' views with the real state of the processes, over random sequences of
//! pauses, crashes, restarts and network cuts.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::TestCluster;
use oriole_membership::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Number of cases, unless `ORIOLE_FUZZ_CASES` sets another.
const CASES: u32 = 10_000;

/// Number of processes.
const SIZE: usize = 4;

/// Time in which every process can be probed, suspected, declared dead and found again.
const SETTLED: Duration = Duration::from_secs(40);

#[derive(Clone, Debug)]
enum Op {
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Restart(usize),
    Cut(usize, usize),
    Heal,
    Run(u32),
}

struct OpSequence;

impl ReferenceStateMachine for OpSequence {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        // The last two processes are never paused, killed or restarted, and the link between them is
        // never cut.
        let targets = 0..SIZE - 2;
        prop_oneof![
            2 => targets.clone().prop_map(Op::Pause),
            2 => targets.clone().prop_map(Op::Resume),
            1 => targets.clone().prop_map(Op::Kill),
            1 => targets.clone().prop_map(Op::Restart),
            2 => (targets, 0..SIZE).prop_map(|(a, b)| Op::Cut(a, b)),
            1 => Just(Op::Heal),
            6 => (1..12_u32).prop_map(Op::Run),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}

/// Deliberate fault that the test must detect.
trait Fault {
    const DROPS_ACCUSATIONS: bool = false;
    const NEVER_DECLARES_DEAD: bool = false;
}

struct NoFault;
impl Fault for NoFault {}

struct DropsAccusations;
impl Fault for DropsAccusations {
    const DROPS_ACCUSATIONS: bool = true;
}

struct NeverDeclaresDead;
impl Fault for NeverDeclaresDead {
    const NEVER_DECLARES_DEAD: bool = true;
}

struct DetectorTest<F>(std::marker::PhantomData<F>);

impl<F: Fault> StateMachineTest for DetectorTest<F> {
    type SystemUnderTest = TestCluster;
    type Reference = OpSequence;

    fn init_test((): &()) -> TestCluster {
        let mut cfg = MembershipConfig {
            suppress_threshold: 1e9,
            ..MembershipConfig::default()
        };
        if F::NEVER_DECLARES_DEAD {
            cfg.suspicion_timeout = Duration::MAX / 100;
        }
        let mut cluster = TestCluster::new(cfg, SIZE, 1);
        cluster.drops_accusations = F::DROPS_ACCUSATIONS;
        cluster
    }

    fn apply(mut cluster: TestCluster, (): &(), step: Op) -> TestCluster {
        match step {
            Op::Pause(i) => cluster.nodes[i].running = false,
            Op::Resume(i) => cluster.nodes[i].running = !cluster.nodes[i].dead,
            Op::Kill(i) => {
                cluster.nodes[i].running = false;
                cluster.nodes[i].dead = true;
            }
            Op::Restart(i) => cluster.restart(i),
            Op::Cut(a, b) => cluster.cut_both_ways(a, b),
            Op::Heal => cluster.cut.clear(),
            Op::Run(steps) => (0..steps).for_each(|_| cluster.step()),
        }
        cluster
    }

    /// The last two processes, which always run and can reach each other, never see each other as
    /// away.
    fn check_invariants(cluster: &TestCluster, (): &()) {
        let (a, b) = (SIZE - 2, SIZE - 1);
        assert_ne!(cluster.view(a, b), Liveness::Away);
        assert_ne!(cluster.view(b, a), Liveness::Away);
    }

    /// Once all faults are healed, all views agree with the real state.
    fn teardown(mut cluster: TestCluster, (): ()) {
        cluster.cut.clear();
        for node in &mut cluster.nodes {
            node.running = !node.dead;
        }
        cluster.run_for(SETTLED);
        assert_eq!(cluster.wrongly_away(), []);
        assert_eq!(cluster.wrongly_present(), []);
        let dead: BTreeSet<_> = cluster
            .nodes
            .iter()
            .filter(|n| n.dead)
            .map(|n| n.name.clone())
            .collect();
        assert_eq!(cluster.nodes[SIZE - 1].detector.away(), dead);
    }
}

fn fuzz<F: Fault + 'static>() -> Result<(), String> {
    let cases = std::env::var("ORIOLE_FUZZ_CASES")
        .ok()
        .and_then(|n| n.parse().ok());
    let cases = cases.unwrap_or(CASES);
    let config = Config {
        cases,
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[4; 32]);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    runner
        .run(
            &OpSequence::sequential_strategy(1..12),
            |(state, steps, seen)| {
                DetectorTest::<F>::test_sequential(config.clone(), state, steps, seen);
                Ok(())
            },
        )
        .map_err(|e| e.to_string())
}

#[test]
fn fuzz_detector_agrees_with_real_state() {
    assert_eq!(fuzz::<NoFault>(), Ok(()));
}

#[test]
fn fuzz_detector_detects_dropped_accusations() {
    assert!(fuzz::<DropsAccusations>().is_err());
}

#[test]
fn fuzz_detector_detects_never_declaring_dead() {
    assert!(fuzz::<NeverDeclaresDead>().is_err());
}
