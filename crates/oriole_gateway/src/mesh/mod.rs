//! Communication between entry daemons: heartbeats by datagram, and store items on request.

mod groups;
mod limits;
pub mod members;
pub mod message;
pub mod pull;
mod suspects;

use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriole_kernel::sockets;
use prost::Message as _;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use self::message::{ConfirmationRecord, Heartbeat, InFlight, MemberRecord};
use crate::decision_log::LogEvent;
use crate::freshness::{Confirmation, ConfirmationId};
use crate::gateway::Gateway;

/// Time between heartbeats, and thus the maximum age of other daemons' loads if none is lost.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);

/// Heartbeats between two updates of members, loads and removed upstreams.
const HOUSEKEEPING_HEARTBEATS: u64 = 3;

/// Time for which a peer's fleet view must be ahead before items are pulled from it. The store's
/// own watch is usually faster.
const PULL_DELAY: Duration = Duration::from_millis(250);

/// Heartbeats between two that relay records of other members.
const RELAY_HEARTBEATS: u64 = 5;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;

/// Sockets for communication with peers.
pub struct MeshSockets {
    udp: UdpSocket,
    tcp: tokio::net::TcpListener,
}

impl MeshSockets {
    /// Binds both sockets to one address.
    ///
    /// # Errors
    ///
    /// Fails if the address cannot be bound.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self {
            udp: UdpSocket::bind(address).await?,
            tcp: sockets::listen(address)?,
        })
    }

    /// Address on which heartbeats are received.
    ///
    /// # Errors
    ///
    /// Returns the error of the operating system.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.udp.local_addr()
    }
}

/// Starts the tasks of the mesh, which run until `stop` is cancelled.
pub fn spawn(gateway: &Arc<Gateway>, sockets: MeshSockets, stop: &CancellationToken) {
    let udp = Arc::new(sockets.udp);
    tokio::spawn(receive_heartbeats(
        gateway.clone(),
        udp.clone(),
        stop.clone(),
    ));
    tokio::spawn(send_heartbeats(gateway.clone(), udp, stop.clone()));
    tokio::spawn(pull::serve(gateway.clone(), sockets.tcp, stop.clone()));
}

async fn receive_heartbeats(gateway: Arc<Gateway>, udp: Arc<UdpSocket>, stop: CancellationToken) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let received = tokio::select! {
            () = stop.cancelled() => return,
            received = udp.recv_from(&mut buf) => received,
        };
        let (len, from) = match received {
            Ok(received) => received,
            Err(e) => {
                // The error belongs to a datagram sent earlier, for example to a closed port.
                gateway.log.event(&LogEvent::CallFailed {
                    step: "receive",
                    peer: None,
                    error: &e.to_string(),
                });
                continue;
            }
        };
        match Heartbeat::decode(&buf[..len]) {
            Ok(heartbeat) => on_heartbeat(&gateway, heartbeat),
            Err(e) => gateway.log.event(&LogEvent::CallFailed {
                step: "decode",
                peer: Some(from),
                error: &e.to_string(),
            }),
        }
    }
}

/// Processes a heartbeat of a peer.
pub fn on_heartbeat(gateway: &Gateway, heartbeat: Heartbeat) {
    take_over_confirmations(gateway, &heartbeat.confirmations);
    suspects::merge(gateway, &heartbeat);
    limits::merge(gateway, &heartbeat);
    groups::merge(gateway, &heartbeat);
    let revisions = gateway.fleet_view().revisions().clone();
    let now = gateway.clock.now();
    gateway.members().on_heartbeat(now, heartbeat, &revisions);
    let in_flight = gateway.members().in_flight(now);
    gateway.traffic().set_peer_loads(&in_flight);
}

/// A confirmation of a peer also holds for this daemon if both hold the same items.
fn take_over_confirmations(gateway: &Gateway, records: &[ConfirmationRecord]) {
    let now = gateway.clock.now();
    let digests = gateway.fleet_view().digests().clone();
    for (prefix, digest) in digests.0.into_iter().enumerate() {
        let Some(record) = records.get(prefix).filter(|c| c.digest == digest) else {
            continue;
        };
        let age = record.age_ms.map(|ms| Duration::from_millis(ms.into()));
        if let Some(as_of) = age.and_then(|age| now.checked_sub(age)) {
            let id = ConfirmationId {
                incarnation: record.incarnation,
                number: record.number,
            };
            gateway.confirm(prefix, Confirmation { id, as_of });
        }
    }
}

fn own_confirmations(gateway: &Gateway) -> Vec<ConfirmationRecord> {
    let now = gateway.clock.now();
    let digests = gateway.fleet_view().digests().clone();
    let freshness = gateway.freshness();
    let records = digests.0.into_iter().enumerate().map(|(prefix, digest)| {
        let confirmation = freshness.confirmation(prefix);
        let age = confirmation.map(|c| now.saturating_sub(c.as_of).as_millis());
        ConfirmationRecord {
            digest,
            age_ms: age.and_then(|ms| ms.try_into().ok()),
            incarnation: confirmation.map_or(0, |c| c.id.incarnation),
            number: confirmation.map_or(0, |c| c.id.number),
        }
    });
    records.collect()
}

async fn send_heartbeats(gateway: Arc<Gateway>, udp: Arc<UdpSocket>, stop: CancellationToken) {
    let mut number = 0;
    loop {
        number += 1;
        gateway.streams().update(&gateway);
        send_heartbeat(&gateway, &udp, number).await;
        if number.is_multiple_of(HOUSEKEEPING_HEARTBEATS) {
            housekeeping(&gateway);
        }
        if let Some(peer) = peer_ahead(&gateway) {
            pull::pull(&gateway, peer).await;
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(HEARTBEAT_INTERVAL) => {}
            () = gateway.mesh_wake.notified() => {}
        }
    }
}

fn housekeeping(gateway: &Gateway) {
    let now = gateway.clock.now();
    let changes = gateway.members().tick(now);
    for change in changes {
        gateway.log.event(&LogEvent::Member {
            name: &change.name,
            now: change.state,
        });
    }
    gateway.fleet_view().tick(now);
    gateway.part_screen().tick(now);
    let in_flight = gateway.members().in_flight(now);
    let (known, runs): (Vec<String>, HashSet<u64>) = {
        let view = gateway.fleet_view();
        let upstreams = view.upstreams();
        let names = upstreams.map(|u| (u.upstream.instance.clone(), u.run_hash()));
        names.unzip()
    };
    let mut traffic = gateway.traffic();
    traffic.limits.tick(now, |run| runs.contains(&run));
    traffic.sync_upstreams(known.into_iter());
    traffic.set_peer_loads(&in_flight);
}

/// Peer address of a daemon that holds newer items than this one for some time.
pub fn peer_ahead(gateway: &Gateway) -> Option<SocketAddr> {
    let revisions = gateway.fleet_view().revisions().clone();
    let now = gateway.clock.now();
    let members = gateway.members();
    let member = members.member_ahead(now, PULL_DELAY, &revisions)?;
    Some(member.peer_address)
}

/// The addresses that the next heartbeat is sent to, and the heartbeat.
pub fn next_heartbeat(gateway: &Gateway, number: u64) -> (Vec<SocketAddr>, Heartbeat) {
    let now = gateway.clock.now();
    let (mut targets, relayed) = {
        let mut rng = rand::rng();
        let members = gateway.members();
        let relayed = if number.is_multiple_of(RELAY_HEARTBEATS) {
            members.records_to_relay(now, &mut rng)
        } else {
            Vec::new()
        };
        (members.heartbeat_targets(now, &mut rng), relayed)
    };
    let view_revisions = gateway.fleet_view().revisions().0.clone();
    let mut heartbeat = Heartbeat {
        from: Some(own_record(gateway, number)),
        view_revisions,
        in_flight: own_in_flight(gateway),
        relayed,
        confirmations: own_confirmations(gateway),
        suspects: Vec::new(),
        claims: Vec::new(),
        limits: Vec::new(),
        fleet_time_ms: 0,
        pace: Vec::new(),
    };
    suspects::fill(gateway, number, &mut heartbeat);
    limits::fill(gateway, number, &mut heartbeat);
    groups::fill(gateway, number, &mut heartbeat);
    targets.retain(|target| *target != gateway.cfg.peers.listen);
    (targets, heartbeat)
}

async fn send_heartbeat(gateway: &Gateway, udp: &UdpSocket, number: u64) {
    let (targets, heartbeat) = next_heartbeat(gateway, number);
    let datagram = heartbeat.encode_to_vec();
    for target in targets {
        if let Err(e) = udp.send_to(&datagram, target).await {
            gateway.log.event(&LogEvent::CallFailed {
                step: "send",
                peer: Some(target),
                error: &e.to_string(),
            });
        }
    }
}

fn own_record(gateway: &Gateway, number: u64) -> MemberRecord {
    MemberRecord {
        name: gateway.cfg.name.clone(),
        incarnation: gateway.incarnation,
        heartbeat: number,
        peer_address: gateway.cfg.peers.listen.to_string(),
        caller_address: gateway.cfg.listen.callers.to_string(),
        domain: gateway.cfg.domain.clone(),
        readiness: gateway.readiness().into(),
    }
}

fn own_in_flight(gateway: &Gateway) -> Vec<InFlight> {
    let traffic = gateway.traffic();
    traffic
        .loads()
        .filter(|(_, load)| load.own_in_flight > 0)
        .map(|(_, load)| InFlight {
            instance: load.hash,
            requests: load.own_in_flight,
        })
        .collect()
}
