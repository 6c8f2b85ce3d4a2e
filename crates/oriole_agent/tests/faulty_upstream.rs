//! Upstreams that send bytes without end, stop within an answer, or send bytes that are no answer.
//!
//! An agent kept reading as long as bytes came, an answer that ended with its head looked whole, and a
//! late copy of an answer was taken for that to the next request.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use oriole_agent::upstream::client::HttpClient;
use oriole_agent::upstream::{Answer, UpstreamError};
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

/// What an agent reads of one answer, and what sockets hold.
const MAX_TAKEN_BYTES: usize = 32 * 1024 * 1024;

/// Time in which even the largest of these answers is read.
const MAX_TIME: Duration = Duration::from_secs(20);

/// Starts an upstream that sends `start` and then `unit` without end; without a unit it closes. Also
/// returns the number of bytes that it sent.
async fn start_upstream(
    start: &'static str,
    unit: &'static [u8],
) -> (SocketAddr, Arc<AtomicUsize>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let sent = Arc::new(AtomicUsize::new(0));
    let count = sent.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = vec![0; 4096];
            let _ = stream.read(&mut buf).await;
            let mut bytes = start.as_bytes().to_vec();
            while stream.write_all(&bytes).await.is_ok() {
                count.fetch_add(bytes.len(), Ordering::Relaxed);
                if unit.is_empty() {
                    break;
                }
                bytes = unit.repeat(64 * 1024 / unit.len());
            }
        }
    });
    (address, sent)
}

#[derive(Clone, Copy)]
enum Kind {
    Document,
    Lines,
}

/// Reads an answer to its end or first error; returns the bytes of a whole one.
async fn read(address: SocketAddr, kind: Kind) -> Result<usize, UpstreamError> {
    let client = HttpClient::new(address);
    let response = client.post("/v1/run", &[], "x".into()).await?;
    let mut answer = match kind {
        Kind::Document => Answer::plain(response),
        Kind::Lines => Answer::lines(response.into_body(), 0),
    };
    let mut len = 0;
    while let Some(items) = answer.next().await? {
        len += items.data.len();
    }
    Ok(len)
}

const HEAD: &str = "HTTP/1.1 200 OK\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
const LENGTH: &str = "HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n";

#[rstest]
#[case::head_line("HTTP/1.1 200 OK\r\nname: ", b"x", Kind::Document)]
#[case::interim_heads("", b"HTTP/1.1 103 Early Hints\r\n\r\n", Kind::Document)]
#[case::document(HEAD, b"x", Kind::Document)]
#[case::document_of_length(LENGTH, b"x", Kind::Document)]
#[case::document_chunk_size(CHUNKED, b"0", Kind::Document)]
#[case::line(HEAD, b"x", Kind::Lines)]
#[case::line_in_small_chunks(CHUNKED, b"1\r\nx\r\n", Kind::Lines)]
#[case::lines_chunk_size(CHUNKED, b"0", Kind::Lines)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn read_endless_answer_ends(
    #[case] start: &'static str,
    #[case] unit: &'static [u8],
    #[case] kind: Kind,
) {
    let (address, sent) = start_upstream(start, unit).await;
    let outcome = tokio::time::timeout(MAX_TIME, read(address, kind)).await;
    assert!(matches!(outcome, Ok(Err(_))), "{outcome:?}");
    let sent = sent.load(Ordering::Relaxed);
    assert!(sent < MAX_TAKEN_BYTES, "{sent} bytes");
}

#[rstest]
#[case::within_head("HTTP/1.1 200 OK\r\nConte", Kind::Document)]
#[case::after_head(HEAD, Kind::Document)]
#[case::within_length("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab", Kind::Document)]
#[case::within_chunk(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nab",
    Kind::Document
)]
#[case::before_last_chunk(
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nab\r\n",
    Kind::Document
)]
#[case::lines_after_head(HEAD, Kind::Lines)]
#[case::lines_without_last("HTTP/1.1 200 OK\r\n\r\n{\"position\":0}\n", Kind::Lines)]
#[tokio::test]
async fn read_cut_answer_is_incomplete(#[case] start: &'static str, #[case] kind: Kind) {
    let (address, _) = start_upstream(start, b"").await;
    let outcome = tokio::time::timeout(MAX_TIME, read(address, kind)).await;
    assert!(matches!(outcome, Ok(Err(_))), "{outcome:?}");
}

#[tokio::test]
async fn read_empty_document_of_length_zero_is_whole() {
    let (address, _) = start_upstream("HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", b"").await;
    assert_eq!(read(address, Kind::Document).await, Ok(0));
}

/// Garbage is a failure after which the request may have run, never a refusal.
#[rstest]
#[case::switch("HTTP/1.1 101 X\r\n\r\n")]
#[case::switch_after_interim_head("HTTP/1.1 103 X\r\n\r\nHTTP/1.1 101 X\r\n\r\nx")]
#[case::status_600("HTTP/1.1 600 X\r\nContent-Length: 1\r\n\r\nx")]
#[case::version_1_0("HTTP/1.0 200 X\r\nContent-Length: 1\r\n\r\nx")]
#[case::encoded("HTTP/1.1 200 X\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx")]
#[case::encoded_refusal("HTTP/1.1 400 X\r\nContent-Encoding: gzip\r\nContent-Length: 1\r\n\r\nx")]
#[case::transfer_coding("HTTP/1.1 200 X\r\nTransfer-Encoding: gzip\r\n\r\nx")]
#[case::no_http("\u{0}\u{1}\r\n\r\n")]
#[tokio::test]
async fn read_garbage_fails(#[case] garbage: &'static str) {
    let (address, _) = start_upstream(garbage, b"").await;
    let outcome = tokio::time::timeout(MAX_TIME, read(address, Kind::Document)).await;
    let is_failed = matches!(
        outcome,
        Ok(Err(UpstreamError::Invalid(_) | UpstreamError::Failed(_)))
    );
    assert!(is_failed, "{outcome:?}");
}

/// Starts an upstream that sends its last answer on a connection once more before the next one. The
/// bodies count the requests of all connections.
async fn start_repeating_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(AtomicUsize::new(0));
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let requests = requests.clone();
            tokio::spawn(async move {
                let (mut last, mut buf) = (String::new(), vec![0; 4096]);
                while let Ok(1..) = stream.read(&mut buf).await {
                    let number = requests.fetch_add(1, Ordering::Relaxed);
                    let body = "x".repeat(number);
                    let answer =
                        format!("HTTP/1.1 200 X\r\nContent-Length: {number}\r\n\r\n{body}");
                    let _ = stream.write_all((last + &answer).as_bytes()).await;
                    last = answer;
                }
            });
        }
    });
    address
}

#[tokio::test]
async fn read_repeated_answer_is_not_that_to_the_next_request() {
    let address = start_repeating_upstream().await;
    let client = HttpClient::new(address);
    for number in 0..5 {
        let response = client.post("/v1/run", &[], "x".into()).await.unwrap();
        let items = Answer::plain(response).next().await.unwrap();
        assert_eq!(items.map(|items| items.data.len()), Some(number));
    }
}
