//! Which entries the load feed selects, and when.

use std::time::Duration;

use oriole_membership::load_feed::{FULL_CHANGE_INTERVAL, LoadFeed, MAX_LOAD_REPORT_INTERVAL};
use oriole_types::prelude::*;

fn feed(now: Duration, load: &LoadReport) -> LoadFeed {
    let names: [VmName; 2] = ["e0".into(), "e1".into()];
    let mut feed = LoadFeed::new(MAX_LOAD_REPORT_INTERVAL);
    feed.set_subscribers(names.iter());
    feed.due(now, load);
    feed
}

#[test]
fn due_only_without_recent_answer() {
    let (load, now) = (LoadReport::default(), Duration::from_secs(10));
    let mut feed = feed(now, &load);
    feed.record_answer(now + MAX_LOAD_REPORT_INTERVAL / 2, &"e0".into());
    assert_eq!(
        feed.due(now + MAX_LOAD_REPORT_INTERVAL, &load),
        [VmName::from("e1")]
    );
}

#[test]
fn due_all_when_leaving() {
    let (load, now) = (LoadReport::default(), Duration::from_secs(10));
    let mut feed = feed(now, &load);
    let leaving = LoadReport {
        leaving: true,
        ..load
    };
    assert_eq!(feed.due(now, &leaving).len(), 2);
}

#[test]
fn due_limits_rate_of_cold_and_full() {
    let cold = LoadReport {
        cold: true,
        limit: 2,
        ..LoadReport::default()
    };
    let full = LoadReport {
        in_flight: 2,
        ..cold
    };
    let now = Duration::from_secs(10);
    let mut feed = feed(now, &cold);
    assert_eq!(feed.due(now, &full).len(), 2);
    assert_eq!(feed.due(now, &cold).len(), 0);
    assert_eq!(feed.due(now + FULL_CHANGE_INTERVAL, &cold).len(), 2);
}
