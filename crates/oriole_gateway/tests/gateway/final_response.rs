//! The response that a caller gets when a request's attempts end differently.

use std::time::Duration;

use oriole_fleet::prelude::*;

use crate::harness::{route, silent_upstream, start_with_upstreams, upstream};

/// Time after a route's timeout within which the response must end.
const TIMEOUT_SLACK: Duration = Duration::from_millis(500);

/// Guards the route's timeout: a stream breaks, and the upstream that should resume it stays
/// silent.
#[tokio::test]
async fn resume_silent_upstream_ends_at_the_timeout() {
    let (broken, _) = upstream(
        "HTTP/1.1 200 OK\r\nattempt: e1\r\nsignature: s\r\nContent-Type: text/event-stream\r\n\
         Content-Length: 500\r\n\r\nid: 1\ndata: a\n\n",
    )
    .await;
    let timeout = Duration::from_millis(600);
    let route = Route {
        resumable: true,
        timeout,
        ..route(RouteKind::Stream)
    };
    let harness = start_with_upstreams(route, &[broken, silent_upstream().await]).await;
    let mut has_resumed = false;
    // The upstream that is picked first is random.
    for _ in 0..20 {
        let began = tokio::time::Instant::now();
        let answer = harness.post("e1").await;
        let took = began.elapsed();
        assert!(took < timeout + TIMEOUT_SLACK, "{took:?}: {answer}");
        has_resumed |= answer.contains("id: 1\n");
    }
    assert!(has_resumed);
}

/// The caller gets an upstream's own failure even if later attempts are refused.
#[tokio::test]
async fn failure_then_refusals_returns_the_failure() {
    let (failing, _) =
        upstream("HTTP/1.1 500 X\r\nattempt: e2\r\nsignature: s\r\nContent-Length: 0\r\n\r\n")
            .await;
    let mut upstreams = vec![failing];
    for _ in 0..5 {
        let (refusing, _) =
            upstream("HTTP/1.1 503 X\r\nattempt: e2\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n")
                .await;
        upstreams.push(refusing);
    }
    let harness = start_with_upstreams(route(RouteKind::Idempotent), &upstreams).await;
    for _ in 0..40 {
        let answer = harness.post("e2").await;
        let is_refused = answer.starts_with("HTTP/1.1 503");
        let is_failure = answer.starts_with("HTTP/1.1 500") && answer.contains("signature: s");
        assert!(is_refused || is_failure, "{answer}");
    }
}
