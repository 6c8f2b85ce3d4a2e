//! Upstreams that send bytes which are no answer to the request.
//!
//! Callers got a switch of protocols that nobody had asked for, or an error page that no upstream had
//! marked as its own, although sound upstreams were free; and the fast garbage drew more requests.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_gateway::traffic::load::UpstreamLoad;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use crate::harness::{route, start_with_upstreams};

/// Requests after which an upstream that may be picked at random has been.
const MAX_REQUESTS: usize = 60;

/// Time that a sound upstream takes; garbage comes at once.
const SERVICE_TIME: Duration = Duration::from_millis(10);

/// Which request of a connection is answered with garbage.
#[derive(Clone, Copy, Debug, PartialEq)]
enum On {
    NewConnection,
    ReusedConnection,
}

/// What the upstream does after the garbage.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Then {
    KeepOpen,
    Close,
}

/// Kind of the requests.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Kind {
    Idempotent,
    AtMostOnce,
    Stream,
    ResumableStream,
}

impl Kind {
    fn may_run_again(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    fn route(self) -> Route {
        let kind = match self {
            Self::Idempotent => RouteKind::Idempotent,
            Self::AtMostOnce => RouteKind::AtMostOnce,
            Self::Stream | Self::ResumableStream => RouteKind::Stream,
        };
        Route {
            resumable: self == Self::ResumableStream,
            ..route(kind)
        }
    }

    /// The answer of a sound upstream.
    fn sound_answer(self, id: &str) -> String {
        let body = sound_body(id);
        match self {
            Self::Idempotent | Self::AtMostOnce => format!(
                "HTTP/1.1 200 OK\r\nattempt: {id}\r\nsignature: s\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            ),
            Self::Stream | Self::ResumableStream => unfinished_stream(id, &body) + LAST_CHUNK,
        }
    }
}

const LAST_CHUNK: &str = "0\r\n\r\n";

/// The answer of a stream, up to its last chunk.
fn unfinished_stream(id: &str, events: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nattempt: {id}\r\nsignature: s\r\nContent-Type: text/event-stream\r\n\
         Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{events}\r\n",
        events.len()
    )
}

fn sound_body(id: &str) -> String {
    format!("id: 1\ndata: sound {id}\n\n")
}

/// What the upstreams of a test received.
#[derive(Default)]
struct Received {
    /// Number of runs by attempt id.
    runs: HashMap<String, usize>,
    /// Requests that were answered with garbage.
    garbled: usize,
}

type Shared = Arc<Mutex<Received>>;

/// Reads a request with a body of two bytes or none; returns its attempt id.
async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let (mut received, mut buf) = (Vec::new(), [0; 4096]);
    loop {
        let len = stream.read(&mut buf).await.ok().filter(|len| *len > 0)?;
        received.extend_from_slice(&buf[..len]);
        let Some(head) = received.windows(4).position(|w| w == b"\r\n\r\n") else {
            continue;
        };
        let text = String::from_utf8_lossy(&received[..head]).into_owned();
        let body_len = usize::from(text.contains("content-length: 2")) * 2;
        if received.len() >= head + 4 + body_len {
            let line = text.lines().find_map(|l| l.strip_prefix("attempt: "))?;
            return Some(line.trim().to_owned());
        }
    }
}

/// What an upstream does with a request.
struct Reply {
    /// Time that it takes.
    delay: Duration,
    /// Bytes that it sends, with a pause between the parts.
    parts: Vec<String>,
    /// What it does then.
    then: Then,
    /// Whether it counts as garbage.
    is_garbage: bool,
}

impl Reply {
    fn sound(kind: Kind, id: &str) -> Self {
        Self {
            delay: SERVICE_TIME,
            parts: vec![kind.sound_answer(id)],
            then: Then::KeepOpen,
            is_garbage: false,
        }
    }

    /// Garbage in which `ID` stands for the attempt id.
    fn garbage(text: &str, id: &str, then: Then) -> Self {
        Self {
            delay: Duration::ZERO,
            parts: vec![text.replace("ID", id)],
            then,
            is_garbage: true,
        }
    }
}

/// Starts an upstream whose replies depend on the number of the request on its connection, from zero,
/// and on its attempt id.
async fn start_upstream<F>(shared: &Shared, reply: F) -> SocketAddr
where
    F: Fn(usize, &str) -> Reply + Clone + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let shared = shared.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, shared.clone(), reply.clone()));
        }
    });
    address
}

async fn serve(mut stream: TcpStream, shared: Shared, reply: impl Fn(usize, &str) -> Reply) {
    for n in 0.. {
        let Some(id) = read_request(&mut stream).await else {
            return;
        };
        let reply = reply(n, &id);
        {
            let mut received = shared.lock().unwrap();
            *received.runs.entry(id).or_default() += 1;
            received.garbled += usize::from(reply.is_garbage);
        }
        tokio::time::sleep(reply.delay).await;
        for (i, part) in reply.parts.iter().enumerate() {
            if i > 0 {
                tokio::time::sleep(SERVICE_TIME).await;
            }
            let _ = stream.write_all(part.as_bytes()).await;
        }
        if reply.then == Then::Close {
            return;
        }
    }
}

async fn sound_upstream(shared: &Shared, kind: Kind) -> SocketAddr {
    start_upstream(shared, move |_, id| Reply::sound(kind, id)).await
}

/// Starts two upstreams of which whichever is asked first in the way `on` sends garbage, once.
async fn upstreams_with_garbage(
    shared: &Shared,
    kind: Kind,
    garbage: &'static str,
    (on, then): (On, Then),
) -> [SocketAddr; 2] {
    let count = shared.clone();
    let reply = move |n: usize, id: &str| {
        let is_due = n > 0 || on == On::NewConnection;
        if is_due && count.lock().unwrap().garbled == 0 {
            Reply::garbage(garbage, id, then)
        } else {
            Reply::sound(kind, id)
        }
    };
    [
        start_upstream(shared, reply.clone()).await,
        start_upstream(shared, reply).await,
    ]
}

/// Whether a caller got exactly the sound answer to its request.
fn is_sound(response: &str, id: &str) -> bool {
    let head = response.split("\r\n\r\n").next().unwrap_or_default();
    let body = sound_body(id);
    let is_whole = response.ends_with(&format!("\r\n\r\n{body}"))
        || response.ends_with(&format!("\r\n\r\n{:X}\r\n{body}\r\n0\r\n\r\n", body.len()));
    head.starts_with("HTTP/1.1 200 ")
        && head.contains(&format!("attempt: {id}\r\n"))
        && head.contains("signature: s")
        && is_whole
}

/// Whether a caller was told that nothing is known of its request, in words of the daemon's own.
fn is_bad_gateway(response: &str, id: &str) -> bool {
    response.starts_with("HTTP/1.1 502 ")
        && response.contains(&format!("attempt: {id}\r\n"))
        && !response.contains("signature:")
        && response.ends_with("\r\n\r\nupstream_failed")
}

#[rstest]
#[case::switch("HTTP/1.1 101 Switching Protocols\r\n\r\n\u{0}\u{1}\u{2}\u{3}")]
#[case::switch_to_a_protocol(
    "HTTP/1.1 101 X\r\nConnection: upgrade\r\nUpgrade: websocket\r\nattempt: ID\r\n\r\n"
)]
#[case::switch_signed("HTTP/1.1 101 X\r\nattempt: ID\r\nsignature: s\r\n\r\n")]
#[case::switch_not_run("HTTP/1.1 101 X\r\nattempt: ID\r\nnot-run: 1\r\n\r\n")]
#[case::switch_after_interim_heads(
    "HTTP/1.1 100 X\r\n\r\nHTTP/1.1 103 X\r\nLink: x\r\n\r\nHTTP/1.1 101 X\r\n\r\nx"
)]
#[case::switch_signed_after_interim_head(
    "HTTP/1.1 102 X\r\n\r\nHTTP/1.1 101 X\r\nattempt: ID\r\nsignature: s\r\n\r\nx"
)]
#[case::status_below_100(
    "HTTP/1.1 099 X\r\nattempt: ID\r\nsignature: s\r\nContent-Length: 1\r\n\r\nx"
)]
#[case::status_600("HTTP/1.1 600 X\r\nattempt: ID\r\nsignature: s\r\nContent-Length: 1\r\n\r\nx")]
#[case::status_999("HTTP/1.1 999 X\r\nattempt: ID\r\nsignature: s\r\nContent-Length: 1\r\n\r\nx")]
#[case::status_600_not_run(
    "HTTP/1.1 600 X\r\nattempt: ID\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n"
)]
#[case::bare_302("HTTP/1.1 302 X\r\nLocation: http://b.example/\r\nContent-Length: 0\r\n\r\n")]
#[case::bare_304("HTTP/1.1 304 X\r\n\r\n")]
#[case::bare_400("HTTP/1.1 400 X\r\nContent-Length: 1\r\nConnection: close\r\n\r\nx")]
#[case::bare_404("HTTP/1.1 404 X\r\nContent-Length: 1\r\n\r\nx")]
#[case::bare_421("HTTP/1.1 421 X\r\nContent-Length: 0\r\n\r\n")]
#[case::bare_500("HTTP/1.1 500 X\r\nContent-Length: 1\r\n\r\nx")]
#[case::bare_503("HTTP/1.1 503 X\r\nContent-Length: 0\r\n\r\n")]
#[case::bare_504("HTTP/1.1 504 X\r\nContent-Length: 1\r\n\r\nx")]
#[case::of_another_request(
    "HTTP/1.1 404 X\r\nattempt: another\r\nsignature: s\r\nContent-Length: 1\r\n\r\nx"
)]
#[case::of_two_requests(
    "HTTP/1.1 200 X\r\nattempt: ID\r\nattempt: another\r\nsignature: s\r\nContent-Length: 1\r\n\r\nx"
)]
#[case::unsigned("HTTP/1.1 200 X\r\nattempt: ID\r\nContent-Length: 1\r\n\r\nx")]
#[case::empty_signature(
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature:\r\nContent-Length: 1\r\n\r\nx"
)]
#[case::success_not_run(
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\nnot-run: 1\r\nContent-Length: 1\r\n\r\nx"
)]
#[case::encoded(
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx"
)]
#[case::encoded_404(
    "HTTP/1.1 404 X\r\nattempt: ID\r\nsignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx"
)]
#[case::transfer_coding(
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\nTransfer-Encoding: gzip\r\n\r\nx"
)]
#[case::transfer_coding_and_chunks(
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\nTransfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n"
)]
#[case::two_lengths(
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx"
)]
#[case::version_1_0("HTTP/1.0 200 X\r\nattempt: ID\r\nsignature: s\r\nContent-Length: 1\r\n\r\nx")]
#[case::version_2("HTTP/2.0 200 X\r\nattempt: ID\r\nsignature: s\r\nContent-Length: 1\r\n\r\nx")]
#[case::no_http("\u{0}\u{1}\u{2}\r\n\r\n")]
#[case::other_protocol("SSH-2.0-x\r\n")]
#[case::field_without_colon("HTTP/1.1 200 X\r\nattempt: ID\r\nsignature s\r\n\r\nx")]
#[case::bytes_before_head(
    "xHTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\nContent-Length: 1\r\n\r\nx"
)]
fn garbage_reaches_no_caller(
    #[case] garbage: &'static str,
    #[values(
        Kind::Idempotent,
        Kind::AtMostOnce,
        Kind::Stream,
        Kind::ResumableStream
    )]
    kind: Kind,
    #[values(On::NewConnection, On::ReusedConnection)] on: On,
    #[values(Then::KeepOpen, Then::Close)] then: Then,
) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let shared = Shared::default();
        let upstreams = upstreams_with_garbage(&shared, kind, garbage, (on, then)).await;
        let harness = start_with_upstreams(kind.route(), &upstreams).await;
        let mut failed = 0;
        for i in 0..MAX_REQUESTS {
            let id = format!("g-{i}");
            let response = harness.post(&id).await;
            let is_failed = is_bad_gateway(&response, &id);
            assert!(is_sound(&response, &id) || is_failed, "{id}: {response:?}");
            failed += usize::from(is_failed);
            let received = shared.lock().unwrap();
            let runs = received.runs.get(&id).copied().unwrap_or(0);
            assert!(runs <= 1 || kind.may_run_again(), "{id} ran {runs} times");
            if received.garbled > 0 {
                break;
            }
        }
        assert_eq!(shared.lock().unwrap().garbled, 1);
        assert_eq!(failed, usize::from(!kind.may_run_again()));
    });
}

/// An upstream's own redirections and errors reach the caller unchanged.
#[rstest]
fn own_failure_is_passed_on(
    #[values(301, 302, 304, 400, 401, 403, 404, 409, 413, 500, 504)] status: u16,
    #[values(
        Kind::Idempotent,
        Kind::AtMostOnce,
        Kind::Stream,
        Kind::ResumableStream
    )]
    kind: Kind,
    #[values(On::NewConnection, On::ReusedConnection)] on: On,
    #[values("attempt: ID\r\nsignature: s\r\n", "attempt: ID\r\n")] marks: &'static str,
) {
    let body = if status == 304 { "" } else { "why" };
    let text = format!(
        "HTTP/1.1 {status} X\r\n{marks}Content-Length: {}\r\nx-own: y\r\n\r\n{body}",
        body.len()
    );
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let shared = Shared::default();
        let upstream = start_upstream(&shared, move |n, id| {
            if n == 0 && on == On::ReusedConnection {
                Reply::sound(kind, id)
            } else {
                Reply::garbage(&text, id, Then::KeepOpen)
            }
        });
        let harness = start_with_upstreams(kind.route(), &[upstream.await]).await;
        let (mut id, mut response) = (String::new(), String::new());
        for i in 0..MAX_REQUESTS {
            id = format!("f-{i}");
            response = harness.post(&id).await;
            if !is_sound(&response, &id) {
                break;
            }
        }
        let head = format!("HTTP/1.1 {status} ");
        assert!(response.starts_with(&head), "{response}");
        assert!(
            response.contains(&format!("attempt: {id}\r\n")),
            "{response}"
        );
        assert!(response.contains("x-own: y\r\n"), "{response}");
        assert_eq!(
            response.contains("signature: s\r\n"),
            marks.contains("signature")
        );
        assert!(response.ends_with(&format!("\r\n\r\n{body}")), "{response}");
    });
}

/// What follows a whole answer on its connection.
const STRAY_BYTES: [&str; 5] = [
    "\u{0}\u{1}\u{2}\u{3}",
    "HTTP/1.1 101 X\r\n\r\n",
    "HTTP/1.1 404 X\r\nContent-Length: 1\r\n\r\nx",
    "HTTP/1.1 503 X\r\nattempt: ID\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\nContent-Length: 5\r\n\r\nagain",
];

/// When the bytes follow.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Follow {
    AtOnce,
    Later,
}

/// Bytes after a whole answer reach no caller, neither with that answer nor with the next one.
#[rstest]
fn bytes_after_an_answer_reach_no_caller(
    #[values(0, 1, 2, 3, 4)] stray: usize,
    #[values(
        Kind::Idempotent,
        Kind::AtMostOnce,
        Kind::Stream,
        Kind::ResumableStream
    )]
    kind: Kind,
    #[values(Follow::AtOnce, Follow::Later)] follow: Follow,
) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let shared = Shared::default();
        let upstream = start_upstream(&shared, move |_, id| {
            let mut reply = Reply::sound(kind, id);
            let stray = STRAY_BYTES[stray].replace("ID", id);
            match follow {
                Follow::AtOnce => reply.parts[0] += &stray,
                Follow::Later => reply.parts.push(stray),
            }
            reply
        });
        let harness = start_with_upstreams(kind.route(), &[upstream.await]).await;
        let mut failed = 0;
        for i in 0..10 {
            let id = format!("s-{i}");
            let response = harness.post(&id).await;
            let is_failed = is_bad_gateway(&response, &id);
            assert!(is_sound(&response, &id) || is_failed, "{id}: {response:?}");
            failed += usize::from(is_failed);
            let runs = shared.lock().unwrap().runs.get(&id).copied();
            assert!(runs <= Some(1) || kind.may_run_again(), "{id}: {runs:?}");
        }
        // Late bytes can meet the next request, after which nothing is known of it.
        assert!(failed == 0 || follow == Follow::Later, "{failed} failed");
    });
}

/// An answer without a body by its kind ends with its head, whatever follows.
#[rstest]
#[case::head(
    "HEAD",
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\nContent-Length: 1\r\n\r\nx"
)]
#[case::no_content("POST", "HTTP/1.1 204 X\r\nattempt: ID\r\nsignature: s\r\n\r\nx")]
#[case::not_modified("GET", "HTTP/1.1 304 X\r\nattempt: ID\r\nsignature: s\r\n\r\nx")]
#[tokio::test]
async fn bytes_after_a_head_reach_no_caller(#[case] method: &str, #[case] text: &'static str) {
    let shared = Shared::default();
    let upstream = start_upstream(&shared, move |_, id| {
        Reply::garbage(text, id, Then::KeepOpen)
    });
    let harness = start_with_upstreams(Kind::AtMostOnce.route(), &[upstream.await]).await;
    for i in 0..4 {
        let req = format!(
            "{method} /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: h-{i}\r\nConnection: close\r\n\r\n"
        );
        let response = harness.send_until_ready(&req).await;
        assert!(response.starts_with(&text[..12]), "{response}");
        assert!(response.ends_with("\r\n\r\n"), "{response}");
    }
}

/// Garbage comes faster than answers. It must not draw requests: an upstream that sends it gets fewer
/// than its share.
#[rstest]
#[case::switch("HTTP/1.1 101 X\r\n\r\n")]
#[case::bare_404("HTTP/1.1 404 X\r\nContent-Length: 1\r\n\r\nx")]
#[case::status_600("HTTP/1.1 600 X\r\nattempt: ID\r\nsignature: s\r\nContent-Length: 1\r\n\r\nx")]
#[case::no_http("\u{0}\u{1}\u{2}\r\n\r\n")]
#[case::encoded(
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx"
)]
#[tokio::test]
async fn garbage_does_not_look_fast(
    #[case] garbage: &'static str,
    #[values(Kind::AtMostOnce, Kind::Stream)] kind: Kind,
) {
    let shared = Shared::default();
    let garbling = start_upstream(&shared, move |_, id| {
        Reply::garbage(garbage, id, Then::Close)
    });
    let upstreams = [garbling.await, sound_upstream(&shared, kind).await];
    let harness = start_with_upstreams(kind.route(), &upstreams).await;
    for i in 0..MAX_REQUESTS {
        harness.post(&format!("q-{i}")).await;
    }
    let garbled = shared.lock().unwrap().garbled;
    assert!(garbled < MAX_REQUESTS / 2, "{garbled} of {MAX_REQUESTS}");
}

/// One invalid answer only lowers the upstream's rank; while nothing else comes, requests go elsewhere
/// for longer and longer.
#[test]
fn invalid_answers_in_a_row_avoid_the_upstream() {
    let mut load = UpstreamLoad::new("i-1");
    let at = Duration::from_secs(1);
    load.record_invalid_answer(at);
    assert!(load.failure_rate > 0.0 && !load.is_in_backoff(at));
    load.record_success(SERVICE_TIME);
    load.record_invalid_answer(at);
    assert!(!load.is_in_backoff(at));
    let pause_of =
        |load: &UpstreamLoad| (0..).find(|ms| !load.is_in_backoff(at + Duration::from_millis(*ms)));
    load.record_invalid_answer(at);
    let first = pause_of(&load);
    load.record_invalid_answer(at);
    assert!(first > Some(0) && pause_of(&load) > first);
    assert_eq!(load.head_latency_s, None);
}

/// Bytes after a whole answer are recorded, and the next request uses another connection.
#[tokio::test]
async fn bytes_after_an_answer_count_as_failure() {
    let (shared, kind) = (Shared::default(), Kind::AtMostOnce);
    let upstream = start_upstream(&shared, move |n, id| {
        assert_eq!(n, 0, "the connection is used again");
        let mut reply = Reply::sound(kind, id);
        reply.parts[0] += STRAY_BYTES[0];
        reply
    });
    let harness = start_with_upstreams(kind.route(), &[upstream.await]).await;
    for i in 0..4 {
        let id = format!("t-{i}");
        let response = harness.post(&id).await;
        assert!(is_sound(&response, &id), "{response}");
    }
    harness.log.wait_for("bytes between requests").await;
}

/// Where a stream broke off and garbage comes in place of its rest, the caller gets the rest of another
/// upstream and nothing else.
#[rstest]
#[case::switch("HTTP/1.1 101 X\r\n\r\nid: 2\ndata: garbage\n\n")]
#[case::switch_signed(
    "HTTP/1.1 101 X\r\nattempt: ID\r\nsignature: s\r\n\r\nid: 2\ndata: garbage\n\n"
)]
#[case::status_600(
    "HTTP/1.1 600 X\r\nattempt: ID\r\nsignature: s\r\nContent-Type: text/event-stream\r\n\r\nid: 2\ndata: garbage\n\n"
)]
#[case::bare_404("HTTP/1.1 404 X\r\nContent-Length: 7\r\n\r\ngarbage")]
#[case::encoded(
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\nContent-Type: text/event-stream\r\nContent-Encoding: gzip\r\n\r\nid: 2\ndata: garbage\n\n"
)]
#[case::document(
    "HTTP/1.1 200 X\r\nattempt: ID\r\nsignature: s\r\nContent-Length: 22\r\n\r\nid: 2\ndata: garbage\n\n"
)]
#[tokio::test]
async fn garbage_in_place_of_the_rest_of_a_stream(#[case] garbage: &'static str) {
    let shared = Shared::default();
    let count = shared.clone();
    let reply = move |_: usize, id: &str| {
        let run = count.lock().unwrap().runs.get(id).copied();
        let first = sound_body(id);
        match run.unwrap_or(0) {
            0 => Reply {
                parts: vec![unfinished_stream(id, &first)],
                then: Then::Close,
                ..Reply::sound(Kind::ResumableStream, id)
            },
            1 => Reply::garbage(garbage, id, Then::Close),
            _ => Reply {
                parts: vec![unfinished_stream(id, &(first + "id: 2\ndata: rest\n\n")) + LAST_CHUNK],
                ..Reply::sound(Kind::ResumableStream, id)
            },
        }
    };
    let mut upstreams = Vec::new();
    for _ in 0..3 {
        upstreams.push(start_upstream(&shared, reply.clone()).await);
    }
    let route = Route {
        max_attempts: 4,
        ..Kind::ResumableStream.route()
    };
    let harness = start_with_upstreams(route, &upstreams).await;
    let response = harness.post("r-0").await;
    assert_eq!(shared.lock().unwrap().garbled, 1);
    assert!(!response.contains("garbage"), "{response:?}");
    let events: Vec<&str> = response
        .lines()
        .filter(|l| l.starts_with("data: "))
        .collect();
    assert_eq!(events, ["data: sound r-0", "data: rest"], "{response:?}");
    assert!(response.ends_with(LAST_CHUNK), "{response:?}");
}
