//! Requests during an outage of all groups of a service.
//!
//! After a power loss the groups are formed again about a second after their VMs are back. Callers
//! have no retries left for requests that are refused in that time.

use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_gateway::fleet_view::KnownUpstream;
use oriole_gateway::refusal::Refusal;
use oriole_gateway::traffic::outage::{OutageAction, OutageTracker};
use oriole_gateway::traffic::{DaemonShare, Pick, PickError, PickRequest, Traffic};
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

use crate::fake::{item, known, secs};
use crate::harness;
use crate::overload::BOUNDS;

const SHARE: DaemonShare = DaemonShare {
    daemons: 17,
    ordinal: 0,
};

const REQUEST: PickRequest<'static> = PickRequest {
    service: None,
    max_wait: Duration::from_millis(200),
    tried: &[],
    may_probe: true,
    is_late: false,
    priority: 0,
    slot_share: None,
};

/// Two groups of four ranks.
fn upstreams(group_running: bool) -> Vec<KnownUpstream> {
    let membership = |i: usize| GroupMembership {
        group: format!("g{}", i % 2),
        rank: i / 2,
        epoch: 0,
        group_running,
    };
    let with_membership = |i| {
        let mut upstream = known(i, 12);
        upstream.upstream.group_membership = Some(membership(i));
        upstream
    };
    (0..8).map(with_membership).collect()
}

struct Daemon {
    traffic: Traffic,
    rng: StdRng,
}

impl Daemon {
    fn new() -> Self {
        Self {
            traffic: Traffic::new(BOUNDS),
            rng: StdRng::seed_from_u64(1),
        }
    }

    fn pick(
        &mut self,
        at: f64,
        req: &PickRequest<'_>,
        up: &[KnownUpstream],
    ) -> Result<Pick, PickError> {
        let usable = up.iter();
        self.traffic
            .pick(secs(at), SHARE, req, usable, &mut self.rng)
    }
}

#[test]
fn pick_groups_down_one_probes_others_wait() {
    let mut daemon = Daemon::new();
    let down = upstreams(false);
    let picks: Vec<bool> = (0..100)
        .map(|i| daemon.pick(f64::from(i) / 100.0, &REQUEST, &down).is_ok())
        .collect();
    let probes = picks.iter().filter(|ok| **ok).count();
    assert_eq!(probes, 3, "at 0, 0.4 and 0.8 s");
    let error = daemon.pick(1.0, &REQUEST, &down).unwrap_err();
    assert_eq!(error.reason, Refusal::GroupDown);
    assert_eq!(error.max_wait, Some(secs(0.5)));
    assert!(error.retry_after > Duration::ZERO);
}

#[test]
fn pick_tried_before_does_not_probe() {
    let mut daemon = Daemon::new();
    let req = PickRequest {
        may_probe: false,
        ..REQUEST
    };
    assert!(daemon.pick(0.0, &req, &upstreams(false)).is_err());
}

#[test]
fn pick_group_running_by_store_takes_all() {
    let mut daemon = Daemon::new();
    assert!(daemon.pick(0.0, &REQUEST, &upstreams(false)).is_ok());
    assert!(daemon.pick(0.1, &REQUEST, &upstreams(false)).is_err());
    for i in 0..20 {
        let at = 0.2 + f64::from(i) / 100.0;
        assert!(daemon.pick(at, &REQUEST, &upstreams(true)).is_ok());
    }
}

/// The ranks' own records arrive a heartbeat late; an answered probe shows earlier that a group
/// runs.
#[test]
fn pick_group_running_by_probe_takes_its_ranks() {
    let mut daemon = Daemon::new();
    let down = upstreams(false);
    let probe = daemon.pick(0.0, &REQUEST, &down).unwrap();
    daemon.traffic.record_answer(secs(0.1), &probe);
    for i in 0..20 {
        let pick = daemon
            .pick(0.2 + f64::from(i) / 100.0, &REQUEST, &down)
            .unwrap();
        assert_eq!(pick.group, probe.group);
    }
}

/// When the groups are back, all daemons release their waiting requests at the same moment.
/// Together these must leave slots for requests that can still meet their objective.
#[test]
fn pick_groups_back_late_requests_leave_slots() {
    let up = upstreams(true);
    let late = PickRequest {
        is_late: true,
        max_wait: Duration::ZERO,
        ..REQUEST
    };
    let slots: usize = up.iter().map(|u| u.upstream.capacity as usize).sum();
    let mut started = 0;
    for seed in 0..SHARE.daemons {
        let mut daemon = Daemon::new();
        daemon.rng = StdRng::seed_from_u64(seed as u64);
        // No daemon knows what the others start at the same time.
        started += (0..20)
            .filter(|_| daemon.pick(0.0, &late, &up).is_ok())
            .count();
        assert!(
            daemon.pick(0.0, &REQUEST, &up).is_ok(),
            "a request on time should get a slot"
        );
    }
    assert!(started >= SHARE.daemons, "{started} of {slots}");
    assert!(started < slots, "{started} of {slots}");
}

/// Once an outage has lasted too long, requests no longer wait.
#[test]
fn next_action_outage_lasts_refuses_at_once() {
    let mut outages = OutageTracker::default();
    assert_eq!(
        outages.next_action(secs(0.0), "llm", true),
        OutageAction::Probe
    );
    assert_eq!(
        outages.next_action(secs(1.4), "llm", false),
        OutageAction::Wait(secs(0.1))
    );
    assert_eq!(
        outages.next_action(secs(1.6), "llm", false),
        OutageAction::Refuse
    );
    assert_eq!(
        outages.next_action(secs(9.0), "llm", false),
        OutageAction::Refuse
    );
    outages.clear("llm");
    assert_eq!(
        outages.next_action(secs(9.1), "llm", false),
        OutageAction::Wait(secs(1.5))
    );
}

/// Runs the real daemon: requests that arrive while the group is being formed are answered once it
/// runs.
#[tokio::test]
async fn serve_group_returns_request_is_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let recovers_at = tokio::time::Instant::now() + secs(0.7);
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = vec![0; 4096];
            let len = stream.read(&mut buf).await.unwrap_or(0);
            let text = String::from_utf8_lossy(&buf[..len]).into_owned();
            let id = text
                .split("attempt: ")
                .nth(1)
                .and_then(|t| t.lines().next());
            let id = id.unwrap_or_default();
            let head = if tokio::time::Instant::now() < recovers_at {
                "503 X\r\nnot-run: 1"
            } else {
                "200 OK\r\nsignature: s"
            };
            let answer = format!(
                "HTTP/1.1 {head}\r\nattempt: {id}\r\ncontent-length: 2\r\nconnection: close\r\n\r\nhi"
            );
            let _ = stream.write_all(answer.as_bytes()).await;
        }
    });
    let value = |i| format!("llm {address} north ready {i} g closed");
    let mut items = vec![item("cfg/0", "3", 1)];
    items.push(item("up/i-1", &value(1), 2));
    let harness = harness::start_with_items(harness::route(RouteKind::Idempotent), items, 0).await;
    let pending = (0..12).map(|i| {
        let id = format!("w{i}");
        let harness = &harness;
        async move { harness.post(&id).await }
    });
    let answers = futures::future::join_all(pending).await;
    let served = answers.iter().filter(|a| a.starts_with("HTTP/1.1 200"));
    // Two probes were refused before the group was back.
    assert!(served.count() >= 10, "{answers:?}");
}
