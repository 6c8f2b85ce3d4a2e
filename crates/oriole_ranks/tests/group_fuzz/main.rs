//! Fuzzes a simulated group with late orders, lost messages, restarted agents and new epochs, and
//! checks the main invariant: in each pass, all ranks use the same map.

mod link;
mod model;
mod size;

use std::time::Duration;

use rstest::rstest;

use crate::model::{Faults, Group, InjectedBug, MAX_STALL, NO_FAULTS, TICK};

/// Number of seeds for each of the five combinations of faults: ten thousand cases in total.
const SEEDS: u64 = 2000;

/// Skew below which the leader plans no other map.
const MIN_PLANNED_SKEW: f64 = 1.08;

const MANY_FAULTS: Faults = Faults {
    late_order: 0.3,
    lost_message: 0.15,
    restart: 0.01,
    new_epoch: 0.0005,
};

/// Most orders are late and agents restart often, so that runs of a leader overlap.
const OVERLAPPING: Faults = Faults {
    late_order: 0.7,
    restart: 0.06,
    ..MANY_FAULTS
};

fn run_group(seed: u64, injected_bug: InjectedBug, faults: Faults) -> Result<Group, String> {
    let mut group = Group::new(seed, injected_bug);
    group.run(Duration::from_secs(20), faults)?;
    Ok(group)
}

#[test]
fn group_calm_follows_demand() {
    let mut group = Group::new(1, InjectedBug::None);
    group.run(Duration::from_secs(20), NO_FAULTS).unwrap();
    assert!(
        group.planned_switches >= 3,
        "{} planned switches",
        group.planned_switches
    );
    assert!(group.engines[0].version > 0);
    assert!(
        group.longest_stall <= MAX_STALL,
        "{:?}",
        group.longest_stall
    );
}

#[rstest]
#[case::late_orders(Faults { late_order: 0.5, ..NO_FAULTS })]
#[case::lost_messages(Faults { lost_message: 0.4, ..NO_FAULTS })]
#[case::restarts(Faults { restart: 0.02, ..NO_FAULTS })]
#[case::all(MANY_FAULTS)]
#[case::overlapping(OVERLAPPING)]
fn group_faults_one_map_each_pass(#[case] faults: Faults) {
    for seed in 0..SEEDS {
        let mut group = Group::new(seed, InjectedBug::None);
        let run = group.run(Duration::from_secs(20), faults);
        run.unwrap_or_else(|e| panic!("seed {seed}: {e}"));
    }
}

/// Guards against a leader that freezes right after its hold was accepted, as in an incident: the
/// group stalled for the four seconds of the freeze. Other agents have to release the pass.
#[test]
fn group_leader_freezes_after_hold_others_go_on() {
    for seed in 0..40 {
        let mut group = Group::new(seed, InjectedBug::None);
        let mut is_frozen = false;
        for _ in 0..2000 {
            group.run(TICK, NO_FAULTS).unwrap();
            if !is_frozen && group.engines[0].held_pass.is_some() {
                is_frozen = true;
                group.agents[0].suspended_until = group.now + Duration::from_secs(4);
            }
        }
        assert!(is_frozen, "seed {seed}");
        // Callers give up after two seconds without an event.
        assert!(
            group.longest_stall < Duration::from_secs(1),
            "{:?}",
            group.longest_stall
        );
    }
}

/// Guards against a second preparation while experts are copied for the first, when demand shifts
/// again: the users' platform accepted it but never reported the map as prepared.
#[test]
fn group_demand_changes_while_copying_goes_on() {
    for seed in 0..40 {
        let mut group = Group::new(seed, InjectedBug::None);
        group.is_hot_expert_fixed = true;
        group.run(Duration::from_secs(1), NO_FAULTS).unwrap();
        for _ in 0..20 {
            // A shift is detected within two passes, so the next one falls into the copies for it.
            group.hot_expert = (group.hot_expert + 5) % 16;
            group.run(Duration::from_millis(140), NO_FAULTS).unwrap();
        }
        let previous_switches = group.planned_switches;
        group.hot_expert = (group.hot_expert + 5) % 16;
        // By chance, the map in use may hold the new hot expert on all ranks.
        let needs_switch = group.skew() > MIN_PLANNED_SKEW;
        group.run(Duration::from_millis(600), NO_FAULTS).unwrap();
        assert!(
            !needs_switch || group.planned_switches > previous_switches,
            "seed {seed}: no switch was planned"
        );
        let holders = group.engines[0].map[0].iter();
        let holders = holders
            .filter(|r| r.contains(&(group.hot_expert as u16)))
            .count();
        assert!(
            holders > 1,
            "seed {seed}: {holders} ranks hold the hot expert"
        );
    }
}

/// Once faults cease and no late order is left, the group runs without long stalls again.
#[test]
fn group_after_faults_goes_on() {
    for seed in 0..60 {
        let mut group = run_group(seed, InjectedBug::None, MANY_FAULTS)
            .unwrap_or_else(|e| panic!("seed {seed}: {e}"));
        group.delayed_orders.clear();
        for agent in &mut group.agents {
            agent.suspended_until = Duration::ZERO;
        }
        group.run(Duration::from_secs(2), NO_FAULTS).unwrap();
        let pass = group.pass;
        group.longest_stall = Duration::ZERO;
        group.run(Duration::from_secs(2), NO_FAULTS).unwrap();
        assert!(group.pass > pass, "seed {seed}: stalled at {pass}");
        let stall = group.longest_stall;
        assert!(stall <= MAX_STALL, "seed {seed}: stalled for {stall:?}");
    }
}

#[rstest]
#[case::release_by_time(InjectedBug::ReleasesByTime)]
#[case::no_hold(InjectedBug::ArmsWithoutHold)]
fn group_broken_variant_is_caught(#[case] injected_bug: InjectedBug) {
    let caught = (0..60).any(|seed| run_group(seed, injected_bug, MANY_FAULTS).is_err());
    assert!(caught, "{injected_bug:?} was not caught");
}
