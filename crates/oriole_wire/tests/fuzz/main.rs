//! Fuzzes many exchanges over one connection. A proxy between client and server delays, repeats,
//! reorders and drops frames, and cuts the connection at any byte. Guards against an exchange that
//! reports an incomplete answer as complete or returns a part of another attempt's answer: it must
//! return its own complete answer or report that it failed.

#[path = "../common/mod.rs"]
mod common;
mod faulty_readers;
mod harness;
mod proxy;
mod script;

use harness::{Harness, Reader};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use script::Script;

/// Number of cases, unless `ORIOLE_FUZZ_CASES` sets another one.
const DEFAULT_CASES: u32 = 10_000;

/// Upper bound of the number of steps of a case.
const MAX_STEPS: usize = 40;

/// Direction in which a frame is sent.
#[derive(Clone, Copy, Debug)]
enum Direction {
    ToServer,
    ToClient,
}

#[derive(Clone, Debug)]
enum Step {
    /// Opens an exchange for a new request.
    Open(Script),
    /// Opens another attempt of an earlier request.
    Retry(usize, Script),
    /// Receives up to a number of events of an exchange.
    Read(usize, usize),
    /// Drops an exchange.
    DropExchange(usize),
    /// Forwards a number of pending frames, in order.
    Deliver(Direction, usize),
    /// Forwards a pending frame out of order.
    DeliverOutOfOrder(Direction, usize),
    /// Forwards again a frame that has already been forwarded.
    Repeat(Direction, usize),
    /// Drops a pending frame.
    DropFrame(Direction, usize),
    /// Cuts the connection after a number of bytes of the next pending frame.
    Cut(Direction, usize),
}

/// Generates random sequences of steps.
struct Session;

impl ReferenceStateMachine for Session {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let direction = prop_oneof![1 => Just(Direction::ToServer), 2 => Just(Direction::ToClient)];
        let exchange = 0..8_usize;
        let frame = 0..200_usize;
        prop_oneof![
            6 => script::arbitrary().prop_map(Step::Open),
            2 => (exchange.clone(), script::arbitrary()).prop_map(|(i, s)| Step::Retry(i, s)),
            8 => (exchange.clone(), 1..100_usize).prop_map(|(i, n)| Step::Read(i, n)),
            1 => exchange.prop_map(Step::DropExchange),
            16 => (direction.clone(), 1..100_usize).prop_map(|(d, n)| Step::Deliver(d, n)),
            1 => (direction.clone(), frame.clone()).prop_map(|(d, n)| Step::DeliverOutOfOrder(d, n)),
            1 => (direction.clone(), frame.clone()).prop_map(|(d, n)| Step::Repeat(d, n)),
            1 => (direction.clone(), frame.clone()).prop_map(|(d, n)| Step::DropFrame(d, n)),
            1 => (direction, frame).prop_map(|(d, n)| Step::Cut(d, n)),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// Runs the steps with a type of reader.
struct Test<R>(std::marker::PhantomData<R>);

impl<R: Reader> StateMachineTest for Test<R> {
    type SystemUnderTest = Harness<R>;
    type Reference = Session;

    fn init_test((): &()) -> Harness<R> {
        Harness::new()
    }

    fn apply(mut harness: Harness<R>, (): &(), step: Step) -> Harness<R> {
        harness.step(&step);
        harness
    }

    fn check_invariants(harness: &Harness<R>, (): &()) {
        harness.check_late_frames();
        harness.check_granted_credit();
    }

    fn teardown(mut harness: Harness<R>, (): ()) {
        harness.finish();
    }
}

fn fuzz<R: Reader>() -> Result<(), String> {
    let cases = std::env::var("ORIOLE_FUZZ_CASES")
        .ok()
        .and_then(|n| n.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(DEFAULT_CASES),
        failure_persistence: None,
        max_shrink_iters: 300,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    runner
        .run(
            &Session::sequential_strategy(1..MAX_STEPS),
            |(state, steps, seen_counter)| {
                Test::<R>::test_sequential(config.clone(), state, steps, seen_counter);
                Ok(())
            },
        )
        .map_err(|e| e.to_string())
}

#[test]
fn fuzz_exchanges_end_honestly() {
    assert_eq!(fuzz::<harness::ExchangeReader>(), Ok(()));
}

/// Checks that the run failed because the oracle detected the fault, and not for another reason.
fn assert_caught(run: Result<(), String>) {
    let error = run.expect_err("the oracle detects the fault");
    assert!(error.contains("dishonest"), "{error}");
}

#[test]
fn fuzz_catches_ignored_positions() {
    assert_caught(fuzz::<faulty_readers::IgnoresPositions>());
}

#[test]
fn fuzz_catches_ignored_attempts() {
    assert_caught(fuzz::<faulty_readers::IgnoresAttempts>());
}
