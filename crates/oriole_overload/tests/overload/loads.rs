//! The loads that the module must bear, on the model of a fleet.

use std::time::Duration;

use crate::fleet::{Arrivals, Fleet, SLOTS, TARGET, USUAL, arrivals};

const VIEW_AGE: Duration = Duration::from_millis(200);
const WARM_UP: Duration = Duration::from_secs(8);

fn warm_fleet(daemons: usize, view_age: Duration) -> Fleet {
    let mut fleet = Fleet::new(daemons, view_age);
    fleet.run(WARM_UP, &USUAL);
    fleet.reset_outcomes();
    fleet
}

/// The usual load with one class multiplied.
fn burst(priority: u8, factor: f64) -> Vec<Arrivals> {
    let scale = |a: Arrivals| Arrivals {
        per_s: if a.priority == priority {
            a.per_s * factor
        } else {
            a.per_s
        },
        ..a
    };
    USUAL.into_iter().map(scale).collect()
}

fn admitted_share(fleet: &Fleet, priority: u8) -> f64 {
    let outcome = &fleet.outcomes[&priority];
    f64::from(outcome.admitted) / f64::from(outcome.arrived)
}

fn late_share(fleet: &Fleet) -> f64 {
    let late = fleet.pauses.iter().filter(|p| **p > TARGET).count();
    late as f64 / fleet.pauses.len() as f64
}

/// Guards against refusals in calm.
#[test]
fn run_usual_load_refuses_nothing() {
    let mut fleet = warm_fleet(69, VIEW_AGE);
    fleet.run(Duration::from_secs(20), &USUAL);
    for (priority, outcome) in &fleet.outcomes {
        assert_eq!(outcome.refused, 0, "priority {priority}");
    }
}

/// Guards against urgent streams that suffer from a burst of the least urgent ones.
#[test]
fn run_burst_of_least_urgent_spares_the_urgent() {
    let mut fleet = warm_fleet(69, VIEW_AGE);
    fleet.run(Duration::from_secs(10), &burst(2, 2.3));
    assert!(admitted_share(&fleet, 0) > 0.99, "{:?}", fleet.outcomes);
    assert!(admitted_share(&fleet, 1) > 0.95, "{:?}", fleet.outcomes);
    // The floor of 40 % of a class's arrivals.
    assert!(admitted_share(&fleet, 2) > 0.4, "{:?}", fleet.outcomes);
    assert!(late_share(&fleet) < 0.05, "{}", late_share(&fleet));
}

/// Guards against a class that starves while a more urgent one floods the group.
#[test]
fn run_burst_of_most_urgent_starves_no_class() {
    let mut fleet = warm_fleet(69, VIEW_AGE);
    fleet.run(Duration::from_secs(10), &burst(0, 4.0));
    let [first, last] = [0, 2].map(|p| admitted_share(&fleet, p));
    assert!(first > last, "{:?}", fleet.outcomes);
    assert!(last > 0.1, "{:?}", fleet.outcomes);
    assert!(f64::from(fleet.most_running) <= 1.15 * 1.1 * f64::from(SLOTS));
}

/// Guards against refused requests that come back and keep the group overloaded.
#[test]
fn run_retry_storm_ends_after_the_burst() {
    let mut fleet = warm_fleet(69, VIEW_AGE);
    fleet.retries = true;
    fleet.run(Duration::from_secs(10), &burst(2, 2.3));
    assert!(admitted_share(&fleet, 0) > 0.99, "{:?}", fleet.outcomes);
    assert!(late_share(&fleet) < 0.05, "{}", late_share(&fleet));
    let below: Vec<Arrivals> = burst(2, 0.5);
    fleet.run(Duration::from_secs(30), &below);
    fleet.reset_outcomes();
    fleet.run(Duration::from_secs(5), &below);
    for (priority, outcome) in &fleet.outcomes {
        assert_eq!(outcome.refused, 0, "priority {priority}");
    }
}

/// Guards against attempts at a group that stands still, and against a limit that falls for it.
#[test]
fn run_standstill_of_2_s_sends_probes_only() {
    let mut fleet = warm_fleet(69, VIEW_AGE);
    let limit = fleet.limit();
    fleet.slowdown = f64::INFINITY;
    // The standstill is recognized within 400 ms and a heartbeat.
    fleet.run(Duration::from_millis(700), &USUAL);
    fleet.reset_outcomes();
    fleet.run(Duration::from_millis(1300), &USUAL);
    for (priority, outcome) in &fleet.outcomes {
        assert_eq!(outcome.admitted, outcome.probes, "priority {priority}");
    }
    fleet.slowdown = 1.0;
    fleet.run(Duration::from_secs(1), &USUAL);
    assert!(fleet.limit() > 0.9 * limit, "{} of {limit}", fleet.limit());
    fleet.run(Duration::from_secs(4), &USUAL);
    fleet.reset_outcomes();
    fleet.run(Duration::from_secs(3), &USUAL);
    assert!(admitted_share(&fleet, 0) > 0.99, "{:?}", fleet.outcomes);
}

/// Guards against refusals that would not help: the pace does not follow the streams.
#[test]
fn run_slow_rank_leaves_half_of_the_slots() {
    let mut fleet = warm_fleet(69, VIEW_AGE);
    fleet.slowdown = 12.0;
    fleet.run(Duration::from_secs(10), &USUAL);
    assert!(fleet.running() >= SLOTS / 2, "{}", fleet.running());
    assert!(fleet.running() <= SLOTS, "{}", fleet.running());
    assert!(admitted_share(&fleet, 0) >= admitted_share(&fleet, 2));
    fleet.slowdown = 1.0;
    fleet.run(Duration::from_secs(5), &USUAL);
    fleet.reset_outcomes();
    fleet.run(Duration::from_secs(3), &USUAL);
    assert!(admitted_share(&fleet, 0) > 0.99, "{:?}", fleet.outcomes);
}

/// Guards against daemons that all fill the same room when a group goes on.
#[test]
fn run_return_with_300_waiting_keeps_the_bound() {
    let mut fleet = warm_fleet(69, VIEW_AGE);
    fleet.slowdown = f64::INFINITY;
    fleet.run(Duration::from_millis(700), &USUAL);
    let more = [arrivals(0, 300.0, 400), arrivals(2, 400.0, 1000)];
    fleet.run(Duration::from_millis(500), &more);
    assert!(fleet.waiting() >= 300, "{}", fleet.waiting());
    fleet.reset_outcomes();
    fleet.slowdown = 1.0;
    fleet.run(Duration::from_secs(2), &USUAL);
    let bound = 1.15 * 1.1 * fleet.limit();
    assert!(
        f64::from(fleet.most_running) <= bound,
        "{} of {bound}",
        fleet.most_running
    );
    assert!(admitted_share(&fleet, 0) > admitted_share(&fleet, 2));
}

/// Guards against daemons that together overshoot because their views are old.
#[test]
fn run_340_daemons_with_old_views_keep_the_bound() {
    let mut fleet = warm_fleet(340, Duration::from_secs(1));
    for load in [burst(2, 2.3), burst(0, 2.3)] {
        fleet.run(Duration::from_secs(10), &load);
        let bound = 1.15 * 1.1 * fleet.limit();
        assert!(
            f64::from(fleet.most_running) <= bound,
            "{} of {bound}",
            fleet.most_running
        );
        fleet.run(Duration::from_secs(5), &USUAL);
        fleet.reset_outcomes();
    }
}

/// Guards against a service with one priority that is limited below all others.
#[test]
fn run_one_priority_in_calm_refuses_nothing() {
    let load = [arrivals(1, 220.0, 1000)];
    let mut fleet = Fleet::new(69, VIEW_AGE);
    fleet.run(Duration::from_secs(15), &load);
    assert_eq!(fleet.outcomes[&1].refused, 0);
}
