//! Abandoned requests must not run later.
//!
//! Regression test for the scenario deploy/days/leader-freezes.toml: requests stayed in the sockets
//! of a frozen VM and reached its upstream a second after their callers had left.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriole_gateway::forward::body::BlockBody;
use oriole_gateway::upstream::Connection;
use oriole_memory::prelude::Blocks;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// The upstream accepts the connection but only reads after the request was abandoned.
#[tokio::test]
async fn drop_connection_abandoned_request_is_reset() {
    let (listener, address) = listen().await;
    let mut connection = Connection::open(address, Arc::new(|| {})).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let req = http::Request::post("/a/x")
        .body(BlockBody::new(Blocks::default()))
        .unwrap();
    let sent = tokio::time::timeout(Duration::from_millis(100), connection.send(req)).await;
    assert!(sent.is_err(), "the upstream should not answer");
    drop(connection);
    tokio::time::sleep(Duration::from_millis(100)).await;
    // Data that arrived before the reset may be read. The reset then shows that the request was
    // abandoned, which a regular close would not, and data in transit is dropped.
    let mut rest = Vec::new();
    let error = stream
        .read_to_end(&mut rest)
        .await
        .expect_err("the read should end with a reset");
    assert_eq!(error.kind(), std::io::ErrorKind::ConnectionReset);
}
