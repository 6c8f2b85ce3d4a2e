//! The running daemon and upstreams that say that they leave, or that they want no requests for a
//! while.

use std::time::Duration;

use oriole_fleet::prelude::*;
use rstest::rstest;

use crate::harness::{route, start, start_with_upstreams, upstream};

const SOUND: &str = "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Length: 5\r\n\r\nsound";

/// An upstream that says so gets no request more, while another one serves them.
#[rstest]
#[case::leaving_in_success(
    "HTTP/1.1 200 OK\r\nsignature: s\r\nleaving: 1\r\nContent-Length: 4\r\n\r\nlast"
)]
#[case::leaving_in_failure(
    "HTTP/1.1 500 X\r\nsignature: s\r\nleaving: 1\r\nContent-Length: 4\r\n\r\nlast"
)]
#[case::leaving_in_refusal(
    "HTTP/1.1 503 X\r\nnot-run: 1\r\nleaving: 1\r\nContent-Length: 0\r\n\r\n"
)]
#[case::paused("HTTP/1.1 503 X\r\nnot-run: 1\r\nretry-after: 60\r\nContent-Length: 0\r\n\r\n")]
#[case::paused_for_ever(
    "HTTP/1.1 503 X\r\nnot-run: 1\r\nretry-after: 1e300\r\nContent-Length: 0\r\n\r\n"
)]
#[tokio::test]
async fn notice_upstream_gets_no_more_requests(#[case] answer: &'static str) {
    let (noticed, arrived) = upstream(answer).await;
    let (sound, _) = upstream(SOUND).await;
    let harness = start_with_upstreams(route(RouteKind::Idempotent), &[noticed, sound]).await;
    for i in 0..60 {
        harness.post(&format!("n-{i}")).await;
        // Longer than an upstream is avoided after a refusal of another kind.
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    assert_eq!(*arrived.lock().unwrap(), 1);
}

/// Numbers that say nothing change nothing.
#[rstest]
#[case::negative("HTTP/1.1 503 X\r\nnot-run: 1\r\nretry-after: -5\r\nContent-Length: 0\r\n\r\n")]
#[case::not_a_number(
    "HTTP/1.1 503 X\r\nnot-run: 1\r\nretry-after: NaN\r\nContent-Length: 0\r\n\r\n"
)]
#[case::word("HTTP/1.1 503 X\r\nnot-run: 1\r\nretry-after: soon\r\nContent-Length: 0\r\n\r\n")]
#[case::in_success(
    "HTTP/1.1 200 OK\r\nsignature: s\r\nretry-after: 60\r\nContent-Length: 2\r\n\r\nok"
)]
#[tokio::test]
async fn notice_without_meaning_is_ignored(#[case] answer: &'static str) {
    let (upstream, arrived) = upstream(answer).await;
    let harness = start(RouteKind::Idempotent, upstream).await;
    for i in 0..3 {
        harness.post(&format!("n-{i}")).await;
    }
    assert!(*arrived.lock().unwrap() >= 3);
}

/// Where all upstreams want no requests, callers learn at once when the first takes them again.
#[tokio::test]
async fn notice_all_paused_refuses_at_once_with_time() {
    let paused = "HTTP/1.1 503 X\r\nnot-run: 1\r\nretry-after: 30\r\nContent-Length: 0\r\n\r\n";
    let (upstream, _) = upstream(paused).await;
    let harness = start(RouteKind::AtMostOnce, upstream).await;
    harness.post("n-1").await;
    let began = tokio::time::Instant::now();
    let answer = harness.post("n-2").await;
    assert!(began.elapsed() < Duration::from_millis(500));
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    let retry_after = answer.lines().find_map(|l| {
        l.to_ascii_lowercase()
            .strip_prefix("retry-after: ")?
            .parse()
            .ok()
    });
    let retry_after: f64 = retry_after.unwrap_or_default();
    assert!((29.0..=30.0).contains(&retry_after), "{answer}");
}
