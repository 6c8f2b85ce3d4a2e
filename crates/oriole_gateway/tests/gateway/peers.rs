//! How a starting daemon finds its peers.

use std::time::Duration;

use oriole_fleet::prelude::RouteKind;
use rstest::rstest;
use tokio::net::UdpSocket;

use crate::fake::item;
use crate::harness::{route, start_with_items};

/// Time limit that allows several attempts to register, with their pauses.
const TIMEOUT: Duration = Duration::from_secs(5);

/// If the store refuses to list the peers at first, the daemon asks again until it knows them.
#[rstest]
#[case::at_once(0)]
#[case::refused_first(2)]
#[tokio::test]
async fn start_sends_heartbeat_to_peers_from_store(#[case] refusals: usize) {
    let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let address = peer.local_addr().unwrap().to_string();
    let items = vec![item("peer/other", &address, 1)];
    let _harness = start_with_items(route(RouteKind::Idempotent), items, refusals).await;
    let mut buf = [0; 2048];
    let received = tokio::time::timeout(TIMEOUT, peer.recv_from(&mut buf)).await;
    assert!(received.is_ok(), "no heartbeat");
}
