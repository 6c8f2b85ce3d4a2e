//! Requests that come while the daemon shuts down.
//!
//! Those that came late in the grace period were passed on, also ones that may not be repeated, and
//! cut off at its end.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_gateway::departure::Departure;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

use crate::fake::secs;
use crate::harness::{route, start_with_grace};

/// Grace period of the daemons here.
const GRACE: Duration = Duration::from_secs(4);

/// Time after the signal from which a request that is passed on must end with its whole answer.
const LATE: Duration = Duration::from_millis(1500);

/// Times after the signal at which requests are sent. Fewer are early than the upstream has slots.
const SENT_AT_MS: [u64; 9] = [0, 200, 1600, 1900, 2200, 2500, 2800, 3200, 3500];

/// How long a request takes at the upstream, and how long its caller waits.
#[derive(Clone, Copy)]
struct Length {
    work: Duration,
    deadline: Duration,
}

/// Starts an upstream that answers after `work`; a stream in two events. Also returns the ids of the
/// requests that it got.
async fn slow_upstream(kind: RouteKind, work: Duration) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let received = Arc::new(Mutex::new(Vec::new()));
    let ids = received.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let ids = ids.clone();
            tokio::spawn(async move {
                let mut buf = vec![0; 4096];
                let len = stream.read(&mut buf).await.unwrap_or(0);
                let req = String::from_utf8_lossy(&buf[..len]).into_owned();
                let id = req.split("attempt: ").nth(1).unwrap_or_default();
                let id = id.split("\r\n").next().unwrap_or_default().to_owned();
                ids.lock().unwrap().push(id.clone());
                let head = format!("HTTP/1.1 200 OK\r\nattempt: {id}\r\nsignature: s\r\n");
                let (first, second) = match kind {
                    RouteKind::Stream => (
                        format!(
                            "{head}Content-Type: text/event-stream\r\nContent-Length: 30\r\n\r\n\
                             id: 1\ndata: a\n"
                        ),
                        "\nid: 2\ndata: b".to_owned(),
                    ),
                    RouteKind::Idempotent | RouteKind::AtMostOnce => (
                        String::new(),
                        format!("{head}Content-Length: 5\r\n\r\nwhole"),
                    ),
                };
                let _ = stream.write_all(first.as_bytes()).await;
                tokio::time::sleep(work).await;
                let _ = stream.write_all(second.as_bytes()).await;
                if kind == RouteKind::Stream {
                    let _ = stream.write_all(b"\n\n").await;
                }
            });
        }
    });
    (address, received)
}

fn request(id: &str, deadline: Duration) -> String {
    format!(
        "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: {id}\r\ndeadline: {}\r\n\
         Content-Length: 2\r\nConnection: close\r\n\r\nhi",
        deadline.as_millis()
    )
}

/// Sends a request; returns everything received until the connection closed, or nothing if it was
/// refused.
async fn send(to: SocketAddr, req: &str) -> String {
    let Ok(mut stream) = TcpStream::connect(to).await else {
        return String::new();
    };
    let _ = stream.write_all(req.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = stream.read_to_end(&mut answer).await;
    String::from_utf8_lossy(&answer).into_owned()
}

fn is_whole(answer: &str) -> bool {
    answer.starts_with("HTTP/1.1 200")
        && (answer.ends_with("whole") || answer.ends_with("0\r\n\r\n"))
}

const LONG: Length = Length {
    work: Duration::from_millis(3000),
    deadline: Duration::from_secs(5),
};
const SHORT: Length = Length {
    work: Duration::from_millis(300),
    deadline: Duration::from_millis(600),
};

/// Late requests are either refused as not run, and have not run, or end with their whole answer.
#[rstest]
#[case::long_stream(RouteKind::Stream, false, LONG)]
#[case::long_resumable_stream(RouteKind::Stream, true, LONG)]
#[case::long_at_most_once(RouteKind::AtMostOnce, false, LONG)]
#[case::long_idempotent(RouteKind::Idempotent, false, LONG)]
#[case::short_at_most_once(RouteKind::AtMostOnce, false, SHORT)]
#[case::short_idempotent(RouteKind::Idempotent, false, SHORT)]
#[tokio::test]
async fn shut_down_late_request_is_refused_or_whole(
    #[case] kind: RouteKind,
    #[case] resumable: bool,
    #[case] length: Length,
) {
    let (upstream, received) = slow_upstream(kind, length.work).await;
    let route = Route {
        resumable,
        timeout: Duration::from_secs(6),
        ..route(kind)
    };
    let harness = start_with_grace(route, upstream, GRACE).await;
    // A connection that stays open keeps the daemon from leaving early.
    harness
        .send_until_ready(&request("warm-up", Duration::from_secs(5)))
        .await;
    let callers = harness.callers();
    let _open = TcpStream::connect(callers).await.unwrap();
    let began_at = Instant::now();
    let stopped = harness.shut_down();
    let mut tasks = Vec::new();
    for sent_at in SENT_AT_MS.map(Duration::from_millis) {
        tokio::time::sleep_until(began_at + sent_at).await;
        let id = format!("r-{}", sent_at.as_millis());
        let req = request(&id, length.deadline);
        tasks.push((
            id,
            sent_at,
            tokio::spawn(async move { send(callers, &req).await }),
        ));
    }
    stopped.await.unwrap();
    let mut served = 0;
    for (id, sent_at, task) in tasks {
        let answer = task.await.unwrap();
        let has_run = received.lock().unwrap().contains(&id);
        if is_whole(&answer) {
            served += 1;
        } else if sent_at >= LATE {
            assert!(!has_run, "{id} sent after {sent_at:?} was cut: {answer}");
        }
        if answer.starts_with("HTTP/1.1 503") {
            assert!(!has_run, "{id} has run and was refused");
            assert!(answer.contains("leaving"), "{answer}");
        }
    }
    // Early requests are still served, and short ones almost until the end.
    let min_served = if length.deadline < LATE { 6 } else { 2 };
    assert!(served >= min_served, "{served} served");
}

#[rstest]
#[case::at_once(0.0, 30.0, true)]
#[case::callers_have_old_list(2.0, 30.0, true)]
#[case::late_and_long(2.6, 10.6, false)]
#[case::late_and_short(2.6, 4.0, true)]
#[case::last_that_ends(6.0, 7.3, true)]
#[case::ends_with_the_process(6.0, 7.6, false)]
#[case::after_the_exit(7.8, 8.5, false)]
fn accepts_by_limit(#[case] now: f64, #[case] respond_by: f64, #[case] accepts: bool) {
    let departure = Departure::new(secs(100.0), secs(8.0));
    let at = |s: f64| secs(100.0 + s);
    assert_eq!(departure.accepts(at(now), at(respond_by)), accepts);
}

/// A short grace period leaves less time to requests that may outlast it.
#[test]
fn accepts_short_grace_closes_sooner() {
    let departure = Departure::new(secs(100.0), secs(2.0));
    assert!(departure.accepts(secs(100.5), secs(108.0)));
    assert!(!departure.accepts(secs(100.7), secs(108.0)));
    assert!(departure.exits_at() < secs(102.0));
}
