//! Invalid requests get a 4xx response, the connection is closed, and no upstream receives them.

use oriole_fleet::prelude::RouteKind;
use rstest::rstest;

use crate::harness::{start, upstream};

#[rstest]
#[case::no_attempt_id(
    "POST /a/x HTTP/1.1\r\nHost: a.example\r\nContent-Length: 2\r\n\r\nhi",
    400
)]
#[case::two_lengths(
    "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: b\r\nContent-Length: 2\r\n\
     Content-Length: 30\r\n\r\nhi",
    400
)]
#[case::invalid_length(
    "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: b\r\nContent-Length: x\r\n\r\nhi",
    400
)]
#[case::large_body(
    "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: b\r\nContent-Length: 99999999\r\n\r\n",
    413
)]
#[case::not_http("bytes of something else\r\n\r\n", 400)]
#[tokio::test]
async fn bad_request_is_refused_and_closed(#[case] req: &str, #[case] status: u16) {
    let (address, requests) = upstream("").await;
    let harness = start(RouteKind::AtMostOnce, address).await;
    // The daemon is ready once a valid request succeeds.
    harness.post("first").await;
    let before = *requests.lock().unwrap();
    let answer = harness.send_until_ready(req).await;
    assert!(
        answer.starts_with(&format!("HTTP/1.1 {status}")),
        "{answer}"
    );
    assert_eq!(*requests.lock().unwrap(), before);
}

/// A time that no clock can hold ended the task of its request.
#[rstest]
#[case::huge("1e300")]
#[case::above_duration("1e23")]
#[case::infinite("inf")]
#[case::not_a_number("NaN")]
#[case::negative("-1e300")]
#[tokio::test]
async fn odd_deadline_is_served(#[case] deadline: &str) {
    let (address, _) =
        upstream("HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Length: 2\r\n\r\nok").await;
    let harness = start(RouteKind::AtMostOnce, address).await;
    let req = format!(
        "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: d\r\ndeadline: {deadline}\r\n\
         Content-Length: 2\r\nConnection: close\r\n\r\nhi"
    );
    let answer = harness.send_until_ready(&req).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}

#[tokio::test]
async fn bad_request_oversized_head_is_refused() {
    let (address, requests) = upstream("").await;
    let harness = start(RouteKind::AtMostOnce, address).await;
    harness.post("first").await;
    let before = *requests.lock().unwrap();
    let long = "x".repeat(40_000);
    let req = format!("GET /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: b\r\nlong: {long}\r\n\r\n");
    let answer = harness.send_until_ready(&req).await;
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );
    assert_eq!(*requests.lock().unwrap(), before);
}

#[tokio::test]
async fn bad_request_unknown_route_is_not_found() {
    let (address, requests) = upstream("").await;
    let harness = start(RouteKind::AtMostOnce, address).await;
    harness.post("first").await;
    let before = *requests.lock().unwrap();
    let req = "GET /else/ HTTP/1.1\r\nHost: a.example\r\nattempt: b\r\nConnection: close\r\n\r\n";
    let answer = harness.send_until_ready(req).await;
    assert!(answer.starts_with("HTTP/1.1 404"), "{answer}");
    assert_eq!(*requests.lock().unwrap(), before);
}
