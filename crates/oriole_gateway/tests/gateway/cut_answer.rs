//! Upstreams that stop within an answer and close the connection.
//!
//! Callers got a 200 with an empty or short body that was framed as whole.

use std::net::SocketAddr;

use oriole_fleet::prelude::*;
use rstest::rstest;
use socket2::SockRef;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

use crate::harness::{route, start_with_upstreams};

/// What marks the end of a body.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    Chunks,
    /// The end of the connection.
    Neither,
}

/// Where the upstream stops.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Cut {
    BeforeHead,
    WithinStatusLine,
    WithinField,
    BeforeEndOfHead,
    AfterHead,
    WithinBody,
}

/// How the upstream ends the connection.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    Close,
    Reset,
}

const EVENTS: &str = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";

/// A whole answer, and its head's length.
fn answer(framing: Framing, is_stream: bool) -> (String, usize) {
    let content_type = if is_stream {
        "text/event-stream"
    } else {
        "text/plain"
    };
    let (field, body) = match framing {
        Framing::Length => (
            format!("Content-Length: {}\r\n", EVENTS.len()),
            EVENTS.to_owned(),
        ),
        Framing::Chunks => (
            "Transfer-Encoding: chunked\r\n".to_owned(),
            format!("{:x}\r\n{EVENTS}\r\n0\r\n\r\n", EVENTS.len()),
        ),
        Framing::Neither => (String::new(), EVENTS.to_owned()),
    };
    let head = format!(
        "HTTP/1.1 200 OK\r\nattempt: c1\r\nsignature: s\r\nContent-Type: {content_type}\r\n{field}\r\n"
    );
    let len = head.len();
    (head + &body, len)
}

/// The part of an answer that the upstream sends.
fn cut_answer(framing: Framing, is_stream: bool, cut: Cut) -> String {
    let (whole, head_len) = answer(framing, is_stream);
    let len = match cut {
        Cut::BeforeHead => 0,
        Cut::WithinStatusLine => "HTTP/1.1 200".len(),
        Cut::WithinField => whole.find("signature: s").unwrap() + 5,
        Cut::BeforeEndOfHead => head_len - 2,
        Cut::AfterHead => head_len,
        Cut::WithinBody => head_len + 10,
    };
    whole[..len].to_owned()
}

async fn start_upstream(answer: String, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = vec![0; 4096];
            let _ = stream.read(&mut buf).await;
            let _ = stream.write_all(answer.as_bytes()).await;
            if end == End::Reset {
                // What was sent arrives before the reset discards it.
                tokio::time::sleep(std::time::Duration::from_millis(50)).await;
                let _ = SockRef::from(&stream).set_linger(Some(std::time::Duration::ZERO));
            }
        }
    });
    address
}

/// Whether a caller takes a response for a whole success.
fn looks_whole(response: &str) -> bool {
    let Some((head, body)) = response.split_once("\r\n\r\n") else {
        return false;
    };
    let head = head.to_ascii_lowercase();
    if !head.starts_with("http/1.1 200") {
        return false;
    }
    let length: Option<usize> = head
        .lines()
        .find_map(|l| l.strip_prefix("content-length: ")?.parse().ok());
    match length {
        Some(length) => body.len() == length,
        None if head.contains("transfer-encoding: chunked") => body.ends_with("0\r\n\r\n"),
        // Ends with the connection, so nothing tells that it is short.
        None => true,
    }
}

#[rstest]
fn serve_cut_answer_does_not_look_whole(
    #[values(RouteKind::Idempotent, RouteKind::AtMostOnce, RouteKind::Stream)] kind: RouteKind,
    #[values(Framing::Length, Framing::Chunks, Framing::Neither)] framing: Framing,
    #[values(
        Cut::BeforeHead,
        Cut::WithinStatusLine,
        Cut::WithinField,
        Cut::BeforeEndOfHead,
        Cut::AfterHead,
        Cut::WithinBody
    )]
    cut: Cut,
    #[values(End::Close, End::Reset)] end: End,
) {
    // The end of the connection is the proper end of such a body.
    let is_proper_end = framing == Framing::Neither
        && cut == Cut::WithinBody
        && end == End::Close
        && kind != RouteKind::Stream;
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let text = cut_answer(framing, kind == RouteKind::Stream, cut);
        let upstream = start_upstream(text, end).await;
        let harness = start_with_upstreams(route(kind), &[upstream]).await;
        let response = harness.post("c1").await;
        assert_eq!(looks_whole(&response), is_proper_end, "{response}");
    });
}

/// A request that may run again gets the answer of another upstream.
#[rstest]
#[tokio::test]
async fn serve_cut_answer_idempotent_is_answered_elsewhere(
    #[values(Framing::Length, Framing::Chunks, Framing::Neither)] framing: Framing,
    #[values(Cut::WithinField, Cut::BeforeEndOfHead, Cut::AfterHead)] cut: Cut,
) {
    let cutting = start_upstream(cut_answer(framing, false, cut), End::Close).await;
    let sound = start_upstream(answer(framing, false).0, End::Close).await;
    // The upstream that is picked first is random.
    for _ in 0..4 {
        let route = route(RouteKind::Idempotent);
        let harness = start_with_upstreams(route, &[cutting, sound]).await;
        let response = harness.post("c1").await;
        assert!(looks_whole(&response), "{response}");
        assert!(response.contains(EVENTS), "{response}");
    }
}

/// An answer that has no body by its kind is whole without one.
#[rstest]
#[case::no_content(
    "POST",
    "HTTP/1.1 204 No Content\r\nattempt: c1\r\nsignature: s\r\n\r\n"
)]
#[case::head("HEAD", "HTTP/1.1 200 OK\r\nattempt: c1\r\nsignature: s\r\n\r\n")]
#[case::length_zero(
    "POST",
    "HTTP/1.1 200 OK\r\nattempt: c1\r\nsignature: s\r\nContent-Length: 0\r\n\r\n"
)]
#[tokio::test]
async fn serve_answer_without_body_is_passed_on(#[case] method: &str, #[case] answer: &str) {
    let upstream = start_upstream(answer.to_owned(), End::Close).await;
    let harness = start_with_upstreams(route(RouteKind::AtMostOnce), &[upstream]).await;
    let req = format!(
        "{method} /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: c1\r\nContent-Length: 0\r\n\
         Connection: close\r\n\r\n"
    );
    let response = harness.send_until_ready(&req).await;
    assert!(response.starts_with("HTTP/1.1 20"), "{response}");
}
