//! An upstream that writes an earlier refusal once more on a kept connection.
//!
//! Callers were told that a request had not run which an upstream was running, or it ran at a second
//! upstream.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use oriole_fleet::prelude::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};

use crate::harness::{route, start_with_upstreams};

/// Number of runs by attempt id.
type Runs = Arc<Mutex<HashMap<String, usize>>>;

/// When the refusal is written once more.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Moment {
    /// Right after the answer to the request before.
    BetweenRequests,
    /// In place of the answer to a request, which runs.
    InsteadOfAnswer,
}

fn attempt_id(req: &str) -> Option<String> {
    let line = req.lines().find_map(|l| l.strip_prefix("attempt: "))?;
    Some(line.trim().to_owned())
}

async fn serve(mut stream: TcpStream, refusal: &'static str, moment: Moment, runs: Runs) {
    let mut is_first = true;
    let mut received = Vec::new();
    let mut buf = [0; 4096];
    while let Ok(len @ 1..) = stream.read(&mut buf).await {
        received.extend_from_slice(&buf[..len]);
        // The body of each request is two bytes.
        let head = received.windows(4).position(|w| w == b"\r\n\r\n");
        if head.is_none_or(|head| received.len() < head + 6) {
            continue;
        }
        let req = String::from_utf8_lossy(&std::mem::take(&mut received)).into_owned();
        let id = attempt_id(&req).unwrap_or_default();
        *runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        let answer = format!(
            "HTTP/1.1 200 OK\r\nattempt: {id}\r\nsignature: s\r\nContent-Length: 2\r\n\r\nok"
        );
        let text = match moment {
            Moment::BetweenRequests => format!("{answer}{refusal}"),
            Moment::InsteadOfAnswer if is_first => answer,
            Moment::InsteadOfAnswer => refusal.to_owned(),
        };
        is_first = false;
        let _ = stream.write_all(text.as_bytes()).await;
    }
}

async fn faulty_upstream(refusal: &'static str, moment: Moment, runs: Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(serve(stream, refusal, moment, runs.clone()));
        }
    });
    address
}

const EARLIER_ID: &str =
    "HTTP/1.1 503 X\r\nattempt: earlier\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
const NO_ID: &str = "HTTP/1.1 503 X\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";
const OTHER_INSTANCE: &str = "HTTP/1.1 421 X\r\nnot-run: 1\r\nContent-Length: 0\r\n\r\n";

#[rstest]
#[case::earlier_id_instead(EARLIER_ID, Moment::InsteadOfAnswer)]
#[case::no_id_instead(NO_ID, Moment::InsteadOfAnswer)]
#[case::other_instance_instead(OTHER_INSTANCE, Moment::InsteadOfAnswer)]
#[case::earlier_id_between(EARLIER_ID, Moment::BetweenRequests)]
#[case::no_id_between(NO_ID, Moment::BetweenRequests)]
#[case::other_instance_between(OTHER_INSTANCE, Moment::BetweenRequests)]
#[tokio::test]
async fn refusal_once_more_promises_nothing(#[case] refusal: &'static str, #[case] moment: Moment) {
    let runs = Runs::default();
    let upstreams = [
        faulty_upstream(refusal, moment, runs.clone()).await,
        faulty_upstream(refusal, moment, runs.clone()).await,
    ];
    let harness = start_with_upstreams(route(RouteKind::AtMostOnce), &upstreams).await;
    for i in 0..40 {
        let id = format!("k-{i}");
        let answer = harness.post(&id).await;
        let run_count = runs.lock().unwrap().get(&id).copied().unwrap_or(0);
        assert!(run_count <= 1, "{id} ran {run_count} times: {answer}");
        let promises_not_run = ["503", "429", "421", "408"]
            .iter()
            .any(|s| answer.starts_with(&format!("HTTP/1.1 {s}")));
        assert!(run_count == 0 || !promises_not_run, "{id} ran: {answer}");
    }
}
