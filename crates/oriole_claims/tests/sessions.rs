//! Golden files of whole sessions, one for each end of a request.

mod world;

use std::time::Duration;

use rstest::rstest;
use world::parts::{Broken, Sort, Step};
use world::{RETENTION, World};

const ALL: u8 = 0xff;
const PLAIN: u8 = 0;
const STAMPED: u8 = 1;
const TICKET: u8 = 2;

/// A fleet at rest, whose homes own their partitions.
fn fleet() -> World {
    let mut world = World::new(Broken::Nothing);
    world.rest();
    world.log = Some(Vec::new());
    world
}

/// A first request under a new key, answered.
fn answered(form: u8) -> World {
    let mut world = fleet();
    world.fresh(form, ALL);
    world.flush();
    world
}

fn first_run() -> World {
    answered(PLAIN)
}

fn replay() -> World {
    let mut world = answered(STAMPED);
    world.call(0, 0, ALL);
    world.flush();
    world
}

fn twins_share_one_run() -> World {
    let mut world = fleet();
    world.fresh(PLAIN, ALL);
    world.call(0, 0, ALL);
    world.flush();
    world
}

fn key_reused() -> World {
    let mut world = answered(TICKET);
    world.call(0, 1, ALL);
    world.flush();
    world
}

fn key_expired() -> World {
    let mut world = fleet();
    world.fresh(STAMPED, ALL);
    // The entry is paused with the request in hand.
    world.pass(RETENTION * 3);
    world.flush();
    world
}

fn old_claim_is_unknown() -> World {
    let mut world = answered(STAMPED);
    world.pass(RETENTION * 3);
    world.call(0, 0, ALL);
    world.flush();
    world
}

/// A key whose run the home has forgotten is asked for while a lost write is being settled.
fn forgotten_run_is_not_repeated() -> World {
    let mut world = answered(PLAIN);
    world.pass(RETENTION * 3);
    world.pass(Duration::ZERO);
    let mut other = 0;
    while other == 0 || world.partition_of(other) != world.partition_of(0) {
        world.flush();
        world.pass(Duration::from_millis(200));
        other += 1;
        world.fresh(PLAIN, ALL);
    }
    world.deliver(0);
    world.fault_first(Sort::StoreWrite, 3);
    world.deliver(0);
    world.call_any(0, 0, ALL);
    for _ in 0..4 {
        world.flush();
        world.pass(Duration::from_millis(200));
    }
    world.flush();
    world
}

fn ticket_expired() -> World {
    let mut world = answered(TICKET);
    world.pass(RETENTION * 3);
    world.call(0, 0, ALL);
    world.flush();
    world
}

fn store_unavailable() -> World {
    let mut world = fleet();
    world.step(&Step::Outage(true));
    world.fresh(PLAIN, ALL);
    for _ in 0..6 {
        world.flush();
        world.pass(Duration::from_millis(500));
    }
    world.flush();
    world
}

fn ticket_in_an_outage() -> World {
    let mut world = fleet();
    world.step(&Step::Outage(true));
    world.fresh(TICKET, ALL);
    world.flush();
    world
}

fn lost_write_answer_is_settled() -> World {
    let mut world = fleet();
    world.fresh(PLAIN, ALL);
    world.deliver(0);
    world.fault_first(Sort::StoreWrite, 1);
    for _ in 0..3 {
        world.flush();
        world.pass(Duration::from_millis(100));
    }
    world.flush();
    world
}

fn late_write_meets_the_next_commit() -> World {
    let mut world = fleet();
    world.fresh(PLAIN, ALL);
    world.deliver(0);
    world.fault_first(Sort::StoreWrite, 2);
    for _ in 0..6 {
        world.flush();
        world.pass(Duration::from_millis(200));
    }
    world.flush();
    world
}

fn home_lost_opaque() -> World {
    let mut world = answered(PLAIN);
    world.kill(world.owner_of(0));
    world.rest();
    world.call(0, 0, ALL);
    world.flush();
    world
}

fn home_lost_ticket() -> World {
    let mut world = answered(TICKET);
    world.kill(0);
    world.call(0, 0, ALL);
    world.flush();
    world
}

fn handover_recalls_the_answer() -> World {
    let mut world = answered(PLAIN);
    let owner = world.owner_of(0);
    let others = ALL & !(1 << owner);
    (0..world::AGENTS as u8).for_each(|slot| world.step(&Step::View(slot, others)));
    world.rest();
    world.call(0, 0, others);
    world.flush();
    world
}

fn draining() -> World {
    let mut world = fleet();
    world.step(&Step::View(0, ALL & !1));
    world.fresh(TICKET, ALL);
    world.flush();
    world
}

fn not_home() -> World {
    let mut world = fleet();
    world.fresh(PLAIN, ALL);
    world.flush();
    let wrong = 1 << ((world.owner_of(0) + 1) % world::AGENTS);
    world.call(0, 0, wrong);
    world.flush();
    world
}

fn upstream_unreachable_then_resent() -> World {
    let mut world = fleet();
    world.fresh(TICKET, ALL);
    world.deliver(0);
    world.fault_first(Sort::Run, 0);
    world.flush();
    world.call(0, 0, ALL);
    world.flush();
    world
}

fn upstream_failed() -> World {
    let mut world = fleet();
    world.fresh(TICKET, ALL);
    world.deliver(0);
    world.fault_first(Sort::Run, 1);
    world.flush();
    world.call(0, 0, ALL);
    world.flush();
    world
}

fn deadline_while_running() -> World {
    let mut world = fleet();
    world.fresh(TICKET, ALL);
    world.deliver(0);
    world.pass(Duration::from_secs(5));
    // The end of the call overtakes the run.
    world.deliver(1);
    world.flush();
    world
}

fn lost_answer_is_asked_again() -> World {
    let mut world = fleet();
    world.fresh(TICKET, ALL);
    (0..3).for_each(|_| world.deliver(0));
    world.fault_first(Sort::Reply, 0);
    world.flush();
    world
}

#[rstest]
#[case("first_run", first_run())]
#[case("replay", replay())]
#[case("twins_share_one_run", twins_share_one_run())]
#[case("key_reused", key_reused())]
#[case("key_expired", key_expired())]
#[case("old_claim_is_unknown", old_claim_is_unknown())]
#[case("forgotten_run_is_not_repeated", forgotten_run_is_not_repeated())]
#[case("ticket_expired", ticket_expired())]
#[case("store_unavailable", store_unavailable())]
#[case("ticket_in_an_outage", ticket_in_an_outage())]
#[case("lost_write_answer_is_settled", lost_write_answer_is_settled())]
#[case("late_write_meets_the_next_commit", late_write_meets_the_next_commit())]
#[case("home_lost_opaque", home_lost_opaque())]
#[case("home_lost_ticket", home_lost_ticket())]
#[case("handover_recalls_the_answer", handover_recalls_the_answer())]
#[case("draining", draining())]
#[case("not_home", not_home())]
#[case("upstream_unreachable_then_resent", upstream_unreachable_then_resent())]
#[case("upstream_failed", upstream_failed())]
#[case("deadline_while_running", deadline_while_running())]
#[case("lost_answer_is_asked_again", lost_answer_is_asked_again())]
fn session_matches_golden_file(#[case] name: &str, #[case] world: World) {
    assert_eq!(world.violation, None);
    let log = world.log.unwrap_or_default().join("\n");
    insta::assert_snapshot!(name, log);
}
