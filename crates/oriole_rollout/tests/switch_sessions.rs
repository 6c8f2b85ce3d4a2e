//! Golden files of whole sessions.

mod world;

use oriole_rollout::prelude::*;
use world::World;

/// A group under its first map, with the log switched on.
fn group() -> World {
    let mut world = World::new(3, false, None);
    world.start_coordinator();
    run_until(&mut world, |w| {
        w.group_step() > 0 && w.active()[0].is_some()
    });
    world.log = Some(Vec::new());
    world
}

/// Fair rounds until something holds, at most so many that a stuck group shows.
fn run_until(world: &mut World, done: impl Fn(&World) -> bool) {
    for _ in 0..300 {
        if done(world) {
            return;
        }
        world.fair_round();
    }
    panic!("the group is stuck at step {}", world.group_step());
}

fn all_use_version(world: &World, version: u64) -> bool {
    let uses =
        |m: &Option<oriole_placement::map::MapId>| m.is_some_and(|id| id.version.0 >= version);
    world.active().iter().all(uses)
}

fn version(world: &World) -> u64 {
    world.active()[0].map_or(0, |id| id.version.0)
}

fn log(world: &World) -> String {
    world.log.as_deref().unwrap_or_default().join("\n")
}

#[test]
fn session_plain_switch() {
    let mut world = group();
    let next = version(&world) + 1;
    run_until(&mut world, |w| all_use_version(w, next));
    insta::assert_snapshot!(log(&world));
}

#[test]
fn session_coordinator_dies_after_prepare() {
    let mut world = group();
    let next = version(&world) + 1;
    run_until(&mut world, |w| {
        w.engines[0].state().loading.is_some() || { w.engines[0].state().staged.len() > 1 }
    });
    world.kill_coordinator(0);
    for _ in 0..10 {
        world.fair_round();
    }
    world.start_coordinator();
    run_until(&mut world, |w| all_use_version(w, next));
    insta::assert_snapshot!(log(&world));
}

#[test]
fn session_rank_restarts() {
    let mut world = group();
    let next = version(&world) + 1;
    run_until(&mut world, |w| all_use_version(w, next));
    world.restart_engine(1);
    world.restart_agent(1);
    let step = world.group_step();
    run_until(&mut world, |w| w.group_step() > step + 3);
    insta::assert_snapshot!(log(&world));
}

#[test]
fn session_commit_answer_lost() {
    let mut world = group();
    let next = version(&world) + 1;
    let commit = |(to, e): &(Party, Envelope)| {
        let commits = matches!(e.message, GroupMessage::Outcome { commit: true, .. });
        commits && matches!(to, Party::Rank(_))
    };
    let mut lost = 0;
    for _ in 0..2_000 {
        if let Some(i) = world.net.iter().position(commit).filter(|_| lost < 2) {
            world.lose(i);
            lost += 1;
            continue;
        }
        if all_use_version(&world, next) {
            break;
        }
        world.small_round();
    }
    assert_eq!(lost, 2, "both ranks' copies of the outcome were lost");
    insta::assert_snapshot!(log(&world));
}

/// A load ends half way: what was read is freed, the old map goes on, and another try succeeds.
#[test]
fn session_load_fails() {
    let mut world = group();
    while world.engines[1].state().loading.is_none() {
        world.small_round_without_loads();
    }
    let next = version(&world) + 1;
    world.finish_load(1, false);
    let step = world.group_step();
    run_until(&mut world, |w| {
        let last = w.coordinators[0].status(w.now).last_switch;
        last.is_some_and(|l| l.failure.as_deref() == Some("load_failed"))
    });
    assert!(!all_use_version(&world, next));
    run_until(&mut world, |w| all_use_version(w, next));
    assert!(world.group_step() > step);
    insta::assert_snapshot!(log(&world));
}
