//! Pauses between watches and between retries, the role of a daemon, and pulls for closed watches.

use std::sync::Arc;
use std::time::Duration;

use oriole_fleet::prelude::{Change, Item};
use oriole_gateway::fleet_view::{FleetView, PrefixRevisions};
use oriole_gateway::freshness::{FreshnessAction, FreshnessTracker, Place};
use oriole_gateway::gateway::Gateway;
use oriole_gateway::mesh::members::{LIVENESS_TIMEOUT, Members};
use oriole_gateway::mesh::message::{Heartbeat, MemberRecord, PullRequest};
use oriole_gateway::mesh::{self, pull, relay};
use oriole_gateway::watch_relay::{
    CHANGE_BATCH_PAUSE, RelayPosition, RetryAction, WAITING_PAUSE, WAITING_PAUSE_SPREAD,
    WatchRelay, WatchRole,
};
use oriole_store::backoff::Backoff;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use rstest::rstest;

use crate::fake::{FakeDialect, fleet_view, put, removed, secs};
use crate::harness;

fn position(daemons: usize, domain_daemons: usize, ordinal: usize) -> RelayPosition {
    RelayPosition {
        daemons,
        domain_daemons,
        ordinal,
    }
}

fn rng() -> StdRng {
    StdRng::seed_from_u64(7)
}

/// A daemon with one prefix that waits for the relays of its failure domain.
fn waiting() -> WatchRelay {
    let mut relay = WatchRelay::new(1);
    relay.on_position(secs(0.0), position(69, 23, 5));
    relay
}

/// A waiting daemon whose prefix is busy, so that its watch is closed since revision 30.
fn closed() -> WatchRelay {
    let (mut relay, mut rng) = (waiting(), rng());
    for (at, revision) in [(10.0, 10), (10.3, 20), (10.6, 30)] {
        relay.on_changes(secs(at), 0, revision, &mut rng);
    }
    relay
}

#[rstest]
#[case::first(position(69, 23, 0), WatchRole::Relay)]
#[case::second(position(69, 23, 1), WatchRole::Relay)]
#[case::third(position(69, 23, 2), WatchRole::Waiting)]
#[case::alone_in_domain(position(69, 1, 0), WatchRole::Relay)]
#[case::smallest_large_fleet(position(33, 11, 9), WatchRole::Waiting)]
#[case::largest_small_fleet(position(32, 11, 9), WatchRole::Relay)]
fn role_follows_position(#[case] position: RelayPosition, #[case] role: WatchRole) {
    let mut relay = WatchRelay::new(1);
    relay.on_position(secs(0.0), position);
    assert_eq!(relay.role(), role);
}

/// Guards against log lines without a change.
#[test]
fn role_change_reported_once_with_position() {
    let mut relay = WatchRelay::new(1);
    assert_eq!(relay.on_position(secs(0.0), position(1, 1, 0)), None);
    let change = relay.on_position(secs(1.0), position(69, 23, 5)).unwrap();
    assert_eq!(change.role, WatchRole::Waiting);
    assert_eq!(change.position, position(69, 23, 5));
    assert_eq!(relay.on_position(secs(2.0), position(68, 23, 5)), None);
    let change = relay.on_position(secs(3.0), position(67, 21, 1)).unwrap();
    assert_eq!(change.reason, "first by name in the failure domain");
}

/// Guards against any other pause, draw of a random number or pull in fleets of up to 32 daemons.
#[test]
fn small_fleet_decides_as_before() {
    const BACKOFF: Backoff = Backoff {
        first: Duration::from_millis(100),
        max: Duration::from_millis(800),
    };
    let (mut relay, mut rng, mut reference) = (WatchRelay::new(1), rng(), rng());
    let mut now = secs(1.0);
    for i in 0..2000_u32 {
        let daemons = 1 + i as usize % 32;
        assert_eq!(
            relay.on_position(now, position(daemons, daemons, daemons - 1)),
            None
        );
        relay.on_peer_confirmation(0, now);
        if i % 5 == 0 {
            let failures = 1 + i % 7;
            relay.on_call_failed(now, 0, failures, Some(u64::from(i)), &mut rng);
            let at = now + BACKOFF.pause(failures, &mut reference);
            if now < at {
                assert_eq!(relay.next_retry(now, 0), RetryAction::WaitUntil(at));
            }
            assert_eq!(relay.next_retry(at, 0), RetryAction::Call);
            let pause = relay.retry_pause(failures, &mut rng);
            assert_eq!(pause, BACKOFF.pause(failures, &mut reference));
            relay.on_confirm(0, Some(now + pause));
            now = at;
        } else {
            let pause = relay.on_changes(now, 0, u64::from(i), &mut rng);
            assert_eq!(pause, Duration::from_millis(300));
            now += pause;
        }
        assert!(relay.closed_since().all(|since| since.is_none()));
    }
    assert_eq!(rng.random::<u64>(), reference.random::<u64>());
}

/// Guards against a long pause on the prefix of the configuration, and against busy prefixes that
/// fall back to the short pause because the long one thins out their batches.
#[test]
fn pause_long_from_third_batch_until_quiet() {
    let (mut relay, mut rng) = (waiting(), rng());
    let mut now = secs(10.0);
    for _ in 0..2 {
        assert_eq!(relay.on_changes(now, 0, 1, &mut rng), CHANGE_BATCH_PAUSE);
        now += CHANGE_BATCH_PAUSE;
    }
    for revision in 2..40 {
        let pause = relay.on_changes(now, 0, revision, &mut rng);
        assert!((WAITING_PAUSE..=WAITING_PAUSE + WAITING_PAUSE_SPREAD).contains(&pause));
        assert_eq!(relay.closed_since().next(), Some(Some(revision)));
        now += pause;
        relay.on_watch_sent(now, 0);
        assert_eq!(relay.closed_since().next(), Some(None));
    }
    now += secs(3.0);
    assert_eq!(relay.on_changes(now, 0, 41, &mut rng), CHANGE_BATCH_PAUSE);
}

/// Guards against a prefix that stays busy for good because the waiting time of its watches, a
/// setting, is shorter than the busy window.
#[test]
fn busy_prefix_quiet_after_several_empty_watches() {
    let (mut relay, mut rng) = (closed(), rng());
    let mut now = secs(12.0);
    for _ in 0..3 {
        relay.on_watch_sent(now, 0);
        now += secs(1.0);
        relay.on_no_changes(0);
    }
    relay.on_watch_sent(now, 0);
    assert_eq!(relay.on_changes(now, 0, 31, &mut rng), CHANGE_BATCH_PAUSE);
    // A watch after one with changes counts anew.
    relay.on_changes(now, 0, 32, &mut rng);
    relay.on_changes(now, 0, 33, &mut rng);
    relay.on_watch_sent(now, 0);
    now += secs(2.9);
    assert!(relay.on_changes(now, 0, 34, &mut rng) >= WAITING_PAUSE);
}

#[test]
fn pause_of_relay_is_short_on_busy_prefix() {
    let (mut relay, mut rng) = (WatchRelay::new(1), rng());
    relay.on_position(secs(0.0), position(69, 23, 1));
    for i in 0..20 {
        let pause = relay.on_changes(secs(f64::from(i) * 0.3), 0, 1, &mut rng);
        assert_eq!(pause, CHANGE_BATCH_PAUSE);
    }
}

/// Guards against a daemon that waits on after it lost the peers that deliver changes to it.
#[rstest]
#[case::promoted(position(69, 22, 1))]
#[case::view_shrunk(position(20, 7, 6))]
#[case::partitioned(position(1, 1, 0))]
fn closed_watch_ends_with_new_role(#[case] position: RelayPosition) {
    let (mut relay, mut rng) = (closed(), rng());
    relay.on_call_failed(secs(11.0), 0, 1, Some(30), &mut rng);
    relay.on_peer_confirmation(0, secs(11.0));
    assert!(relay.on_position(secs(11.5), position).is_some());
    assert_eq!(relay.closed_since().next(), Some(None));
    assert_eq!(relay.next_retry(secs(12.3), 0), RetryAction::Call);
}

#[test]
fn retry_suspended_while_peer_confirms() {
    let (mut relay, mut rng) = (waiting(), rng());
    relay.on_peer_confirmation(0, secs(9.5));
    relay.on_call_failed(secs(10.0), 0, 1, Some(30), &mut rng);
    assert_eq!(
        relay.next_retry(secs(10.0), 0),
        RetryAction::WaitUntil(secs(11.5))
    );
    relay.on_peer_confirmation(0, secs(11.0));
    assert_eq!(
        relay.next_retry(secs(11.5), 0),
        RetryAction::WaitUntil(secs(13.0))
    );
    // Without a further confirmation it calls after its own pause.
    let RetryAction::WaitUntil(at) = relay.next_retry(secs(13.0), 0) else {
        panic!("all daemons of the failure domain call together");
    };
    assert!(at <= secs(14.6), "{at:?}");
    assert_eq!(relay.next_retry(at, 0), RetryAction::Call);
}

/// Guards against a single failed call that ends a daemon's watch for good.
#[test]
fn retry_suspended_at_most_for_some_seconds() {
    let (mut relay, mut rng) = (waiting(), rng());
    let mut now = secs(10.0);
    relay.on_call_failed(now, 0, 1, Some(30), &mut rng);
    loop {
        relay.on_peer_confirmation(0, now);
        match relay.next_retry(now, 0) {
            RetryAction::Call => break,
            RetryAction::WaitUntil(at) => now = at,
        }
    }
    assert!((secs(16.0)..=secs(19.6)).contains(&now), "{now:?}");
}

/// Guards against a starting daemon that does not become ready while its peers confirm their views.
#[test]
fn retry_of_starting_daemon_is_not_suspended() {
    let (mut relay, mut rng) = (waiting(), rng());
    relay.on_peer_confirmation(0, secs(10.0));
    relay.on_call_failed(secs(10.0), 0, 1, None, &mut rng);
    assert_eq!(relay.next_retry(secs(11.6), 0), RetryAction::Call);
}

/// Guards against a listing after each change that a peer delivers while the watch is closed.
#[test]
fn change_from_peer_cuts_no_closed_watch() {
    let place = Place {
        ordinal: 5,
        daemons: 69,
    };
    let mut tracker = FreshnessTracker::new(1);
    tracker.on_watch_opened(secs(1.0), 0);
    tracker.on_watch_ended(0);
    tracker.on_missed_change(secs(1.5), 0, place);
    assert_ne!(
        tracker.next_action(secs(2.5), 0, place),
        FreshnessAction::CutWatch
    );
}

fn member(name: &str, domain: &str, heartbeat: u64) -> MemberRecord {
    let octet = name.bytes().last().unwrap();
    MemberRecord {
        name: name.to_owned(),
        incarnation: 1,
        heartbeat,
        peer_address: format!("10.0.0.{octet}:7"),
        domain: domain.to_owned(),
        ..MemberRecord::default()
    }
}

fn heartbeat(from: MemberRecord, revision: u64) -> Heartbeat {
    Heartbeat {
        from: Some(from),
        view_revisions: vec![0, revision],
        ..Heartbeat::default()
    }
}

#[test]
fn relay_position_counts_live_members_of_domain() {
    let mut members = Members::new("m");
    let own = PrefixRevisions(vec![0, 0]);
    for (name, domain) in [
        ("a", "north"),
        ("b", "north"),
        ("c", "south"),
        ("z", "north"),
    ] {
        members.on_heartbeat(secs(0.0), heartbeat(member(name, domain, 1), 0), &own);
    }
    assert_eq!(
        members.relay_position(secs(1.0), "north"),
        position(5, 4, 2)
    );
    // Daemon `a` is lost: the next one in the order moves up.
    for name in ["b", "z"] {
        members.on_heartbeat(secs(1.0), heartbeat(member(name, "north", 2), 0), &own);
    }
    assert_eq!(
        members.relay_position(LIVENESS_TIMEOUT, "north"),
        position(3, 3, 1)
    );
}

/// Guards against pulls that all go to one relay, or across failure domains without need.
#[test]
fn random_member_ahead_spreads_over_own_domain() {
    let mut members = Members::new("m");
    let own = PrefixRevisions(vec![0, 4]);
    for (name, domain) in [
        ("a", "north"),
        ("b", "north"),
        ("c", "south"),
        ("d", "south"),
    ] {
        members.on_heartbeat(secs(0.0), heartbeat(member(name, domain, 1), 5), &own);
    }
    // The member furthest ahead is of another failure domain.
    members.on_heartbeat(secs(0.0), heartbeat(member("e", "south", 1), 9), &own);
    let mut rng = rng();
    let mut picks = |domain: &str, at: f64| {
        let mut names: Vec<String> = (0..60)
            .filter_map(|_| {
                members.random_member_ahead(secs(at), secs(0.05), &own, domain, &mut rng)
            })
            .map(|member| member.record.name.clone())
            .collect();
        names.sort_unstable();
        names.dedup();
        names
    };
    assert!(picks("north", 0.04).is_empty(), "before the delay");
    assert_eq!(picks("north", 0.06), ["a", "b"]);
    assert_eq!(picks("west", 0.06), ["a", "b", "c", "d", "e"]);
}

fn apply_pulled(to: &mut FleetView, from: &[Change], since: u64) {
    let mut peer = fleet_view();
    for change in from {
        peer.apply(secs(1.0), change.clone());
    }
    for (key, held) in peer.items_since(&PrefixRevisions(vec![u64::MAX, since])) {
        let (key, revision) = (key.to_owned(), held.revision);
        let change = match held.value.clone() {
            Some(value) => Change::Put(Item {
                key,
                value,
                revision,
            }),
            None => Change::Removed { key, revision },
        };
        to.apply(secs(1.0), change);
    }
}

/// A peer whose view has a gap makes the own view look complete. The next pull fills the gap,
/// because it starts at the revision up to which the own calls were complete.
#[test]
fn closed_pull_fills_gap_of_earlier_pull() {
    let upstream = |n: u64, revision| {
        let value = format!("llm 10.0.1.{n}:80 north ready");
        put(&format!("up/{n}"), &value, revision)
    };
    let since = closed().closed_since().next().unwrap().unwrap();
    assert_eq!(since, 30);
    let mut own = fleet_view();
    own.apply(secs(0.0), upstream(1, 30));
    apply_pulled(&mut own, &[upstream(1, 30), upstream(2, 32)], since);
    assert_eq!(own.revisions().0[1], 32);
    let third = [removed("up/1", 31), upstream(2, 32), upstream(3, 33)];
    apply_pulled(&mut own, &third, since);
    let mut held: Vec<&str> = own
        .usable_upstreams(secs(1.0), "llm")
        .map(|u| u.upstream.instance.as_str())
        .collect();
    held.sort_unstable();
    assert_eq!(held, ["2", "3"], "the departure was lost");
    // A peer with an older view undoes nothing.
    let digests = own.digests().clone();
    apply_pulled(&mut own, &[upstream(1, 30), upstream(2, 31)], 0);
    assert_eq!(*own.digests(), digests);
}

/// A running daemon's state in a fleet of 35 whose failure domain has two relays, with a busy prefix.
fn waiting_gateway() -> Gateway {
    let mut cfg = harness::settings();
    cfg.name = "m".to_owned();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let gateway = Gateway::new(cfg, Arc::new(FakeDialect::default()), log);
    for i in 0..34 {
        let domain = if i < 4 { "north" } else { "south" };
        mesh::on_heartbeat(&gateway, heartbeat(member(&format!("a-{i}"), domain, 1), 0));
    }
    gateway.update_watch_role();
    assert_eq!(gateway.watch_relay().role(), WatchRole::Waiting);
    for (at, revision) in [(1.0, 10), (1.3, 20), (1.6, 30)] {
        let mut rng = rng();
        gateway
            .watch_relay()
            .on_changes(secs(at), 1, revision, &mut rng);
    }
    gateway
}

/// Guards against pulls for a closed watch that skip what an earlier pull may have left out, deliver
/// changes of a prefix whose watch is open, or come from the member furthest ahead as well.
#[tokio::test(start_paused = true)]
async fn gateway_pulls_closed_prefix_from_complete_revision() {
    let gateway = waiting_gateway();
    gateway.apply(put("up/1", "llm 10.0.1.1:80 north ready", 32), "peer");
    assert_eq!(relay::closed_pull(&gateway), None, "no peer is ahead");
    mesh::on_heartbeat(&gateway, heartbeat(member("a-1", "north", 2), 33));
    mesh::on_heartbeat(&gateway, heartbeat(member("a-9", "south", 2), 40));
    tokio::time::sleep(secs(0.3)).await;
    let (peer, since) = relay::closed_pull(&gateway).expect("a peer is ahead");
    assert_eq!(peer.to_string(), "10.0.0.49:7");
    assert_eq!(since.0, [u64::MAX, 30]);
    assert_eq!(mesh::peer_ahead(&gateway), None);
    gateway.watch_relay().on_watch_sent(secs(3.0), 1);
    assert_eq!(relay::closed_pull(&gateway), None);
    assert!(mesh::peer_ahead(&gateway).is_some());
}

/// Guards against replies that hold a departure back from daemons whose watches are closed.
#[tokio::test(start_paused = true)]
async fn departure_reaches_closed_daemon_through_pull() {
    let (sender, receiver) = (waiting_gateway(), waiting_gateway());
    let entry = put("up/1", "llm 10.0.1.1:80 north ready", 30);
    for gateway in [&sender, &receiver] {
        gateway.apply(entry.clone(), "store");
    }
    sender.apply(removed("up/1", 31), "store");
    let since = vec![u64::MAX, 30];
    let reply = pull::reply_to(&sender, PullRequest { since });
    assert_eq!(
        reply.confirmations[1].digest,
        sender.fleet_view().digests().0[1]
    );
    pull::apply_reply(&receiver, reply);
    let now = receiver.clock.now();
    assert_eq!(
        receiver.fleet_view().usable_upstreams(now, "llm").count(),
        0
    );
    assert_eq!(
        receiver.fleet_view().digests(),
        sender.fleet_view().digests()
    );
}
