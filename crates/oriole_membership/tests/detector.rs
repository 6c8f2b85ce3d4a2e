//! Scenarios of the failure detector in a small cluster.

mod common;

use std::time::Duration;

use common::TestCluster;
use oriole_membership::prelude::*;
use rstest::rstest;

/// Time in which every process can be probed, suspected and declared dead several times.
const SETTLED: Duration = Duration::from_secs(60);

fn cluster() -> TestCluster {
    TestCluster::new(MembershipConfig::default(), 8, 1)
}

#[test]
fn tick_all_healthy() {
    let mut cluster = cluster();
    for _ in 0..400 {
        cluster.step();
        assert_eq!(cluster.wrongly_away(), []);
    }
}

#[test]
fn tick_crash_seen_by_all() {
    let mut cluster = cluster();
    cluster.run_for(SETTLED);
    cluster.nodes[3].running = false;
    cluster.nodes[3].dead = true;
    cluster.run_for(SETTLED);
    assert_eq!(cluster.wrongly_present(), []);
    assert_eq!(cluster.wrongly_away(), []);
}

#[rstest]
#[case::short(Duration::from_secs(2))]
#[case::long(Duration::from_secs(40))]
fn tick_paused_process_returns(#[case] pause: Duration) {
    let mut cluster = cluster();
    cluster.run_for(SETTLED);
    cluster.nodes[3].running = false;
    cluster.run_for(pause);
    cluster.nodes[3].running = true;
    cluster.step();
    let suspected: Vec<_> = cluster
        .wrongly_away()
        .into_iter()
        .filter(|(of, _)| *of == 3)
        .collect();
    assert_eq!(suspected, [], "a paused process suspects nobody");
    cluster.run_for(SETTLED);
    assert_eq!(cluster.wrongly_away(), []);
}

#[test]
fn on_message_restart_at_same_address() {
    let mut cluster = cluster();
    cluster.run_for(SETTLED);
    cluster.restart(3);
    for _ in 0..100 {
        cluster.step();
        assert_eq!(cluster.wrongly_away(), []);
    }
}

#[test]
fn tick_reached_by_some_only() {
    let mut cluster = cluster();
    cluster.run_for(SETTLED);
    cluster.cut_both_ways(0, 1);
    cluster.cut_both_ways(0, 2);
    for _ in 0..800 {
        cluster.step();
        assert_eq!(cluster.wrongly_away(), []);
    }
}

#[test]
fn tick_isolated_process_suspects_nobody() {
    let mut cluster = cluster();
    cluster.run_for(SETTLED);
    for other in 1..8 {
        cluster.cut_both_ways(0, other);
    }
    cluster.run_for(SETTLED);
    assert!(cluster.nodes[0].detector.is_isolated());
    assert!(cluster.nodes[0].detector.away().is_empty());
    assert_eq!(cluster.view(1, 0), Liveness::Away);
    cluster.cut.clear();
    cluster.run_for(SETTLED);
    assert_eq!(cluster.wrongly_away(), []);
}

#[test]
fn liveness_flapping_process_suppressed() {
    let mut cluster = cluster();
    for _ in 0..4 {
        cluster.nodes[3].running = false;
        cluster.run_for(Duration::from_secs(20));
        cluster.nodes[3].running = true;
        cluster.run_for(Duration::from_secs(5));
    }
    assert_eq!(cluster.view(0, 3), Liveness::Away);
    cluster.run_for(Duration::from_secs(120));
    assert_eq!(cluster.view(0, 3), Liveness::Alive);
}

#[test]
fn leave_seen_by_all() {
    let mut cluster = cluster();
    cluster.run_for(SETTLED);
    cluster.nodes[3].detector.leave();
    cluster.run_for(Duration::from_secs(10));
    for of in [0, 1, 2, 4, 5, 6, 7] {
        assert_eq!(cluster.view(of, 3), Liveness::Away);
    }
    cluster.restart(3);
    cluster.run_for(SETTLED);
    assert_eq!(cluster.wrongly_away(), []);
}
