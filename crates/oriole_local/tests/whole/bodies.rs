//! Callers whose bodies stop short, against the memory of an entry.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_local::prelude::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::common::{Session, request};

/// Memory of the entry, in MB: the lowest that is allowed. Its budget is 16 MB, of which bodies over
/// 16 KiB have 12.
const MEMORY_MB: u64 = 32;

/// Bytes of a body, the default limit of a catalog entry, and bytes that are not sent of it.
const BODY_BYTES: usize = 256 * 1024;
const MISSING_BYTES: usize = 9;

/// Callers; all bodies together have twice the budget's part for large ones.
const CALLERS: usize = 96;

/// Bodies that fit.
const MAX_HELD: usize = 12_000_000 / BODY_BYTES;

/// Longest wait for an answer to a body that stopped short.
const TIMEOUT: Duration = Duration::from_secs(5);

const LOOKUP: &str = r#"{"depot":"chaguanas"}"#;

async fn start_small() -> Deployment {
    let mut spec = DeploymentSpec::named(DeploymentName::Islandwash).expect("catalog");
    spec.entries = 1;
    spec.engines = 1;
    spec.services = 1;
    spec.entry_memory_mb = MEMORY_MB;
    spec.log_level = slog::Level::Critical;
    spec.service.health.initial = oriole_standins::health::HealthState::Ok;
    Deployment::start(&spec).await.expect("deployment")
}

/// How a body is sent.
#[derive(Clone, Copy, Debug)]
enum Delivery {
    Length,
    Chunks(usize),
}

/// Sends a body that stops short, and keeps the connection open.
async fn send_short(entry: SocketAddr, key: &str, delivery: Delivery) -> TcpStream {
    let mut stream = TcpStream::connect(entry).await.expect("connection");
    let framing = match delivery {
        Delivery::Length => format!("Content-Length: {BODY_BYTES}"),
        Delivery::Chunks(_) => "Transfer-Encoding: chunked".to_owned(),
    };
    let head = format!(
        "POST /v1/entries/stock-lookups/requests HTTP/1.1\r\nHost: a\r\n\
         Authorization: Bearer {key}\r\n{framing}\r\n\r\n"
    );
    let body = vec![b' '; BODY_BYTES - MISSING_BYTES];
    let body = match delivery {
        Delivery::Length => body,
        Delivery::Chunks(len) => {
            let chunk = |c: &[u8]| [format!("{:x}\r\n", c.len()).as_bytes(), c, b"\r\n"].concat();
            body.chunks(len).flat_map(chunk).collect()
        }
    };
    // The entry may refuse the body before all of it is sent.
    let _ = stream.write_all(head.as_bytes()).await;
    let _ = stream.write_all(&body).await;
    stream
}

/// What became of a body.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fate {
    /// Refused for lack of memory, with the time after which to try again.
    Refused,
    /// The entry waits for the rest.
    Held,
    /// The connection was closed without that answer.
    Unanswered,
}

async fn fate(stream: &mut TcpStream) -> Fate {
    let mut received = Vec::new();
    let read = async {
        while !String::from_utf8_lossy(&received).contains("\"memory\"") {
            if stream.read_buf(&mut received).await.unwrap_or(0) == 0 {
                return false;
            }
        }
        true
    };
    match tokio::time::timeout(TIMEOUT, read).await {
        Err(_) if received.is_empty() => Fate::Held,
        Ok(true) => {
            let text = String::from_utf8_lossy(&received).to_lowercase();
            assert!(text.starts_with("http/1.1 503"), "{text}");
            assert!(text.contains("retry-after: "), "{text}");
            assert!(text.contains("\"not_run\""), "{text}");
            Fate::Refused
        }
        Ok(false) | Err(_) => Fate::Unanswered,
    }
}

/// Guards against bodies that take all memory of the VM, on which the kernel ends the entry.
#[rstest]
#[case::length(Delivery::Length)]
#[case::chunks(Delivery::Chunks(8 * 1024))]
#[case::small_chunks(Delivery::Chunks(64))]
#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_short_are_bounded(#[case] delivery: Delivery) {
    let deployment = start_small().await;
    let session = Session::open(&deployment);
    let keys: Vec<String> = deployment.ready().accounts.values().cloned().collect();
    let callers = (0..CALLERS).map(|i| send_short(session.entry, &keys[i % keys.len()], delivery));
    let mut streams = futures::future::join_all(callers).await;
    let fates = futures::future::join_all(streams.iter_mut().map(fate)).await;
    let count = |fate| fates.iter().filter(|f| **f == fate).count();
    assert!(count(Fate::Refused) > 0, "no body was refused");
    // A refusal must not be lost with the rest of the body that was on its way.
    assert_eq!(count(Fate::Unanswered), 0);
    assert!(count(Fate::Held) <= MAX_HELD, "{fates:?}");
    let req = request("stock-lookups", LOOKUP);
    let answer = session.caller.send(session.entry, &req).await;
    let answer = answer.expect("answer");
    assert_eq!(answer.outcome, "complete", "{answer:?}");
}

/// A body of the maximum size is served when nothing else is held, also by the smallest VM.
#[tokio::test(flavor = "multi_thread")]
async fn largest_body_is_served_alone() {
    let deployment = start_small().await;
    let session = Session::open(&deployment);
    let padding = " ".repeat(BODY_BYTES - LOOKUP.len());
    for _ in 0..100 {
        let body = format!("{LOOKUP}{padding}");
        let req = request("stock-lookups", &body);
        let answer = session.caller.send(session.entry, &req).await;
        assert_eq!(answer.expect("answer").outcome, "complete");
    }
}
