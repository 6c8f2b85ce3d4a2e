//! A loss of power takes all groups of a service: they are formed anew about a second after their VMs
//! are back, and callers that come meanwhile have no retry left.

use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_gateway::belief::KnownUpstream;
use oriole_gateway::refusal::Refusal;
use oriole_gateway::traffic::outage::{Outages, WhileDown};
use oriole_gateway::traffic::{NoPick, Pick, PickAsk, Share, Traffic};
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

use crate::fake::{item, known, s};
use crate::overload::BOUNDS;
use crate::scene;

const SHARE: Share = Share {
    daemons: 17,
    ordinal: 0,
};

const ASK: PickAsk<'static> = PickAsk {
    service: None,
    patience: Duration::from_millis(200),
    tried: &[],
    may_probe: true,
    is_late: false,
};

/// Two groups of four ranks.
fn upstreams(group_running: bool) -> Vec<KnownUpstream> {
    let membership = |i: usize| GroupMembership {
        group: format!("g{}", i % 2),
        rank: i / 2,
        group_running,
    };
    let with_seat = |i| {
        let mut upstream = known(i, 12);
        upstream.upstream.group_membership = Some(membership(i));
        upstream
    };
    (0..8).map(with_seat).collect()
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

    fn pick(&mut self, at: f64, ask: &PickAsk<'_>, up: &[KnownUpstream]) -> Result<Pick, NoPick> {
        let usable = up.iter();
        self.traffic.pick(s(at), SHARE, ask, usable, &mut self.rng)
    }
}

#[test]
fn pick_groups_down_one_probes_others_wait() {
    let mut daemon = Daemon::new();
    let down = upstreams(false);
    let picks: Vec<bool> = (0..100)
        .map(|i| daemon.pick(f64::from(i) / 100.0, &ASK, &down).is_ok())
        .collect();
    let probes = picks.iter().filter(|ok| **ok).count();
    assert_eq!(probes, 3, "at 0, 0.4 and 0.8 s");
    let no = daemon.pick(1.0, &ASK, &down).unwrap_err();
    assert_eq!(no.reason, Refusal::GroupDown);
    assert_eq!(no.wait, Some(s(0.5)));
    assert!(no.retry_after > Duration::ZERO);
}

#[test]
fn pick_offered_before_does_not_probe() {
    let mut daemon = Daemon::new();
    let ask = PickAsk {
        may_probe: false,
        ..ASK
    };
    assert!(daemon.pick(0.0, &ask, &upstreams(false)).is_err());
}

#[test]
fn pick_group_back_by_the_store_takes_all() {
    let mut daemon = Daemon::new();
    assert!(daemon.pick(0.0, &ASK, &upstreams(false)).is_ok());
    assert!(daemon.pick(0.1, &ASK, &upstreams(false)).is_err());
    for i in 0..20 {
        let at = 0.2 + f64::from(i) / 100.0;
        assert!(daemon.pick(at, &ASK, &upstreams(true)).is_ok());
    }
}

/// What ranks write of themselves takes a heartbeat: a probe that is answered tells earlier.
#[test]
fn pick_group_back_by_a_probe_takes_its_ranks() {
    let mut daemon = Daemon::new();
    let down = upstreams(false);
    let probe = daemon.pick(0.0, &ASK, &down).unwrap();
    daemon.traffic.answered(s(0.1), &probe);
    for i in 0..20 {
        let pick = daemon
            .pick(0.2 + f64::from(i) / 100.0, &ASK, &down)
            .unwrap();
        assert_eq!(pick.group, probe.group);
    }
}

/// All daemons let their waiting requests go at the moment at which the groups are back: together they
/// leave places for callers that can still be answered in time.
#[test]
fn pick_groups_back_late_requests_leave_places() {
    let up = upstreams(true);
    let late = PickAsk {
        is_late: true,
        patience: Duration::ZERO,
        ..ASK
    };
    let places: usize = up.iter().map(|u| u.upstream.capacity as usize).sum();
    let mut begun = 0;
    for seed in 0..SHARE.daemons {
        let mut daemon = Daemon::new();
        daemon.rng = StdRng::seed_from_u64(seed as u64);
        // No daemon has heard what the others begin at the same time.
        begun += (0..20)
            .filter(|_| daemon.pick(0.0, &late, &up).is_ok())
            .count();
        assert!(daemon.pick(0.0, &ASK, &up).is_ok(), "in time");
    }
    assert!(begun >= SHARE.daemons, "{begun} of {places}");
    assert!(begun < places, "{begun} of {places}");
}

/// An outage that lasts is no reason to hold callers any longer.
#[test]
fn ask_outage_lasts_refuses_at_once() {
    let mut outages = Outages::default();
    assert_eq!(outages.ask(s(0.0), "llm", true), WhileDown::Probe);
    assert_eq!(outages.ask(s(1.4), "llm", false), WhileDown::Wait(s(0.1)));
    assert_eq!(outages.ask(s(1.6), "llm", false), WhileDown::Refuse);
    assert_eq!(outages.ask(s(9.0), "llm", false), WhileDown::Refuse);
    outages.ended("llm");
    assert_eq!(outages.ask(s(9.1), "llm", false), WhileDown::Wait(s(1.5)));
}

/// The real daemon: a request comes while the group is formed, and is answered once it runs.
#[tokio::test]
async fn serve_group_returns_request_is_answered() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let returns = tokio::time::Instant::now() + s(0.7);
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
            let head = if tokio::time::Instant::now() < returns {
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
    let scene = scene::open_before(scene::route(RouteKind::Idempotent), items, 0).await;
    let asked = (0..12).map(|i| {
        let id = format!("w{i}");
        let scene = &scene;
        async move { scene.ask(&id).await }
    });
    let answers = futures::future::join_all(asked).await;
    let served = answers.iter().filter(|a| a.starts_with("HTTP/1.1 200"));
    // Two probes were refused before the group was back.
    assert!(served.count() >= 10, "{answers:?}");
}
