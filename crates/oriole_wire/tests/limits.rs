//! Tests the limits for authenticated peers, and that an exchange does not report a false result when
//! its peer violates the protocol.

mod common;

use std::time::Duration;

use bytes::Bytes;
use common::*;
use oriole_types::outcome::{RefusalReason, UnknownReason};
use oriole_wire::channel::WRITE_TIMEOUT;
use oriole_wire::checksum::Checksum;
use oriole_wire::error::WireError;
use oriole_wire::exchange::WINDOW_CHUNKS;
use oriole_wire::frame::{Body, Call, CallReply, Chunk, Credit, End, Frame, Hello, Proof, Refused};
use oriole_wire::prelude::*;
use oriole_wire::reader::FRAME_TIMEOUT;
use rstest::rstest;
use tokio::io::AsyncWriteExt;

fn chunk(position: u64, data: &'static [u8]) -> Body {
    Body::Chunk(Chunk {
        request: 1,
        attempt: 1,
        position,
        items: 1,
        data: Bytes::from_static(data),
    })
}

fn end(position: u64, checksum: u64) -> Body {
    Body::End(End {
        request: 1,
        attempt: 1,
        position,
        checksum,
        ..End::default()
    })
}

fn checksum(request: u64, attempt: u32, data: &[u8]) -> u64 {
    let mut checksum = Checksum::new(request, attempt);
    checksum.update(data);
    checksum.value()
}

fn failed(reason: UnknownReason) -> ExchangeEvent {
    ExchangeEvent::Failed { reason, load: None }
}

#[rstest]
#[case::hello(Body::Hello(Hello::default()))]
#[case::proof(Body::Proof(Proof::default()))]
#[case::chunk(chunk(0, b"a"))]
#[case::end(end(0, 0))]
#[case::reply(Body::CallReply(CallReply::default()))]
#[tokio::test(start_paused = true)]
async fn serve_frame_of_other_direction(#[case] body: Body) {
    let counters = Counters::install();
    let (stream, served) = serve(server_cfg());
    let mut io = raw_client(stream).await;
    send(&mut io, body).await;
    assert_eq!(served.await.unwrap().unwrap_err().reason(), "malformed");
    assert_eq!(counters.closed_count("malformed"), 1);
}

#[rstest]
#[case::open(Body::Open(open(1, 1, vec![])))]
#[case::credit(Body::Credit(Credit::default()))]
#[case::call(Body::Call(Call::default()))]
#[tokio::test(start_paused = true)]
async fn channel_frame_of_other_direction(#[case] body: Body) {
    let counters = Counters::install();
    let (channel, mut io) = channel_and_raw_server(STREAM_BYTES).await;
    let mut exchange = channel.open(open(1, 1, vec![])).await.unwrap();
    send(&mut io, body).await;
    assert_eq!(exchange.recv().await, failed(UnknownReason::AgentLost));
    assert_eq!(counters.closed_count("malformed"), 1);
    assert!(channel.is_closed());
}

#[tokio::test(start_paused = true)]
async fn serve_empty_frame() {
    let counters = Counters::install();
    let (stream, served) = serve(server_cfg());
    let mut io = raw_client(stream).await;
    futures::SinkExt::send(&mut io, Frame::default())
        .await
        .unwrap();
    assert!(served.await.unwrap().is_err());
    assert_eq!(counters.closed_count("malformed"), 1);
}

#[tokio::test(start_paused = true)]
async fn serve_slow_sender() {
    let counters = Counters::install();
    let (stream, served) = serve(server_cfg());
    let mut io = raw_client(stream).await;
    let begin = tokio::time::Instant::now();
    io.get_mut().write_all(&[0, 0, 0, 40, 1]).await.unwrap();
    assert_eq!(served.await.unwrap(), Err(WireError::SlowSender));
    assert!(begin.elapsed() <= 2 * FRAME_TIMEOUT + Duration::from_millis(1));
    assert_eq!(counters.closed_count("slow_sender"), 1);
}

#[tokio::test(start_paused = true)]
async fn channel_slow_sender() {
    let counters = Counters::install();
    let (channel, mut io) = channel_and_raw_server(STREAM_BYTES).await;
    let mut exchange = channel.open(open(1, 1, vec![])).await.unwrap();
    io.get_mut().write_all(&[0, 0]).await.unwrap();
    assert_eq!(exchange.recv().await, failed(UnknownReason::AgentLost));
    assert_eq!(counters.closed_count("slow_sender"), 1);
}

/// An idle connection is not closed by the frame timeout.
#[tokio::test(start_paused = true)]
async fn serve_idle_peer_kept() {
    let (stream, served) = serve(server_cfg());
    let channel = Channel::connect_over(stream, &channel_cfg()).await.unwrap();
    for _ in 0..5 {
        tokio::time::sleep(3 * FRAME_TIMEOUT).await;
        let answer = channel.call("x", Bytes::from_static(b"a"), FRAME_TIMEOUT);
        assert_eq!(answer.await, Ok(Bytes::from_static(b"a")));
    }
    assert!(!served.is_finished());
}

/// Consecutive frames that are all incomplete at the checks of the frame timeout are not mistaken for
/// a single slow frame.
#[tokio::test(start_paused = true)]
async fn serve_overlapping_frames_kept() {
    let (stream, served) = serve(server_cfg());
    let mut io = raw_client(stream).await;
    // Five empty cancel frames. At each check the next one has arrived in part.
    let cancel = [0, 0, 0, 2, 0x4a, 0];
    io.get_mut().write_all(&cancel[..3]).await.unwrap();
    for _ in 0..5 {
        tokio::time::sleep(FRAME_TIMEOUT).await;
        io.get_mut().write_all(&cancel[3..]).await.unwrap();
        io.get_mut().write_all(&cancel[..3]).await.unwrap();
    }
    assert!(!served.is_finished());
}

#[tokio::test(start_paused = true)]
async fn channel_slow_reader() {
    let counters = Counters::install();
    // The server keeps its stream open and never reads.
    let (channel, _io) = channel_and_raw_server(256).await;
    let begin = tokio::time::Instant::now();
    let mut exchange = channel.open(open(1, 1, vec![0; 4096])).await.unwrap();
    assert_eq!(exchange.recv().await, failed(UnknownReason::AgentLost));
    assert!(begin.elapsed() <= WRITE_TIMEOUT + Duration::from_millis(1));
    assert_eq!(counters.closed_count("slow_reader"), 1);
}

/// Uses TCP sockets, which need real instead of paused time.
#[tokio::test]
async fn serve_connections_of_a_peer() {
    let counters = Counters::install();
    let mut cfg = server_cfg();
    cfg.max_peer_connections = 2;
    let addr = "127.0.0.1:0".parse().unwrap();
    let server = WireServer::bind(addr, cfg, std::sync::Arc::new(Echo))
        .await
        .unwrap();
    let connect = async |incarnation| {
        let mut cfg = channel_cfg();
        cfg.identity.incarnation = incarnation;
        let channel = Channel::connect(server.addr(), &cfg).await.unwrap();
        let answer = channel.call("x", Bytes::new(), Duration::from_secs(60));
        answer.await.map(|_| channel)
    };
    let first = connect(1).await.unwrap();
    let _second = connect(1).await.unwrap();
    assert!(connect(1).await.is_err());
    assert_eq!(counters.closed_count("peer_connections"), 1);
    // The limit does not apply to another incarnation with the same name.
    let _other = connect(2).await.unwrap();
    drop(first);
    let again = async {
        // The server needs some time to notice the end of the connection.
        while connect(1).await.is_err() {
            settle().await;
        }
    };
    let wait = Duration::from_secs(20);
    assert!(tokio::time::timeout(wait, again).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn serve_attempt_opened_twice() {
    let (stream, served) = serve(server_cfg());
    let mut io = raw_client(stream).await;
    // The answer has more chunks than there is credit for, so that the attempt is still running.
    let body = vec![WINDOW_CHUNKS as u8 + 1];
    send(&mut io, Body::Open(open(1, 1, body.clone()))).await;
    settle().await;
    send(&mut io, Body::Open(open(1, 1, body))).await;
    assert_eq!(served.await.unwrap().unwrap_err().reason(), "malformed");
}

#[tokio::test(start_paused = true)]
async fn channel_attempt_opened_twice() {
    let (channel, mut io) = channel_and_raw_server(STREAM_BYTES).await;
    let mut exchange = channel.open(open(1, 1, vec![])).await.unwrap();
    assert!(channel.open(open(1, 1, vec![])).await.is_err());
    send(&mut io, chunk(0, b"a")).await;
    let event = exchange.recv().await;
    assert!(matches!(event, ExchangeEvent::Chunk { .. }));
}

#[tokio::test(start_paused = true)]
async fn serve_credit_exceeded() {
    let (stream, served) = serve(server_cfg());
    let mut io = raw_client(stream).await;
    let body = vec![WINDOW_CHUNKS as u8 + 1];
    send(&mut io, Body::Open(open(1, 1, body))).await;
    settle().await;
    let credit = Credit {
        request: 1,
        attempt: 1,
        chunks: WINDOW_CHUNKS + 1,
    };
    send(&mut io, Body::Credit(credit)).await;
    assert_eq!(served.await.unwrap(), Err(WireError::CreditExceeded));
}

#[tokio::test(start_paused = true)]
async fn channel_credit_exceeded() {
    let counters = Counters::install();
    let (channel, mut io) = channel_and_raw_server(STREAM_BYTES).await;
    let _exchange = channel.open(open(1, 1, vec![])).await.unwrap();
    for i in 0..2 * u64::from(WINDOW_CHUNKS) {
        // Fails after the client has closed the connection.
        if futures::SinkExt::send(&mut io, chunk(i, b"a").into())
            .await
            .is_err()
        {
            break;
        }
    }
    settle().await;
    assert!(channel.is_closed());
    assert_eq!(counters.closed_count("credit_exceeded"), 1);
}

/// Guards against lost credit: it is queued while the queue to the server is full, and must be sent
/// later.
#[tokio::test(start_paused = true)]
async fn exchange_credit_with_full_queue() {
    let (channel, mut io) = channel_and_raw_server(4096).await;
    let mut exchange = channel.open(open(1, 1, vec![])).await.unwrap();
    let calls = async {
        let calls = (0..2000).map(|_| {
            let payload = Bytes::from_static(&[0; 64]);
            channel.call("x", payload, Duration::from_secs(15))
        });
        futures::future::join_all(calls).await
    };
    let answer = async {
        settle().await;
        for i in 0..u64::from(WINDOW_CHUNKS) {
            send(&mut io, chunk(i, b"a")).await;
            exchange.recv().await;
        }
        let mut credit = 0;
        while credit < WINDOW_CHUNKS {
            if let Body::Credit(c) = receive(&mut io).await {
                credit += c.chunks;
            }
        }
    };
    let answer = tokio::time::timeout(Duration::from_secs(10), answer);
    tokio::select! {
        _ = calls => panic!("calls ended although the server does not answer them"),
        credited = answer => credited.expect("all credit is received"),
    }
}

#[rstest]
#[case::bytes(b"a")]
#[case::no_bytes(b"")]
#[tokio::test(start_paused = true)]
async fn exchange_refused_after_chunk(#[case] data: &'static [u8]) {
    let (channel, mut io) = channel_and_raw_server(STREAM_BYTES).await;
    let mut exchange = channel.open(open(1, 1, vec![])).await.unwrap();
    send(&mut io, chunk(0, data)).await;
    let refused = Refused {
        request: 1,
        attempt: 1,
        reason: RefusalReason::QueueFull.code(),
        ..Refused::default()
    };
    send(&mut io, Body::Refused(refused)).await;
    exchange.recv().await;
    assert_eq!(exchange.recv().await, failed(UnknownReason::Incomplete));
}

/// After a repeated chunk the exchange stays failed, even if the remaining frames would complete the
/// answer.
#[tokio::test(start_paused = true)]
async fn exchange_failed_stays_failed() {
    let (channel, mut io) = channel_and_raw_server(STREAM_BYTES).await;
    let mut exchange = channel.open(open(1, 1, vec![])).await.unwrap();
    for body in [
        chunk(0, b"a"),
        chunk(0, b"a"),
        chunk(1, b"b"),
        end(2, checksum(1, 1, b"ab")),
    ] {
        send(&mut io, body).await;
    }
    exchange.recv().await;
    for _ in 0..4 {
        assert_eq!(exchange.recv().await, failed(UnknownReason::Incomplete));
    }
}

#[rstest]
#[case::own(1, 1, true)]
#[case::other_request(2, 1, false)]
#[case::other_attempt(1, 2, false)]
#[tokio::test(start_paused = true)]
async fn exchange_checksum_of_attempt(
    #[case] request: u64,
    #[case] attempt: u32,
    #[case] whole: bool,
) {
    let (channel, mut io) = channel_and_raw_server(STREAM_BYTES).await;
    let mut exchange = channel.open(open(1, 1, vec![])).await.unwrap();
    send(&mut io, chunk(0, b"a")).await;
    send(&mut io, end(1, checksum(request, attempt, b"a"))).await;
    exchange.recv().await;
    let event = exchange.recv().await;
    assert_eq!(matches!(event, ExchangeEvent::End { .. }), whole);
}

#[tokio::test(start_paused = true)]
async fn exchange_position_overflow() {
    let (channel, mut io) = channel_and_raw_server(STREAM_BYTES).await;
    let mut request = open(1, 1, vec![]);
    request.resume_from = u64::MAX;
    let mut exchange = channel.open(request).await.unwrap();
    send(&mut io, chunk(u64::MAX, b"a")).await;
    assert_eq!(exchange.recv().await, failed(UnknownReason::Incomplete));
}

#[tokio::test(start_paused = true)]
async fn serve_position_overflow() {
    let (stream, served) = serve(server_cfg());
    let mut io = raw_client(stream).await;
    let mut request = open(1, 1, vec![2]);
    request.resume_from = u64::MAX;
    send(&mut io, Body::Open(request)).await;
    for _ in 0..2 {
        assert!(matches!(receive(&mut io).await, Body::Chunk(_)));
    }
    assert!(matches!(receive(&mut io).await, Body::End(_)));
    assert!(!served.is_finished());
}

#[test]
fn debug_shows_no_content() {
    let secret = "a-key-that-no-log-may-hold";
    let mut request = open(1, 1, secret.into());
    request.key = secret.into();
    let call = Call {
        payload: Bytes::from_static(secret.as_bytes()),
        ..Call::default()
    };
    let bodies = [
        Body::Open(request),
        Body::Call(call),
        chunk(0, secret.as_bytes()),
    ];
    let frames: Vec<Frame> = bodies.iter().cloned().map(Frame::from).collect();
    let mut cfg = channel_cfg();
    cfg.secrets = secrets(&[secret]);
    let shown = format!("{bodies:?} {frames:?} {cfg:?}");
    let as_bytes = format!("{:?}", secret.as_bytes());
    assert!(!shown.contains(secret), "{shown}");
    assert!(
        !shown.contains(as_bytes.trim_matches(['[', ']'])),
        "{shown}"
    );
}
