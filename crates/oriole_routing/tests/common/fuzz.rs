//! Running a state machine over many cases with a fixed seed.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Cases of a usual run; `ORIOLE_FUZZ_CASES` sets another number.
const CASES: u32 = 10_000;

/// Most steps of a case.
const STEPS: usize = 40;

/// Runs a machine; the error tells the failing case.
pub fn fuzz<T>(seed: u8) -> Result<(), String>
where
    T: StateMachineTest,
    <T::Reference as ReferenceStateMachine>::State: 'static,
{
    let cases = std::env::var("ORIOLE_FUZZ_CASES")
        .ok()
        .and_then(|n| n.parse().ok());
    let config = Config {
        cases: cases.unwrap_or(CASES),
        failure_persistence: None,
        max_shrink_iters: 500,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[seed; 32]);
    let mut runner = TestRunner::new_with_rng(config.clone(), rng);
    let cases = T::Reference::sequential_strategy(1..STEPS);
    runner
        .run(&cases, |(state, transitions, seen)| {
            T::test_sequential(config.clone(), state, transitions, seen);
            Ok(())
        })
        .map_err(|e| e.to_string())
}
