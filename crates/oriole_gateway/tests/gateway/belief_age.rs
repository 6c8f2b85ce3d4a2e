//! Fuzzes the fleet views of several daemons against the store's own record while the store or
//! single connections fall silent: once a daemon has reached the store again for a while, it knows
//! each change within the agreed time. The runtime's clock is paused; there is no network.

use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use oriole_fleet::prelude::*;
use oriole_gateway::gateway::{Gateway, Listing};
use oriole_gateway::mesh::message::{Heartbeat, PullRequest};
use oriole_gateway::mesh::{self, HEARTBEAT_INTERVAL, pull};
use oriole_gateway::observed_store::ObservedStore;
use oriole_gateway::watcher;
use oriole_store::error::StoreError;
use oriole_store::store::LeaseId;
use proptest::prelude::*;
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::fake::{FakeDialect, item};
use crate::harness;

/// Agreed time for a change to take effect after the store acknowledged it.
const APPLY_BOUND: Duration = Duration::from_millis(2000);

/// Agreed time after a disruption from which a daemon is bound by [`APPLY_BOUND`] again.
const CONTACT_BOUND: Duration = Duration::from_millis(3000);

const DAEMONS: usize = 4;
const CALL_TIME: Duration = Duration::from_millis(4);
const CALL_TIMEOUT: Duration = Duration::from_millis(800);
const HOP_TIME: Duration = Duration::from_millis(1);
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// One step of a session.
#[derive(Clone, Debug)]
enum Step {
    /// The operator or an upstream writes, or an upstream's entry is removed.
    Change { key: u8, removes: bool },
    /// The store accepts the calls of some daemons and answers none, for some milliseconds.
    Silence { daemons: u8, ms: u64 },
    /// The open connections of some daemons to the store go silent for good.
    DeadConnections { daemons: u8 },
    /// The store refuses the calls of some daemons.
    Refuse { daemons: u8, ms: u64 },
    /// Some daemons are cut off from their peers.
    PeerCut { daemons: u8, ms: u64 },
    /// Nothing happens.
    Wait { ms: u64 },
}

fn step() -> impl Strategy<Value = Step> {
    let all = (1_u8 << DAEMONS) - 1;
    let daemons = || prop_oneof![2 => Just(all), 1 => 1..all];
    prop_oneof![
        6 => (0..6_u8, any::<bool>()).prop_map(|(key, removes)| Step::Change { key, removes }),
        4 => (daemons(), 100..5000_u64).prop_map(|(daemons, ms)| Step::Silence { daemons, ms }),
        2 => daemons().prop_map(|daemons| Step::DeadConnections { daemons }),
        1 => (daemons(), 100..3000_u64).prop_map(|(daemons, ms)| Step::Refuse { daemons, ms }),
        2 => (daemons(), 100..4000_u64).prop_map(|(daemons, ms)| Step::PeerCut { daemons, ms }),
        6 => (10..4000_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

/// A daemon's contact with the store.
#[derive(Clone, Copy, Default)]
struct Contact {
    silent_until: Option<Instant>,
    refused_until: Option<Instant>,
    /// Number of times that the open connections went silent.
    deaths: u64,
    /// End of the last disruption.
    disturbed_until: Option<Instant>,
}

#[derive(Default)]
struct StoreState {
    revision: u64,
    /// Value of each key; `None` once it was removed. With the revision and time of the change.
    items: BTreeMap<String, (Option<String>, u64, Instant)>,
    contacts: [Contact; DAEMONS],
}

impl StoreState {
    fn is_silent(&self, daemon: usize) -> bool {
        let until = self.contacts[daemon].silent_until;
        until.is_some_and(|at| Instant::now() < at)
    }

    fn is_refused(&self, daemon: usize) -> bool {
        let until = self.contacts[daemon].refused_until;
        until.is_some_and(|at| Instant::now() < at)
    }

    fn disturb(&mut self, daemon: usize, until: Instant) {
        let contact = &mut self.contacts[daemon];
        contact.disturbed_until = contact.disturbed_until.max(Some(until));
    }

    fn change(&mut self, key: u8, removes: bool) {
        self.revision += 1;
        let (key, value) = match key {
            0 => ("cfg/0".to_owned(), Some(self.revision.to_string())),
            1 => (
                "cfg/out/south".to_owned(),
                (!removes).then(|| "x".to_owned()),
            ),
            n => {
                let value = format!("llm 10.0.1.{n}:80 north ready {}", self.revision);
                (format!("up/i-{n}"), (!removes).then_some(value))
            }
        };
        if value.is_some() || self.items.get(&key).is_some_and(|i| i.0.is_some()) {
            self.items
                .insert(key, (value, self.revision, Instant::now()));
        }
    }

    fn changes_after(&self, prefix: &str, after: u64) -> Vec<Change> {
        let mut newer: Vec<_> = self
            .items
            .iter()
            .filter(|(key, (_, revision, _))| key.starts_with(prefix) && *revision > after)
            .collect();
        newer.sort_by_key(|(_, (_, revision, _))| *revision);
        let changes = newer
            .into_iter()
            .map(|(key, (value, revision, _))| match value {
                Some(value) => Change::Put(item(key, value, *revision)),
                None => Change::Removed {
                    key: key.clone(),
                    revision: *revision,
                },
            });
        changes.collect()
    }
}

/// The store as one daemon reaches it.
struct ContactStore {
    state: Arc<Mutex<StoreState>>,
    daemon: usize,
}

impl ContactStore {
    /// Carries out a call of which every answer that falls into a silence is lost.
    async fn call<T>(&self, answer: impl Fn(&StoreState) -> T) -> Result<T, StoreError> {
        let is_lost = self.state.lock().unwrap().is_silent(self.daemon);
        sleep(CALL_TIME).await;
        {
            let state = self.state.lock().unwrap();
            if state.is_refused(self.daemon) {
                return Err(StoreError::Unavailable);
            }
            if !is_lost && !state.is_silent(self.daemon) {
                return Ok(answer(&state));
            }
        }
        sleep(CALL_TIMEOUT).await;
        Err(StoreError::Unavailable)
    }
}

#[async_trait]
impl FleetStore for ContactStore {
    async fn list(
        &self,
        prefix: &str,
        _after: Option<&str>,
        _freshness: Freshness,
    ) -> Result<ListPage, StoreError> {
        self.call(|state| {
            let changes = state.changes_after(prefix, 0).into_iter();
            let items = changes.filter_map(|change| match change {
                Change::Put(item) => Some(item),
                Change::Removed { .. } => None,
            });
            ListPage {
                items: items.collect(),
                truncated: false,
                store_revision: state.revision,
            }
        })
        .await
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchOutcome, StoreError> {
        let ends_at = Instant::now() + wait;
        let deaths = {
            let state = self.state.lock().unwrap();
            state.contacts[self.daemon].deaths
        };
        let mut is_lost = self.state.lock().unwrap().is_silent(self.daemon);
        loop {
            sleep(CALL_TIME).await;
            {
                let state = self.state.lock().unwrap();
                if state.is_refused(self.daemon) {
                    return Err(StoreError::Unavailable);
                }
                is_lost |= state.contacts[self.daemon].deaths != deaths;
                let changes = state.changes_after(prefix, after);
                let is_due = !changes.is_empty() || Instant::now() >= ends_at;
                is_lost |= is_due && state.is_silent(self.daemon);
                if is_due && !is_lost {
                    return Ok(WatchOutcome::Changes {
                        changes,
                        resume_revision: state.revision,
                    });
                }
            }
            if is_lost {
                tokio::time::sleep_until(ends_at + Duration::from_secs(2)).await;
                return Err(StoreError::Unavailable);
            }
        }
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId, StoreError> {
        self.call(|_| LeaseId(1)).await
    }

    async fn renew_lease(&self, _: LeaseId) -> Result<(), StoreError> {
        self.call(|_| ()).await
    }

    async fn put(&self, _: PutItem<'_>) -> Result<(), StoreError> {
        self.call(|_| ()).await
    }
}

/// How the daemons follow the store.
#[derive(Clone, Copy)]
enum Follower {
    /// The product's.
    Product,
    /// A listing and a watch that nothing but its own timeout ends.
    TrustsEveryWatch,
}

async fn trust_every_watch(gateway: Arc<Gateway>, store: Arc<dyn FleetStore>, prefix: usize) {
    let name = gateway.dialect.watched_prefixes()[prefix];
    let wait = Duration::from_millis(gateway.cfg.store.watch_ms);
    loop {
        let sent_at = gateway.clock.now();
        let Ok(page) = store.list(name, None, Freshness::Latest).await else {
            continue;
        };
        let mut revision = page.store_revision;
        gateway.apply_listing(Listing {
            prefix,
            sent_at,
            items: page.items,
            store_revision: page.store_revision,
        });
        while let Ok(WatchOutcome::Changes {
            changes,
            resume_revision,
        }) = store.watch(name, revision, wait).await
        {
            for change in changes {
                gateway.apply(change, "store");
            }
            revision = resume_revision;
        }
    }
}

struct Daemon {
    gateway: Arc<Gateway>,
    inbox: mpsc::UnboundedSender<Heartbeat>,
}

/// The daemons and the peers that each of them cannot reach now.
struct Fleet {
    daemons: Vec<Daemon>,
    cut_until: Mutex<[Option<Instant>; DAEMONS]>,
    state: Arc<Mutex<StoreState>>,
}

impl Fleet {
    fn start(follower: Follower) -> Arc<Self> {
        let state = Arc::new(Mutex::new(StoreState::default()));
        for key in 0..6 {
            state.lock().unwrap().change(key, false);
        }
        let (mut daemons, mut inboxes) = (Vec::new(), Vec::new());
        for i in 0..DAEMONS {
            let mut cfg = harness::settings();
            cfg.name = format!("edge-{i}");
            cfg.peers.listen = peer_address(i);
            cfg.peers.seeds = (0..DAEMONS).map(peer_address).collect();
            let log = slog::Logger::root(slog::Discard, slog::o!());
            let gateway = Arc::new(Gateway::new(cfg, Arc::new(FakeDialect::default()), log));
            let store: Arc<dyn FleetStore> = Arc::new(ContactStore {
                state: state.clone(),
                daemon: i,
            });
            match follower {
                Follower::Product => {
                    let store: Arc<dyn FleetStore> = Arc::new(ObservedStore::new(&gateway, store));
                    watcher::spawn(&gateway, &store, &CancellationToken::new());
                }
                Follower::TrustsEveryWatch => {
                    for prefix in 0..gateway.dialect.watched_prefixes().len() {
                        tokio::spawn(trust_every_watch(gateway.clone(), store.clone(), prefix));
                    }
                }
            }
            let (inbox, rx) = mpsc::unbounded_channel();
            daemons.push(Daemon { gateway, inbox });
            inboxes.push(rx);
        }
        let fleet = Arc::new(Self {
            daemons,
            cut_until: Mutex::default(),
            state,
        });
        for (i, inbox) in inboxes.into_iter().enumerate() {
            tokio::spawn(fleet.clone().exchange(i, inbox));
        }
        fleet
    }

    fn can_reach(&self, a: usize, b: usize) -> bool {
        let cut_until = self.cut_until.lock().unwrap();
        let is_cut = |i: usize| cut_until[i].is_some_and(|at| Instant::now() < at);
        !is_cut(a) && !is_cut(b)
    }

    /// Exchanges heartbeats and items with the peers, as the daemon's mesh does over sockets.
    async fn exchange(self: Arc<Self>, own: usize, mut inbox: mpsc::UnboundedReceiver<Heartbeat>) {
        let gateway = self.daemons[own].gateway.clone();
        let mut number = 0;
        let mut next = Instant::now();
        loop {
            tokio::select! {
                heartbeat = inbox.recv() => {
                    sleep(HOP_TIME).await;
                    mesh::on_heartbeat(&gateway, heartbeat.unwrap());
                    continue;
                }
                () = tokio::time::sleep_until(next) => {}
                () = gateway.mesh_wake.notified() => {}
            }
            next = Instant::now() + HEARTBEAT_INTERVAL;
            number += 1;
            let (targets, heartbeat) = mesh::next_heartbeat(&gateway, number);
            for target in targets {
                let peer = daemon_at(target);
                if self.can_reach(own, peer) {
                    self.daemons[peer].inbox.send(heartbeat.clone()).unwrap();
                }
            }
            if let Some(peer) = mesh::peer_ahead(&gateway).map(daemon_at)
                && self.can_reach(own, peer)
            {
                let since = gateway.fleet_view().revisions().0.clone();
                let reply = pull::reply_to(&self.daemons[peer].gateway, PullRequest { since });
                pull::apply_reply(&gateway, reply);
            }
        }
    }

    fn apply(&self, step: &Step) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap();
        let chosen = |mask: u8| (0..DAEMONS).filter(move |i| mask & (1 << i) != 0);
        match *step {
            Step::Change { key, removes } => state.change(key, removes),
            Step::Silence { daemons, ms } => {
                let until = now + Duration::from_millis(ms);
                for i in chosen(daemons) {
                    state.contacts[i].silent_until = Some(until);
                    state.disturb(i, until);
                }
            }
            Step::Refuse { daemons, ms } => {
                let until = now + Duration::from_millis(ms);
                for i in chosen(daemons) {
                    state.contacts[i].refused_until = Some(until);
                    state.disturb(i, until);
                }
            }
            Step::DeadConnections { daemons } => {
                for i in chosen(daemons) {
                    state.contacts[i].deaths += 1;
                    state.disturb(i, now);
                }
            }
            Step::PeerCut { daemons, ms } => {
                let until = now + Duration::from_millis(ms);
                for i in chosen(daemons) {
                    self.cut_until.lock().unwrap()[i] = Some(until);
                }
            }
            Step::Wait { .. } => {}
        }
    }

    /// The first change that a daemon should know and does not.
    fn find_stale(&self) -> Option<String> {
        let now = Instant::now();
        let state = self.state.lock().unwrap();
        for (i, daemon) in self.daemons.iter().enumerate() {
            let disturbed_until = state.contacts[i].disturbed_until;
            if disturbed_until.is_some_and(|at| now < at + CONTACT_BOUND) {
                continue;
            }
            let view = daemon.gateway.fleet_view();
            let held: HashMap<&str, u64> = view
                .items_since(&Default::default())
                .into_iter()
                .filter(|(_, held)| held.value.is_some())
                .map(|(key, held)| (key, held.revision))
                .collect();
            for (key, (value, revision, at)) in &state.items {
                let held = held.get(key.as_str()).copied();
                let is_known = match value {
                    Some(_) => held == Some(*revision),
                    None => held.is_none(),
                };
                if now >= *at + APPLY_BOUND && !is_known {
                    return Some(format!(
                        "daemon {i} holds {held:?} of {key}, changed at revision {revision}, {:?} ago",
                        now - *at
                    ));
                }
            }
        }
        None
    }
}

fn peer_address(i: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, i as u8 + 1], 7340))
}

fn daemon_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(v4) => usize::from(v4.ip().octets()[3]) - 1,
        SocketAddr::V6(_) => unreachable!("all peers have IPv4 addresses"),
    }
}

/// Plays a session; returns what a daemon did not know in time.
fn play(follower: Follower, steps: &[Step]) -> Option<String> {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .start_paused(true)
        .build()
        .unwrap();
    runtime.block_on(async {
        let fleet = Fleet::start(follower);
        sleep(CONTACT_BOUND).await;
        let end = Step::Wait { ms: 12_000 };
        for step in steps.iter().chain([&end]) {
            fleet.apply(step);
            let ms = if let Step::Wait { ms } = step { *ms } else { 1 };
            let until = Instant::now() + Duration::from_millis(ms);
            while Instant::now() < until {
                if let Some(stale) = fleet.find_stale() {
                    return Some(stale);
                }
                sleep(CHECK_INTERVAL.min(until - Instant::now())).await;
            }
        }
        None
    })
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 96,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(22),
        ..ProptestConfig::default()
    })]

    /// Guards against watches that died in a silence of the store and hide later changes until
    /// their own timeout.
    #[test]
    fn view_knows_changes_in_time(steps in prop::collection::vec(step(), 1..30)) {
        prop_assert_eq!(play(Follower::Product, &steps), None);
    }
}

/// The shortest silence that hid changes on the users' platform.
fn silence_with_change() -> Vec<Step> {
    let all = (1 << DAEMONS) - 1;
    vec![
        Step::Silence {
            daemons: all,
            ms: 1500,
        },
        Step::Wait { ms: 200 },
        Step::Change {
            key: 0,
            removes: false,
        },
    ]
}

/// Guards against changes that a short silence of the store hides from all daemons.
#[test]
fn view_knows_change_made_in_silence() {
    assert_eq!(play(Follower::Product, &silence_with_change()), None);
}

/// The check itself: a daemon that trusts every watch misses the change.
#[test]
fn check_finds_trusted_dead_watch() {
    let stale = play(Follower::TrustsEveryWatch, &silence_with_change());
    assert!(stale.is_some_and(|s| s.contains("cfg/0")));
}

/// A silence that no call falls into cannot be noticed; the cached items are confirmed all the same.
#[tokio::test(start_paused = true)]
async fn confirmation_stays_young_in_quiet_fleet() {
    let fleet = Fleet::start(Follower::Product);
    sleep(CONTACT_BOUND).await;
    let ages = async {
        loop {
            for daemon in &fleet.daemons {
                let age = daemon.gateway.configuration_age().expect("confirmed");
                assert!(age < APPLY_BOUND, "{age:?}");
            }
            sleep(CHECK_INTERVAL).await;
        }
    };
    let _ = timeout(Duration::from_secs(20), ages).await;
}
