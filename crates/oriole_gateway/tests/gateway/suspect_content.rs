//! The running daemon and whole requests that crash upstreams.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};

use oriole_fleet::prelude::*;
use rstest::rstest;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

use crate::harness::{Harness, route, start_with_upstreams};

const RESPONSE: &str = "HTTP/1.1 200 OK\r\nsignature: s\r\nContent-Length: 5\r\n\r\nsound";

/// Crashes of upstreams that one content may cause.
const MAX_CRASHES: usize = 3;

/// Starts an upstream that stops listening when it gets a request that contains `deadly`. Adds each
/// such request to `crashes`.
async fn fragile_upstream(crashes: Arc<Mutex<usize>>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = vec![0; 4096];
            let len = stream.read(&mut buf).await.unwrap_or(0);
            if String::from_utf8_lossy(&buf[..len]).contains("deadly") {
                *crashes.lock().unwrap() += 1;
                return;
            }
            let _ = stream.write_all(RESPONSE.as_bytes()).await;
            let _ = stream.shutdown().await;
        }
    });
    address
}

async fn ask(harness: &Harness, id: &str, path: &str, body: &str) -> String {
    let len = body.len();
    let req = format!(
        "POST /a/{path} HTTP/1.1\r\nHost: a.example\r\nattempt: {id}\r\n\
         Content-Length: {len}\r\nConnection: close\r\n\r\n{body}"
    );
    harness.send_until_ready(&req).await
}

/// A request without prompt parts that crashes its upstreams must not be sent to all of them, and
/// other requests on its route must still be served.
#[rstest]
#[case::idempotent(RouteKind::Idempotent, "deadly", "hi")]
#[case::at_most_once(RouteKind::AtMostOnce, "x", "deadly")]
#[tokio::test]
async fn deadly_request_without_parts_crashes_few_upstreams(
    #[case] kind: RouteKind,
    #[case] path: &str,
    #[case] body: &str,
) {
    let crashes = Arc::new(Mutex::new(0));
    let mut upstreams = Vec::new();
    for _ in 0..8 {
        upstreams.push(fragile_upstream(crashes.clone()).await);
    }
    let harness = start_with_upstreams(route(kind), &upstreams).await;
    for i in 0..8 {
        let sound = ask(&harness, &format!("s-{i}"), "x", &format!("sound {i}")).await;
        assert!(sound.ends_with("sound"), "{sound}");
        ask(&harness, &format!("d-{i}"), path, body).await;
    }
    let crashes = *crashes.lock().unwrap();
    assert!((1..=MAX_CRASHES).contains(&crashes), "{crashes} crashes");
}
