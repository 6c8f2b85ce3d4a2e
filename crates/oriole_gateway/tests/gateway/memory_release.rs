//! Memory is free again after a request ends, in each way that it can end. Memory that stays counted
//! would make the daemon refuse everything after some time.

use std::time::Duration;

use oriole_fleet::prelude::*;
use rstest::rstest;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use crate::harness::{route, silent_upstream, start, start_with_upstreams, upstream};

const SUCCESS: &str = "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Length: 2\r\n\r\nok";
const FAILURE: &str = "HTTP/1.1 500 X\r\nsignature: s\r\nContent-Length: 3\r\n\r\nodd";
const NOT_RUN: &str = "HTTP/1.1 503 X\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
const BROKEN: &str = "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Length: 90\r\n\r\nok";
const STREAM: &str = "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Type: text/event-stream\r\n\
     Content-Length: 15\r\n\r\nid: 1\ndata: a\n\n";
const BROKEN_STREAM: &str = "HTTP/1.1 200 OK\r\nsignature: s\r\n\
     Content-Type: text/event-stream\r\nContent-Length: 99\r\n\r\nid: 1\ndata: a\n\n";

#[rstest]
#[case::answered(RouteKind::AtMostOnce, SUCCESS)]
#[case::failed(RouteKind::Idempotent, FAILURE)]
#[case::not_run(RouteKind::Idempotent, NOT_RUN)]
#[case::response_broke_off(RouteKind::Idempotent, BROKEN)]
#[case::no_answer(RouteKind::AtMostOnce, "")]
#[case::stream_ended(RouteKind::Stream, STREAM)]
#[case::stream_broke(RouteKind::Stream, BROKEN_STREAM)]
#[tokio::test]
async fn memory_is_free_after_answer(#[case] kind: RouteKind, #[case] answer: &'static str) {
    let (address, _) = upstream(answer).await;
    let harness = start(kind, address).await;
    for i in 0..5 {
        harness.post(&format!("a-{i}")).await;
    }
    harness.wait_until_nothing_is_held().await;
}

#[rstest]
#[case::malformed("bytes of something else\r\n\r\n")]
#[case::no_route(
    "GET /else/ HTTP/1.1\r\nHost: a.example\r\nattempt: b\r\nConnection: close\r\n\r\n"
)]
#[case::too_large(
    "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: b\r\nContent-Length: 99999999\r\n\r\n"
)]
#[case::broken_chunk(
    "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: b\r\nTransfer-Encoding: chunked\r\n\r\n\
     3\r\nabc\r\nxyz\r\n"
)]
#[tokio::test]
async fn memory_is_free_after_refusal(#[case] req: &str) {
    let (address, _) = upstream(SUCCESS).await;
    let harness = start(RouteKind::AtMostOnce, address).await;
    harness.post("ready").await;
    harness.send_once(req).await;
    harness.wait_until_nothing_is_held().await;
}

/// The caller leaves at some point of its request.
#[rstest]
#[case::idle("")]
#[case::within_head("POST /a/x HTTP/1.1\r\nHost: a.ex")]
#[case::within_body(
    "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: b\r\nContent-Length: 9\r\n\r\nab"
)]
#[case::while_running(
    "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: b\r\nContent-Length: 2\r\n\r\nab"
)]
#[tokio::test]
async fn memory_is_free_after_caller_left(#[case] req: &str) {
    let address = silent_upstream().await;
    let mut route = route(RouteKind::AtMostOnce);
    route.timeout = Duration::from_millis(500);
    let harness = start_with_upstreams(route, &[address]).await;
    harness.post("ready").await;
    let mut stream = TcpStream::connect(harness.callers()).await.unwrap();
    stream.write_all(req.as_bytes()).await.unwrap();
    tokio::time::sleep(Duration::from_millis(200)).await;
    drop(stream);
    harness.wait_until_nothing_is_held().await;
}
