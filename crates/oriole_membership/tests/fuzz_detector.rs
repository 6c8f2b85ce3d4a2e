//! Liveness against who really runs, over random sessions of pauses, deaths, restarts and cuts.

mod common;

use std::collections::BTreeSet;
use std::time::Duration;

use common::Net;
use oriole_membership::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Cases of a usual run; `ORIOLE_FUZZ_CASES` sets another number.
const CASES: u32 = 10_000;

const SIZE: usize = 4;

/// Time within which all have been probed, suspected, given up and found again.
const SETTLED: Duration = Duration::from_secs(40);

#[derive(Clone, Debug)]
enum Step {
    Pause(usize),
    Resume(usize),
    Kill(usize),
    Restart(usize),
    Cut(usize, usize),
    Heal,
    Run(u32),
}

struct Session;

impl ReferenceStateMachine for Session {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        // The last two processes are never touched.
        let touched = 0..SIZE - 2;
        prop_oneof![
            2 => touched.clone().prop_map(Step::Pause),
            2 => touched.clone().prop_map(Step::Resume),
            1 => touched.clone().prop_map(Step::Kill),
            1 => touched.clone().prop_map(Step::Restart),
            2 => (touched, 0..SIZE).prop_map(|(a, b)| Step::Cut(a, b)),
            1 => Just(Step::Heal),
            6 => (1..12_u32).prop_map(Step::Run),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// A fault of all detectors.
trait Fault {
    const DEAF_TO_ACCUSATIONS: bool = false;
    const NEVER_DECLARES: bool = false;
}

struct Sound;
impl Fault for Sound {}

struct DeafToAccusations;
impl Fault for DeafToAccusations {
    const DEAF_TO_ACCUSATIONS: bool = true;
}

struct NeverDeclares;
impl Fault for NeverDeclares {
    const NEVER_DECLARES: bool = true;
}

struct Test<F>(std::marker::PhantomData<F>);

impl<F: Fault> StateMachineTest for Test<F> {
    type SystemUnderTest = Net;
    type Reference = Session;

    fn init_test((): &()) -> Net {
        let mut cfg = MembershipConfig {
            suppress_threshold: 1e9,
            ..MembershipConfig::default()
        };
        if F::NEVER_DECLARES {
            cfg.suspicion_timeout = Duration::MAX / 100;
        }
        let mut net = Net::new(cfg, SIZE, 1);
        net.deaf_to_accusations = F::DEAF_TO_ACCUSATIONS;
        net
    }

    fn apply(mut net: Net, (): &(), step: Step) -> Net {
        match step {
            Step::Pause(i) => net.nodes[i].running = false,
            Step::Resume(i) => net.nodes[i].running = !net.nodes[i].dead,
            Step::Kill(i) => {
                net.nodes[i].running = false;
                net.nodes[i].dead = true;
            }
            Step::Restart(i) => net.restart(i),
            Step::Cut(a, b) => net.cut_both_ways(a, b),
            Step::Heal => net.cut.clear(),
            Step::Run(steps) => (0..steps).for_each(|_| net.step()),
        }
        net
    }

    /// Two processes that nothing ever happened to never count each other as away.
    fn check_invariants(net: &Net, (): &()) {
        let (a, b) = (SIZE - 2, SIZE - 1);
        assert_ne!(net.view(a, b), Liveness::Away);
        assert_ne!(net.view(b, a), Liveness::Away);
    }

    /// Once nothing happens any more, all agree with the truth.
    fn teardown(mut net: Net, (): ()) {
        net.cut.clear();
        for node in &mut net.nodes {
            node.running = !node.dead;
        }
        net.run_for(SETTLED);
        assert_eq!(net.wrongly_away(), []);
        assert_eq!(net.wrongly_present(), []);
        let dead: BTreeSet<_> = net
            .nodes
            .iter()
            .filter(|n| n.dead)
            .map(|n| n.name.clone())
            .collect();
        assert_eq!(net.nodes[SIZE - 1].detector.away(), dead);
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
            &Session::sequential_strategy(1..12),
            |(state, steps, seen)| {
                Test::<F>::test_sequential(config.clone(), state, steps, seen);
                Ok(())
            },
        )
        .map_err(|e| e.to_string())
}

#[test]
fn fuzz_detector_agrees_with_truth() {
    assert_eq!(fuzz::<Sound>(), Ok(()));
}

#[test]
fn fuzz_detector_catches_deaf_to_accusations() {
    assert!(fuzz::<DeafToAccusations>().is_err());
}

#[test]
fn fuzz_detector_catches_never_declaring() {
    assert!(fuzz::<NeverDeclares>().is_err());
}
