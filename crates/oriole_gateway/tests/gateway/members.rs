//! Liveness of entry daemons when heartbeats are lost, late or relayed.

use oriole_gateway::fleet_view::PrefixRevisions;
use oriole_gateway::mesh::members::Members;
use oriole_gateway::mesh::message::{Heartbeat, InFlight, MemberRecord, Readiness};

use crate::fake::secs;

fn record(name: &str, incarnation: u64, heartbeat: u64, readiness: Readiness) -> MemberRecord {
    MemberRecord {
        name: name.to_owned(),
        incarnation,
        heartbeat,
        peer_address: "10.0.0.9:7".to_owned(),
        caller_address: "10.0.0.9:80".to_owned(),
        domain: "north".to_owned(),
        readiness: readiness.into(),
    }
}

fn heartbeat(from: MemberRecord, revisions: &[u64], in_flight: &[(u64, u32)]) -> Heartbeat {
    Heartbeat {
        from: Some(from),
        view_revisions: revisions.to_vec(),
        in_flight: in_flight
            .iter()
            .map(|(instance, requests)| InFlight {
                instance: *instance,
                requests: *requests,
            })
            .collect(),
        relayed: Vec::new(),
        confirmations: Vec::new(),
        suspects: Vec::new(),
        claims: Vec::new(),
        limits: Vec::new(),
        fleet_time_ms: 0,
        pace: Vec::new(),
    }
}

fn no_revisions() -> PrefixRevisions {
    PrefixRevisions(vec![0, 0])
}

fn ready_names(members: &Members, at: f64) -> Vec<String> {
    members
        .ready(secs(at))
        .map(|m| m.record.name.clone())
        .collect()
}

#[test]
fn ready_silent_member_is_soon_not_listed() {
    let mut members = Members::new("me");
    members.on_heartbeat(
        secs(0.0),
        heartbeat(record("a", 1, 1, Readiness::Ready), &[], &[]),
        &no_revisions(),
    );
    assert_eq!(ready_names(&members, 1.0), ["a"]);
    assert!(ready_names(&members, 3.0).is_empty());
}

#[test]
fn ready_leaving_member_is_not_listed() {
    let mut members = Members::new("me");
    members.on_heartbeat(
        secs(0.0),
        heartbeat(record("a", 1, 1, Readiness::Ready), &[], &[]),
        &no_revisions(),
    );
    members.on_heartbeat(
        secs(0.1),
        heartbeat(record("a", 1, 2, Readiness::Leaving), &[], &[]),
        &no_revisions(),
    );
    assert!(ready_names(&members, 0.2).is_empty());
}

/// Relaying a crashed member's last heartbeat again must not keep it alive.
#[test]
fn on_heartbeat_relayed_repeatedly_is_not_alive() {
    let mut members = Members::new("me");
    let lost = record("dead", 1, 5, Readiness::Ready);
    members.on_heartbeat(
        secs(0.0),
        heartbeat(lost.clone(), &[], &[]),
        &no_revisions(),
    );
    for i in 1..40_u64 {
        let mut message = heartbeat(record("b", 1, i, Readiness::Ready), &[], &[]);
        message.relayed.push(lost.clone());
        members.on_heartbeat(secs(i as f64 * 0.1), message, &no_revisions());
    }
    assert_eq!(ready_names(&members, 3.9), ["b"]);
}

#[test]
fn on_heartbeat_relayed_with_new_counter_is_alive() {
    let mut members = Members::new("me");
    for i in 1..40_u64 {
        let mut message = heartbeat(record("b", 1, i, Readiness::Ready), &[], &[]);
        message
            .relayed
            .push(record("cut off from me", 1, i, Readiness::Ready));
        members.on_heartbeat(secs(i as f64 * 0.1), message, &no_revisions());
    }
    assert_eq!(ready_names(&members, 3.9).len(), 2);
}

#[test]
fn on_heartbeat_restarted_member_replaces_itself() {
    let mut members = Members::new("me");
    members.on_heartbeat(
        secs(0.0),
        heartbeat(record("a", 1, 500, Readiness::Ready), &[], &[]),
        &no_revisions(),
    );
    members.on_heartbeat(
        secs(0.5),
        heartbeat(record("a", 2, 1, Readiness::Starting), &[], &[]),
        &no_revisions(),
    );
    assert!(ready_names(&members, 0.6).is_empty());
    assert_eq!(members.sender_position(secs(0.6)).0, 2);
}

#[test]
fn in_flight_sums_recent_members() {
    let mut members = Members::new("me");
    let a = record("a", 1, 1, Readiness::Ready);
    let b = record("b", 1, 1, Readiness::Ready);
    members.on_heartbeat(secs(0.0), heartbeat(a, &[], &[(7, 2)]), &no_revisions());
    members.on_heartbeat(secs(2.0), heartbeat(b, &[], &[(7, 3)]), &no_revisions());
    assert_eq!(members.in_flight(secs(2.1))[&7], 5);
    assert_eq!(members.in_flight(secs(3.0))[&7], 3);
}

#[test]
fn member_ahead_only_after_min_lead() {
    let mut members = Members::new("me");
    let a = record("a", 1, 1, Readiness::Ready);
    members.on_heartbeat(secs(0.0), heartbeat(a, &[9, 0], &[]), &no_revisions());
    assert!(
        members
            .member_ahead(secs(0.1), secs(0.25), &no_revisions())
            .is_none()
    );
    assert!(
        members
            .member_ahead(secs(0.3), secs(0.25), &no_revisions())
            .is_some()
    );
    assert!(
        members
            .member_ahead(secs(0.3), secs(0.25), &PrefixRevisions(vec![9, 0]))
            .is_none()
    );
}
