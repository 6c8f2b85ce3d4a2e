//! The watch tasks of a running daemon that waits for the relays of its failure domain. The
//! runtime's clock is paused; there is no network.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

use async_trait::async_trait;
use oriole_fleet::prelude::*;
use oriole_gateway::gateway::Gateway;
use oriole_gateway::mesh;
use oriole_gateway::mesh::message::{Heartbeat, MemberRecord};
use oriole_gateway::observed_store::ObservedStore;
use oriole_gateway::watcher;
use oriole_store::error::StoreError;
use oriole_store::store::LeaseId;
use rstest::rstest;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use crate::fake::{FakeDialect, item, secs};
use crate::harness;

/// Time between two changes under the prefix `up/`.
const CHANGE_INTERVAL: Duration = Duration::from_millis(100);

/// A store whose prefix `up/` changes all the time.
struct BusyStore {
    started_at: Instant,
    watches: AtomicUsize,
    /// Revision from which the latest watch resumed.
    resumed_from: AtomicU64,
    /// Highest revision that a watch returned.
    returned: AtomicU64,
}

impl BusyStore {
    fn revision(&self) -> u64 {
        (self.started_at.elapsed().as_millis() / CHANGE_INTERVAL.as_millis()) as u64
    }
}

#[async_trait]
impl FleetStore for BusyStore {
    async fn list(&self, _: &str, _: Option<&str>, _: Freshness) -> Result<ListPage, StoreError> {
        let store_revision = self.revision();
        self.returned.fetch_max(store_revision, Ordering::Relaxed);
        Ok(ListPage {
            items: Vec::new(),
            truncated: false,
            store_revision,
        })
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        _: Duration,
    ) -> Result<WatchOutcome, StoreError> {
        if prefix != "up/" {
            return std::future::pending().await;
        }
        self.watches.fetch_add(1, Ordering::Relaxed);
        self.resumed_from.store(after, Ordering::Relaxed);
        assert!(
            after <= self.returned.load(Ordering::Relaxed),
            "a change was skipped"
        );
        while self.revision() <= after {
            sleep(CHANGE_INTERVAL).await;
        }
        let revision = self.revision();
        self.returned.fetch_max(revision, Ordering::Relaxed);
        Ok(WatchOutcome::Changes {
            changes: vec![Change::Put(item(
                "up/1",
                "llm 10.0.1.1:80 north ready",
                revision,
            ))],
            resume_revision: revision,
        })
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId, StoreError> {
        Ok(LeaseId(1))
    }

    async fn renew_lease(&self, _: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }

    async fn put(&self, _: PutItem<'_>) -> Result<(), StoreError> {
        Ok(())
    }
}

fn heartbeat(i: usize, number: u64) -> Heartbeat {
    Heartbeat {
        from: Some(MemberRecord {
            name: format!("a-{i}"),
            incarnation: 1,
            heartbeat: number,
            peer_address: format!("10.0.0.{i}:7"),
            domain: "north".to_owned(),
            ..MemberRecord::default()
        }),
        ..Heartbeat::default()
    }
}

/// Starts the watch tasks of a daemon with this number of peers in its failure domain.
fn start(peers: usize) -> (Arc<Gateway>, Arc<BusyStore>, CancellationToken) {
    let mut cfg = harness::settings();
    cfg.name = "m".to_owned();
    let log = slog::Logger::root(slog::Discard, slog::o!());
    let gateway = Arc::new(Gateway::new(cfg, Arc::new(FakeDialect::default()), log));
    let store = Arc::new(BusyStore {
        started_at: Instant::now(),
        watches: AtomicUsize::new(0),
        resumed_from: AtomicU64::new(0),
        returned: AtomicU64::new(0),
    });
    for i in 0..peers {
        mesh::on_heartbeat(&gateway, heartbeat(i, 1));
    }
    let observed: Arc<dyn FleetStore> = Arc::new(ObservedStore::new(&gateway, store.clone()));
    let stop = CancellationToken::new();
    watcher::spawn(&gateway, &observed, &stop);
    (gateway, store, stop)
}

/// Guards against watch tasks that do not follow the role, and against a watch that resumes from a
/// revision which only a peer reported: changes between would be skipped.
#[rstest]
#[case::small_fleet(31, 30..=36)]
#[case::large_fleet(32, 6..=9)]
#[tokio::test(start_paused = true)]
async fn watch_calls_follow_role(
    #[case] peers: usize,
    #[case] expected: std::ops::RangeInclusive<usize>,
) {
    let (gateway, store, stop) = start(peers);
    for number in 2..12 {
        sleep(secs(1.0)).await;
        for i in 0..peers {
            mesh::on_heartbeat(&gateway, heartbeat(i, number));
        }
        // A peer's view is always ahead of the daemon's own calls.
        let ahead = store.revision() + 5;
        let change = Change::Put(item("up/2", "llm 10.0.1.2:80 north ready", ahead));
        gateway.apply_from_peer(vec![change]);
    }
    stop.cancel();
    let watches = store.watches.load(Ordering::Relaxed);
    println!("{watches} watch calls with {peers} peers");
    assert!(expected.contains(&watches), "{watches}");
    assert!(store.resumed_from.load(Ordering::Relaxed) > 0);
}

/// Guards against a daemon that waits on in a closed watch after it became a relay.
#[tokio::test(start_paused = true)]
async fn promotion_ends_pause_of_closed_watch() {
    const PEERS: usize = 40;
    let (gateway, store, stop) = start(PEERS);
    let is_closed = || gateway.watch_relay().closed_since().any(|s| s.is_some());
    while !is_closed() {
        assert!(store.started_at.elapsed() < secs(2.0), "no watch is closed");
        sleep(Duration::from_millis(10)).await;
    }
    let before = store.watches.load(Ordering::Relaxed);
    for i in 0..PEERS {
        let mut heartbeat = heartbeat(i, 2);
        heartbeat.from.as_mut().unwrap().domain = "south".to_owned();
        mesh::on_heartbeat(&gateway, heartbeat);
    }
    gateway.update_watch_role();
    sleep(Duration::from_millis(10)).await;
    assert_eq!(store.watches.load(Ordering::Relaxed), before + 1);
    stop.cancel();
}
