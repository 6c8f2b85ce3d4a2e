//! Snapshots of whole sessions. Each line of a snapshot is the time in milliseconds and an event.

mod common;

use common::fleet::{self, Fleet};
use common::{Harness, Variant};
use oriole_types::prelude::*;

fn session(harness: &mut Harness, f: impl FnOnce(&mut Harness)) -> String {
    harness.log = Some(Vec::new());
    f(harness);
    harness.log.take().unwrap_or_default().join("\n")
}

fn steady(harness: &mut Harness, requests: u32, steps_between: u64) {
    for _ in 0..requests {
        harness.offer_new(1, Priority::Normal, 400);
        harness.advance(steps_between);
    }
}

#[test]
fn session_cold_start_to_warm() {
    let mut harness = Harness::new(Variant::Correct);
    harness.advance(20);
    insta::assert_snapshot!(session(&mut harness, |w| {
        steady(w, 30, 8);
        steady(w, 16, 1);
    }));
    assert!(harness.model.max_started_cold <= common::COLD);
}

#[test]
fn session_silent_turn_to_cold() {
    let mut harness = Harness::warmed(Variant::Correct);
    insta::assert_snapshot!(session(&mut harness, |w| {
        steady(w, 6, 2);
        w.turn_cold();
        steady(w, 6, 2);
        steady(w, 30, 8);
    }));
}

#[test]
fn session_unnoticed_restart() {
    let mut harness = Harness::warmed(Variant::Correct);
    insta::assert_snapshot!(session(&mut harness, |w| {
        steady(w, 6, 2);
        w.restart(6);
        steady(w, 6, 2);
    }));
}

#[test]
fn session_drain_and_return() {
    let mut harness = Harness::warmed(Variant::Correct);
    insta::assert_snapshot!(session(&mut harness, |w| {
        steady(w, 6, 2);
        w.set_drained(true);
        steady(w, 6, 2);
        w.set_drained(false);
        steady(w, 12, 2);
    }));
}

#[test]
fn session_graceful_shutdown_with_work_running() {
    let mut harness = Harness::warmed(Variant::Correct);
    insta::assert_snapshot!(session(&mut harness, |w| {
        w.offer_new(10, Priority::Normal, 400);
        w.advance(3);
        w.set_leaving();
        w.offer_new(1, Priority::High, 400);
        w.advance(20);
    }));
    assert!(harness.gate.is_idle());
}

#[test]
fn session_partitioned_agent_stops_by_itself() {
    let mut harness = Harness::warmed(Variant::Correct);
    insta::assert_snapshot!(session(&mut harness, |w| {
        w.set_partitioned(true);
        for _ in 0..8 {
            w.offer_new(1, Priority::Normal, 400);
            w.advance(50);
        }
        w.set_partitioned(false);
        w.advance(20);
        w.offer_new(1, Priority::Normal, 400);
        w.set_store_out(true);
        w.advance(800);
        w.offer_new(1, Priority::Normal, 400);
        w.advance(20);
    }));
}

#[test]
fn session_poison_through_the_fleet() {
    let mut fleet = Fleet::new(fleet::Variant::Correct);
    fleet.log = Some(Vec::new());
    // Harmless content runs next to the poisonous one at every home, and the caller sends it to all
    // entries at once.
    for round in 0..12 {
        for content in fleet::POISONOUS..fleet::CONTENTS {
            fleet.send(round % fleet::ENTRIES, content, round);
        }
        (0..fleet::ENTRIES).for_each(|entry| fleet.send(entry, 0, entry + round));
        fleet.advance(5);
    }
    fleet.advance(40);
    fleet.check();
    let log = fleet.log.take().unwrap_or_default();
    insta::assert_snapshot!(log.join("\n"));
    fleet.finish();
}
