//! Many exchanges over one connection with somebody between the two sides who keeps, repeats,
//! swaps and drops frames and cuts the connection at any byte. Whatever happens, an exchange gives
//! its own whole answer or an honest end.

#[path = "../common/mod.rs"]
mod common;
mod middle;
mod naive;
mod script;
mod world;

use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use script::Script;
use world::{Reader, World};

/// Cases of a usual run; `ORIOLE_FUZZ_CASES` sets another number.
const CASES: u32 = 10_000;

/// Most steps of a case.
const STEPS: usize = 40;

/// Which way frames go.
#[derive(Clone, Copy, Debug)]
enum Way {
    ToServer,
    ToClient,
}

#[derive(Clone, Debug)]
enum Step {
    /// A new request.
    Open(Script),
    /// A further attempt of an earlier request.
    Again(usize, Script),
    /// Takes some events of an exchange.
    Read(usize, usize),
    /// Drops an exchange.
    Leave(usize),
    /// Hands on the oldest frames that are kept.
    Deliver(Way, usize),
    /// Hands on a frame out of its order.
    Early(Way, usize),
    /// Sends a frame that was handed on before.
    Repeat(Way, usize),
    /// Loses a frame.
    Lose(Way, usize),
    /// Cuts the connection within the next frame, so many bytes on.
    Cut(Way, usize),
}

struct Session;

impl ReferenceStateMachine for Session {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let way = prop_oneof![1 => Just(Way::ToServer), 2 => Just(Way::ToClient)];
        let any = 0..8_usize;
        let frame = 0..200_usize;
        prop_oneof![
            6 => script::any().prop_map(Step::Open),
            2 => (any.clone(), script::any()).prop_map(|(i, s)| Step::Again(i, s)),
            8 => (any.clone(), 1..100_usize).prop_map(|(i, n)| Step::Read(i, n)),
            1 => any.prop_map(Step::Leave),
            16 => (way.clone(), 1..100_usize).prop_map(|(w, n)| Step::Deliver(w, n)),
            1 => (way.clone(), frame.clone()).prop_map(|(w, n)| Step::Early(w, n)),
            1 => (way.clone(), frame.clone()).prop_map(|(w, n)| Step::Repeat(w, n)),
            1 => (way.clone(), frame.clone()).prop_map(|(w, n)| Step::Lose(w, n)),
            1 => (way, frame).prop_map(|(w, n)| Step::Cut(w, n)),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

struct Test<R>(std::marker::PhantomData<R>);

impl<R: Reader> StateMachineTest for Test<R> {
    type SystemUnderTest = World<R>;
    type Reference = Session;

    fn init_test((): &()) -> World<R> {
        World::new()
    }

    fn apply(mut world: World<R>, (): &(), step: Step) -> World<R> {
        world.step(&step);
        world
    }

    fn check_invariants(world: &World<R>, (): &()) {
        world.check_late();
        world.check_credit();
    }

    fn teardown(mut world: World<R>, (): ()) {
        world.finish();
    }
}

fn fuzz<R: Reader>() -> Result<(), String> {
    let cases = std::env::var("ORIOLE_FUZZ_CASES")
        .ok()
        .and_then(|n| n.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    runner
        .run(
            &Session::sequential_strategy(1..STEPS),
            |(state, steps, seen)| {
                Test::<R>::test_sequential(config.clone(), state, steps, seen);
                Ok(())
            },
        )
        .map_err(|e| e.to_string())
}

#[test]
fn fuzz_exchanges_end_honestly() {
    assert_eq!(fuzz::<world::Real>(), Ok(()));
}

/// The oracle itself, and nothing else on the way, speaks against a faulty reader.
fn assert_caught(run: Result<(), String>) {
    let error = run.expect_err("the fault is caught");
    assert!(error.contains("dishonest"), "{error}");
}

#[test]
fn fuzz_catches_ignored_positions() {
    assert_caught(fuzz::<naive::IgnoresPositions>());
}

#[test]
fn fuzz_catches_ignored_attempts() {
    assert_caught(fuzz::<naive::IgnoresAttempts>());
}
