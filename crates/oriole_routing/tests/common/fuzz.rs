//! Runs a state machine test over many random cases from a fixed seed.

use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

/// Number of cases, unless `ORIOLE_FUZZ_CASES` sets another one.
const CASES: u32 = 10_000;

/// Upper bound of the number of steps in a case.
const MAX_STEPS: usize = 40;

/// Runs a state machine test; the error describes the failing case.
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
    let cases = T::Reference::sequential_strategy(1..MAX_STEPS);
    runner
        .run(&cases, |(state, transitions, seen)| {
            T::test_sequential(config.clone(), state, transitions, seen);
            Ok(())
        })
        .map_err(|e| e.to_string())
}
