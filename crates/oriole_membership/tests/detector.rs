//! Cases of liveness.

mod common;

use std::time::Duration;

use common::Net;
use oriole_membership::prelude::*;
use rstest::rstest;

/// Time within which every process has been probed, suspected and given up several times over.
const SETTLED: Duration = Duration::from_secs(60);

fn net() -> Net {
    Net::new(MembershipConfig::default(), 8, 1)
}

#[test]
fn tick_all_healthy() {
    let mut net = net();
    for _ in 0..400 {
        net.step();
        assert_eq!(net.wrongly_away(), []);
    }
}

#[test]
fn tick_death_seen_by_all() {
    let mut net = net();
    net.run_for(SETTLED);
    net.nodes[3].running = false;
    net.nodes[3].dead = true;
    net.run_for(SETTLED);
    assert_eq!(net.wrongly_present(), []);
    assert_eq!(net.wrongly_away(), []);
}

#[rstest]
#[case::short(Duration::from_secs(2))]
#[case::long(Duration::from_secs(40))]
fn tick_paused_process_returns(#[case] pause: Duration) {
    let mut net = net();
    net.run_for(SETTLED);
    net.nodes[3].running = false;
    net.run_for(pause);
    net.nodes[3].running = true;
    net.step();
    let accused: Vec<_> = net
        .wrongly_away()
        .into_iter()
        .filter(|(of, _)| *of == 3)
        .collect();
    assert_eq!(accused, [], "a process that was paused accuses nobody");
    net.run_for(SETTLED);
    assert_eq!(net.wrongly_away(), []);
}

#[test]
fn received_restart_at_same_address() {
    let mut net = net();
    net.run_for(SETTLED);
    net.restart(3);
    for _ in 0..100 {
        net.step();
        assert_eq!(net.wrongly_away(), []);
    }
}

#[test]
fn tick_seen_by_some_only() {
    let mut net = net();
    net.run_for(SETTLED);
    net.cut_both_ways(0, 1);
    net.cut_both_ways(0, 2);
    for _ in 0..800 {
        net.step();
        assert_eq!(net.wrongly_away(), []);
    }
}

#[test]
fn tick_cut_off_process_accuses_nobody() {
    let mut net = net();
    net.run_for(SETTLED);
    for other in 1..8 {
        net.cut_both_ways(0, other);
    }
    net.run_for(SETTLED);
    assert!(net.nodes[0].detector.is_isolated());
    assert!(net.nodes[0].detector.away().is_empty());
    assert_eq!(net.view(1, 0), Liveness::Away);
    net.cut.clear();
    net.run_for(SETTLED);
    assert_eq!(net.wrongly_away(), []);
}

#[test]
fn liveness_flapping_process_suppressed() {
    let mut net = net();
    for _ in 0..4 {
        net.nodes[3].running = false;
        net.run_for(Duration::from_secs(20));
        net.nodes[3].running = true;
        net.run_for(Duration::from_secs(5));
    }
    assert_eq!(net.view(0, 3), Liveness::Away);
    net.run_for(Duration::from_secs(120));
    assert_eq!(net.view(0, 3), Liveness::Alive);
}

#[test]
fn leave_heard_by_all() {
    let mut net = net();
    net.run_for(SETTLED);
    net.nodes[3].detector.leave();
    net.run_for(Duration::from_secs(10));
    for of in [0, 1, 2, 4, 5, 6, 7] {
        assert_eq!(net.view(of, 3), Liveness::Away);
    }
    net.restart(3);
    net.run_for(SETTLED);
    assert_eq!(net.wrongly_away(), []);
}
