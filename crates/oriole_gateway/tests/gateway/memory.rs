//! Requests under a memory budget: which ones get through, and which are refused before anything of
//! them was sent to an upstream.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_gateway::memory::{CONNECTION_BYTES, REQUEST_BYTES, budget_config};
use oriole_gateway::prelude::GatewaySettings;
use oriole_memory::prelude::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::timeout;

use crate::harness::{
    Harness, route, settings, start, start_with_max_body, start_with_memory, start_with_settings,
};

/// Time limit for an answer.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A budget of 500 KB, 375 KB of them for large bodies, which is 22 blocks of 16 KiB.
const MEMORY_MB: u64 = 1;

/// Bodies that an upstream received whole.
pub type Bodies = Arc<Mutex<Vec<Vec<u8>>>>;

/// Starts an upstream that records the bodies of its requests, which have a length.
pub async fn recording_upstream() -> (SocketAddr, Bodies) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let bodies = Bodies::default();
    let recorded = bodies.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let recorded = recorded.clone();
            tokio::spawn(async move {
                if let Some(body) = read_request(&mut stream).await {
                    recorded.lock().unwrap().push(body);
                    let answer = "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Length: 2\r\n\r\nok";
                    let _ = stream.write_all(answer.as_bytes()).await;
                    let _ = stream.shutdown().await;
                }
            });
        }
    });
    (address, bodies)
}

async fn read_request(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut received = Vec::new();
    let mut buf = vec![0; 64 * 1024];
    loop {
        let len = stream.read(&mut buf).await.ok().filter(|len| *len > 0)?;
        received.extend_from_slice(&buf[..len]);
        let Some(end) = received.windows(4).position(|w| w == b"\r\n\r\n") else {
            continue;
        };
        let head = String::from_utf8_lossy(&received[..end]).to_ascii_lowercase();
        let len = head
            .lines()
            .find_map(|l| l.strip_prefix("content-length: "))
            .map_or(0, |l| l.trim().parse().unwrap());
        if received.len() >= end + 4 + len {
            return Some(received.split_off(end + 4));
        }
    }
}

fn body(len: usize) -> Vec<u8> {
    (0..len).map(|i| (i % 251) as u8).collect()
}

/// Opens a request whose body has a length, and sends the first `sent` bytes of it.
async fn send_part(harness: &Harness, id: &str, len: usize, sent: usize) -> TcpStream {
    let mut stream = TcpStream::connect(harness.callers()).await.unwrap();
    let head = format!(
        "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: {id}\r\nContent-Length: {len}\r\n\
         \r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&body(len)[..sent]).await.unwrap();
    stream
}

/// Everything that is received until the connection closes.
async fn read_to_end(mut stream: TcpStream) -> String {
    let mut answer = Vec::new();
    let read = timeout(TIMEOUT, stream.read_to_end(&mut answer)).await;
    read.expect("the connection should close").unwrap();
    String::from_utf8_lossy(&answer).into_owned()
}

/// Receives one answer with the body `ok`.
async fn read_ok(stream: &mut TcpStream) -> String {
    let mut answer = Vec::new();
    let mut buf = [0; 1024];
    while !answer.ends_with(b"ok") {
        let len = timeout(TIMEOUT, stream.read(&mut buf)).await.unwrap();
        answer.extend_from_slice(&buf[..len.unwrap()]);
        if !answer.starts_with(b"HTTP/1.1 200") {
            break;
        }
    }
    String::from_utf8_lossy(&answer).into_owned()
}

fn assert_refused_for_memory(answer: &str) {
    assert!(answer.starts_with("HTTP/1.1 503"), "{answer}");
    let head = answer.to_ascii_lowercase();
    assert!(head.contains("retry-after: "), "{answer}");
    assert!(head.contains("connection: close"), "{answer}");
    assert!(answer.ends_with("memory"), "{answer}");
}

/// A body that stopped coming in held its memory until the route's timeout.
#[tokio::test]
async fn stalled_body_is_cut_off_with_refusal() {
    let (address, bodies) = recording_upstream().await;
    let harness = start_with_memory(route(RouteKind::AtMostOnce), address, MEMORY_MB).await;
    harness.post("ready").await;
    let stalled = send_part(&harness, "stalled", 300_000, 200_000).await;
    tokio::time::sleep(Duration::from_millis(1300)).await;
    let mut other = send_part(&harness, "other", 250_000, 250_000).await;
    let answer = read_ok(&mut other).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert_refused_for_memory(&read_to_end(stalled).await);
    harness.log.wait_for("memory cut off").await;
    drop(other);
    harness.wait_until_nothing_is_held().await;
    let lens: Vec<usize> = bodies.lock().unwrap().iter().map(Vec::len).collect();
    assert_eq!(lens, [2, 250_000]);
}

/// A body that is cut off for a smaller one must be refused so that its caller, who goes on sending, reads
/// the refusal. A connection that is closed at once would be reset by the caller's next bytes.
#[tokio::test]
async fn largest_body_is_cut_off_while_sending_caller_reads_refusal() {
    let (address, _) = recording_upstream().await;
    let harness = start_with_memory(route(RouteKind::AtMostOnce), address, MEMORY_MB).await;
    harness.post("ready").await;
    let mut largest = send_part(&harness, "largest", 320_000, 250_000).await;
    let mut other = send_part(&harness, "other", 200_000, 200_000).await;
    for _ in 0..3 {
        let written = largest.write_all(&body(10_000)).await;
        written.expect("the rest should be received");
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    assert_refused_for_memory(&read_to_end(largest).await);
    let answer = read_ok(&mut other).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    drop(other);
    harness.wait_until_nothing_is_held().await;
}

/// A body that does not fit must be refused when that is known, not collected until the process is
/// killed.
#[tokio::test]
async fn body_beyond_budget_is_refused() {
    let (address, bodies) = recording_upstream().await;
    let harness = start_with_memory(route(RouteKind::AtMostOnce), address, MEMORY_MB).await;
    harness.post("ready").await;
    // The caller goes on sending while it is refused. A connection that is closed meanwhile would fail its
    // writes, and many clients then don't read the answer.
    let mut stream = send_part(&harness, "large", 1_500_000, 400_000).await;
    for _ in 0..3 {
        tokio::time::sleep(Duration::from_millis(30)).await;
        let written = stream.write_all(&body(50_000)).await;
        written.expect("the rest should be received");
    }
    stream.shutdown().await.unwrap();
    let mut answer = Vec::new();
    let read = timeout(TIMEOUT, stream.read_to_end(&mut answer)).await;
    read.expect("the connection should close").unwrap();
    assert_refused_for_memory(&String::from_utf8_lossy(&answer));
    harness.log.wait_for("memory refused").await;
    drop(stream);
    harness.wait_until_nothing_is_held().await;
    assert_eq!(bodies.lock().unwrap().len(), 1);
}

/// A usual request must get through while large bodies hold all that they may.
#[tokio::test]
async fn small_request_is_served_beside_large_bodies() {
    let (address, _) = recording_upstream().await;
    let harness = start_with_memory(route(RouteKind::AtMostOnce), address, MEMORY_MB).await;
    harness.post("ready").await;
    let _large = send_part(&harness, "large", 400_000, 360_000).await;
    for i in 0..20 {
        let answer = harness.post(&format!("s-{i}")).await;
        assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    }
}

/// The HTTP library's buffers were kept for each chunk, and a body in small chunks was cut off for the
/// bytes of its framing.
#[rstest]
#[case::one_byte(1, 60_000)]
#[case::odd_size(1000, 60_000)]
#[case::larger_than_block(30_000, 60_000)]
#[tokio::test]
async fn chunks_of_any_size_are_served(#[case] chunk: usize, #[case] len: usize) {
    let (address, bodies) = recording_upstream().await;
    // Six bytes on the wire per byte are more than twice the largest body and a head.
    let harness = start_with_max_body(route(RouteKind::AtMostOnce), address, 60_000).await;
    harness.post("ready").await;
    let mut stream = TcpStream::connect(harness.callers()).await.unwrap();
    let mut req = b"POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: c\r\n\
                    Transfer-Encoding: chunked\r\n\r\n"
        .to_vec();
    for part in body(len).chunks(chunk) {
        req.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
        req.extend_from_slice(part);
        req.extend_from_slice(b"\r\n");
    }
    req.extend_from_slice(b"0\r\n\r\n");
    stream.write_all(&req).await.unwrap();
    let answer = read_ok(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(bodies.lock().unwrap()[1] == body(len), "the body differs");
}

/// The largest bodies that the deployments allow must get through on their smallest VMs.
#[rstest]
#[case::small_vm(64, 1 << 20)]
#[case::usual_vm(112, 4 << 20)]
#[tokio::test]
async fn largest_body_is_served_in_calm(#[case] memory_mb: u64, #[case] len: usize) {
    let (address, bodies) = recording_upstream().await;
    let harness = start_with_memory(route(RouteKind::AtMostOnce), address, memory_mb).await;
    harness.post("ready").await;
    let mut stream = send_part(&harness, "large", len, len).await;
    let answer = read_ok(&mut stream).await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    assert!(bodies.lock().unwrap()[1] == body(len), "the body differs");
}

/// With enough memory a caller that pauses within its body is served, as before.
#[tokio::test]
async fn paused_body_is_served_with_enough_memory() {
    let (address, bodies) = recording_upstream().await;
    let harness = start(RouteKind::AtMostOnce, address).await;
    harness.post("ready").await;
    let mut paused = send_part(&harness, "paused", 300_000, 200_000).await;
    tokio::time::sleep(Duration::from_millis(1300)).await;
    for i in 0..5 {
        let mut other = send_part(&harness, &format!("o-{i}"), 250_000, 250_000).await;
        assert!(read_ok(&mut other).await.starts_with("HTTP/1.1 200"));
    }
    paused.write_all(&body(300_000)[200_000..]).await.unwrap();
    assert!(read_ok(&mut paused).await.starts_with("HTTP/1.1 200"));
    assert!(bodies.lock().unwrap().iter().any(|b| *b == body(300_000)));
}

/// Answers bodies of two bytes with two bytes, and all others with 900 KB.
async fn answer_large(listener: TcpListener, runs: Arc<Mutex<usize>>) {
    while let Ok((mut stream, _)) = listener.accept().await {
        let len = match read_request(&mut stream).await {
            Some(body) if body.len() == 2 => 2,
            Some(_) => 900_000,
            None => continue,
        };
        *runs.lock().unwrap() += 1;
        let head = format!("HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Length: {len}\r\n\r\n");
        let _ = stream.write_all(head.as_bytes()).await;
        let _ = stream.write_all(&vec![b'k'; len]).await;
    }
}

/// A response that finds no memory belongs to a request that has run, so its caller must not learn that it
/// has not. It says nothing about the upstream either, which goes on being used.
#[tokio::test]
async fn response_without_memory_promises_nothing() {
    let runs = Arc::new(Mutex::new(0));
    let mut upstreams = Vec::new();
    for _ in 0..2 {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        upstreams.push(listener.local_addr().unwrap());
        tokio::spawn(answer_large(listener, runs.clone()));
    }
    let cfg = GatewaySettings {
        memory_mb: MEMORY_MB,
        ..settings()
    };
    let harness = start_with_settings(cfg, route(RouteKind::Idempotent), &upstreams).await;
    harness.post("ready").await;
    let mut stream = send_part(&harness, "large", 3, 3).await;
    let mut status = [0; 12];
    let read = timeout(TIMEOUT, stream.read_exact(&mut status)).await;
    read.unwrap().unwrap();
    assert_eq!(String::from_utf8_lossy(&status), "HTTP/1.1 502");
    assert_eq!(*runs.lock().unwrap(), 2);
    harness.log.wait_for("no memory for response").await;
    let answer = harness.post("after").await;
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    drop(stream);
    harness.wait_until_nothing_is_held().await;
}

/// When all connections were taken by idle ones, new callers waited until the idle timeout.
#[rstest]
#[case::idle("")]
#[case::half_head("POST /a/x HTTP/1.1\r\nHost: a.ex")]
#[case::half_body(
    "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: h\r\nContent-Length: 9\r\n\r\nab"
)]
#[tokio::test]
async fn new_caller_replaces_waiting_connection(#[case] sent: &str) {
    let (address, _) = recording_upstream().await;
    let mut cfg = settings();
    // Six tenths of them are for callers: 12 connections.
    cfg.max_descriptors = 20;
    let harness = start_with_settings(cfg, route(RouteKind::AtMostOnce), &[address]).await;
    harness.post("ready").await;
    let mut waiting = Vec::new();
    for _ in 0..40 {
        let mut stream = TcpStream::connect(harness.callers()).await.unwrap();
        stream.write_all(sent.as_bytes()).await.unwrap();
        waiting.push(stream);
    }
    let answer = timeout(TIMEOUT, harness.post("new")).await.unwrap();
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
    // The oldest are really closed, so that descriptors are bounded: 12 connections stay at most.
    for old in waiting.drain(..28) {
        read_to_end(old).await;
    }
    drop(waiting);
    harness.wait_until_nothing_is_held().await;
}

/// A connection with a running request must not be closed for a new caller.
#[tokio::test]
async fn running_request_keeps_its_connection() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            tokio::spawn(async move {
                if read_request(&mut stream).await.is_some() {
                    tokio::time::sleep(Duration::from_millis(700)).await;
                    let answer = "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Length: 2\r\n\r\nok";
                    let _ = stream.write_all(answer.as_bytes()).await;
                    let _ = stream.shutdown().await;
                }
            });
        }
    });
    let mut cfg = settings();
    cfg.max_descriptors = 5;
    let harness = start_with_settings(cfg, route(RouteKind::AtMostOnce), &[address]).await;
    harness.post("ready").await;
    let mut running = [
        send_part(&harness, "r-1", 3, 3).await,
        send_part(&harness, "r-2", 3, 3).await,
    ];
    tokio::time::sleep(Duration::from_millis(200)).await;
    let idle: Vec<_> = futures::future::join_all(
        (0..10).map(|_| async { TcpStream::connect(harness.callers()).await.unwrap() }),
    )
    .await;
    for stream in &mut running {
        assert!(read_ok(stream).await.starts_with("HTTP/1.1 200"));
    }
    drop(idle);
}

/// The smallest deployment, with more than it serves on its share of a core: 500 requests a second that
/// run for 2 s each, with bodies and responses of 1 KB, meet no limit.
#[test]
fn usual_traffic_meets_no_limit() {
    let cfg = GatewaySettings {
        memory_mb: 112,
        max_descriptors: 2870,
        ..settings()
    };
    let limits = budget_config(&cfg);
    assert_eq!(limits.max_connections, 28_000_000 / 20_480);
    let mut budget = MemoryBudget::new(limits);
    let now = Duration::ZERO;
    for _ in 0..1000 {
        for (kind, fixed, body) in [
            (Kind::Connection, CONNECTION_BYTES, 0),
            (Kind::Request, REQUEST_BYTES + 1000, 1000),
            (Kind::Response, 0, 1000),
        ] {
            let opened = budget.open(now, Owner::of(kind), fixed).unwrap();
            assert_eq!(opened.cut_off, []);
            assert_eq!(budget.charge(now, opened.id, body), Ok(Vec::new()));
        }
    }
}
