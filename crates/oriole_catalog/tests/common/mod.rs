//! A test cluster in one process: real followers with an in-process store and delayed messages.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use oriole_catalog::prelude::*;
use oriole_catalog::spread::config::InstallRule;
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use tokio::time::sleep;

/// What happens to messages sent to a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reachability {
    /// They are delivered and answered.
    Open,
    /// They are refused at once.
    Closed,
    /// They are never answered.
    Silent,
}

/// The network between the processes, with random delays.
#[derive(Clone)]
pub struct TestNetwork {
    shared: Arc<Mutex<TestNetworkState>>,
    pub max_delay: Duration,
}

struct TestNetworkState {
    rng: StdRng,
    processes: BTreeMap<VmName, (Reachability, ConfigFollower)>,
}

impl TestNetwork {
    pub fn new(seed: u64, max_delay: Duration) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let processes = BTreeMap::new();
        let shared = Arc::new(Mutex::new(TestNetworkState { rng, processes }));
        Self { shared, max_delay }
    }

    pub fn join(&self, name: VmName, follower: ConfigFollower) {
        let mut net = self.shared.lock().unwrap();
        net.processes.insert(name, (Reachability::Open, follower));
    }

    pub fn leave(&self, name: &VmName) {
        self.shared.lock().unwrap().processes.remove(name);
    }

    pub fn set_reachability(&self, name: &VmName, reach: Reachability) {
        if let Some(process) = self.shared.lock().unwrap().processes.get_mut(name) {
            process.0 = reach;
        }
    }

    pub fn delay(&self) -> Duration {
        let share: f64 = self.shared.lock().unwrap().rng.random();
        // Most delays are short, a few are close to the maximum.
        self.max_delay.mul_f64(share.powi(4))
    }
}

#[async_trait]
impl ConfigPeer for TestNetwork {
    async fn fetch(
        &self,
        peer: &VmName,
        have: Revision,
        wait: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        sleep(self.delay()).await;
        let found = self.shared.lock().unwrap().processes.get(peer).cloned();
        let answer = match found {
            Some((Reachability::Open, follower)) => follower.serve(have, wait).await,
            Some((Reachability::Silent, _)) => std::future::pending().await,
            Some((Reachability::Closed, _)) | None => return Err(PeerError("refused".into())),
        };
        sleep(self.delay()).await;
        Ok(answer)
    }
}

/// The connection of one process to the store.
#[derive(Clone)]
pub struct StoreLink {
    store: MemoryStore,
    net: TestNetwork,
    /// Injects a bug: a lost answer is reported as a failed write.
    pub report_lost_as_failed: bool,
    state: Arc<Mutex<StoreLinkState>>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum StoreLinkState {
    #[default]
    Up,
    /// No call reaches the store.
    Cut,
    /// Watches return only when their wait is over.
    WatchesNeverWake,
}

impl StoreLink {
    pub fn new(store: MemoryStore, net: TestNetwork) -> Self {
        let state = Arc::default();
        let report_lost_as_failed = false;
        Self {
            store,
            net,
            report_lost_as_failed,
            state,
        }
    }

    pub fn set(&self, state: StoreLinkState) {
        *self.state.lock().unwrap() = state;
    }

    fn state(&self) -> StoreLinkState {
        *self.state.lock().unwrap()
    }

    async fn reach_store(&self) -> Result<(), StoreError> {
        sleep(self.net.delay()).await;
        match self.state() {
            StoreLinkState::Cut => Err(StoreError::Unavailable),
            StoreLinkState::Up | StoreLinkState::WatchesNeverWake => Ok(()),
        }
    }
}

#[async_trait]
impl Store for StoreLink {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.reach_store().await?;
        let found = self.store.get(key).await;
        sleep(self.net.delay()).await;
        found
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
    ) -> Result<StoreVersion, StoreError> {
        self.reach_store().await?;
        let result = self.store.put(key, value, expect).await;
        sleep(self.net.delay()).await;
        match result {
            Err(StoreError::Ambiguous) if self.report_lost_as_failed => {
                Err(StoreError::Unavailable)
            }
            result => result,
        }
    }

    async fn put_leased(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
        lease: LeaseId,
    ) -> Result<StoreVersion, StoreError> {
        self.reach_store().await?;
        self.store.put_leased(key, value, expect, lease).await
    }

    async fn delete(&self, key: &str, expect: Precondition) -> Result<(), StoreError> {
        self.reach_store().await?;
        self.store.delete(key, expect).await
    }

    async fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        self.reach_store().await?;
        if self.state() == StoreLinkState::WatchesNeverWake {
            sleep(wait).await;
            return self.store.watch(key, after, Duration::ZERO).await;
        }
        let found = self.store.watch(key, after, wait).await;
        sleep(self.net.delay()).await;
        found
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.store.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.store.renew_lease(lease).await
    }
}

/// Followers of all members, with their store and network.
pub struct TestCluster {
    pub store: MemoryStore,
    pub net: TestNetwork,
    pub members: Vec<Member>,
    pub cfg: SpreadConfig,
    pub install_rule: Option<Arc<dyn InstallRule>>,
    pub running: BTreeMap<VmName, (ConfigFollower, StoreLink)>,
    start_count: u64,
}

impl TestCluster {
    pub fn new(domains: usize, per_domain: usize, cfg: SpreadConfig, net: TestNetwork) -> Self {
        let members = (0..domains * per_domain).map(|i| Member {
            name: VmName::new(&format!("vm-{i}")),
            domain: DomainName::new(&format!("domain-{}", i % domains)),
        });
        Self {
            store: MemoryStore::new(),
            net,
            members: members.collect(),
            cfg,
            install_rule: None,
            running: BTreeMap::new(),
            start_count: 0,
        }
    }

    pub fn start(&mut self, i: usize) {
        let me = self.members[i].clone();
        self.start_count += 1;
        let mut cfg = FollowerConfig {
            spread: self.cfg,
            seed: Some(self.start_count),
            ..FollowerConfig::default()
        };
        cfg.install_rule = self.install_rule.clone().unwrap_or(cfg.install_rule);
        let link = StoreLink::new(self.store.clone(), self.net.clone());
        let follower = ConfigFollower::spawn_with_members(
            cfg,
            me.clone(),
            self.members.clone(),
            Arc::new(link.clone()),
            Arc::new(self.net.clone()),
        );
        self.net.join(me.name.clone(), follower.clone());
        self.running.insert(me.name, (follower, link));
    }

    pub fn start_all(&mut self) {
        for i in 0..self.members.len() {
            self.start(i);
        }
    }

    pub fn stop(&mut self, name: &VmName) {
        self.net.leave(name);
        self.running.remove(name);
    }

    pub fn name(&self, i: usize) -> VmName {
        self.members[i % self.members.len()].name.clone()
    }

    /// Waits until every running process holds a revision; returns `false` on a timeout.
    pub async fn wait_until_all_hold(&self, revision: Revision, timeout: Duration) -> bool {
        let deadline = tokio::time::Instant::now() + timeout;
        loop {
            let holds = |f: &ConfigFollower| f.revision() == revision;
            if self.running.values().all(|(f, _)| holds(f)) {
                return true;
            }
            if tokio::time::Instant::now() >= deadline {
                return false;
            }
            sleep(Duration::from_millis(100)).await;
        }
    }
}

pub fn repository<S: Store + Clone>(store: &S, seed: u64) -> Repository {
    let cfg = RepositoryConfig {
        kept_revisions: 8,
        seed: Some(seed),
        ..RepositoryConfig::default()
    };
    Repository::open(Arc::new(store.clone()), cfg)
}

pub fn meta(author: &str) -> ChangeMeta {
    ChangeMeta {
        author: author.into(),
        message: String::new(),
        at_unix_ms: 0,
    }
}

/// Creates an edit that sets the region of a failure domain. Edits that set different regions of the
/// same domain conflict.
pub fn set_region(catalog: &Catalog, domain: &str, region: &str) -> Edit {
    Edit::from_fn(catalog, |c| {
        let state = ServiceState::InService;
        let region = region.to_owned();
        let domain = DomainName::new(domain);
        c.domains.insert(domain, FailureDomain { region, state });
    })
}
