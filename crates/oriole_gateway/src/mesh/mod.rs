//! What entry daemons tell each other: heartbeats by datagram, items of the belief on request.

pub mod members;
pub mod message;
mod pull;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriole_kernel::sockets;
use prost::Message as _;
use tokio::net::UdpSocket;
use tokio_util::sync::CancellationToken;

use self::message::{Heartbeat, InFlight, MemberRecord};
use crate::decision_log::Event;
use crate::gateway::Gateway;

/// Time between heartbeats; loads of other daemons are about this old.
const HEARTBEAT: Duration = Duration::from_millis(150);

/// Heartbeats between two looks at members, loads and upstreams that are gone.
const HOUSE_KEEPING_BEATS: u64 = 3;

/// Time for which a peer's belief may be ahead before it is asked: the store's own watch is
/// usually faster.
const PULL_PATIENCE: Duration = Duration::from_millis(250);

/// Heartbeats between two that pass other members on.
const RELAY_BEATS: u64 = 5;

/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM: usize = 16 * 1024;

/// The mesh's sockets.
pub struct MeshSockets {
    udp: UdpSocket,
    tcp: tokio::net::TcpListener,
}

impl MeshSockets {
    /// Binds both sockets at one address.
    ///
    /// # Errors
    ///
    /// Fails if the address is not the process's to use.
    pub async fn bind(address: SocketAddr) -> std::io::Result<Self> {
        Ok(Self {
            udp: UdpSocket::bind(address).await?,
            tcp: sockets::listen(address)?,
        })
    }

    /// Where peers are heard.
    ///
    /// # Errors
    ///
    /// Passes on the kernel's error.
    pub fn local_addr(&self) -> std::io::Result<SocketAddr> {
        self.udp.local_addr()
    }
}

/// Runs the mesh until it is told to stop.
pub fn spawn(gateway: &Arc<Gateway>, sockets: MeshSockets, stop: &CancellationToken) {
    let udp = Arc::new(sockets.udp);
    tokio::spawn(receive(gateway.clone(), udp.clone(), stop.clone()));
    tokio::spawn(beat(gateway.clone(), udp, stop.clone()));
    tokio::spawn(pull::serve(gateway.clone(), sockets.tcp, stop.clone()));
}

async fn receive(gateway: Arc<Gateway>, udp: Arc<UdpSocket>, stop: CancellationToken) {
    let mut buf = vec![0; MAX_DATAGRAM];
    loop {
        let received = tokio::select! {
            () = stop.cancelled() => return,
            received = udp.recv_from(&mut buf) => received,
        };
        let (len, from) = match received {
            Ok(received) => received,
            Err(e) => {
                // An error belongs to a datagram sent earlier, such as to a closed port.
                gateway.log.event(&Event::CallFailed {
                    step: "receive",
                    peer: None,
                    error: &e.to_string(),
                });
                continue;
            }
        };
        match Heartbeat::decode(&buf[..len]) {
            Ok(heartbeat) => {
                let versions = gateway.belief().versions().clone();
                let now = gateway.clock.now();
                gateway.members().heard(now, heartbeat, &versions);
                let in_flight = gateway.members().in_flight(now);
                gateway.traffic().set_peers(&in_flight);
            }
            Err(e) => gateway.log.event(&Event::CallFailed {
                step: "decode",
                peer: Some(from),
                error: &e.to_string(),
            }),
        }
    }
}

async fn beat(gateway: Arc<Gateway>, udp: Arc<UdpSocket>, stop: CancellationToken) {
    let mut number = 0;
    loop {
        number += 1;
        send(&gateway, &udp, number).await;
        if number.is_multiple_of(HOUSE_KEEPING_BEATS) {
            house_keeping(&gateway);
        }
        if let Some(peer) = peer_ahead(&gateway) {
            pull::pull(&gateway, peer).await;
        }
        tokio::select! {
            () = stop.cancelled() => return,
            () = tokio::time::sleep(HEARTBEAT) => {}
            () = gateway.mesh_wake.notified() => {}
        }
    }
}

fn house_keeping(gateway: &Gateway) {
    let now = gateway.clock.now();
    let lost = gateway.members().tick(now);
    for change in lost {
        gateway.log.event(&Event::Member {
            name: &change.name,
            now: change.now,
        });
    }
    gateway.belief().tick(now);
    let in_flight = gateway.members().in_flight(now);
    let known: Vec<String> = {
        let belief = gateway.belief();
        let upstreams = belief.upstreams();
        upstreams.map(|u| u.upstream.instance.clone()).collect()
    };
    let mut traffic = gateway.traffic();
    traffic.keep_only(known.into_iter());
    traffic.set_peers(&in_flight);
}

fn peer_ahead(gateway: &Gateway) -> Option<SocketAddr> {
    let versions = gateway.belief().versions().clone();
    let now = gateway.clock.now();
    let members = gateway.members();
    let member = members.ahead(now, PULL_PATIENCE, &versions)?;
    Some(member.peer_address)
}

async fn send(gateway: &Gateway, udp: &UdpSocket, number: u64) {
    let now = gateway.clock.now();
    let (targets, others) = {
        let mut rng = rand::rng();
        let members = gateway.members();
        let others = if number.is_multiple_of(RELAY_BEATS) {
            members.relayed(now, &mut rng)
        } else {
            Vec::new()
        };
        (members.targets(now, &mut rng), others)
    };
    let heartbeat = Heartbeat {
        from: Some(own_record(gateway, number)),
        belief_versions: gateway.belief().versions().0.clone(),
        in_flight: own_in_flight(gateway),
        others,
    };
    let datagram = heartbeat.encode_to_vec();
    for target in targets {
        if target == gateway.cfg.peers.listen {
            continue;
        }
        if let Err(e) = udp.send_to(&datagram, target).await {
            gateway.log.event(&Event::CallFailed {
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
        .filter(|(_, load)| load.own > 0)
        .map(|(_, load)| InFlight {
            instance: load.hash,
            requests: load.own,
        })
        .collect()
}
