//! Upstreams that send bytes without end, or responses that end with their connection: memory and
//! time stay bounded, and the log tells why the attempt ended.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriole_fleet::prelude::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;
use tokio::time::Instant;

use crate::harness::{start, upstream};

/// Most bytes that an upstream may get rid of: what the daemon buffers of a response, and what
/// sockets hold.
const MAX_TAKEN_BYTES: usize = 16 * 1024 * 1024;

/// The route's timeout, after which every request has ended.
const ROUTE_TIMEOUT: Duration = Duration::from_secs(5);

/// Starts an upstream that answers with `start` and then repeats `chunk`, with a pause in between,
/// until the daemon closes the connection. Also returns the number of bytes that it sent.
async fn endless_upstream(
    start: &'static str,
    chunk: &'static [u8],
    pause: Duration,
) -> (SocketAddr, Arc<Mutex<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(Mutex::new(0));
    let count = sent.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let count = count.clone();
            tokio::spawn(async move {
                let mut buf = vec![0; 4096];
                let _ = stream.read(&mut buf).await;
                let mut bytes = start.as_bytes();
                while stream.write_all(bytes).await.is_ok() {
                    *count.lock().unwrap() += bytes.len();
                    bytes = chunk;
                    tokio::time::sleep(pause).await;
                }
            });
        }
    });
    (address, sent)
}

/// A unit that is repeated to `N` bytes.
const fn repeated<const N: usize>(unit: &[u8]) -> [u8; N] {
    let mut bytes = [0; N];
    let mut i = 0;
    while i < N {
        bytes[i] = unit[i % unit.len()];
        i += 1;
    }
    bytes
}

const STREAM_HEAD: &str = "HTTP/1.1 200 OK\r\nattempt: r-1\r\nsignature: s\r\n\
                           Content-Type: text/event-stream\r\n\r\n";
const BODY_HEAD: &str = "HTTP/1.1 200 OK\r\nattempt: r-1\r\nsignature: s\r\n\r\n";
const STREAM_OF_LENGTH: &str = "HTTP/1.1 200 OK\r\nattempt: r-1\r\nsignature: s\r\n\
     Content-Type: text/event-stream\r\nContent-Length: 99999999999\r\n\r\n";
const BODY_OF_LENGTH: &str =
    "HTTP/1.1 200 OK\r\nattempt: r-1\r\nsignature: s\r\nContent-Length: 99999999999\r\n\r\n";
const CHUNKED_BODY: &str =
    "HTTP/1.1 200 OK\r\nattempt: r-1\r\nsignature: s\r\nTransfer-Encoding: chunked\r\n\r\n";
const CHUNK_EXTENSION: &str = "HTTP/1.1 200 OK\r\nattempt: r-1\r\nsignature: s\r\n\
     Transfer-Encoding: chunked\r\n\r\n5;name=";
const ONE_CHUNK: &str = "HTTP/1.1 200 OK\r\nattempt: r-1\r\nsignature: s\r\n\
     Transfer-Encoding: chunked\r\n\r\nFFFFFFFFFF\r\n";
const LAST_CHUNK: &str = "HTTP/1.1 200 OK\r\nattempt: r-1\r\nsignature: s\r\n\
     Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n";
const CHUNKED_STREAM: &str = "HTTP/1.1 200 OK\r\nattempt: r-1\r\nsignature: s\r\n\
     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
const EVENT_CHUNK: &str = "HTTP/1.1 200 OK\r\nattempt: r-1\r\nsignature: s\r\n\
     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
     f\r\nid: 1\ndata: a\n\n\r\n";
const LAST_CHUNK_OF_STREAM: &str = "HTTP/1.1 200 OK\r\nattempt: r-1\r\nsignature: s\r\n\
     Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n\
     f\r\nid: 1\ndata: a\n\n\r\n0\r\n";
const ZEROS: &[u8] = &[b'0'; 8192];
const SMALL_CHUNKS: &[u8] = &repeated::<8400>(b"1\r\nx\r\n");
const FIELDS: &[u8] = &repeated::<8190>(b"name: value\r\n");
const INTERIM_HEADS: &[u8] = &repeated::<8400>(b"HTTP/1.1 103 Early Hints\r\n\r\n");
const NO_EVENT: &[u8] = &[b'x'; 8192];
const EVENT: &[u8] = b"data: without an id\n\n";

#[rstest]
#[case::head_of_no_protocol("", NO_EVENT, RouteKind::Idempotent, "refused", "upstream_failed")]
#[case::head_line(
    "HTTP/1.1 200 OK\r\nname: ",
    NO_EVENT,
    RouteKind::Idempotent,
    "refused",
    "upstream_failed"
)]
#[case::head_fields(
    "HTTP/1.1 200 OK\r\n",
    b"name: value\r\n",
    RouteKind::Idempotent,
    "refused",
    "upstream_failed"
)]
#[case::interim_heads(
    "",
    b"HTTP/1.1 103 Early Hints\r\n\r\n",
    RouteKind::AtMostOnce,
    "refused",
    "expired|upstream_failed"
)]
#[case::head_fields_at_full_speed(
    "HTTP/1.1 200 OK\r\n",
    FIELDS,
    RouteKind::Stream,
    "refused",
    "upstream_failed"
)]
#[case::interim_heads_at_full_speed(
    "",
    INTERIM_HEADS,
    RouteKind::AtMostOnce,
    "refused",
    "upstream_failed"
)]
#[case::body(
    BODY_HEAD,
    NO_EVENT,
    RouteKind::Idempotent,
    "refused",
    "upstream_failed"
)]
#[case::body_beyond_length(
    BODY_OF_LENGTH,
    NO_EVENT,
    RouteKind::Idempotent,
    "refused",
    "upstream_failed"
)]
#[case::body_chunk_size(
    CHUNKED_BODY,
    ZEROS,
    RouteKind::Idempotent,
    "refused",
    "upstream_failed"
)]
#[case::body_chunk_size_at_most_once(
    CHUNKED_BODY,
    ZEROS,
    RouteKind::AtMostOnce,
    "refused",
    "upstream_failed"
)]
#[case::body_chunk_extension(
    CHUNK_EXTENSION,
    NO_EVENT,
    RouteKind::Idempotent,
    "refused",
    "upstream_failed"
)]
#[case::body_one_chunk(
    ONE_CHUNK,
    NO_EVENT,
    RouteKind::Idempotent,
    "refused",
    "upstream_failed"
)]
#[case::body_small_chunks(
    CHUNKED_BODY,
    SMALL_CHUNKS,
    RouteKind::Idempotent,
    "refused",
    "upstream_failed"
)]
#[case::body_trailers(
    LAST_CHUNK,
    FIELDS,
    RouteKind::Idempotent,
    "refused",
    "upstream_failed"
)]
#[case::stream_beyond_length(
    STREAM_OF_LENGTH,
    NO_EVENT,
    RouteKind::Stream,
    "broken",
    "event too large"
)]
#[case::stream_chunk_size(CHUNKED_STREAM, ZEROS, RouteKind::Stream, "broken", "connection broke")]
#[case::stream_chunk_size_after_event(
    EVENT_CHUNK,
    ZEROS,
    RouteKind::Stream,
    "broken",
    "connection broke"
)]
#[case::stream_small_chunks(
    CHUNKED_STREAM,
    SMALL_CHUNKS,
    RouteKind::Stream,
    "broken",
    "connection broke"
)]
#[case::stream_trailers(
    LAST_CHUNK_OF_STREAM,
    FIELDS,
    RouteKind::Stream,
    "broken",
    "connection broke"
)]
#[case::stream_without_event(STREAM_HEAD, NO_EVENT, RouteKind::Stream, "broken", "event too large")]
#[case::stream_of_events(STREAM_HEAD, EVENT, RouteKind::Stream, "broken", "time is up")]
#[tokio::test]
async fn endless_answer_ends_with_reason(
    #[case] start_bytes: &'static str,
    #[case] chunk: &'static [u8],
    #[case] kind: RouteKind,
    #[case] last: &str,
    #[case] reason: &str,
) {
    let pause = if chunk.len() < 1000 {
        Duration::from_micros(200)
    } else {
        Duration::ZERO
    };
    let (address, sent) = endless_upstream(start_bytes, chunk, pause).await;
    let harness = start(kind, address).await;
    let began_at = Instant::now();
    let response = harness.post("r-1").await;
    let took = began_at.elapsed();
    assert!(took < ROUTE_TIMEOUT + Duration::from_secs(2), "{took:?}");
    let is_complete = response.starts_with("HTTP/1.1 200") && response.ends_with("0\r\n\r\n");
    assert!(!is_complete, "{}", &response[..response.len().min(500)]);
    let lines = harness.log.lines("r-1", last).await;
    let (_, line) = lines.iter().find(|(kind, _)| kind == last).unwrap();
    // Two timers end at the same moment in some cases.
    assert!(reason.split('|').any(|r| line.contains(r)), "{line}");
    let sent = *sent.lock().unwrap();
    assert!(sent < MAX_TAKEN_BYTES, "{sent} bytes");
}

/// A trickle of bytes must not keep a caller waiting longer than the route allows. Where another
/// upstream can take the stream over, it counts as silence, see `silent_upstream`.
#[tokio::test]
async fn trickle_without_event_ends_in_time() {
    let pause = Duration::from_millis(200);
    let (address, _) = endless_upstream(STREAM_HEAD, b"x", pause).await;
    let harness = start(RouteKind::Stream, address).await;
    let began_at = Instant::now();
    harness.post("r-1").await;
    let took = began_at.elapsed();
    assert!(
        took < ROUTE_TIMEOUT + Duration::from_millis(500),
        "{took:?}"
    );
    let lines = harness.log.lines("r-1", "broken").await;
    assert!(
        lines.iter().any(|(_, line)| line.contains("time is up")),
        "{lines:?}"
    );
}

/// A stream that ends with its connection is complete if it ends with a whole event.
#[rstest]
#[case::whole_event("id: 1\ndata: a\n\n", "answered")]
#[case::within_event("id: 1\ndata: a\n\nid: 2\nda", "broken")]
#[case::no_event("", "broken")]
#[tokio::test]
async fn unframed_stream_ends_with_connection(#[case] body: &str, #[case] last: &str) {
    let response: &'static str = Box::leak(format!("{STREAM_HEAD}{body}").into_boxed_str());
    let (address, _) = upstream(response).await;
    let harness = start(RouteKind::Stream, address).await;
    let response = harness.post("r-1").await;
    let is_complete = response.ends_with("0\r\n\r\n");
    assert_eq!(is_complete, last == "answered", "{response}");
    harness.log.lines("r-1", last).await;
}

/// A response that ends with its connection is passed on whole, with a proper end.
#[tokio::test]
async fn unframed_response_is_complete() {
    let response: &'static str = Box::leak(format!("{BODY_HEAD}whole").into_boxed_str());
    let (address, _) = upstream(response).await;
    let harness = start(RouteKind::Idempotent, address).await;
    let response = harness.post("r-1").await;
    assert!(response.ends_with("whole"), "{response}");
    assert!(
        response.to_lowercase().contains("content-length: 5"),
        "{response}"
    );
}

/// Limits on endless answers must not end a large one.
#[rstest]
#[case::events(RouteKind::Stream, &format!("{STREAM_HEAD}{}", large_events()))]
#[case::body_in_small_chunks(
    RouteKind::AtMostOnce,
    &format!("{CHUNKED_BODY}{}0\r\n\r\n", format!("8\r\n{}\r\n", "x".repeat(8)).repeat(120_000))
)]
#[case::body(RouteKind::AtMostOnce, &format!("{BODY_HEAD}{}", "x".repeat(960_000)))]
#[tokio::test]
async fn large_answer_is_passed_on(#[case] kind: RouteKind, #[case] answer: &str) {
    let answer: &'static str = Box::leak(answer.to_owned().into_boxed_str());
    let (address, _) = upstream(answer).await;
    let harness = start(kind, address).await;
    let response = harness.post("r-1").await;
    assert!(response.len() >= 960_000, "{} bytes", response.len());
    harness.log.lines("r-1", "answered").await;
}

/// Events just below the largest that is relayed.
fn large_events() -> String {
    let event = |id| format!("id: {id}\ndata: {}\n\n", "x".repeat(60_000));
    (1..20).map(event).collect()
}
