//! The examples of docs/OPERATIONS.md: a request fails at the real daemon, and the log lines with
//! its id show the cause.

use oriole_fleet::prelude::RouteKind;

use crate::harness::{start, upstream};

fn kinds(lines: &[(String, String)]) -> Vec<&str> {
    let kinds = lines.iter().map(|(kind, _)| kind.as_str());
    kinds.skip_while(|k| *k == "refused").collect()
}

/// Example 1: a request is refused although the upstream seemed free, because the upstream refused
/// it.
#[tokio::test]
async fn log_of_refused_request_shows_upstream() {
    let (address, _) =
        upstream("HTTP/1.1 503 X\r\nattempt: w1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n").await;
    let harness = start(RouteKind::Idempotent, address).await;
    let answer = harness.post("w1").await;
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    assert!(
        answer.to_ascii_lowercase().contains("retry-after: "),
        "{answer}"
    );
    let lines = harness.log.lines("w1", "attempt").await;
    assert_eq!(kinds(&lines)[..2], ["picked", "attempt"]);
    let (_, picked) = lines.iter().find(|(k, _)| k == "picked").unwrap();
    assert!(picked.contains("\"in_flight\":0"), "{picked}");
    let (_, attempt) = lines.iter().find(|(k, _)| k == "attempt").unwrap();
    assert!(
        attempt.contains("refused by the upstream (503"),
        "{attempt}"
    );
    assert!(attempt.contains("\"outcome\":\"NotRun\""), "{attempt}");
}

/// Example 2: a broken stream is not resumed, because its route does not allow it.
#[tokio::test]
async fn log_of_broken_stream_shows_route() {
    let (address, _) = upstream(
        "HTTP/1.1 200 OK\r\nattempt: w2\r\nsignature: s\r\nContent-Type: text/event-stream\r\n\
         Content-Length: 500\r\n\r\nid: 1\ndata: a\n\nid: 2\nda",
    )
    .await;
    let harness = start(RouteKind::Stream, address).await;
    let answer = harness.post("w2").await;
    assert!(answer.contains("id: 1\ndata: a\n\n"), "{answer}");
    assert!(
        !answer.contains("id: 2"),
        "an incomplete event was sent: {answer}"
    );
    assert!(
        !answer.ends_with("0\r\n\r\n"),
        "the response looks complete: {answer}"
    );
    let lines = harness.log.lines("w2", "broken").await;
    assert_eq!(
        kinds(&lines),
        ["picked", "disconnected", "resume", "broken"]
    );
    let (_, resume) = &lines[lines.len() - 2];
    assert!(resume.contains("\"after\":1"), "{resume}");
    assert!(resume.contains("\"outcome\":\"not resumable\""), "{resume}");
    assert!(resume.contains("connection broke"), "{resume}");
}

/// Example 3: a request that must not run twice has an unknown outcome, so it is not sent again.
#[tokio::test]
async fn log_of_unknown_outcome_shows_lost_response() {
    let (address, requests) = upstream("").await;
    let harness = start(RouteKind::AtMostOnce, address).await;
    let answer = harness.post("w3").await;
    assert!(answer.starts_with("HTTP/1.1 502"), "{answer}");
    assert!(
        !answer.to_ascii_lowercase().contains("retry-after"),
        "{answer}"
    );
    assert_eq!(*requests.lock().unwrap(), 1);
    let lines = harness.log.lines("w3", "attempt").await;
    let (_, attempt) = lines.iter().find(|(k, _)| k == "attempt").unwrap();
    assert!(attempt.contains("\"outcome\":\"Unknown\""), "{attempt}");
    assert!(attempt.contains("\"upstream\":\"i-1\""), "{attempt}");
}
