//! Which connections a listener accepts and closes, without a network.

use std::time::Duration;

use oriole_kernel::bounded_listener::slots::{
    Admission, CloseReason, ConnectionId, ConnectionLimits, ConnectionSlots,
};

const fn s(s: u64) -> Duration {
    Duration::from_secs(s)
}

/// Slots with a connection accepted at each second from 0 on, all of which are taken.
fn full(count: usize) -> (ConnectionSlots, Vec<ConnectionId>) {
    let mut slots = ConnectionSlots::new(ConnectionLimits {
        max_connections: count,
        ..ConnectionLimits::default()
    });
    let ids = (0..count).map(|i| grant(&mut slots, s(i as u64)));
    let ids = ids.collect();
    (slots, ids)
}

fn grant(slots: &mut ConnectionSlots, now: Duration) -> ConnectionId {
    match slots.request(now) {
        Admission::Granted(id) => id,
        other => panic!("not granted: {other:?}"),
    }
}

#[test]
fn request_free_slot_closes_none() {
    let (mut slots, ids) = full(3);
    slots.on_closed(ids[1]);
    grant(&mut slots, s(3));
    assert_eq!(slots.len(), 3);
}

#[test]
fn request_all_taken_closes_longest_unused() {
    let (mut slots, ids) = full(3);
    slots.on_request(ids[0], s(4));
    slots.on_response_sent(ids[0], s(4));
    assert_eq!(slots.request(s(5)), Admission::Close(ids[1]));
    // The slot is free only when the connection has ended.
    assert_eq!(slots.request(s(5)), Admission::Wait(None));
    slots.on_closed(ids[1]);
    grant(&mut slots, s(5));
}

/// Guards against peers that keep their place by sending a byte now and then.
#[test]
fn request_unfinished_request_does_not_protect() {
    let (mut slots, ids) = full(2);
    slots.on_received(ids[0], s(2));
    assert_eq!(slots.request(s(2)), Admission::Close(ids[0]));
}

#[test]
fn request_answering_is_not_closed() {
    let (mut slots, ids) = full(2);
    slots.on_request(ids[0], s(2));
    assert_eq!(slots.request(s(2)), Admission::Close(ids[1]));
}

/// A request that arrives at the moment when its connection was chosen is answered.
#[test]
fn request_chosen_connection_receives_request() {
    let (mut slots, ids) = full(2);
    assert_eq!(slots.request(s(2)), Admission::Close(ids[0]));
    assert!(slots.is_closing(ids[0]));
    slots.on_request(ids[0], s(2));
    assert!(!slots.is_closing(ids[0]));
    assert_eq!(slots.request(s(2)), Admission::Close(ids[1]));
}

/// Guards against peers that occupy all connections with responses that they do not read.
#[test]
fn request_unread_responses_are_closed_after_stall() {
    let (mut slots, ids) = full(2);
    slots.on_request(ids[0], s(2));
    slots.on_request(ids[1], s(2));
    slots.on_progress(ids[0], s(3));
    let stall = ConnectionLimits::default().stalled_reader;
    assert_eq!(slots.request(s(3)), Admission::Wait(Some(s(2) + stall)));
    assert_eq!(slots.request(s(2) + stall), Admission::Close(ids[1]));
}

#[test]
fn deadline_by_phase() {
    let (mut slots, ids) = full(1);
    let id = ids[0];
    assert_eq!(slots.deadline(id), Some((s(15), CloseReason::Idle)));
    slots.on_received(id, s(10));
    slots.on_received(id, s(12));
    assert_eq!(slots.deadline(id), Some((s(13), CloseReason::SlowRequest)));
    slots.on_request(id, s(12));
    slots.on_progress(id, s(20));
    assert_eq!(slots.deadline(id), Some((s(27), CloseReason::SlowReader)));
    slots.on_response_sent(id, s(21));
    assert_eq!(slots.deadline(id), Some((s(36), CloseReason::Idle)));
    slots.on_closed(id);
    assert_eq!(slots.deadline(id), None);
}

/// The next request may arrive before the response is sent.
#[test]
fn deadline_next_request_begun() {
    let (mut slots, ids) = full(1);
    slots.on_request(ids[0], s(1));
    slots.on_received(ids[0], s(1));
    slots.on_response_sent(ids[0], s(2));
    let expected = Some((s(5), CloseReason::SlowRequest));
    assert_eq!(slots.deadline(ids[0]), expected);
}
