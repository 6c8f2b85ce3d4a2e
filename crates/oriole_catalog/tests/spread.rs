//! Spread in a small fleet: relays, missed watches, outages, starts.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{Fleet, LinkState, Net, Reach, meta, repository, set_region};
use oriole_catalog::prelude::*;
use oriole_store::prelude::*;
use oriole_types::prelude::*;

const DOMAINS: usize = 3;
const PER_DOMAIN: usize = 4;
/// Longest time in which a revision must be in force in a small fleet.
const IN_FORCE: Duration = Duration::from_secs(3);
/// Longest time in which a restarted process must serve.
const IN_SERVICE: Duration = Duration::from_secs(2);

fn fleet() -> Fleet {
    let net = Net::new(1, Duration::from_millis(10));
    Fleet::new(DOMAINS, PER_DOMAIN, SpreadConfig::default(), net)
}

async fn change(fleet: &Fleet, region: &str) -> Revision {
    let repository = repository(&fleet.store, 1);
    let catalog = Arc::clone(repository.read().await.unwrap().catalog());
    let edit = set_region(&catalog, "gela", region);
    repository
        .change(&edit, &meta("ada"))
        .await
        .unwrap()
        .revision
}

/// A fleet in which every process holds the first revision.
async fn fleet_in_service() -> Fleet {
    let mut fleet = fleet();
    let revision = change(&fleet, "a").await;
    fleet.start_all();
    assert!(fleet.all_hold(revision, IN_SERVICE).await);
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet
}

fn relays(fleet: &Fleet) -> Vec<VmName> {
    let running = fleet.running.iter();
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
        tokio::time::sleep(IN_FORCE).await;
        assert_eq!(follower.revision(), Revision(i as u64 + 1));
        let stored = repository.read().await.unwrap();
        assert_eq!(follower.ready().await, *stored.catalog());
    }
}

#[tokio::test(start_paused = true)]
async fn change_reaches_all_through_relays() {
    let fleet = fleet_in_service().await;
    assert_eq!(relays(&fleet).len(), DOMAINS * 2);
    let before = fleet.store.counts();
    let revision = change(&fleet, "b").await;
    assert!(fleet.all_hold(revision, IN_FORCE).await);
    tokio::time::sleep(Duration::from_secs(10)).await;
    let calls = fleet.store.counts().delta_since(&before).read_calls();
    // Six relays that watch for a second each time, and what the change itself needs.
    assert!(calls < 10 * 13, "{calls}");
}

#[tokio::test(start_paused = true)]
async fn change_reaches_all_without_relays() {
    for reach in [Reach::Closed, Reach::Silent] {
        let mut fleet = fleet_in_service().await;
        for name in relays(&fleet) {
            fleet.net.set_reach(&name, reach);
            let (_, link) = &fleet.running[&name];
            link.set(LinkState::Cut);
            fleet.running.remove(&name);
        }
        let revision = change(&fleet, "b").await;
        assert!(fleet.all_hold(revision, IN_FORCE * 3).await);
    }
}

#[tokio::test(start_paused = true)]
async fn change_reaches_all_despite_missed_watches() {
    let fleet = fleet_in_service().await;
    for (_, link) in fleet.running.values() {
        link.set(LinkState::Deaf);
    }
    let revision = change(&fleet, "b").await;
    assert!(fleet.all_hold(revision, IN_FORCE).await);
}

#[tokio::test(start_paused = true)]
async fn change_reaches_domain_cut_off_from_store() {
    let fleet = fleet_in_service().await;
    for m in fleet
        .members
        .iter()
        .filter(|m| m.domain == "domain-0".into())
    {
        fleet.running[&m.name].1.set(LinkState::Cut);
    }
    tokio::time::sleep(Duration::from_secs(20)).await;
    let revision = change(&fleet, "b").await;
    assert!(fleet.all_hold(revision, IN_FORCE).await);
}

#[tokio::test(start_paused = true)]
async fn hint_brings_newer_revision_in_outage() {
    let fleet = fleet_in_service().await;
    let ahead = fleet.name(0);
    for (name, (_, link)) in &fleet.running {
        link.set(if *name == ahead {
            LinkState::Up
        } else {
            LinkState::Cut
        });
        fleet.net.set_reach(name, Reach::Closed);
    }
    let revision = change(&fleet, "b").await;
    tokio::time::sleep(Duration::from_secs(60)).await;
    fleet.store.set_fault(StoreFault::Down);
    let behind = &fleet.running[&fleet.name(1)].0;
    assert_eq!(
        (fleet.running[&ahead].0.revision(), behind.revision()),
        (revision, Revision(1))
    );
    fleet.net.set_reach(&ahead, Reach::Open);
    tokio::time::sleep(Duration::from_secs(90)).await;
    behind.hint(revision, &ahead);
    tokio::time::sleep(Duration::from_secs(1)).await;
    assert_eq!(behind.revision(), revision);
}

#[tokio::test(start_paused = true)]
async fn start_in_outage_takes_newest_peer() {
    let mut fleet = fleet_in_service().await;
    let last = fleet.members.len() - 1;
    fleet.stop(&fleet.name(last));
    // One process alone hears of the second revision before the outage.
    let ahead = relays(&fleet)[0].clone();
    for (name, (_, link)) in &fleet.running {
        let state = if *name == ahead {
            LinkState::Up
        } else {
            LinkState::Cut
        };
        link.set(state);
    }
    fleet.net.set_reach(&ahead, Reach::Closed);
    let revision = change(&fleet, "b").await;
    tokio::time::sleep(Duration::from_secs(2)).await;
    fleet.store.set_fault(StoreFault::Down);
    fleet.net.set_reach(&ahead, Reach::Open);
    fleet.cfg.startup_probes = fleet.members.len();
    fleet.start(last);
    tokio::time::sleep(IN_SERVICE).await;
    let (fresh, _) = &fleet.running[&fleet.name(last)];
    assert_eq!(fresh.revision(), revision);
    assert_eq!(fresh.status().source, Some(ConfigSource::Peer));
}

#[tokio::test(start_paused = true)]
async fn start_of_many_reads_little() {
    let mut fleet = fleet_in_service().await;
    let relays = relays(&fleet);
    let others: Vec<_> = (0..fleet.members.len())
        .filter(|i| !relays.contains(&fleet.name(*i)))
        .collect();
    let reads = fleet.store.counts().reads;
    for i in &others {
        fleet.stop(&fleet.name(*i));
        fleet.start(*i);
    }
    assert!(fleet.all_hold(Revision(1), IN_SERVICE).await);
    assert_eq!(fleet.store.counts().reads, reads);
}

#[tokio::test(start_paused = true)]
async fn start_of_all_reads_through_relays() {
    const MANY: usize = 50;
    let net = Net::new(1, Duration::from_millis(10));
    let mut fleet = Fleet::new(DOMAINS, MANY, SpreadConfig::default(), net);
    let revision = change(&fleet, "a").await;
    let before = fleet.store.counts();
    fleet.start_all();
    assert!(fleet.all_hold(revision, IN_SERVICE).await);
    let reads = fleet.store.counts().delta_since(&before).reads;
    // A root and one part for each relay.
    assert_eq!(reads, (DOMAINS * 2 * 2) as u64);
}

#[tokio::test(start_paused = true)]
async fn start_of_relays_reads_nothing() {
    let mut fleet = fleet_in_service().await;
    let relays = relays(&fleet);
    let reads = fleet.store.counts().reads;
    let members = 0..fleet.members.len();
    let relays: Vec<_> = members
        .filter(|i| relays.contains(&fleet.name(*i)))
        .collect();
    for i in relays {
        fleet.stop(&fleet.name(i));
        fleet.start(i);
    }
    assert!(fleet.all_hold(Revision(1), IN_SERVICE).await);
    assert_eq!(fleet.store.counts().reads, reads);
}

#[tokio::test(start_paused = true)]
async fn start_in_outage_without_peers_waits() {
    let mut fleet = fleet();
    change(&fleet, "a").await;
    fleet.store.set_fault(StoreFault::Down);
    fleet.start(0);
    tokio::time::sleep(Duration::from_secs(120)).await;
    let (follower, _) = &fleet.running[&fleet.name(0)];
    assert_eq!(follower.current(), None);
    assert!(follower.status().stale);
    fleet.store.set_fault(StoreFault::Up);
    assert!(fleet.all_hold(Revision(1), Duration::from_secs(5)).await);
}

#[tokio::test(start_paused = true)]
async fn status_says_stale_and_confirmed() {
    let fleet = fleet_in_service().await;
    let (follower, _) = &fleet.running[&fleet.name(0)];
    let mut events = follower.events();
    assert!(!follower.status().stale);
    fleet.store.set_fault(StoreFault::Down);
    tokio::time::sleep(Duration::from_secs(40)).await;
    assert!(follower.status().stale);
    assert!(matches!(
        events.recv().await,
        Ok(ConfigEvent::Stale { age: Some(_) })
    ));
    fleet.store.set_fault(StoreFault::Up);
    let revision = Revision(1);
    let confirmed = ConfigEvent::Confirmed { revision };
    assert_eq!(events.recv().await, Ok(confirmed));
}

#[tokio::test(start_paused = true)]
async fn store_that_reverts_is_not_followed() {
    let fleet = fleet_in_service().await;
    change(&fleet, "b").await;
    assert!(fleet.all_hold(Revision(2), IN_FORCE).await);
    let key = oriole_catalog::stored::history_key(Revision(1));
    let old = fleet.store.get(&key).await.unwrap().unwrap().value;
    let key = oriole_catalog::stored::ROOT_KEY;
    fleet.store.put(key, old, Precondition::Any).await.unwrap();
    tokio::time::sleep(Duration::from_secs(200)).await;
    assert!(fleet.all_hold(Revision(2), Duration::ZERO).await);
    assert!(fleet.running.values().all(|(f, _)| f.status().stale));
}

#[tokio::test(start_paused = true)]
async fn undecodable_revision_keeps_the_one_held() {
    let fleet = fleet_in_service().await;
    let key = oriole_catalog::stored::ROOT_KEY;
    fleet
        .store
        .put(key, "not a root".into(), Precondition::Any)
        .await
        .unwrap();
    tokio::time::sleep(Duration::from_secs(60)).await;
    let relay = &fleet.running[&relays(&fleet)[0]].0;
    let status = relay.status();
    assert_eq!(status.revision, Revision(1));
    assert!(status.stale && status.refusal.is_some());
}
