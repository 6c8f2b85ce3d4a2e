//! Peers that do not authenticate themselves, and frames that stay unfinished.

mod common;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut as _, Bytes, BytesMut};
use common::*;
use oriole_wire::codec::{MAX_FRAME_BYTES, MAX_HANDSHAKE_FRAME_BYTES};
use oriole_wire::prelude::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

/// Longest wait for something that must happen.
const TIMEOUT: Duration = Duration::from_secs(10);

async fn bind(cfg: WireServerConfig) -> WireServer {
    let addr = "127.0.0.1:0".parse().unwrap();
    WireServer::bind(addr, cfg, Arc::new(Echo)).await.unwrap()
}

async fn connect(addr: SocketAddr, bytes: &[u8]) -> TcpStream {
    let mut stream = TcpStream::connect(addr).await.unwrap();
    stream.write_all(bytes).await.unwrap();
    stream
}

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

async fn call(channel: &Channel) -> Result<Bytes, oriole_wire::error::WireError> {
    channel.call("x", Bytes::from_static(b"a"), TIMEOUT).await
}

/// Guards against connections without a handshake that take the places of peers, or a descriptor and
/// a task each without bound.
#[rstest]
#[case::no_bytes(b"", 400)]
#[case::half_frame(&[0, 0, 0, 9, 1], 400)]
#[case::as_many_as_all_connections(b"", 2048)]
#[tokio::test]
async fn serve_connections_without_handshake(#[case] sent: &'static [u8], #[case] count: usize) {
    let cfg = server_cfg();
    let max = 256;
    let server = bind(cfg).await;
    let first = Channel::connect(server.addr(), &channel_cfg())
        .await
        .unwrap();
    let mut streams = Vec::new();
    for _ in 0..count {
        streams.push(connect(server.addr(), sent).await);
    }
    let channel = Channel::connect(server.addr(), &channel_cfg()).await;
    assert!(call(&channel.unwrap()).await.is_ok());
    // Peers that are connected already are not closed for others.
    assert!(call(&first).await.is_ok());
    let open = count_open(streams);
    assert!(open <= max, "{open} connections are open");
}

/// A frame is refused by its length, before any of it is received.
#[rstest]
#[case::hello(false, MAX_HANDSHAKE_FRAME_BYTES + 1)]
#[case::frame(true, MAX_FRAME_BYTES + 1)]
#[tokio::test(start_paused = true)]
async fn serve_oversized_frame(#[case] authenticated: bool, #[case] len: usize) {
    let counters = Counters::install();
    let (mut stream, served) = serve(server_cfg());
    if authenticated {
        stream = raw_client(stream).await.into_inner();
    }
    stream.write_all(&(len as u32).to_be_bytes()).await.unwrap();
    assert!(served.await.unwrap().is_err());
    assert_eq!(counters.closed_count("oversized"), 1);
}

/// An authenticated peer that sends a part of a large frame.
async fn unfinished_frame(addr: SocketAddr, incarnation: u64, sent: usize) -> TcpStream {
    let stream = TcpStream::connect(addr).await.unwrap();
    let mut io = tokio_util::codec::Framed::new(stream, oriole_wire::codec::FrameCodec::new());
    let mut identity = identity("entry-1");
    identity.incarnation = incarnation;
    oriole_wire::handshake::connect(&mut io, &identity, &secrets(&[SECRET]))
        .await
        .unwrap();
    let mut stream = io.into_inner();
    let mut begin = BytesMut::new();
    begin.put_u32(MAX_FRAME_BYTES as u32);
    begin.put_bytes(0, sent);
    // Fails if the server closes the connection meanwhile.
    let _ = stream.write_all(&begin).await;
    stream
}

/// Guards against memory without bound for frames that are never completed.
#[rstest]
#[case::length_only(0)]
#[case::half(MAX_FRAME_BYTES / 2)]
#[tokio::test]
async fn serve_unfinished_frames(#[case] sent: usize) {
    let server = bind(server_cfg()).await;
    let channel = Channel::connect(server.addr(), &channel_cfg())
        .await
        .unwrap();
    let mut streams = Vec::new();
    for i in 0..64 {
        streams.push(unfinished_frame(server.addr(), 100 + i, sent).await);
    }
    // Small frames are received all the same.
    assert!(call(&channel).await.is_ok());
    let max = 32;
    let mut closed = 0;
    for mut stream in streams {
        let mut buf = [0];
        let read = tokio::time::timeout(Duration::from_millis(200), stream.read(&mut buf));
        closed += usize::from(matches!(read.await, Ok(Ok(0) | Err(_))));
    }
    assert!(closed >= 64 - max, "{closed} connections were closed");
}

/// When unfinished frames take all the room, one that makes no progress is given up for a new one.
#[tokio::test]
async fn serve_unfinished_frames_stalled() {
    let server = bind(server_cfg()).await;
    let mut streams = Vec::new();
    for i in 0..32 {
        streams.push(unfinished_frame(server.addr(), 100 + i, 0).await);
    }
    tokio::time::sleep(Duration::from_millis(1500)).await;
    let channel = Channel::connect(server.addr(), &channel_cfg())
        .await
        .unwrap();
    for _ in 0..8 {
        let payload = Bytes::from(vec![1; MAX_FRAME_BYTES / 2]);
        let answer = channel.call("x", payload.clone(), TIMEOUT).await;
        assert_eq!(answer, Ok(payload));
    }
}
