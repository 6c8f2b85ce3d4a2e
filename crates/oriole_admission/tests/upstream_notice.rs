//! Notices of upstreams, fuzzed against an oracle that keeps all that was said.

use std::time::Duration;

use oriole_admission::upstream_notice::UpstreamNotices;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Leave { run: u64 },
    Pause { run: u64, time: Duration },
    Wait(Duration),
}

fn events() -> impl Strategy<Value = Vec<Event>> {
    let run = 0_u64..3;
    let event = prop_oneof![
        1 => run.clone().prop_map(|run| Event::Leave { run }),
        4 => (run, 0_u64..4000).prop_map(|(run, time)| Event::Pause { run, time: ms(time) }),
        4 => (1_u64..2000).prop_map(|time| Event::Wait(ms(time))),
    ];
    prop::collection::vec(event, 1..40)
}

/// Whether a run takes requests, from all that it said: it never does after it left, and otherwise its
/// last pause decides.
fn oracle_is_free(said: &[(Duration, Event)], now: Duration, run: u64) -> bool {
    let mut paused_until = Duration::ZERO;
    for (at, event) in said {
        match event {
            Event::Leave { run: r } if *r == run => return false,
            Event::Pause { run: r, time } if *r == run => paused_until = *at + *time,
            _ => {}
        }
    }
    now >= paused_until
}

/// Plays events, and returns the first moment at which `is_free` and the oracle differ.
fn play(
    events: &[Event],
    is_free: impl Fn(&UpstreamNotices, Duration, u64) -> bool,
) -> Result<(), String> {
    let mut notices = UpstreamNotices::default();
    let (mut now, mut said) = (ms(1), Vec::new());
    for event in events {
        match *event {
            Event::Leave { run } => drop(notices.leave(now, run)),
            Event::Pause { run, time } => drop(notices.pause(now, run, time)),
            Event::Wait(time) => now += time,
        }
        said.push((now, *event));
        for run in 0..3 {
            if is_free(&notices, now, run) != oracle_is_free(&said, now, run) {
                return Err(format!("run {run} at {now:?} after {said:?}"));
            }
        }
    }
    Ok(())
}

fn takes_requests(notices: &UpstreamNotices, now: Duration, run: u64) -> bool {
    notices.free_at(now, run).is_none()
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: RngSeed::Fixed(7), ..ProptestConfig::default() })]

    #[test]
    fn notices_any_events_match_oracle(events in events()) {
        prop_assert_eq!(play(&events, takes_requests), Ok(()));
    }
}

/// The oracle catches notices that forget a departure, and ones that end a pause too early.
#[test]
fn notices_broken_variants_are_caught() {
    let leaves = [Event::Leave { run: 1 }, Event::Wait(ms(10))];
    let forgets = |notices: &UpstreamNotices, now, run| {
        notices
            .free_at(now, run)
            .is_none_or(|at| at == Duration::MAX)
    };
    assert!(play(&leaves, forgets).is_err());
    let pauses = [
        Event::Pause {
            run: 1,
            time: ms(100),
        },
        Event::Wait(ms(90)),
    ];
    let ends_early = |notices: &UpstreamNotices, now: Duration, run| {
        notices.free_at(now + ms(20), run).is_none()
    };
    assert!(play(&pauses, ends_early).is_err());
}

#[test]
fn pause_longest_time_is_bounded() {
    let mut notices = UpstreamNotices::default();
    assert!(notices.pause(ms(1), 1, Duration::MAX));
    let free_at = notices.free_at(ms(2), 1).unwrap();
    assert!(free_at < Duration::from_secs(3600), "{free_at:?}");
}

#[test]
fn leave_of_one_run_leaves_the_next() {
    let mut notices = UpstreamNotices::default();
    assert!(notices.leave(ms(1), 1));
    assert!(!notices.leave(ms(2), 1));
    assert_eq!(notices.free_at(ms(3), 2), None);
    // Nothing that the upstream or others say later takes it back.
    notices.pause(ms(4), 1, Duration::ZERO);
    assert_eq!(notices.free_at(ms(5), 1), Some(Duration::MAX));
}
