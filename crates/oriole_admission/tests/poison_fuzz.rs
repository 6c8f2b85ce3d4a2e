//! Stateful fuzz of crashing content in a small fleet of agents and entries with delayed messages.

mod common;

use std::marker::PhantomData;

use common::fleet::{AGENTS, CONTENTS, ENTRIES, Fleet, Variant};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rstest::rstest;

/// Number of cases, unless `ORIOLE_FUZZ_CASES` sets another.
const CASES: u32 = 10_000;

#[derive(Clone, Debug)]
enum Op {
    Send {
        entry: usize,
        content: u64,
        pick: usize,
    },
    SendToAll {
        content: u64,
    },
    Advance(u64),
    Fail(usize),
}

struct Ops;

impl ReferenceStateMachine for Ops {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        prop_oneof![
            8 => (0..ENTRIES, 0..CONTENTS, 0..12usize)
                .prop_map(|(entry, content, pick)| Op::Send { entry, content, pick }),
            2 => (0..CONTENTS).prop_map(|content| Op::SendToAll { content }),
            6 => (1..8u64).prop_map(Op::Advance),
            1 => (0..AGENTS).prop_map(Op::Fail),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}

trait HasVariant {
    const VARIANT: Variant;
}

struct PoisonTest<V>(PhantomData<V>);

impl<V: HasVariant + 'static> StateMachineTest for PoisonTest<V> {
    type SystemUnderTest = Fleet;
    type Reference = Ops;

    fn init_test((): &()) -> Fleet {
        Fleet::new(V::VARIANT)
    }

    fn apply(mut fleet: Fleet, (): &(), op: Op) -> Fleet {
        match op {
            Op::Send {
                entry,
                content,
                pick,
            } => fleet.send(entry, content, pick),
            Op::SendToAll { content } => {
                (0..12).for_each(|pick| fleet.send(pick % ENTRIES, content, pick));
            }
            Op::Advance(steps) => fleet.advance(steps),
            Op::Fail(at) => fleet.fail(at),
        }
        fleet
    }

    fn check_invariants(fleet: &Fleet, (): &()) {
        fleet.check();
    }

    fn teardown(fleet: Fleet, (): ()) {
        fleet.finish();
    }
}

type FuzzResult = Result<(), TestError<((), Vec<Op>)>>;

fn run<V: HasVariant + 'static>(cases: u32) -> FuzzResult {
    let cfg = ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(cfg.clone(), rng);
    let strategy = Ops::sequential_strategy(4..24).prop_map(|(s, ops, _)| (s, ops));
    runner.run(&strategy, |(state, ops)| {
        PoisonTest::<V>::test_sequential(cfg.clone(), state, ops, None);
        Ok(())
    })
}

macro_rules! variants {
    ($($name:ident)*) => {
        $(struct $name; impl HasVariant for $name { const VARIANT: Variant = Variant::$name; })*
    };
}

variants! { Correct IgnoresHomes BlamesBystanders MarksAllProven }

#[test]
fn poison_is_bounded_and_harmless_content_completes() {
    let cases = std::env::var("ORIOLE_FUZZ_CASES").ok();
    let cases = cases.and_then(|n| n.parse().ok()).unwrap_or(CASES);
    run::<Correct>(cases).unwrap();
}

#[rstest]
#[case::ignores_homes(run::<IgnoresHomes>, "poisonous content crashed")]
#[case::blames_bystanders(run::<BlamesBystanders>, "harmless content is quarantined")]
#[case::marks_all_proven(run::<MarksAllProven>, "poisonous content crashed")]
fn poison_checks_detect(#[case] run: fn(u32) -> FuzzResult, #[case] expected: &str) {
    let Err(TestError::Fail(reason, _)) = run(CASES) else {
        panic!("the checks did not detect the fault");
    };
    assert!(reason.to_string().contains(expected), "{reason}");
}
