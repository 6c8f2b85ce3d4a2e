//! Calls of a large fleet to the store, and the time in which its daemons know each change, while
//! daemons, failure domains and the store fail.

use std::time::Duration;

use rstest::rstest;

use crate::fake::secs;
use crate::watch_relay_model::{Model, Outcome, Scenario};

const DAEMONS: usize = 69;

/// Agreed time for a change to take effect.
const APPLY_BOUND: Duration = Duration::from_secs(2);

fn fleet() -> Scenario {
    Scenario {
        daemons: DAEMONS,
        has_relays: true,
        ..Scenario::default()
    }
}

fn relay_lost() -> Scenario {
    Scenario {
        lost: vec![(0, secs(15.0))],
        ..fleet()
    }
}

fn domain_lost() -> Scenario {
    let domain = (0..DAEMONS).filter(|i| i % 3 == 1);
    Scenario {
        lost: domain.map(|i| (i, secs(15.0))).collect(),
        ..fleet()
    }
}

fn daemon_partitioned() -> Scenario {
    Scenario {
        partitioned: Some((40, secs(10.0)..secs(25.0))),
        ..fleet()
    }
}

fn store_fails() -> Scenario {
    Scenario {
        resets: Some(secs(8.0)..secs(16.0)),
        silence: Some(secs(22.0)..secs(26.0)),
        ..fleet()
    }
}

/// Guards against a fleet whose calls exhaust the store's rate, and against savings that make a
/// daemon learn of changes too late.
#[rstest]
#[case::calm(fleet(), 6)]
#[case::relay_lost(relay_lost(), 6)]
#[case::domain_lost(domain_lost(), 4)]
#[case::daemon_partitioned(daemon_partitioned(), 6)]
#[case::store_fails(store_fails(), 6)]
fn fleet_calls_few_and_changes_known_in_time(#[case] scenario: Scenario, #[case] relays: usize) {
    let before = Model::run(Scenario {
        has_relays: false,
        ..scenario.clone()
    });
    let after = Model::run(scenario);
    println!(
        "rules of small fleets: {} calls, {before:?}",
        before.calls()
    );
    println!("rules with relays:     {} calls, {after:?}", after.calls());
    assert_eq!(after.relays, relays);
    assert!(after.longest_lag <= APPLY_BOUND, "{:?}", after.longest_lag);
    assert!(
        after.longest_recovery <= APPLY_BOUND,
        "{:?}",
        after.longest_recovery
    );
    assert!(10 * after.calls() <= 3 * before.calls());
}

/// Guards against any effect of the relays on fleets of up to 32 daemons.
#[test]
fn fleet_of_32_decides_as_before() {
    let run = |has_relays| -> Outcome {
        Model::run(Scenario {
            daemons: 32,
            has_relays,
            lost: vec![(0, secs(15.0))],
            ..store_fails()
        })
    };
    let (before, after) = (run(false), run(true));
    println!("{} calls, {after:?}", after.calls());
    assert_eq!(before, after);
}
