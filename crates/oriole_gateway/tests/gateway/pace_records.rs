//! What daemons tell each other of the pace of groups.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_gateway::mesh::message::{Heartbeat, MemberRecord, PaceRecord};
use prost::Message as _;
use rstest::rstest;
use tokio::net::UdpSocket;

use crate::fake::item;
use crate::harness::{Harness, start_with_routes};
use crate::stream_admission::{spawn, stream_route, without_gap};
use crate::stream_group::StreamGroup;

/// A peer of the daemon, and the daemon with three streams of a group.
struct Fleet {
    peer: UdpSocket,
    group: StreamGroup,
    harness: std::sync::Arc<Harness>,
}

async fn start(routes: Vec<Route>) -> Fleet {
    let peer = UdpSocket::bind("127.0.0.1:0").await.unwrap();
    let group = StreamGroup::start(1, Duration::from_millis(50), 60).await;
    let value = format!("llm {} north ready 1 g1 open", group.ranks[0]);
    let address = peer.local_addr().unwrap().to_string();
    let items = vec![
        item("cfg/0", "3", 1),
        item("up/i-0", &value, 2),
        item("peer/other", &address, 3),
    ];
    let harness = std::sync::Arc::new(start_with_routes(routes, items).await);
    for id in ["s0", "s1", "s2"] {
        spawn(&harness, "urgent", id);
    }
    tokio::time::sleep(Duration::from_millis(900)).await;
    Fleet {
        peer,
        group,
        harness,
    }
}

impl Fleet {
    /// Receives heartbeats until the queue of the socket is empty; returns the last one.
    async fn last_heartbeat(&self) -> (Heartbeat, SocketAddr) {
        let mut buf = [0; 4096];
        let mut last = None;
        while let Ok(Ok((len, from))) =
            tokio::time::timeout(Duration::from_millis(100), self.peer.recv_from(&mut buf)).await
        {
            last = Some((Heartbeat::decode(&buf[..len]).unwrap(), from));
        }
        last.expect("a heartbeat")
    }
}

fn ordered_routes() -> Vec<Route> {
    vec![stream_route("urgent", 0), stream_route("later", 2)]
}

fn other_routes() -> Vec<Route> {
    ordered_routes().into_iter().map(without_gap).collect()
}

/// Bytes between daemons are limited, so nothing is sent for services that are not ordered.
#[rstest]
#[case::ordered(ordered_routes(), 1)]
#[case::not_ordered(other_routes(), 0)]
#[tokio::test]
async fn heartbeat_has_records_of_ordered_services(
    #[case] routes: Vec<Route>,
    #[case] records: usize,
) {
    let fleet = start(routes).await;
    let (heartbeat, _) = fleet.last_heartbeat().await;
    assert_eq!(heartbeat.pace.len(), records);
    for record in heartbeat.pace {
        assert_eq!(record.running, 3);
        assert!(record.pauses > 0 && record.pause_ms > 0, "{record:?}");
        assert!(record.encoded_len() <= 24, "{}", record.encoded_len());
    }
}

/// Guards against a standstill that is declared by a daemon whose own streams alone are silent.
#[tokio::test]
async fn heartbeat_of_peers_with_events_refutes_standstill() {
    let fleet = start(ordered_routes()).await;
    let (heartbeat, daemon) = fleet.last_heartbeat().await;
    let group = heartbeat.pace[0].group;
    fleet.group.set_frozen(true);
    for number in 1..=25 {
        for peer in ["edge-2", "edge-3"] {
            let heartbeat = peer_heartbeat(peer, number, group);
            let datagram = heartbeat.encode_to_vec();
            fleet.peer.send_to(&datagram, daemon).await.unwrap();
        }
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    assert!(!fleet.harness.log.contains("stands still"));
    // Their records end, and the silence shows.
    fleet.harness.log.wait_for("stands still").await;
}

fn peer_heartbeat(name: &str, number: u64, group: u64) -> Heartbeat {
    Heartbeat {
        from: Some(MemberRecord {
            name: name.to_owned(),
            incarnation: 1,
            heartbeat: number,
            peer_address: "127.0.0.1:9".to_owned(),
            caller_address: "127.0.0.1:9".to_owned(),
            domain: "north".to_owned(),
            readiness: 1,
        }),
        pace: vec![PaceRecord {
            group,
            pause_ms: 50,
            pauses: 20,
            last_event_age_ms: 10,
            running: 4,
        }],
        ..Heartbeat::default()
    }
}

/// The heartbeat as daemons know it that do not have the records.
#[derive(Clone, PartialEq, prost::Message)]
struct OlderHeartbeat {
    #[prost(message, optional, tag = "1")]
    from: Option<MemberRecord>,
}

#[test]
fn heartbeat_older_daemon_ignores_records() {
    let heartbeat = peer_heartbeat("edge-2", 1, 7);
    let older = OlderHeartbeat::decode(heartbeat.encode_to_vec().as_slice()).unwrap();
    assert_eq!(older.from, heartbeat.from);
}
