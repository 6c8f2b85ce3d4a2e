//! Snapshots of whole sessions that end in the different outcomes of a request.

mod cluster;

use std::time::Duration;

use cluster::types::{InjectedBug, MessageKind, Step};
use cluster::{RETENTION, TestCluster};
use rstest::rstest;

const ALL_AGENTS: u8 = 0xff;
const PLAIN: u8 = 0;
const TIMESTAMPED: u8 = 1;
const TICKET: u8 = 2;

/// An idle cluster whose homes own their partitions.
fn idle_cluster() -> TestCluster {
    let mut cluster = TestCluster::new(InjectedBug::None);
    cluster.run_until_idle();
    cluster.log = Some(Vec::new());
    cluster
}

/// A cluster that has answered a first request with a new key.
fn answered(form: u8) -> TestCluster {
    let mut cluster = idle_cluster();
    cluster.call_new_key(form, ALL_AGENTS);
    cluster.deliver_all();
    cluster
}

fn first_run() -> TestCluster {
    answered(PLAIN)
}

fn replay() -> TestCluster {
    let mut cluster = answered(TIMESTAMPED);
    cluster.call(0, 0, ALL_AGENTS);
    cluster.deliver_all();
    cluster
}

fn twins_share_one_run() -> TestCluster {
    let mut cluster = idle_cluster();
    cluster.call_new_key(PLAIN, ALL_AGENTS);
    cluster.call(0, 0, ALL_AGENTS);
    cluster.deliver_all();
    cluster
}

fn key_reused() -> TestCluster {
    let mut cluster = answered(TICKET);
    cluster.call(0, 1, ALL_AGENTS);
    cluster.deliver_all();
    cluster
}

fn key_expired() -> TestCluster {
    let mut cluster = idle_cluster();
    cluster.call_new_key(TIMESTAMPED, ALL_AGENTS);
    // The request is delayed until the key has expired.
    cluster.advance_clock(RETENTION * 3);
    cluster.deliver_all();
    cluster
}

fn old_claim_is_unknown() -> TestCluster {
    let mut cluster = answered(TIMESTAMPED);
    cluster.advance_clock(RETENTION * 3);
    cluster.call(0, 0, ALL_AGENTS);
    cluster.deliver_all();
    cluster
}

/// A request for a key whose record was dropped arrives while a commit with a lost answer is being
/// settled. The home must not mistake the old claim for one of that commit and run the request
/// again.
fn forgotten_run_is_not_repeated() -> TestCluster {
    let mut cluster = answered(PLAIN);
    cluster.advance_clock(RETENTION * 3);
    cluster.advance_clock(Duration::ZERO);
    let mut other = 0;
    while other == 0 || cluster.partition_of(other) != cluster.partition_of(0) {
        cluster.deliver_all();
        cluster.advance_clock(Duration::from_millis(200));
        other += 1;
        cluster.call_new_key(PLAIN, ALL_AGENTS);
    }
    cluster.deliver(0);
    cluster.fault_first_message(MessageKind::StoreWrite, 3);
    cluster.deliver(0);
    cluster.call_any(0, 0, ALL_AGENTS);
    for _ in 0..4 {
        cluster.deliver_all();
        cluster.advance_clock(Duration::from_millis(200));
    }
    cluster.deliver_all();
    cluster
}

fn ticket_expired() -> TestCluster {
    let mut cluster = answered(TICKET);
    cluster.advance_clock(RETENTION * 3);
    cluster.call(0, 0, ALL_AGENTS);
    cluster.deliver_all();
    cluster
}

fn store_unavailable() -> TestCluster {
    let mut cluster = idle_cluster();
    cluster.step(&Step::Outage(true));
    cluster.call_new_key(PLAIN, ALL_AGENTS);
    for _ in 0..6 {
        cluster.deliver_all();
        cluster.advance_clock(Duration::from_millis(500));
    }
    cluster.deliver_all();
    cluster
}

fn ticket_in_an_outage() -> TestCluster {
    let mut cluster = idle_cluster();
    cluster.step(&Step::Outage(true));
    cluster.call_new_key(TICKET, ALL_AGENTS);
    cluster.deliver_all();
    cluster
}

fn lost_write_answer_is_settled() -> TestCluster {
    let mut cluster = idle_cluster();
    cluster.call_new_key(PLAIN, ALL_AGENTS);
    cluster.deliver(0);
    cluster.fault_first_message(MessageKind::StoreWrite, 1);
    for _ in 0..3 {
        cluster.deliver_all();
        cluster.advance_clock(Duration::from_millis(100));
    }
    cluster.deliver_all();
    cluster
}

fn late_write_meets_the_next_commit() -> TestCluster {
    let mut cluster = idle_cluster();
    cluster.call_new_key(PLAIN, ALL_AGENTS);
    cluster.deliver(0);
    cluster.fault_first_message(MessageKind::StoreWrite, 2);
    for _ in 0..6 {
        cluster.deliver_all();
        cluster.advance_clock(Duration::from_millis(200));
    }
    cluster.deliver_all();
    cluster
}

fn home_lost_opaque() -> TestCluster {
    let mut cluster = answered(PLAIN);
    cluster.crash(cluster.owner_of(0));
    cluster.run_until_idle();
    cluster.call(0, 0, ALL_AGENTS);
    cluster.deliver_all();
    cluster
}

fn home_lost_ticket() -> TestCluster {
    let mut cluster = answered(TICKET);
    cluster.crash(0);
    cluster.call(0, 0, ALL_AGENTS);
    cluster.deliver_all();
    cluster
}

fn handover_recalls_the_answer() -> TestCluster {
    let mut cluster = answered(PLAIN);
    let owner = cluster.owner_of(0);
    let others = ALL_AGENTS & !(1 << owner);
    (0..cluster::AGENT_COUNT as u8).for_each(|slot| cluster.step(&Step::SetView(slot, others)));
    cluster.run_until_idle();
    cluster.call(0, 0, others);
    cluster.deliver_all();
    cluster
}

fn draining() -> TestCluster {
    let mut cluster = idle_cluster();
    cluster.step(&Step::SetView(0, ALL_AGENTS & !1));
    cluster.call_new_key(TICKET, ALL_AGENTS);
    cluster.deliver_all();
    cluster
}

fn not_home() -> TestCluster {
    let mut cluster = idle_cluster();
    cluster.call_new_key(PLAIN, ALL_AGENTS);
    cluster.deliver_all();
    let wrong = 1 << ((cluster.owner_of(0) + 1) % cluster::AGENT_COUNT);
    cluster.call(0, 0, wrong);
    cluster.deliver_all();
    cluster
}

fn upstream_unreachable_then_resent() -> TestCluster {
    let mut cluster = idle_cluster();
    cluster.call_new_key(TICKET, ALL_AGENTS);
    cluster.deliver(0);
    cluster.fault_first_message(MessageKind::Run, 0);
    cluster.deliver_all();
    cluster.call(0, 0, ALL_AGENTS);
    cluster.deliver_all();
    cluster
}

fn upstream_failed() -> TestCluster {
    let mut cluster = idle_cluster();
    cluster.call_new_key(TICKET, ALL_AGENTS);
    cluster.deliver(0);
    cluster.fault_first_message(MessageKind::Run, 1);
    cluster.deliver_all();
    cluster.call(0, 0, ALL_AGENTS);
    cluster.deliver_all();
    cluster
}

fn deadline_while_running() -> TestCluster {
    let mut cluster = idle_cluster();
    cluster.call_new_key(TICKET, ALL_AGENTS);
    cluster.deliver(0);
    cluster.advance_clock(Duration::from_secs(5));
    // The reply to the call is delivered before the run.
    cluster.deliver(1);
    cluster.deliver_all();
    cluster
}

fn lost_answer_is_asked_again() -> TestCluster {
    let mut cluster = idle_cluster();
    cluster.call_new_key(TICKET, ALL_AGENTS);
    (0..3).for_each(|_| cluster.deliver(0));
    cluster.fault_first_message(MessageKind::Reply, 0);
    cluster.deliver_all();
    cluster
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
fn session_matches_snapshot(#[case] name: &str, #[case] cluster: TestCluster) {
    assert_eq!(cluster.violation, None);
    let log = cluster.log.unwrap_or_default().join("\n");
    insta::assert_snapshot!(name, log);
}
