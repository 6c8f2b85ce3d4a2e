//! Stateful fuzz of poison through a small fleet: agents and entries with lagging news.

mod common;

use std::marker::PhantomData;

use common::fleet::{AGENTS, CONTENTS, ENTRIES, Fleet, Variant};
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rstest::rstest;

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

trait Driven {
    const VARIANT: Variant;
}

struct Poison<V>(PhantomData<V>);

impl<V: Driven + 'static> StateMachineTest for Poison<V> {
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

type Verdict = Result<(), TestError<((), Vec<Op>)>>;

fn run<V: Driven + 'static>(cases: u32) -> Verdict {
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
        Poison::<V>::test_sequential(cfg.clone(), state, ops, None);
        Ok(())
    })
}

macro_rules! driven {
    ($($name:ident)*) => {
        $(struct $name; impl Driven for $name { const VARIANT: Variant = Variant::$name; })*
    };
}

driven! { Sound IgnoresHomes BlamesNeighbours TrustsAll }

#[test]
fn poison_is_bounded_and_innocents_go_free() {
    let cases = std::env::var("ORIOLE_FUZZ_CASES").ok();
    let cases = cases.and_then(|n| n.parse().ok()).unwrap_or(CASES);
    run::<Sound>(cases).unwrap();
}

#[rstest]
#[case::ignores_homes(run::<IgnoresHomes>, "a poison crashed")]
#[case::blames_neighbours(run::<BlamesNeighbours>, "an innocent is condemned")]
#[case::trusts_all(run::<TrustsAll>, "a poison crashed")]
fn poison_oracle_catches(#[case] run: fn(u32) -> Verdict, #[case] expected: &str) {
    let Err(TestError::Fail(reason, _)) = run(CASES) else {
        panic!("the oracle saw nothing wrong");
    };
    assert!(reason.to_string().contains(expected), "{reason}");
}
