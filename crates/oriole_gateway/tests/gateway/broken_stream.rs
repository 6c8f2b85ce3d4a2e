//! A stream that has begun and breaks off, after which the next upstream does not continue it.
//!
//! Callers found an error's text in their stream, or a stream that ended as if it were complete.

use oriole_fleet::prelude::*;
use rstest::rstest;

use crate::harness::{route, start_with_upstreams, upstream};

const WITHIN_EVENT: &str = "HTTP/1.1 200 OK\r\nattempt: b1\r\nsignature: s\r\n\
     Content-Type: text/event-stream\r\nContent-Length: 500\r\n\r\nid: 1\ndata: a\n\nid: 2\nda";
const AFTER_EVENT: &str = "HTTP/1.1 200 OK\r\nattempt: b1\r\nsignature: s\r\n\
     Content-Type: text/event-stream\r\nContent-Length: 500\r\n\r\nid: 1\ndata: a\n\n";

const FAILURE: &str = "HTTP/1.1 500 X\r\nattempt: b1\r\nsignature: s\r\nContent-Type: text/plain\r\n\
     Content-Length: 16\r\n\r\nodd error text\n\n";
const ENDLESS_FAILURE: &str = "HTTP/1.1 500 X\r\nattempt: b1\r\nsignature: s\r\n\
     Content-Length: 5000\r\n\r\nodd error text\n\n";
const CUT_HEAD: &str = "HTTP/1.1 200 OK\r\nattempt: b1\r\nodd err";
const NO_HEAD: &str = "odd error text\n\n";
const TEXT_SUCCESS: &str = "HTTP/1.1 200 OK\r\nattempt: b1\r\nsignature: s\r\n\
     Content-Type: text/plain\r\nContent-Length: 16\r\n\r\nodd error text\n\n";
const EMPTY_SUCCESS: &str = "HTTP/1.1 200 OK\r\nattempt: b1\r\nsignature: s\r\n\
     Content-Type: text/event-stream\r\nContent-Length: 0\r\n\r\n";
const FAILURE_IN_STREAM: &str = "HTTP/1.1 500 X\r\nattempt: b1\r\nsignature: s\r\n\
     Content-Type: text/event-stream\r\nContent-Length: 28\r\n\r\nid: 2\ndata: odd error text\n\n";

/// The caller's body, whose length is that of the first upstream's: a shorter one is not complete.
fn is_complete(answer: &str) -> bool {
    let (head, body) = answer.split_once("\r\n\r\n").unwrap_or((answer, ""));
    let is_chunked = head
        .to_ascii_lowercase()
        .contains("transfer-encoding: chunked");
    if is_chunked {
        return body.ends_with("0\r\n\r\n");
    }
    body.len() >= 500
}

#[rstest]
#[case::failure(AFTER_EVENT, FAILURE)]
#[case::endless_failure(AFTER_EVENT, ENDLESS_FAILURE)]
#[case::cut_head(AFTER_EVENT, CUT_HEAD)]
#[case::no_head(AFTER_EVENT, NO_HEAD)]
#[case::text_success(AFTER_EVENT, TEXT_SUCCESS)]
#[case::failure_as_events(AFTER_EVENT, FAILURE_IN_STREAM)]
#[case::failure_within_event(WITHIN_EVENT, FAILURE)]
#[case::text_success_within_event(WITHIN_EVENT, TEXT_SUCCESS)]
#[case::empty_success_within_event(WITHIN_EVENT, EMPTY_SUCCESS)]
#[tokio::test]
async fn broken_stream_next_upstream_fails_stream_stays_broken(
    #[case] first: &'static str,
    #[case] next: &'static str,
) {
    let (broken, _) = upstream(first).await;
    let (failing, _) = upstream(next).await;
    let route = Route {
        resumable: true,
        ..route(RouteKind::Stream)
    };
    let mut has_begun = false;
    // The upstream that is picked first is random.
    for _ in 0..10 {
        let harness = start_with_upstreams(route.clone(), &[broken, failing]).await;
        let answer = harness.post("b1").await;
        if !answer.contains("id: 1\n") {
            continue;
        }
        has_begun = true;
        assert!(!answer.contains("odd err"), "{answer}");
        assert_eq!(answer.matches("HTTP/1.1").count(), 1, "{answer}");
        assert!(!is_complete(&answer), "{answer}");
    }
    assert!(has_begun);
}
