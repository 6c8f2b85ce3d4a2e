//! A bounded listener whose responses do not fit into the buffers of sockets.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::request::Parts;
use http_body_util::Full;
use oriole_kernel::bounded_listener::slots::ConnectionLimits;
use oriole_kernel::bounded_listener::spawn_http;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::{CancellationToken, DropGuard};

const MAX_CONNECTIONS: usize = 8;

/// Larger than the buffers of both sockets together.
const LARGE_BYTES: usize = 32 * 1024 * 1024;

/// Longest wait for a response.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Answers `/large` with a large body and other queries with a short one.
async fn spawn_listener() -> (SocketAddr, DropGuard) {
    spawn_with(ConnectionLimits {
        max_connections: MAX_CONNECTIONS,
        ..ConnectionLimits::default()
    })
    .await
}

async fn spawn_with(limits: ConnectionLimits) -> (SocketAddr, DropGuard) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    let large = Bytes::from(vec![b'x'; LARGE_BYTES]);
    let handler = move |head: &Parts| {
        let body = match head.uri.path() {
            "/large" => large.clone(),
            _ => Bytes::from_static(b"short"),
        };
        Response::new(Full::new(body))
    };
    spawn_http(listener, "test", limits, Arc::new(handler), &stop);
    (address, stop.drop_guard())
}

async fn connect(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

async fn read_all(mut stream: TcpStream) -> usize {
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received).await;
    received.len()
}

async fn short_query(address: SocketAddr) -> String {
    let query = b"GET /short HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let mut stream = connect(address, query).await;
    let mut text = String::new();
    let read = stream.read_to_string(&mut text);
    let read = tokio::time::timeout(TIMEOUT, read).await;
    let _ = read.expect("an answer in time");
    text
}

/// A kept-alive connection is not closed for others while its response is being sent.
#[rstest]
#[case::first_response(false)]
#[case::later_response(true)]
#[tokio::test]
async fn spawn_http_response_is_not_cut_for_others(#[case] after_short: bool) {
    let (address, _stop) = spawn_listener().await;
    let mut stream = connect(address, b"").await;
    if after_short {
        stream
            .write_all(b"GET /short HTTP/1.1\r\nHost: a\r\n\r\n")
            .await
            .unwrap();
        let mut buf = [0; 512];
        assert!(stream.read(&mut buf).await.unwrap() > 0);
    }
    let query = b"GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    stream.write_all(query).await.unwrap();
    let mut begin = [0; 16];
    stream.read_exact(&mut begin).await.unwrap();
    let mut half_open = Vec::new();
    for _ in 0..4 * MAX_CONNECTIONS {
        half_open.push(connect(address, b"GET /sh").await);
    }
    assert!(short_query(address).await.ends_with("short"));
    assert!(read_all(stream).await > LARGE_BYTES - 16);
}

/// Guards against peers that occupy all connections with responses that they do not read.
#[tokio::test]
async fn spawn_http_unread_responses() {
    let (address, _stop) = spawn_listener().await;
    let mut unread = Vec::new();
    for _ in 0..2 * MAX_CONNECTIONS {
        unread.push(connect(address, b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n").await);
    }
    assert!(short_query(address).await.ends_with("short"));
}

/// Guards against responses that count as unread although they were taken: such a connection is
/// replaced at once, without the time for an unread response.
#[rstest]
#[case::short("/short")]
#[case::large("/large")]
#[tokio::test]
async fn spawn_http_taken_response_does_not_protect(#[case] path: &str) {
    let hour = Duration::from_secs(3600);
    let (address, _stop) = spawn_with(ConnectionLimits {
        max_connections: 1,
        stalled_reader: hour,
        response_timeout: hour,
        ..ConnectionLimits::default()
    })
    .await;
    let query = format!("GET {path} HTTP/1.1\r\nHost: a\r\n\r\n");
    let mut kept = connect(address, query.as_bytes()).await;
    let body_len = if path == "/large" { LARGE_BYTES } else { 5 };
    let mut received = Vec::new();
    while !received.windows(4).take(512).any(|w| w == b"\r\n\r\n") || received.len() < body_len {
        assert!(kept.read_buf(&mut received).await.unwrap() > 0);
    }
    // The last bytes of the large body may still be on their way.
    let drain = async { while kept.read_buf(&mut received).await.unwrap_or(0) > 0 {} };
    let (answer, ()) = tokio::join!(short_query(address), drain);
    assert!(answer.ends_with("short"));
}

/// A kept-alive connection answers many queries, also when they arrive together.
#[rstest]
#[case::one_by_one(1)]
#[case::together(20)]
#[tokio::test]
async fn spawn_http_kept_alive(#[case] together: usize) {
    let (address, _stop) = spawn_listener().await;
    let mut stream = connect(address, b"").await;
    let queries = "GET /short HTTP/1.1\r\nHost: a\r\n\r\n".repeat(together);
    for _ in 0..40 / together {
        stream.write_all(queries.as_bytes()).await.unwrap();
        let mut text = String::new();
        while text.matches("short").count() < together {
            let mut buf = [0; 4096];
            let len = stream.read(&mut buf).await.unwrap();
            assert!(len > 0, "the connection was closed");
            text.push_str(std::str::from_utf8(&buf[..len]).unwrap());
        }
    }
}
