//! All daemons restart at the same time, and all callers return within milliseconds with a single
//! retry left.

use std::time::Duration;

use oriole_fleet::prelude::RouteKind;
use rstest::rstest;

use crate::harness;

const RESPONSE: &str = "HTTP/1.1 200 OK\r\nattempt: a1\r\nsignature: s\r\n\
                      content-length: 2\r\nconnection: close\r\n\r\nhi";

const REQUEST: &str = "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: a1\r\n\
                   Content-Length: 2\r\nConnection: close\r\n\r\nhi";

#[rstest]
#[case::idempotent(RouteKind::Idempotent)]
#[case::at_most_once(RouteKind::AtMostOnce)]
#[tokio::test]
async fn serve_first_request_waits_for_listing(#[case] kind: RouteKind) {
    let (upstream, _) = harness::upstream(RESPONSE).await;
    let harness = harness::start_with_slow_store(kind, upstream, Duration::from_millis(60)).await;
    let answer = harness.send_once(REQUEST).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

/// If the store does not answer, callers are not kept waiting but get a `Retry-After`.
#[tokio::test]
async fn serve_store_unavailable_refuses_soon() {
    let (upstream, _) = harness::upstream(RESPONSE).await;
    let harness =
        harness::start_with_slow_store(RouteKind::Idempotent, upstream, Duration::from_secs(60))
            .await;
    let first = harness.send_once(REQUEST).await;
    assert!(first.starts_with("HTTP/1.1 503"), "{first}");
    let began = tokio::time::Instant::now();
    let second = harness.send_once(REQUEST).await;
    assert!(second.starts_with("HTTP/1.1 503"), "{second}");
    assert!(second.contains("retry-after: 0.300"), "{second}");
    // An eighth of the shortest objective of the deployments, plus a margin for a busy machine.
    assert!(began.elapsed() < Duration::from_millis(500));
}
