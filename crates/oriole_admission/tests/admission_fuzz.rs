//! Stateful fuzz of admission, drain and shutdown against the assertions of the harness in `common`.

mod common;

use std::marker::PhantomData;
use std::sync::OnceLock;

use common::{Harness, Variant};
use oriole_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rstest::rstest;

/// Number of cases, unless `ORIOLE_FUZZ_CASES` sets another.
const CASES: u32 = 10_000;

#[derive(Clone, Debug)]
enum Op {
    Offer(u32, Priority, u64),
    Advance(u64),
    TurnCold,
    Restart(u64),
    Cancel(u64),
    Drained(bool),
    Partitioned(bool),
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
            2 => any::<bool>().prop_map(Op::Partitioned),
            1 => any::<bool>().prop_map(Op::StoreOut),
            1 => (1..30u64).prop_map(Op::Pause),
            2 => Just(Op::ReofferLost),
            1 => Just(Op::RestartAgent),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}

trait HasVariant {
    const VARIANT: Variant;
}

struct AdmissionTest<V>(PhantomData<V>);

impl<V: HasVariant + 'static> StateMachineTest for AdmissionTest<V> {
    type SystemUnderTest = Harness;
    type Reference = Ops;

    fn init_test((): &()) -> Harness {
        // Warming up is the same in all cases, so it is done once.
        static WARMED: OnceLock<Harness> = OnceLock::new();
        match V::VARIANT {
            Variant::Correct => WARMED
                .get_or_init(|| Harness::warmed(Variant::Correct))
                .clone(),
            faulty => Harness::warmed(faulty),
        }
    }

    fn apply(mut harness: Harness, (): &(), op: Op) -> Harness {
        match op {
            Op::Offer(n, priority, deadline) => harness.offer_new(n, priority, deadline),
            Op::Advance(steps) => harness.advance(steps),
            Op::TurnCold => harness.turn_cold(),
            Op::Restart(notice_steps) => harness.restart(notice_steps),
            Op::Cancel(steps) => harness.cancel(steps),
            Op::Drained(drained) => harness.set_drained(drained),
            Op::Partitioned(partitioned) => harness.set_partitioned(partitioned),
            Op::StoreOut(out) => harness.set_store_out(out),
            Op::Pause(steps) => harness.pause(steps),
            Op::ReofferLost => {
                if let Some(content) = harness.lost.pop() {
                    harness.offer(content, Priority::Normal, 500);
                }
            }
            Op::RestartAgent => harness.restart_agent(),
        }
        harness
    }

    fn teardown(harness: Harness, (): ()) {
        harness.finish();
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
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let mut runner = TestRunner::new_with_rng(cfg.clone(), rng);
    let strategy = Ops::sequential_strategy(4..24).prop_map(|(s, ops, _)| (s, ops));
    runner.run(&strategy, |(state, ops)| {
        AdmissionTest::<V>::test_sequential(cfg.clone(), state, ops, None);
        Ok(())
    })
}

macro_rules! variants {
    ($($name:ident)*) => {
        $(struct $name; impl HasVariant for $name { const VARIANT: Variant = Variant::$name; })*
    };
}

variants! { Correct CancelFreesSlot IgnoresReportAge IgnoresConfirmationAge DelaysDrain ForgetsRunningWork HidesContent }

#[test]
fn admission_holds_in_any_interleaving() {
    let cases = std::env::var("ORIOLE_FUZZ_CASES").ok();
    let cases = cases.and_then(|n| n.parse().ok()).unwrap_or(CASES);
    run::<Correct>(cases).unwrap();
}

#[rstest]
#[case::cancel_frees_slot(run::<CancelFreesSlot>, "above the cold concurrency|above the warm concurrency")]
#[case::ignores_report_age(run::<IgnoresReportAge>, "above the cold concurrency")]
#[case::ignores_confirmation_age(run::<IgnoresConfirmationAge>, "new work while partitioned")]
#[case::delays_drain(run::<DelaysDrain>, "new work while out of service")]
#[case::forgets_running_work(run::<ForgetsRunningWork>, "above the warm concurrency|above the cold")]
#[case::hides_content(run::<HidesContent>, "a suspect does not run alone")]
fn admission_harness_detects(#[case] run: fn(u32) -> FuzzResult, #[case] expected: &str) {
    let Err(TestError::Fail(reason, _)) = run(CASES) else {
        panic!("the harness did not detect the fault");
    };
    let text = reason.to_string();
    assert!(expected.split('|').any(|e| text.contains(e)), "{text}");
}
