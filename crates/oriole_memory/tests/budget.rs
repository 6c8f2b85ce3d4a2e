//! Decisions of the memory budget, one case each, without network.

use std::time::Duration;

use oriole_memory::budget::{STALL_TIME, UNREAD_TIME};
use oriole_memory::prelude::*;
use rstest::rstest;

const BLOCK: u64 = BLOCK_BYTES as u64;
const NOW: Duration = Duration::from_secs(100);

/// A budget of 16 blocks, 12 of them for large holders, and 3 connections.
fn budget() -> MemoryBudget {
    MemoryBudget::new(BudgetConfig {
        budget: 16 * BLOCK,
        large_part: 12 * BLOCK,
        max_connections: 3,
    })
}

fn open(budget: &mut MemoryBudget, at: Duration, kind: Kind, fixed: u64) -> HolderId {
    let opened = budget.open(at, Owner::of(kind), fixed).unwrap();
    assert_eq!(opened.cut_off, []);
    opened.id
}

/// Opens a request of an account and charges it block by block.
fn open_body(budget: &mut MemoryBudget, at: Duration, account: u64, blocks: u64) -> HolderId {
    let owner = Owner {
        account: Some(account),
        ..Owner::of(Kind::Request)
    };
    let id = budget.open(at, owner, 0).unwrap().id;
    for _ in 0..blocks {
        assert_eq!(budget.charge(at, id, BLOCK), Ok(Vec::new()));
    }
    id
}

fn ids(cut_off: &[CutOff]) -> Vec<HolderId> {
    cut_off.iter().map(|c| c.id).collect()
}

/// The figures of the deployments: a budget of half of the memory, and a body of 4 MiB on the smallest
/// VM.
#[rstest]
#[case::smallest(112, 4 << 20)]
#[case::crowd(64, 1 << 20)]
#[case::least_allowed(32, 4 << 20)]
fn largest_body_is_admitted_in_calm(#[case] memory_mb: u64, #[case] body: u64) {
    let cfg = BudgetConfig::for_memory(memory_mb, 100);
    assert_eq!(cfg.budget, memory_mb * 500_000);
    let mut budget = MemoryBudget::new(cfg);
    let blocks = body / BLOCK;
    let id = open_body(&mut budget, NOW, 1, blocks);
    assert_eq!(budget.held_by_holder(id), body);
}

/// The bytes of holders that have ended must be free for others, or the daemon refuses everything after
/// some time.
#[test]
fn closed_and_released_bytes_are_free_again() {
    let mut budget = budget();
    let id = open(&mut budget, NOW, Kind::Stream, 10);
    budget.charge(NOW, id, 3 * BLOCK).unwrap();
    budget.release(id, BLOCK);
    assert_eq!(budget.held_by(Kind::Stream), 2 * BLOCK + 10);
    budget.close(id);
    budget.close(id);
    budget.release(id, BLOCK);
    assert_eq!((budget.held(), budget.held_by(Kind::Stream)), (0, 0));
    assert_eq!(budget.charge(NOW, id, 1), Err(Shortage::Gone));
}

/// An identifier of a holder that was cut off must not name the holder that took its place.
#[test]
fn stale_identifier_names_no_other_holder() {
    let mut budget = budget();
    let old = open(&mut budget, NOW, Kind::Request, 10);
    budget.close(old);
    let new = open(&mut budget, NOW, Kind::Request, 20);
    assert_eq!(old.index(), new.index());
    budget.close(old);
    assert_eq!(budget.held_by_holder(new), 20);
    assert_eq!(budget.held_by_holder(old), 0);
}

/// A new holder must not get the index of a holder that is cut off for it: the daemon would look up the
/// new connection in its table, and close that one instead of the old one.
#[rstest]
#[case::connections(2 * BLOCK, 1)]
#[case::memory(7 * BLOCK, 5 * BLOCK)]
fn index_of_new_holder_is_none_of_those_cut_off(#[case] old: u64, #[case] new: u64) {
    let mut budget = budget();
    for _ in 0..2 {
        open(&mut budget, NOW, Kind::Connection, old);
    }
    open(&mut budget, NOW, Kind::Connection, 1);
    let owner = Owner::of(Kind::Connection);
    let opened = budget.open(NOW + STALL_TIME, owner, new).unwrap();
    assert_ne!(opened.cut_off, []);
    let mut cut_off = opened.cut_off.iter();
    assert!(cut_off.all(|c| c.id.index() != opened.id.index()));
    assert_eq!(budget.connections(), 4 - opened.cut_off.len());
}

/// Callers that leave their answers unread must not keep all connections: others would wait without end.
#[rstest]
#[case::just_answered(UNREAD_TIME / 2, false)]
#[case::unread(UNREAD_TIME, true)]
fn connection_with_unread_answer_is_replaced(#[case] age: Duration, #[case] is_replaced: bool) {
    let mut budget = budget();
    let connections: Vec<HolderId> = (0..3)
        .map(|_| open(&mut budget, NOW, Kind::Connection, 1))
        .collect();
    for id in &connections {
        budget.set_class(NOW, *id, Class::Running);
    }
    budget.set_class(NOW, connections[1], Class::Unread);
    let opened = budget.open(NOW + age, Owner::of(Kind::Connection), 1);
    let cut = opened.map(|opened| ids(&opened.cut_off));
    let expected = if is_replaced {
        Ok(vec![connections[1]])
    } else {
        Err(Shortage::Connections)
    };
    assert_eq!(cut, expected);
}

/// Bodies that stopped coming in must give way, the longest stalled first, and before one that is only
/// large.
#[test]
fn short_memory_cuts_longest_stalled_first() {
    let mut budget = budget();
    let older = open_body(&mut budget, NOW - STALL_TIME * 3, 1, 2);
    let old = open_body(&mut budget, NOW - STALL_TIME * 2, 1, 2);
    let fresh = open_body(&mut budget, NOW, 1, 8);
    let asks = open_body(&mut budget, NOW, 1, 0);
    budget.charge(NOW, asks, BLOCK).unwrap();
    let cut = budget.charge(NOW, asks, BLOCK).unwrap();
    assert_eq!(ids(&cut), [older]);
    assert_eq!(cut[0].reason, CutOffReason::Stalled);
    assert_eq!((cut[0].bytes, cut[0].age), (2 * BLOCK, STALL_TIME * 3));
    let cut = budget.charge(NOW, asks, 2 * BLOCK).unwrap();
    assert_eq!(ids(&cut), [old]);
    assert!(budget.is_open(fresh));
}

/// A body that received a byte a moment ago is not stalled.
#[test]
fn progress_protects_from_stall() {
    let mut budget = budget();
    let slow = open_body(&mut budget, NOW - STALL_TIME * 2, 1, 6);
    budget.progressed(NOW, slow);
    let asks = open_body(&mut budget, NOW, 1, 6);
    assert_eq!(budget.charge(NOW, asks, BLOCK), Err(Shortage::LargePart));
    assert!(budget.is_open(slow));
}

/// A caller that reads nothing must not hold the memory that others need.
#[test]
fn unread_response_is_cut_after_its_time() {
    let mut budget = budget();
    let response = open(&mut budget, NOW, Kind::Response, 0);
    budget.charge(NOW, response, 12 * BLOCK).unwrap();
    budget.set_class(NOW, response, Class::Unread);
    let asks = open(&mut budget, NOW, Kind::Request, 4 * BLOCK);
    let at = NOW + UNREAD_TIME / 2;
    assert_eq!(budget.charge(at, asks, 1), Err(Shortage::Budget));
    let cut = budget.charge(NOW + UNREAD_TIME, asks, 1).unwrap();
    assert_eq!(ids(&cut), [response]);
    assert_eq!(cut[0].reason, CutOffReason::Unread);
}

/// The body of a running request is needed for a second attempt, and its caller must not learn that the
/// request has not run.
#[test]
fn running_request_is_never_cut() {
    let mut budget = budget();
    let running = open_body(&mut budget, NOW, 1, 12);
    budget.set_class(NOW, running, Class::Running);
    let later = NOW + STALL_TIME * 100;
    let asks = open_body(&mut budget, later, 1, 1);
    assert_eq!(
        budget.charge(later, asks, 4 * BLOCK),
        Err(Shortage::LargePart)
    );
    assert!(budget.is_open(running));
}

/// Without stalled holders the largest body gives way, the oldest of several, but only to a smaller one.
#[test]
fn largest_body_gives_way_to_smaller_one() {
    let mut budget = budget();
    let _small = open_body(&mut budget, NOW, 1, 2);
    let oldest = open_body(&mut budget, NOW, 1, 5);
    let newest = open_body(&mut budget, NOW, 1, 5);
    assert_eq!(budget.charge(NOW, newest, BLOCK), Err(Shortage::LargePart));
    let asks = open_body(&mut budget, NOW, 1, 1);
    let cut = budget.charge(NOW, asks, BLOCK).unwrap();
    assert_eq!(ids(&cut), [oldest]);
    assert_eq!(cut[0].reason, CutOffReason::Largest);
}

/// Large bodies must leave room for the usual small ones.
#[test]
fn small_request_has_room_beside_large_bodies() {
    let mut budget = budget();
    let large = open_body(&mut budget, NOW, 1, 12);
    assert_eq!(budget.charge(NOW, large, 1), Err(Shortage::LargePart));
    for _ in 0..4 {
        open_body(&mut budget, NOW, 2, 1);
    }
    assert_eq!(budget.held(), 16 * BLOCK);
}

/// One account must not keep all others from sending large bodies, but may use the part when alone.
#[test]
fn account_is_limited_beside_others() {
    let mut budget = budget();
    let first = open_body(&mut budget, NOW, 1, 6);
    let other = open_body(&mut budget, NOW, 2, 2);
    assert_eq!(
        budget.charge(NOW, first, BLOCK),
        Err(Shortage::AccountShare)
    );
    budget.close(other);
    assert_eq!(budget.charge(NOW, first, 6 * BLOCK), Ok(Vec::new()));
}

/// When an account has its share, only its own holders make room for it.
#[test]
fn account_cuts_its_own_bodies() {
    let mut budget = budget();
    let own = open_body(&mut budget, NOW - STALL_TIME, 1, 4);
    let other = open_body(&mut budget, NOW - STALL_TIME * 2, 2, 4);
    let asks = open_body(&mut budget, NOW, 1, 0);
    budget.charge(NOW, asks, BLOCK).unwrap();
    let cut = budget.charge(NOW, asks, 2 * BLOCK).unwrap();
    assert_eq!(ids(&cut), [own]);
    assert!(budget.is_open(other));
}

/// Nothing may be cut off in vain.
#[test]
fn refused_charge_cuts_nothing() {
    let mut budget = budget();
    let stalled = open_body(&mut budget, NOW - STALL_TIME, 1, 2);
    let running = open_body(&mut budget, NOW, 1, 10);
    budget.set_class(NOW, running, Class::Running);
    let asks = open_body(&mut budget, NOW, 1, 0);
    assert_eq!(
        budget.charge(NOW, asks, 5 * BLOCK),
        Err(Shortage::LargePart)
    );
    assert!(budget.is_open(stalled));
    assert_eq!(budget.held_by_holder(asks), 0);
}

/// A new caller must not wait behind connections that send nothing.
#[test]
fn new_connection_replaces_longest_waiting() {
    let mut budget = budget();
    let open_at = |budget: &mut MemoryBudget, secs| {
        let at = NOW + Duration::from_secs(secs);
        open(budget, at, Kind::Connection, 10)
    };
    let running = open_at(&mut budget, 0);
    let first = open_at(&mut budget, 1);
    let second = open_at(&mut budget, 2);
    budget.set_class(NOW, running, Class::Running);
    budget.progressed(NOW + Duration::from_secs(3), first);
    let opened = budget.open(
        NOW + Duration::from_secs(4),
        Owner::of(Kind::Connection),
        10,
    );
    let cut = opened.unwrap().cut_off;
    assert_eq!(ids(&cut), [second]);
    assert_eq!(cut[0].reason, CutOffReason::Connections);
    assert_eq!((budget.connections(), budget.held()), (3, 30));
}

/// A connection with a running request or a response must not be closed for a new one.
#[test]
fn new_connection_waits_for_running_ones() {
    let mut budget = budget();
    for _ in 0..3 {
        let id = open(&mut budget, NOW, Kind::Connection, 10);
        budget.set_class(NOW, id, Class::Running);
    }
    let opened = budget.open(NOW, Owner::of(Kind::Connection), 10);
    assert_eq!(opened, Err(Shortage::Connections));
}
