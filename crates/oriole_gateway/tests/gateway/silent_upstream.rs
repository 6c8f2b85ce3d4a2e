//! Upstreams that pause within an answer for less time than callers wait.
//!
//! Streams that no other upstream could continue were broken off after 1.3 s without an event, also
//! while the daemon was leaving, although their upstreams were at work.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_fleet::prelude::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::harness::{Harness, route, silent_upstream, start_with_upstreams, upstream};

/// Longer than any silence that makes the daemon look for another upstream, and less than callers wait.
const PAUSE: Duration = Duration::from_millis(1800);

/// Gap between events after which callers leave.
const CALLER_PATIENCE: Duration = Duration::from_secs(2);

/// Most tries until one of two upstreams, which are picked at random, comes first.
const MAX_PICKS: usize = 40;

const HEAD: &str = "HTTP/1.1 200 OK\r\nattempt: s1\r\nsignature: s\r\n\
     Content-Type: text/event-stream\r\nContent-Length: 30\r\n\r\n";
const FIRST: &str = "id: 1\ndata: a\n";
const SECOND: &str = "id: 2\ndata: b\n";
const REFUSAL: &str = "HTTP/1.1 503 Full\r\nattempt: s1\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
const CONTINUATION: &str = "HTTP/1.1 200 OK\r\nattempt: s1\r\nsignature: s\r\n\
     Content-Type: text/event-stream\r\nContent-Length: 15\r\n\r\nid: 2\ndata: b\n\n";

/// Starts an upstream that writes the parts of its answer with a pause after each.
async fn pausing_upstream(parts: Vec<String>, pause: Duration) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let parts = parts.clone();
            tokio::spawn(async move {
                let mut buf = vec![0; 4096];
                let _ = stream.read(&mut buf).await;
                for part in &parts {
                    if stream.write_all(part.as_bytes()).await.is_err() {
                        return;
                    }
                    tokio::time::sleep(pause).await;
                }
            });
        }
    });
    address
}

/// A stream of two events whose upstream pauses between them.
async fn preempted_stream() -> SocketAddr {
    let parts = vec![format!("{HEAD}{FIRST}\n"), format!("{SECOND}\n")];
    pausing_upstream(parts, PAUSE).await
}

fn stream_route(resumable: bool, max_attempts: u32) -> Route {
    Route {
        resumable,
        max_attempts,
        ..route(RouteKind::Stream)
    }
}

fn is_whole(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200")
        && answer.matches(FIRST).count() == 1
        && answer.matches(SECOND).count() == 1
        && answer.ends_with("0\r\n\r\n")
}

async fn assert_whole(harness: &Harness) {
    let answer = harness.post("s1").await;
    assert!(is_whole(&answer), "{answer}");
}

#[rstest]
#[case::not_resumable(stream_route(false, 1))]
#[case::attempts_spent(stream_route(true, 1))]
#[case::no_other_upstream(stream_route(true, 2))]
#[tokio::test]
async fn serve_stream_pauses_without_alternative_is_whole(#[case] route: Route) {
    let harness = start_with_upstreams(route, &[preempted_stream().await]).await;
    assert_whole(&harness).await;
}

#[tokio::test]
async fn serve_stream_pauses_before_first_event_is_whole() {
    let parts = vec![HEAD.replace(": 28", ": 30"), format!("{FIRST}\n{SECOND}\n")];
    let upstream = pausing_upstream(parts, PAUSE).await;
    let harness = start_with_upstreams(stream_route(false, 1), &[upstream]).await;
    assert_whole(&harness).await;
}

/// What another upstream does with the attempt to resume a stream there.
#[derive(Clone, Copy)]
enum Other {
    Refuses,
    Fails,
    IsSilent,
}

/// The paused upstream goes on while another one is asked, which does not continue the stream.
#[rstest]
#[case::refuses(Other::Refuses)]
#[case::fails(Other::Fails)]
#[case::is_silent(Other::IsSilent)]
#[tokio::test]
async fn serve_stream_pauses_other_does_not_continue_is_whole(#[case] other: Other) {
    let paused = preempted_stream().await;
    let other = match other {
        Other::Refuses => upstream(REFUSAL).await.0,
        Other::Fails => upstream("garbage\r\n\r\n").await.0,
        Other::IsSilent => silent_upstream().await,
    };
    // The upstream that is picked first is random.
    for _ in 0..6 {
        let harness = start_with_upstreams(stream_route(true, 3), &[paused, other]).await;
        let answer = harness.post("s1").await;
        assert!(is_whole(&answer), "{answer}");
    }
}

/// Serves a stream that begins at `first`, until that one is picked first, and asserts that another
/// upstream continues it before the caller leaves.
async fn assert_continued_in_time(first: SocketAddr) {
    let (other, _) = upstream(CONTINUATION).await;
    for _ in 0..MAX_PICKS {
        let harness = start_with_upstreams(stream_route(true, 2), &[first, other]).await;
        let began_at = Instant::now();
        let answer = harness.post("s1").await;
        if answer.contains(FIRST) {
            assert!(is_whole(&answer), "{answer}");
            let took = began_at.elapsed();
            assert!(took < CALLER_PATIENCE, "{took:?}");
            return;
        }
    }
    panic!("the upstream was never picked first");
}

/// An upstream that never goes on is replaced.
#[tokio::test]
async fn serve_stream_silent_other_continues_in_time() {
    let parts = vec![format!("{HEAD}{FIRST}\n")];
    assert_continued_in_time(pausing_upstream(parts, Duration::from_secs(60)).await).await;
}

/// A trickle of bytes without an event counts as silence.
#[tokio::test]
async fn serve_stream_trickles_other_continues_in_time() {
    let head = HEAD.replace(": 30", ": 300");
    let mut parts = vec![format!("{head}{FIRST}\n")];
    parts.extend((0..40).map(|_| "x".to_owned()));
    assert_continued_in_time(pausing_upstream(parts, Duration::from_millis(200)).await).await;
}

/// An upstream that takes longer than usual for its head is waited for if there is no other.
#[rstest]
#[case::idempotent(RouteKind::Idempotent)]
#[case::stream(RouteKind::Stream)]
#[tokio::test]
async fn serve_head_is_late_without_alternative_is_whole(#[case] kind: RouteKind) {
    let answer = format!("{HEAD}{FIRST}\n{SECOND}\n");
    let late = pausing_upstream(vec![String::new(), answer], PAUSE).await;
    let route = Route {
        kind,
        resumable: true,
        latency_objective: Duration::from_millis(150),
        ..route(kind)
    };
    let harness = start_with_upstreams(route, &[late]).await;
    assert_whole(&harness).await;
}
