//! Stateful fuzz of admission, drain and shutdown against the oracle in `common`.

mod common;

use std::marker::PhantomData;
use std::sync::OnceLock;

use common::{Variant, World};
use oriole_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rstest::rstest;

/// Cases of the usual run; `ORIOLE_FUZZ_CASES` sets another number.
const CASES: u32 = 10_000;

#[derive(Clone, Debug)]
enum Op {
    Offer(u32, Priority, u64),
    Advance(u64),
    TurnCold,
    Restart(u64),
    Cancel(u64),
    Drained(bool),
    Parted(bool),
    StoreOut(bool),
    Pause(u64),
    ReofferLost,
    RestartAgent,
}

struct Ops;

impl ReferenceStateMachine for Ops {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        let priority = prop::sample::select(vec![Priority::High, Priority::Normal, Priority::Low]);
        prop_oneof![
            8 => (1..8u32, priority, 10..800u64).prop_map(|(n, p, d)| Op::Offer(n, p, d)),
            8 => (1..12u64).prop_map(Op::Advance),
            2 => (40..400u64).prop_map(Op::Advance),
            2 => Just(Op::TurnCold),
            1 => (0..8u64).prop_map(Op::Restart),
            3 => (0..4u64).prop_map(Op::Cancel),
            2 => any::<bool>().prop_map(Op::Drained),
            2 => any::<bool>().prop_map(Op::Parted),
            1 => any::<bool>().prop_map(Op::StoreOut),
            1 => (1..30u64).prop_map(Op::Pause),
            2 => Just(Op::ReofferLost),
            1 => Just(Op::RestartAgent),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}

trait Driven {
    const VARIANT: Variant;
}

struct Admission<V>(PhantomData<V>);

impl<V: Driven + 'static> StateMachineTest for Admission<V> {
    type SystemUnderTest = World;
    type Reference = Ops;

    fn init_test((): &()) -> World {
        // Warming up is the same in all cases, so it is done once.
        static SOUND: OnceLock<World> = OnceLock::new();
        match V::VARIANT {
            Variant::Sound => SOUND.get_or_init(|| World::warmed(Variant::Sound)).clone(),
            broken => World::warmed(broken),
        }
    }

    fn apply(mut world: World, (): &(), op: Op) -> World {
        match op {
            Op::Offer(n, priority, deadline) => world.offer_new(n, priority, deadline),
            Op::Advance(steps) => world.advance(steps),
            Op::TurnCold => world.turn_cold(),
            Op::Restart(notice) => world.restart(notice),
            Op::Cancel(steps) => world.cancel(steps),
            Op::Drained(drained) => world.set_drained(drained),
            Op::Parted(parted) => world.set_parted(parted),
            Op::StoreOut(out) => world.set_store_out(out),
            Op::Pause(steps) => world.pause(steps),
            Op::ReofferLost => {
                if let Some(content) = world.lost.pop() {
                    world.offer(content, Priority::Normal, 500);
                }
            }
            Op::RestartAgent => world.restart_agent(),
        }
        world
    }

    fn teardown(world: World, (): ()) {
        world.finish();
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
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(cfg.clone(), rng);
    let strategy = Ops::sequential_strategy(4..24).prop_map(|(s, ops, _)| (s, ops));
    runner.run(&strategy, |(state, ops)| {
        Admission::<V>::test_sequential(cfg.clone(), state, ops, None);
        Ok(())
    })
}

macro_rules! driven {
    ($($name:ident)*) => {
        $(struct $name; impl Driven for $name { const VARIANT: Variant = Variant::$name; })*
    };
}

driven! { Sound CancelFrees ReportsAreFresh EchoIsFresh LateDrain ForgetsWhatRuns TrustsAll }

#[test]
fn admission_holds_in_any_interleaving() {
    let cases = std::env::var("ORIOLE_FUZZ_CASES").ok();
    let cases = cases.and_then(|n| n.parse().ok()).unwrap_or(CASES);
    run::<Sound>(cases).unwrap();
}

#[rstest]
#[case::cancel_frees(run::<CancelFrees>, "above what a cold upstream bears|above the warm bound")]
#[case::reports_are_fresh(run::<ReportsAreFresh>, "above what a cold upstream bears")]
#[case::echo_is_fresh(run::<EchoIsFresh>, "new work while parted")]
#[case::late_drain(run::<LateDrain>, "new work while out of service")]
#[case::forgets_what_runs(run::<ForgetsWhatRuns>, "above the warm bound|above what a cold")]
#[case::trusts_all(run::<TrustsAll>, "a suspect does not run alone")]
fn admission_oracle_catches(#[case] run: fn(u32) -> Verdict, #[case] expected: &str) {
    let Err(TestError::Fail(reason, _)) = run(CASES) else {
        panic!("the oracle saw nothing wrong");
    };
    let text = reason.to_string();
    assert!(expected.split('|').any(|e| text.contains(e)), "{text}");
}
