//! The running daemon and prompt parts that crash upstreams.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use oriole_fleet::prelude::*;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

use crate::harness::{Harness, route, start_with_upstreams};

const HEAD: &str = "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Type: text/event-stream\r\n\
                    Transfer-Encoding: chunked\r\n\r\n";
const EVENT: &str = "f\r\nid: 1\ndata: a\n\n\r\n0\r\n\r\n";

/// Starts an upstream that stops listening as soon as it begins to answer a request whose head
/// contains `deadly`. Also returns its count of requests.
async fn fragile_upstream(deadly: &'static str) -> (SocketAddr, Arc<Mutex<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(Mutex::new(0));
    let count = requests.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = vec![0; 4096];
            let len = stream.read(&mut buf).await.unwrap_or(0);
            if len == 0 {
                continue;
            }
            *count.lock().unwrap() += 1;
            let _ = stream.write_all(HEAD.as_bytes()).await;
            if String::from_utf8_lossy(&buf[..len]).contains(deadly) {
                drop(listener);
                // The head arrives before the connection closes.
                tokio::time::sleep(Duration::from_millis(20)).await;
                return;
            }
            let _ = stream.write_all(EVENT.as_bytes()).await;
        }
    });
    (address, requests)
}

async fn ask(harness: &Harness, id: &str, parts: &str) -> String {
    let req = format!(
        "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: {id}\r\nparts: {parts}\r\n\
         Content-Length: 2\r\nConnection: close\r\n\r\nhi"
    );
    harness.send_until_ready(&req).await
}

/// A resumable stream that crashes its upstream must not be resumed at the next one.
#[tokio::test]
async fn deadly_part_crashes_one_upstream_and_sound_ones_are_served() {
    let (first, first_count) = fragile_upstream("deadly").await;
    let (second, second_count) = fragile_upstream("deadly").await;
    let stream_route = Route {
        resumable: true,
        ..route(RouteKind::Stream)
    };
    let harness = start_with_upstreams(stream_route, &[first, second]).await;
    let sound = ask(&harness, "r-1", "shared").await;
    assert!(sound.contains("data: a"), "{sound}");
    let before = *first_count.lock().unwrap() + *second_count.lock().unwrap();
    ask(&harness, "r-2", "shared,deadly").await;
    let response = ask(&harness, "r-3", "other,deadly").await;
    assert!(response.starts_with("HTTP/1.1 503"), "{response}");
    assert!(response.contains("suspect_part"), "{response}");
    assert!(
        response.to_lowercase().contains("retry-after"),
        "{response}"
    );
    let after = *first_count.lock().unwrap() + *second_count.lock().unwrap();
    assert_eq!(after - before, 1, "requests with the deadly part");
    let other = ask(&harness, "r-4", "third").await;
    assert!(other.contains("data: a"), "{other}");
    let lines = harness.log.lines("r-2", "broken").await;
    assert!(
        lines
            .iter()
            .any(|(kind, line)| kind == "suspicion" && line.contains("suspected")),
        "{lines:?}"
    );
}

/// A connection that breaks while the upstream runs is no crash.
#[tokio::test]
async fn broken_connection_suspects_nothing() {
    let response = "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Type: text/event-stream\r\n\
                    Content-Length: 100\r\n\r\nid: 1\n";
    let (address, requests) = crate::harness::upstream(response).await;
    let harness = start_with_upstreams(route(RouteKind::Stream), &[address]).await;
    for id in ["r-1", "r-2", "r-3"] {
        ask(&harness, id, "shared").await;
    }
    assert_eq!(*requests.lock().unwrap(), 3);
}
