//! Golden files of whole sessions: milliseconds, then what happened.

mod common;

use common::fleet::{self, Fleet};
use common::{Variant, World};
use oriole_types::prelude::*;

fn session(world: &mut World, f: impl FnOnce(&mut World)) -> String {
    world.log = Some(Vec::new());
    f(world);
    world.log.take().unwrap_or_default().join("\n")
}

fn steady(world: &mut World, requests: u32, steps_between: u64) {
    for _ in 0..requests {
        world.offer_new(1, Priority::Normal, 400);
        world.advance(steps_between);
    }
}

#[test]
fn session_cold_start_to_warm() {
    let mut world = World::new(Variant::Sound);
    world.advance(20);
    insta::assert_snapshot!(session(&mut world, |w| {
        steady(w, 30, 8);
        steady(w, 16, 1);
    }));
    assert!(world.model.most_fresh <= common::COLD);
}

#[test]
fn session_silent_turn_to_cold() {
    let mut world = World::warmed(Variant::Sound);
    insta::assert_snapshot!(session(&mut world, |w| {
        steady(w, 6, 2);
        w.turn_cold();
        steady(w, 6, 2);
        steady(w, 30, 8);
    }));
}

#[test]
fn session_unnoticed_restart() {
    let mut world = World::warmed(Variant::Sound);
    insta::assert_snapshot!(session(&mut world, |w| {
        steady(w, 6, 2);
        w.restart(6);
        steady(w, 6, 2);
    }));
}

#[test]
fn session_drain_and_return() {
    let mut world = World::warmed(Variant::Sound);
    insta::assert_snapshot!(session(&mut world, |w| {
        steady(w, 6, 2);
        w.set_drained(true);
        steady(w, 6, 2);
        w.set_drained(false);
        steady(w, 12, 2);
    }));
}

#[test]
fn session_graceful_shutdown_with_work_running() {
    let mut world = World::warmed(Variant::Sound);
    insta::assert_snapshot!(session(&mut world, |w| {
        w.offer_new(10, Priority::Normal, 400);
        w.advance(3);
        w.set_leaving();
        w.offer_new(1, Priority::High, 400);
        w.advance(20);
    }));
    assert!(world.gate.is_idle());
}

#[test]
fn session_parted_agent_stops_by_itself() {
    let mut world = World::warmed(Variant::Sound);
    insta::assert_snapshot!(session(&mut world, |w| {
        w.set_parted(true);
        for _ in 0..8 {
            w.offer_new(1, Priority::Normal, 400);
            w.advance(50);
        }
        w.set_parted(false);
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
    let mut fleet = Fleet::new(fleet::Variant::Sound);
    fleet.log = Some(Vec::new());
    // Innocents run beside the poison at every home, and the caller asks all entries at once.
    for round in 0..12 {
        for content in fleet::POISONS..fleet::CONTENTS {
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
