//! Steps of the limit on streams.

use std::time::Duration;

use oriole_overload::stream_limit::{LimitInput, StreamLimit};
use rstest::rstest;

const INPUT: LimitInput = LimitInput {
    running: 500,
    pause: Some(Duration::from_millis(90)),
    target: Duration::from_millis(120),
    slots: 630,
    stands_still: false,
    view_age: Duration::from_millis(200),
};

fn after_steps(steps: u64, input: LimitInput) -> f64 {
    let mut limit = StreamLimit::default();
    for step in 0..steps {
        limit.step(Duration::from_millis(200 * step + 1000), &input);
    }
    limit.limit().unwrap()
}

#[rstest]
#[case::pace_is_good(1, Some(90), 630.0)]
#[case::unknown_pace(5, None, 630.0)]
#[case::too_slow_falls_by_a_tenth(1, Some(200), 567.0)]
#[case::much_too_slow_stops_at_half(30, Some(2000), 315.0)]
#[case::slightly_too_slow(1, Some(115), 567.0)]
fn step_follows_pause(#[case] steps: u64, #[case] pause_ms: Option<u64>, #[case] expected: f64) {
    let pause = pause_ms.map(Duration::from_millis);
    let limit = after_steps(steps, LimitInput { pause, ..INPUT });
    assert!((limit - expected).abs() < 0.5, "{limit}");
}

#[test]
fn step_used_and_fast_grows() {
    let mut limit = StreamLimit::default();
    for step in 0..10 {
        let pause = Some(Duration::from_millis(300));
        limit.step(
            Duration::from_millis(200 * step),
            &LimitInput { pause, ..INPUT },
        );
    }
    assert_eq!(limit.limit(), Some(315.0));
    let fast = LimitInput {
        running: 310,
        ..INPUT
    };
    limit.step(Duration::from_millis(2000), &fast);
    assert_eq!(limit.limit(), Some(330.75));
    let unused = LimitInput {
        running: 100,
        ..INPUT
    };
    limit.step(Duration::from_millis(2200), &unused);
    assert_eq!(limit.limit(), Some(330.75));
}

/// The pauses that contain a standstill say nothing of the pace.
#[test]
fn step_standstill_keeps_the_limit() {
    let mut limit = StreamLimit::default();
    let frozen = LimitInput {
        stands_still: true,
        pause: None,
        ..INPUT
    };
    limit.step(Duration::from_millis(1000), &frozen);
    let after = LimitInput {
        pause: Some(Duration::from_secs(2)),
        ..INPUT
    };
    limit.step(Duration::from_millis(1200), &after);
    limit.step(Duration::from_millis(1400), &after);
    assert_eq!(limit.limit(), Some(630.0));
}
