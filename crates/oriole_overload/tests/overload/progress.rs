//! Pace and standstill of one group.

use std::time::Duration;

use oriole_overload::group_progress::{GroupProgress, GroupRecord, Transition};
use rstest::rstest;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const RECORD: GroupRecord = GroupRecord {
    group: 1,
    pause: ms(100),
    pauses: 10,
    last_event_age: ms(25),
    running: 4,
};

/// A group with two own streams that have had events every 100 ms until 1 s.
fn running_group() -> GroupProgress {
    let mut group = GroupProgress::new(1);
    group.on_stream_started();
    group.on_stream_started();
    for at in (100..=1000).step_by(100) {
        group.on_event(ms(at), (at > 100).then(|| ms(at - 100)));
        assert_eq!(group.tick(ms(at), 2), None);
    }
    group
}

#[test]
fn pause_is_mean_weighted_by_count() {
    let mut group = running_group();
    let record = GroupRecord {
        pause: ms(160),
        pauses: 5,
        ..RECORD
    };
    group.on_record(ms(1000), 9, &record);
    assert_eq!(group.pause(ms(1000)), Some(ms(130)));
    // The record is too old after 600 ms, and the own pauses have left their window.
    assert_eq!(group.pause(ms(1600)), None);
}

#[test]
fn standstill_all_silent_begins_and_ends() {
    let mut group = running_group();
    assert_eq!(group.tick(ms(1390), 2), None);
    assert_eq!(group.tick(ms(1410), 2), Some(Transition::Stopped));
    assert_eq!(group.standstill(ms(1500)), Some(ms(500)));
    group.on_event(ms(3000), Some(ms(1000)));
    assert_eq!(group.tick(ms(3010), 2), Some(Transition::WentOn(ms(2010))));
    assert_eq!(group.standstill(ms(3010)), None);
}

/// A single peer that hears events refutes a standstill, for example if the daemon's own streams are
/// at a rank whose link is cut.
#[test]
fn standstill_any_peers_event_refutes() {
    let mut group = running_group();
    group.on_record(ms(1400), 9, &RECORD);
    assert_eq!(group.tick(ms(1410), 6), None);
}

/// A peer whose clock is wrong must not hide a standstill for long.
#[test]
fn standstill_one_peer_cannot_hide_it_for_long() {
    let mut group = running_group();
    let mut stopped_at = None;
    for at in (1050..3000).step_by(50) {
        group.on_record(ms(at), 9, &RECORD);
        if group.tick(ms(at), 6) == Some(Transition::Stopped) {
            stopped_at = Some(at);
            break;
        }
    }
    // 400 ms of silence, and the 600 ms for which its word counts.
    assert!(stopped_at.is_some_and(|at| at <= 2050), "{stopped_at:?}");
}

/// A daemon without streams must not believe a single peer.
#[rstest]
#[case::one_peer(1, false)]
#[case::two_peers(2, true)]
fn standstill_needs_two_peers(#[case] peers: u64, #[case] expected: bool) {
    let mut group = GroupProgress::new(1);
    let mut stopped = false;
    for at in (100..=3000_u64).step_by(100) {
        for peer in 0..peers {
            let last_event_age = ms(at.saturating_sub(1000) + 25);
            let record = GroupRecord {
                last_event_age,
                ..RECORD
            };
            group.on_record(ms(at), peer, &record);
        }
        stopped |= group.tick(ms(at), 8).is_some();
    }
    assert_eq!(stopped, expected);
}

#[rstest]
#[case::zero_pause(GroupRecord { pause: Duration::ZERO, ..RECORD })]
#[case::long_pause(GroupRecord { pause: ms(60_001), ..RECORD })]
#[case::old_event(GroupRecord { last_event_age: ms(60_001), ..RECORD })]
#[case::other_epoch(GroupRecord { group: 2, ..RECORD })]
fn on_record_implausible_or_foreign_is_ignored(#[case] record: GroupRecord) {
    let mut group = GroupProgress::new(1);
    group.on_record(ms(100), 9, &record);
    assert_eq!(group.pause(ms(100)), None);
    assert_eq!(group.running(ms(100)), 0);
}

/// A stream that waits for its first event must not count as silence.
#[test]
fn standstill_no_event_yet_is_none() {
    let mut group = GroupProgress::new(1);
    assert_eq!(group.tick(ms(5000), 3), None);
}

/// One silent stream may be due to its upstream alone; it must be moved as before.
#[test]
fn standstill_single_stream_is_none() {
    let mut group = running_group();
    group.on_stream_ended();
    assert_eq!(group.tick(ms(2000), 1), None);
}

/// A group without requests is idle.
#[test]
fn standstill_nothing_in_flight_is_none() {
    let mut group = running_group();
    assert_eq!(group.tick(ms(2000), 0), None);
    assert!(!group.stands_still());
}

/// Slow passes must not count as a standstill each.
#[test]
fn standstill_slow_rank_is_declared_once() {
    let mut group = running_group();
    let (mut stops, mut last) = (0, 1000);
    for pass in 1..=10 {
        let next = 1000 + pass * 1000;
        for at in (last + 50..=next).step_by(50) {
            if at == next {
                group.on_event(ms(at), Some(ms(last)));
                group.on_event(ms(at), Some(ms(last)));
            }
            stops += u32::from(group.tick(ms(at), 2) == Some(Transition::Stopped));
        }
        last = next;
    }
    assert!(stops <= 2, "{stops}");
}
