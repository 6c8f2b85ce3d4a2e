//! The listeners beside the callers' port, among many clients that send half a request or none.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use futures::{SinkExt as _, StreamExt as _};
use oriole_fleet::prelude::RouteKind;
use oriole_gateway::mesh::message::{PullReply, PullRequest};
use prost::Message as _;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio_util::codec::{Framed, LengthDelimitedCodec};

use crate::harness::{Harness, silent_upstream, start};

/// Number of half-open connections, well above the limit of a listener.
const HALF_OPEN: usize = 400;

/// Most connections that a listener keeps.
const MAX_CONNECTIONS: usize = 256;

/// Longest wait for an answer; below the time for which connections may be idle.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A listener that answers HTTP queries.
#[derive(Clone, Copy, Debug)]
enum Port {
    Ready,
    Endpoints,
    Metrics,
}

impl Port {
    fn address(self, harness: &Harness) -> SocketAddr {
        match self {
            Self::Ready => harness.listen.ready,
            Self::Endpoints => harness.listen.endpoints,
            Self::Metrics => harness.listen.metrics,
        }
    }
}

async fn connect(address: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

async fn query(address: SocketAddr, path: &str) -> String {
    let query = format!("GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    let mut stream = connect(address, query.as_bytes()).await;
    let mut text = String::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_string(&mut text));
    let _ = read.await.expect("an answer in time");
    text
}

/// Counts the connections that the daemon has not closed.
fn count_open(streams: Vec<TcpStream>) -> usize {
    let is_open = |stream: TcpStream| {
        let mut stream = stream.into_std().unwrap();
        let read = std::io::Read::read(&mut stream, &mut [0]);
        matches!(read, Err(e) if e.kind() == std::io::ErrorKind::WouldBlock)
    };
    streams
        .into_iter()
        .map(is_open)
        .filter(|open| *open)
        .count()
}

/// Guards against connections without bound: each took a descriptor and a buffer for 15 s.
#[rstest]
#[tokio::test]
async fn service_port_half_open_connections(
    #[values(Port::Ready, Port::Endpoints, Port::Metrics)] port: Port,
    #[values("", "GET /ready HTTP/1.1\r\nHo")] sent: &str,
) {
    let harness = start(RouteKind::Idempotent, silent_upstream().await).await;
    let address = port.address(&harness);
    let mut streams = Vec::new();
    for _ in 0..HALF_OPEN {
        streams.push(connect(address, sent.as_bytes()).await);
    }
    assert!(query(address, "/ready").await.starts_with("HTTP/1.1 "));
    let open = count_open(streams);
    assert!(open < MAX_CONNECTIONS, "{open} connections are open");
}

/// Guards against buffers that grow with the head, up to the library's own limit of some 400 KB.
#[rstest]
#[tokio::test]
async fn service_port_endless_head(
    #[values(Port::Ready, Port::Endpoints, Port::Metrics)] port: Port,
) {
    let harness = start(RouteKind::Idempotent, silent_upstream().await).await;
    let head = format!(
        "GET /ready HTTP/1.1\r\nHost: a\r\nx: {}",
        "y".repeat(12_000)
    );
    let mut stream = connect(port.address(&harness), head.as_bytes()).await;
    let mut received = Vec::new();
    let read = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut received));
    let _ = read.await.expect("an answer in time");
    assert!(received.starts_with(b"HTTP/1.1 431"));
}

/// Asks for all items as a peer does; `None` if the daemon closes the connection.
async fn pull(address: SocketAddr) -> Option<PullReply> {
    let stream = TcpStream::connect(address).await.unwrap();
    let mut frames = Framed::new(stream, LengthDelimitedCodec::new());
    let req = PullRequest { since: vec![0, 0] }.encode_to_vec();
    frames.send(Bytes::from(req)).await.ok()?;
    let frame = frames.next().await?.ok()?;
    Some(PullReply::decode(frame).unwrap())
}

/// Guards against a few connections without a request that keep all peers from their items.
#[rstest]
#[case::no_bytes(b"")]
#[case::half_length(b"\0\0")]
#[case::half_frame(b"\0\0\0\x0a\x0a")]
#[tokio::test]
async fn pull_half_open_connections(#[case] sent: &'static [u8]) {
    let harness = start(RouteKind::Idempotent, silent_upstream().await).await;
    let mut streams = Vec::new();
    for _ in 0..HALF_OPEN {
        streams.push(connect(harness.peers, sent).await);
    }
    assert!(pull(harness.peers).await.is_some());
    let open = count_open(streams);
    assert!(open < MAX_CONNECTIONS, "{open} connections are open");
}

/// All peers may pull at the same time.
#[tokio::test]
async fn pull_many_peers_at_once() {
    let harness = start(RouteKind::Idempotent, silent_upstream().await).await;
    let pulls = (0..200).map(|_| pull(harness.peers));
    let replies = futures::future::join_all(pulls).await;
    let unanswered = replies.iter().filter(|r| r.is_none()).count();
    assert_eq!(unanswered, 0);
}

/// Guards against memory that is reserved for a request by its announced length.
#[tokio::test]
async fn pull_large_request() {
    let harness = start(RouteKind::Idempotent, silent_upstream().await).await;
    let _stream = connect(harness.peers, &[0, 0x40, 0, 0]).await;
    harness.log.wait_for("frame size too big").await;
}
