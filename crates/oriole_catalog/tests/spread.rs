//! Distribution of the catalog in a small cluster: relays, missed watches, outages and startup.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{
    Reachability, StoreLinkState, TestCluster, TestNetwork, meta, repository, set_region,
};
use oriole_catalog::prelude::*;
use oriole_store::prelude::*;
use oriole_types::prelude::*;

const DOMAINS: usize = 3;
const PER_DOMAIN: usize = 4;
/// Maximum time until all processes must have installed a new revision.
const INSTALL_TIMEOUT: Duration = Duration::from_secs(3);
/// Maximum time until a started process must hold a configuration.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(2);

fn cluster() -> TestCluster {
    let net = TestNetwork::new(1, Duration::from_millis(10));
    TestCluster::new(DOMAINS, PER_DOMAIN, SpreadConfig::default(), net)
}

async fn change(cluster: &TestCluster, region: &str) -> Revision {
    let repository = repository(&cluster.store, 1);
    let catalog = Arc::clone(repository.read().await.unwrap().catalog());
    let edit = set_region(&catalog, "gela", region);
    repository
        .change(&edit, &meta("ada"))
        .await
        .unwrap()
        .revision
}

/// Starts a cluster and waits until every process holds the first revision.
async fn cluster_with_first_revision() -> TestCluster {
    let mut cluster = cluster();
    let revision = change(&cluster, "a").await;
    cluster.start_all();
    assert!(cluster.wait_until_all_hold(revision, STARTUP_TIMEOUT).await);
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster
}

fn relays(cluster: &TestCluster) -> Vec<VmName> {
    let running = cluster.running.iter();
    let relays = running.filter(|(_, (f, _))| f.status().relay);
    relays.map(|(name, _)| name.clone()).collect()
}

#[tokio::test(start_paused = true)]
async fn follower_alone_watches_store() {
    let store = MemoryStore::new();
    let me = Member {
        name: "vm".into(),
        domain: "gela".into(),
    };
    let cfg = FollowerConfig::default();
    let follower = ConfigFollower::spawn(cfg, me, Arc::new(store.clone()), Arc::new(NoPeers));
    tokio::time::sleep(Duration::from_secs(3)).await;
    assert_eq!(follower.current(), None);
    let repository = repository(&store, 1);
    for (i, region) in ["a", "b"].into_iter().enumerate() {
        let catalog = Arc::clone(repository.read().await.unwrap().catalog());
        let edit = set_region(&catalog, "gela", region);
        repository.change(&edit, &meta("ada")).await.unwrap();
        tokio::time::sleep(INSTALL_TIMEOUT).await;
        assert_eq!(follower.revision(), Revision(i as u64 + 1));
        let stored = repository.read().await.unwrap();
        assert_eq!(follower.ready().await, *stored.catalog());
    }
}

#[tokio::test(start_paused = true)]
async fn change_reaches_all_through_relays() {
    let cluster = cluster_with_first_revision().await;
    assert_eq!(relays(&cluster).len(), DOMAINS * 2);
    let before = cluster.store.counts();
    let revision = change(&cluster, "b").await;
    assert!(cluster.wait_until_all_hold(revision, INSTALL_TIMEOUT).await);
    tokio::time::sleep(Duration::from_secs(10)).await;
    let calls = cluster.store.counts().delta_since(&before).read_calls();
    // Six relays with one watch per second, plus the calls for the change itself.
    assert!(calls < 10 * 13, "{calls}");
}

#[tokio::test(start_paused = true)]
async fn change_reaches_all_without_relays() {
    for reach in [Reachability::Closed, Reachability::Silent] {
        let mut cluster = cluster_with_first_revision().await;
        for name in relays(&cluster) {
            cluster.net.set_reachability(&name, reach);
            let (_, link) = &cluster.running[&name];
            link.set(StoreLinkState::Cut);
            cluster.running.remove(&name);
        }
        let revision = change(&cluster, "b").await;
        assert!(
            cluster
                .wait_until_all_hold(revision, INSTALL_TIMEOUT * 3)
                .await
        );
    }
}

#[tokio::test(start_paused = true)]
async fn change_reaches_all_despite_missed_watches() {
    let cluster = cluster_with_first_revision().await;
    for (_, link) in cluster.running.values() {
        link.set(StoreLinkState::WatchesNeverWake);
    }
    let revision = change(&cluster, "b").await;
    assert!(cluster.wait_until_all_hold(revision, INSTALL_TIMEOUT).await);
}

#[tokio::test(start_paused = true)]
async fn change_reaches_domain_cut_off_from_store() {
    let cluster = cluster_with_first_revision().await;
    for m in cluster
        .members
        .iter()
        .filter(|m| m.domain == "domain-0".into())
    {
        cluster.running[&m.name].1.set(StoreLinkState::Cut);
    }
    tokio::time::sleep(Duration::from_secs(20)).await;
    let revision = change(&cluster, "b").await;
    assert!(cluster.wait_until_all_hold(revision, INSTALL_TIMEOUT).await);
}

#[tokio::test(start_paused = true)]
async fn hint_brings_newer_revision_in_outage() {
    let cluster = cluster_with_first_revision().await;
    let ahead = cluster.name(0);
    for (name, (_, link)) in &cluster.running {
        link.set(if *name == ahead {
            StoreLinkState::Up
        } else {
            StoreLinkState::Cut
        });
        cluster.net.set_reachability(name, Reachability::Closed);
    }
    let revision = change(&cluster, "b").await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    cluster.store.set_fault(StoreFault::Down);
    let behind = &cluster.running[&cluster.name(1)].0;
    assert_eq!(
        (cluster.running[&ahead].0.revision(), behind.revision()),
        (revision, Revision(1))
    );
    cluster.net.set_reachability(&ahead, Reachability::Open);
    tokio::time::sleep(Duration::from_secs(90)).await;
    behind.hint(revision, &ahead);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(behind.revision(), revision);
}

#[tokio::test(start_paused = true)]
async fn start_in_outage_takes_newest_peer() {
    let mut cluster = cluster_with_first_revision().await;
    let last = cluster.members.len() - 1;
    cluster.stop(&cluster.name(last));
    // Only one process gets the second revision before the outage.
    let ahead = relays(&cluster)[0].clone();
    for (name, (_, link)) in &cluster.running {
        let state = if *name == ahead {
            StoreLinkState::Up
        } else {
            StoreLinkState::Cut
        };
        link.set(state);
    }
    cluster.net.set_reachability(&ahead, Reachability::Closed);
    let revision = change(&cluster, "b").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    cluster.store.set_fault(StoreFault::Down);
    cluster.net.set_reachability(&ahead, Reachability::Open);
    cluster.cfg.startup_probes = cluster.members.len();
    cluster.start(last);
    tokio::time::sleep(STARTUP_TIMEOUT).await;
    let (fresh, _) = &cluster.running[&cluster.name(last)];
    assert_eq!(fresh.revision(), revision);
    assert_eq!(fresh.status().source, Some(ConfigSource::Peer));
}

#[tokio::test(start_paused = true)]
async fn start_of_many_reads_little() {
    let mut cluster = cluster_with_first_revision().await;
    let relays = relays(&cluster);
    let others: Vec<_> = (0..cluster.members.len())
        .filter(|i| !relays.contains(&cluster.name(*i)))
        .collect();
    let reads = cluster.store.counts().reads;
    for i in &others {
        cluster.stop(&cluster.name(*i));
        cluster.start(*i);
    }
    assert!(
        cluster
            .wait_until_all_hold(Revision(1), STARTUP_TIMEOUT)
            .await
    );
    assert_eq!(cluster.store.counts().reads, reads);
}

#[tokio::test(start_paused = true)]
async fn start_of_all_reads_through_relays() {
    const MANY_PER_DOMAIN: usize = 50;
    let net = TestNetwork::new(1, Duration::from_millis(10));
    let mut cluster = TestCluster::new(DOMAINS, MANY_PER_DOMAIN, SpreadConfig::default(), net);
    let revision = change(&cluster, "a").await;
    let before = cluster.store.counts();
    cluster.start_all();
    assert!(cluster.wait_until_all_hold(revision, STARTUP_TIMEOUT).await);
    let reads = cluster.store.counts().delta_since(&before).reads;
    // Each relay reads the root and one part.
    assert_eq!(reads, (DOMAINS * 2 * 2) as u64);
}

#[tokio::test(start_paused = true)]
async fn start_of_relays_reads_nothing() {
    let mut cluster = cluster_with_first_revision().await;
    let relays = relays(&cluster);
    let reads = cluster.store.counts().reads;
    let members = 0..cluster.members.len();
    let relays: Vec<_> = members
        .filter(|i| relays.contains(&cluster.name(*i)))
        .collect();
    for i in relays {
        cluster.stop(&cluster.name(i));
        cluster.start(i);
    }
    assert!(
        cluster
            .wait_until_all_hold(Revision(1), STARTUP_TIMEOUT)
            .await
    );
    assert_eq!(cluster.store.counts().reads, reads);
}

#[tokio::test(start_paused = true)]
async fn start_in_outage_without_peers_waits() {
    let mut cluster = cluster();
    change(&cluster, "a").await;
    cluster.store.set_fault(StoreFault::Down);
    cluster.start(0);
    tokio::time::sleep(Duration::from_secs(120)).await;
    let (follower, _) = &cluster.running[&cluster.name(0)];
    assert_eq!(follower.current(), None);
    assert!(follower.status().stale);
    cluster.store.set_fault(StoreFault::Up);
    assert!(
        cluster
            .wait_until_all_hold(Revision(1), Duration::from_secs(5))
            .await
    );
}

#[tokio::test(start_paused = true)]
async fn status_says_stale_and_confirmed() {
    let cluster = cluster_with_first_revision().await;
    let (follower, _) = &cluster.running[&cluster.name(0)];
    let mut events = follower.events();
    assert!(!follower.status().stale);
    cluster.store.set_fault(StoreFault::Down);
    tokio::time::sleep(Duration::from_secs(40)).await;
    assert!(follower.status().stale);
    assert!(matches!(
        events.recv().await,
        Ok(ConfigEvent::Stale { age: Some(_) })
    ));
    cluster.store.set_fault(StoreFault::Up);
    let revision = Revision(1);
    let confirmed = ConfigEvent::Confirmed { revision };
    assert_eq!(events.recv().await, Ok(confirmed));
}

#[tokio::test(start_paused = true)]
async fn store_that_reverts_is_not_followed() {
    let cluster = cluster_with_first_revision().await;
    change(&cluster, "b").await;
    assert!(
        cluster
            .wait_until_all_hold(Revision(2), INSTALL_TIMEOUT)
            .await
    );
    let key = oriole_catalog::stored::history_key(Revision(1));
    let old = cluster.store.get(&key).await.unwrap().unwrap().value;
    let key = oriole_catalog::stored::ROOT_KEY;
    cluster
        .store
        .put(key, old, Precondition::Any)
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_secs(200)).await;
    assert!(
        cluster
            .wait_until_all_hold(Revision(2), Duration::ZERO)
            .await
    );
    assert!(cluster.running.values().all(|(f, _)| f.status().stale));
}

#[tokio::test(start_paused = true)]
async fn undecodable_revision_keeps_the_one_held() {
    let cluster = cluster_with_first_revision().await;
    let key = oriole_catalog::stored::ROOT_KEY;
    cluster
        .store
        .put(key, "not a root".into(), Precondition::Any)
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_secs(60)).await;
    let relay = &cluster.running[&relays(&cluster)[0]].0;
    let status = relay.status();
    assert_eq!(status.revision, Revision(1));
    assert!(status.stale && status.refusal.is_some());
}
