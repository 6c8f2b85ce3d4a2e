//! A fleet of real configuration followers with a counting store and simulated network delays.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError, RwLock};
use std::time::Duration;

use async_trait::async_trait;
use oriole_catalog::prelude::*;
use oriole_store::backoff::Backoff;
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

/// Reads per second that the platform's store sustains.
pub(super) const STORE_READS_PER_S: u32 = 2_000;
/// Writes per second that the platform's store sustains.
pub(super) const STORE_WRITES_PER_S: u32 = 300;
/// Time that a store call takes.
const STORE_LATENCY: Duration = Duration::from_millis(2);
/// One-way delay within a failure domain.
const SAME_DOMAIN_DELAY: Duration = Duration::from_micros(500);
/// One-way delay between failure domains of a region.
const SAME_REGION_DELAY: Duration = Duration::from_millis(1);
/// One-way delay between regions.
const CROSS_REGION_DELAY: Duration = Duration::from_millis(20);
/// Longest random delay added to each message.
const MAX_JITTER: Duration = Duration::from_millis(1);
/// Size of a request, or of an answer without contents, with framing.
const MESSAGE_BYTES: u64 = 64;
/// Attempts at a read that the store refuses because of its rate limit, as in the HTTP client.
const MAX_READ_ATTEMPTS: u32 = 3;
/// Pauses between attempts.
pub(super) const BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(50),
    max: Duration::from_secs(1),
};
/// Interval at which the store's counters are sampled.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(100);

/// Size of a fleet.
#[derive(Clone, Copy, Debug)]
pub(super) struct FleetSize {
    pub(super) processes: usize,
    pub(super) domains: usize,
    pub(super) regions: usize,
    pub(super) accounts: usize,
}

/// Size that the system is designed for.
pub(super) const DESIGN_SIZE: FleetSize = FleetSize {
    processes: 1_160,
    domains: 8,
    regions: 2,
    accounts: 2_700,
};

/// Size of today's fleet.
pub(super) const TODAY_SIZE: FleetSize = FleetSize {
    processes: 37,
    domains: 3,
    regions: 1,
    accounts: 10,
};

/// How a process responds to messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PeerState {
    /// It answers.
    Open,
    /// It refuses connections.
    Closed,
    /// It accepts messages and never answers.
    Silent,
}

struct Process {
    domain: usize,
    state: PeerState,
    follower: ConfigFollower,
    bytes: Arc<AtomicU64>,
}

/// The network between processes.
pub(super) struct Network {
    size: FleetSize,
    processes: RwLock<BTreeMap<VmName, Process>>,
    rng: Mutex<StdRng>,
}

impl Network {
    fn delay(&self, a: usize, b: usize) -> Duration {
        let region = |domain: usize| domain % self.size.regions;
        let base = match (a == b, region(a) == region(b)) {
            (true, _) => SAME_DOMAIN_DELAY,
            (false, true) => SAME_REGION_DELAY,
            (false, false) => CROSS_REGION_DELAY,
        };
        let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
        base + MAX_JITTER.mul_f64(rng.random())
    }

    fn find(&self, name: &VmName) -> Option<(usize, PeerState, ConfigFollower, Arc<AtomicU64>)> {
        let processes = self
            .processes
            .read()
            .unwrap_or_else(PoisonError::into_inner);
        let p = processes.get(name)?;
        Some((p.domain, p.state, p.follower.clone(), Arc::clone(&p.bytes)))
    }

    fn with<T>(&self, f: impl FnOnce(&mut BTreeMap<VmName, Process>) -> T) -> T {
        let processes = self.processes.write();
        f(&mut processes.unwrap_or_else(PoisonError::into_inner))
    }
}

/// Sends the messages of one process to its peers.
struct PeerLink {
    network: Arc<Network>,
    domain: usize,
    bytes: Arc<AtomicU64>,
}

#[async_trait]
impl ConfigPeer for PeerLink {
    async fn fetch(
        &self,
        peer: &VmName,
        have: Revision,
        wait: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        let found = self.network.find(peer);
        let peer_domain = found.as_ref().map_or(self.domain, |f| f.0);
        sleep(self.network.delay(self.domain, peer_domain)).await;
        let (answer, peer_bytes) = match found {
            Some((_, PeerState::Open, follower, bytes)) => {
                (follower.serve(have, wait).await, bytes)
            }
            Some((_, PeerState::Silent, ..)) => std::future::pending().await,
            Some((_, PeerState::Closed, ..)) | None => return Err(PeerError("refused".into())),
        };
        let len = answer.contents.as_ref().map_or(0, |b| b.len() as u64);
        let transferred = 2 * MESSAGE_BYTES + len;
        peer_bytes.fetch_add(transferred, Ordering::Relaxed);
        self.bytes.fetch_add(transferred, Ordering::Relaxed);
        sleep(self.network.delay(self.domain, peer_domain)).await;
        Ok(answer)
    }
}

/// The store connection of one process; it can be cut, and its watches can stop waking early.
pub(super) struct StoreLink {
    store: MemoryStore,
    watch_wakeups_disabled: AtomicBool,
    disconnected: AtomicBool,
}

impl StoreLink {
    fn new(store: &MemoryStore) -> Self {
        Self {
            store: store.clone(),
            watch_wakeups_disabled: AtomicBool::new(false),
            disconnected: AtomicBool::new(false),
        }
    }

    pub(super) fn disable_watch_wakeups(&self) {
        self.watch_wakeups_disabled.store(true, Ordering::Relaxed);
    }

    pub(super) fn disconnect(&self) {
        self.disconnected.store(true, Ordering::Relaxed);
    }
}

#[async_trait]
impl Store for StoreLink {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        if self.disconnected.load(Ordering::Relaxed) {
            return Err(StoreError::Unavailable);
        }
        let mut attempts = 0;
        loop {
            let found = self.store.get(key).await;
            attempts += 1;
            if found != Err(StoreError::RateLimited) || attempts == MAX_READ_ATTEMPTS {
                return found;
            }
            let pause = BACKOFF.pause(attempts, &mut rand::rng());
            sleep(pause).await;
        }
    }

    async fn put(
        &self,
        key: &str,
        value: bytes::Bytes,
        expect: Precondition,
    ) -> Result<StoreVersion, StoreError> {
        self.store.put(key, value, expect).await
    }

    async fn put_leased(
        &self,
        key: &str,
        value: bytes::Bytes,
        expect: Precondition,
        lease: LeaseId,
    ) -> Result<StoreVersion, StoreError> {
        self.store.put_leased(key, value, expect, lease).await
    }

    async fn delete(&self, key: &str, expect: Precondition) -> Result<(), StoreError> {
        self.store.delete(key, expect).await
    }

    async fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        if self.disconnected.load(Ordering::Relaxed) {
            return Err(StoreError::Unavailable);
        }
        if self.watch_wakeups_disabled.load(Ordering::Relaxed) {
            sleep(wait).await;
            return self.store.watch(key, after, Duration::ZERO).await;
        }
        self.store.watch(key, after, wait).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.store.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.store.renew_lease(lease).await
    }
}

/// Opens a store with the latency and rate limits of the platform's.
pub(super) fn open_store() -> MemoryStore {
    MemoryStore::open(MemoryStoreConfig {
        latency: STORE_LATENCY,
        reads_per_s: Some(STORE_READS_PER_S),
        writes_per_s: Some(STORE_WRITES_PER_S),
        ..MemoryStoreConfig::default()
    })
}

/// What was observed at the processes of a run.
#[derive(Default)]
pub(super) struct Observed {
    /// Installations of a revision older than the one that the process had.
    pub(super) reverted: AtomicU64,
}

/// A running process with its store connection.
pub(super) struct Running {
    pub(super) follower: ConfigFollower,
    pub(super) link: Arc<StoreLink>,
    observer: JoinHandle<()>,
}

/// A fleet of configuration followers.
pub(super) struct ConfigFleet {
    pub(super) store: MemoryStore,
    pub(super) repository: Repository,
    pub(super) members: Vec<Member>,
    pub(super) running: BTreeMap<usize, Running>,
    pub(super) observed: Arc<Observed>,
    network: Arc<Network>,
    seed: u64,
    bytes: Vec<Arc<AtomicU64>>,
}

impl ConfigFleet {
    pub(super) fn new(size: FleetSize, seed: u64) -> Self {
        let store = open_store();
        let repository_cfg = RepositoryConfig {
            seed: Some(seed),
            ..RepositoryConfig::default()
        };
        let operator = Arc::new(StoreLink::new(&store));
        let members = (0..size.processes).map(|i| Member {
            name: VmName::new(&format!("vm-{i}")),
            domain: DomainName::new(&format!("domain-{}", i % size.domains)),
        });
        Self {
            repository: Repository::open(operator, repository_cfg),
            store,
            members: members.collect(),
            running: BTreeMap::new(),
            observed: Arc::default(),
            network: Arc::new(Network {
                size,
                processes: RwLock::default(),
                rng: Mutex::new(StdRng::seed_from_u64(seed)),
            }),
            seed,
            bytes: (0..size.processes).map(|_| Arc::default()).collect(),
        }
    }

    /// Applies the first revision, with the number of accounts of the fleet size.
    pub(super) async fn apply_first(&self) -> eyre::Result<Revision> {
        let accounts = self.network.size.accounts;
        let edit = Edit::from_fn(&Catalog::default(), |c| {
            for i in 0..accounts {
                let name = AccountName::new(&format!("account-{i}"));
                c.accounts.insert(name, account(i));
            }
        });
        Ok(self.repository.change(&edit, &meta()).await?.revision)
    }

    /// Changes the limit of one account, so that one part of the catalog changes.
    pub(super) async fn apply_next(&self, i: u32) -> eyre::Result<Revision> {
        let seen = self.repository.read().await?;
        let name = format!("account-{}", i as usize % self.network.size.accounts);
        let edit = Edit::from_fn(seen.catalog(), |c| {
            if let Some(a) = c.accounts.get_mut(name.as_str()) {
                a.requests_per_s += 1;
            }
        });
        Ok(self.repository.change(&edit, &meta()).await?.revision)
    }

    pub(super) fn start(&mut self, i: usize) {
        let me = self.members[i].clone();
        let domain = i % self.network.size.domains;
        let link = Arc::new(StoreLink::new(&self.store));
        let bytes = Arc::clone(&self.bytes[i]);
        let peer_link = PeerLink {
            network: Arc::clone(&self.network),
            domain,
            bytes: Arc::clone(&bytes),
        };
        self.seed += 1;
        let cfg = FollowerConfig {
            seed: Some(self.seed),
            ..FollowerConfig::default()
        };
        let store: Arc<dyn Store> = link.clone();
        let follower = ConfigFollower::spawn_with_members(
            cfg,
            me.clone(),
            self.members.clone(),
            store,
            Arc::new(peer_link),
        );
        let observer = tokio::spawn(observe(follower.events(), Arc::clone(&self.observed)));
        let process = Process {
            domain,
            state: PeerState::Open,
            follower: follower.clone(),
            bytes,
        };
        self.network.with(|p| p.insert(me.name, process));
        let running = Running {
            follower,
            link,
            observer,
        };
        self.running.insert(i, running);
    }

    pub(super) fn start_all(&mut self) {
        for i in 0..self.members.len() {
            self.start(i);
        }
    }

    /// Stops a process; from now on messages to it are handled as `state` says.
    pub(super) fn stop(&mut self, i: usize, state: PeerState) {
        if let Some(running) = self.running.remove(&i) {
            running.observer.abort();
            running.link.disconnect();
        }
        self.network.with(|processes| match state {
            PeerState::Closed | PeerState::Open => drop(processes.remove(&self.members[i].name)),
            PeerState::Silent => {
                if let Some(p) = processes.get_mut(&self.members[i].name) {
                    p.state = state;
                }
            }
        });
    }

    pub(super) fn restart(&mut self, i: usize) {
        self.stop(i, PeerState::Closed);
        self.start(i);
    }

    /// Returns the processes that watch the store for their peers, by failure domain.
    pub(super) fn relays(&self) -> BTreeMap<DomainName, Vec<usize>> {
        let mut relays: BTreeMap<_, Vec<_>> = BTreeMap::new();
        for (i, running) in &self.running {
            if running.follower.status().relay {
                let domain = self.members[*i].domain.clone();
                relays.entry(domain).or_default().push(*i);
            }
        }
        relays
    }

    /// Waits until every process holds a revision, or until `timeout`; returns the time it took.
    pub(super) async fn time_until_all_hold(
        &self,
        revision: Revision,
        timeout: Duration,
    ) -> Duration {
        let started_at = Instant::now();
        let mut waiting: Vec<_> = self.running.values().map(|r| &r.follower).collect();
        loop {
            waiting.retain(|f| f.revision() < revision);
            let passed = started_at.elapsed();
            if waiting.is_empty() || passed >= timeout {
                return passed;
            }
            sleep(Duration::from_millis(2)).await;
        }
    }

    /// Returns the mean and the maximum of the bytes sent and received per process since the last
    /// call.
    pub(super) fn take_bytes(&self) -> (f64, f64) {
        let counts = self
            .bytes
            .iter()
            .map(|b| b.swap(0, Ordering::Relaxed) as f64);
        let counts: Vec<_> = counts.collect();
        let sum: f64 = counts.iter().sum();
        (
            sum / counts.len() as f64,
            counts.iter().copied().fold(0.0, f64::max),
        )
    }

    pub(super) fn reverted(&self) -> u64 {
        self.observed.reverted.load(Ordering::Relaxed)
    }
}

impl Drop for ConfigFleet {
    /// Breaks the reference cycle between the network and its processes.
    fn drop(&mut self) {
        self.network.with(BTreeMap::clear);
    }
}

async fn observe(
    mut events: tokio::sync::broadcast::Receiver<ConfigEvent>,
    observed: Arc<Observed>,
) {
    let mut installed = Revision::default();
    while let Ok(event) = events.recv().await {
        let ConfigEvent::Installed { revision, .. } = event else {
            continue;
        };
        if revision < installed {
            observed.reverted.fetch_add(1, Ordering::Relaxed);
        }
        installed = revision;
    }
}

fn account(i: usize) -> ClientAccount {
    ClientAccount {
        key_digests: vec![Digest::of(&i.to_be_bytes())],
        requests_per_s: 10,
        burst: 20,
        max_in_flight: 8,
        weight: 1,
    }
}

fn meta() -> ChangeMeta {
    ChangeMeta {
        author: "bench".into(),
        message: "change one limit".into(),
        at_unix_ms: 0,
    }
}

/// Measures the call rates at the store, including the busiest second.
pub(super) struct StoreMeter {
    store: MemoryStore,
    started_at: Instant,
    first: CallCounts,
    samples: Arc<Mutex<Vec<CallCounts>>>,
    sampler: JoinHandle<()>,
}

/// Calls at the store.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct StoreRates {
    /// Mean reads and watches per second.
    pub(super) reads_per_s: f64,
    /// Reads and watches in the busiest second.
    pub(super) reads_peak_per_s: f64,
    /// Total reads and watches.
    pub(super) reads: f64,
    /// Mean writes per second.
    pub(super) writes_per_s: f64,
    /// Calls refused because of the rate limit.
    pub(super) refused: f64,
}

impl StoreMeter {
    pub(super) fn begin(store: &MemoryStore) -> Self {
        let samples = Arc::new(Mutex::new(vec![store.counts()]));
        let sampled = Arc::clone(&samples);
        let source = store.clone();
        let sampler = tokio::spawn(async move {
            loop {
                sleep(SAMPLE_INTERVAL).await;
                let mut samples = sampled.lock().unwrap_or_else(PoisonError::into_inner);
                samples.push(source.counts());
            }
        });
        Self {
            store: store.clone(),
            started_at: Instant::now(),
            first: store.counts(),
            samples,
            sampler,
        }
    }

    pub(super) fn end(self) -> StoreRates {
        self.sampler.abort();
        let seconds = self.started_at.elapsed().as_secs_f64();
        let counts = self.store.counts().delta_since(&self.first);
        let samples = self.samples.lock().unwrap_or_else(PoisonError::into_inner);
        let samples_per_window = (1.0 / SAMPLE_INTERVAL.as_secs_f64()) as usize;
        let windows = samples
            .windows(samples_per_window.min(samples.len() - 1) + 1)
            .map(|w| w[w.len() - 1].delta_since(&w[0]).read_calls());
        StoreRates {
            reads_per_s: counts.read_calls() as f64 / seconds,
            reads_peak_per_s: windows.max().unwrap_or_default() as f64,
            reads: counts.read_calls() as f64,
            writes_per_s: counts.writes as f64 / seconds,
            refused: counts.refused as f64,
        }
    }
}
