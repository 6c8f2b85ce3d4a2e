//! The metrics port beside clients that send half a request, none, or one without end.

use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use oriole_kernel::bounded_listener::slots::ConnectionLimits;
use oriole_kernel::metrics_port;
use rstest::rstest;
use tokio_util::sync::CancellationToken;

/// Number of half-open connections, well above the limit of a listener.
const HALF_OPEN: usize = 400;

/// Longest wait for bytes that must come; below the time for which connections may be idle.
const READ_TIMEOUT: Duration = Duration::from_secs(10);

async fn metrics_port() -> (SocketAddr, CancellationToken) {
    let listener = tokio::net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let stop = CancellationToken::new();
    metrics_port::spawn(listener, stop.clone());
    (address, stop)
}

fn connect(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).unwrap();
    stream.set_read_timeout(Some(READ_TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    stream
}

/// Reads until the server closes the connection, or no more bytes come.
fn read_all(stream: &mut TcpStream) -> String {
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    String::from_utf8_lossy(&received).into_owned()
}

fn is_open(stream: &mut TcpStream) -> bool {
    stream.set_nonblocking(true).unwrap();
    matches!(stream.read(&mut [0]), Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
}

fn query(address: SocketAddr) -> String {
    let query = b"GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    read_all(&mut connect(address, query))
}

/// Guards against connections without bound: each took a descriptor and a buffer for 15 s.
#[rstest]
#[case::no_bytes(b"")]
#[case::half_head(b"GET /metrics HTTP/1.1\r\nHo")]
#[case::half_body(b"POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nhalf")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn spawn_half_open_connections(#[case] sent: &'static [u8]) {
    let (address, _stop) = metrics_port().await;
    tokio::task::spawn_blocking(move || {
        let mut streams: Vec<_> = (0..HALF_OPEN).map(|_| connect(address, sent)).collect();
        assert!(query(address).starts_with("HTTP/1.1 200"));
        let open = streams
            .iter_mut()
            .filter_map(|s| is_open(s).then_some(()))
            .count();
        let max = ConnectionLimits::default().max_connections;
        assert!(open < max, "{open} connections are open");
    })
    .await
    .unwrap();
}

/// Guards against buffers that grow with the head, up to the library's own limit of some 400 KB.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn spawn_endless_head() {
    let (address, _stop) = metrics_port().await;
    tokio::task::spawn_blocking(move || {
        let head = format!(
            "GET /metrics HTTP/1.1\r\nHost: a\r\nx: {}",
            "y".repeat(12_000)
        );
        let response = read_all(&mut connect(address, head.as_bytes()));
        assert!(response.starts_with("HTTP/1.1 431"), "{response}");
    })
    .await
    .unwrap();
}

/// Guards against a request that keeps its connection by coming slowly. The connection must end well
/// before it would for being idle.
#[rstest]
#[case::head("GET /metrics HTTP/1.1\r\nx: ")]
#[case::body("POST /metrics HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn spawn_slow_request(#[case] begin: &'static str) {
    let (address, _stop) = metrics_port().await;
    tokio::task::spawn_blocking(move || {
        let mut stream = connect(address, begin.as_bytes());
        let mut bytes_sent = 0;
        while is_open(&mut stream) {
            assert!(
                bytes_sent < 40,
                "the connection is open after {bytes_sent} slow bytes"
            );
            let _ = stream.write(b"y");
            bytes_sent += 1;
            std::thread::sleep(Duration::from_millis(250));
        }
    })
    .await
    .unwrap();
}

/// A body that a query has is ignored, up to a limit.
#[rstest]
#[case::at_limit(64 * 1024, "HTTP/1.1 200")]
#[case::over_limit(64 * 1024 + 1, "HTTP/1.1 413")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn spawn_body(#[case] len: usize, #[case] status: &'static str) {
    let (address, _stop) = metrics_port().await;
    tokio::task::spawn_blocking(move || {
        // The head goes first, so that a refusal is not lost with unread bytes of the body.
        let head = format!(
            "GET /metrics HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: {len}\r\n\r\n"
        );
        let mut stream = connect(address, head.as_bytes());
        if len <= 64 * 1024 {
            stream.write_all(&vec![b'x'; len]).unwrap();
        }
        let response = read_all(&mut stream);
        assert!(response.starts_with(status), "{response}");
    })
    .await
    .unwrap();
}
