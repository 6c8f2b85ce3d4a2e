//! When the cached items are confirmed, and which watches are cut.

use oriole_gateway::freshness::{
    CONFIRM_INTERVAL, Confirmation, ConfirmationId, FreshnessAction, FreshnessTracker, Place,
};

use crate::fake::secs;

const FIRST: Place = Place {
    ordinal: 0,
    daemons: 17,
};

fn confirmation(incarnation: u64, number: u64, as_of: f64) -> Confirmation {
    Confirmation {
        id: ConfirmationId {
            incarnation,
            number,
        },
        as_of: secs(as_of),
    }
}

/// A tracker with one prefix, confirmed at second 1, whose watch was sent at second 1.1.
fn tracker() -> FreshnessTracker {
    let mut tracker = FreshnessTracker::new(1);
    tracker.on_confirmed(secs(1.0), 0, confirmation(7, 0, 1.0));
    tracker.on_watch_opened(secs(1.1), 0);
    tracker
}

fn is_cut(tracker: &FreshnessTracker, at: f64) -> bool {
    tracker.next_action(secs(at), 0, FIRST) == FreshnessAction::CutWatch
}

#[test]
fn confirm_due_after_interval() {
    let tracker = tracker();
    let due = secs(1.0) + CONFIRM_INTERVAL;
    assert_eq!(
        tracker.next_action(secs(1.2), 0, FIRST),
        FreshnessAction::WaitUntil(due)
    );
    assert_eq!(tracker.next_action(due, 0, FIRST), FreshnessAction::Confirm);
}

#[test]
fn confirm_later_daemons_wait_for_the_first() {
    let tracker = tracker();
    let last = Place {
        ordinal: 16,
        daemons: 17,
    };
    let due = secs(1.0) + CONFIRM_INTERVAL;
    let FreshnessAction::WaitUntil(at) = tracker.next_action(due, 0, last) else {
        panic!("it does not wait");
    };
    assert!(at > due && at <= due + secs(0.4), "{at:?}");
}

#[test]
fn confirm_through_peer_replaces_own_read() {
    let mut tracker = tracker();
    let age = tracker.on_confirmed(secs(1.9), 0, confirmation(8, 3, 1.8));
    assert_eq!(age, Some(secs(0.9)));
    let due = secs(1.8) + CONFIRM_INTERVAL;
    assert_eq!(
        tracker.next_action(secs(2.5), 0, FIRST),
        FreshnessAction::WaitUntil(due)
    );
}

/// A confirmation that peers pass on in a circle must not grow younger with each hop.
#[test]
fn confirm_relayed_again_is_not_news() {
    let mut tracker = tracker();
    tracker.on_confirmed(secs(1.9), 0, confirmation(8, 3, 1.8));
    let relayed = tracker.on_confirmed(secs(4.0), 0, confirmation(8, 3, 3.9));
    assert_eq!(relayed, None);
    assert_eq!(tracker.confirmed_at(0), Some(secs(1.8)));
}

#[test]
fn confirm_failed_is_repeated_after_pause() {
    let mut tracker = tracker();
    tracker.on_confirm_failed(secs(2.8), 0, secs(0.3));
    assert_eq!(
        tracker.next_action(secs(2.9), 0, FIRST),
        FreshnessAction::WaitUntil(secs(3.1))
    );
}

/// The answer of a watch that waited while the store was silent may be lost.
#[test]
fn watch_cut_once_store_answers_again() {
    let mut tracker = tracker();
    tracker.on_no_answer(secs(1.3));
    assert!(!is_cut(&tracker, 1.5), "cut while the store is silent");
    assert!(tracker.on_answer(secs(1.6), FIRST));
    assert!(is_cut(&tracker, 1.6));
}

#[test]
fn watch_sent_after_silence_is_kept() {
    let mut tracker = tracker();
    tracker.on_no_answer(secs(1.3));
    tracker.on_watch_ended(0);
    tracker.on_watch_opened(secs(1.4), 0);
    tracker.on_answer(secs(1.6), FIRST);
    assert!(!is_cut(&tracker, 1.6));
}

#[test]
fn watch_cut_after_missed_change() {
    let mut tracker = tracker();
    tracker.on_missed_change(secs(1.3), 0, FIRST);
    assert!(!is_cut(&tracker, 1.4), "the watch may still report it");
    assert!(is_cut(&tracker, 1.8));
}

#[test]
fn watch_kept_if_it_reports_the_change_itself() {
    let mut tracker = tracker();
    tracker.on_missed_change(secs(1.3), 0, FIRST);
    tracker.on_watch_ended(0);
    tracker.on_watch_opened(secs(1.5), 0);
    assert!(!is_cut(&tracker, 1.8));
}

/// A fleet that was cut off as a whole must not list at the same moment.
#[test]
fn watch_cut_is_spread_over_daemons() {
    let mut tracker = tracker();
    tracker.on_no_answer(secs(1.3));
    let place = Place {
        ordinal: 1000,
        daemons: 1160,
    };
    tracker.on_answer(secs(1.6), place);
    assert!(!is_cut(&tracker, 1.7));
    assert!(is_cut(&tracker, 3.7));
}
