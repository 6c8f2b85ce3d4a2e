//! A small fleet in one process: real followers over the in-process store and delayed messages.
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

/// How messages to a process fare.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reach {
    Open,
    /// Refused at once.
    Closed,
    /// Never answered.
    Silent,
}

/// The network between processes.
#[derive(Clone)]
pub struct Net {
    shared: Arc<Mutex<NetState>>,
    pub longest_delay: Duration,
}

struct NetState {
    rng: StdRng,
    processes: BTreeMap<VmName, (Reach, ConfigFollower)>,
}

impl Net {
    pub fn new(seed: u64, longest_delay: Duration) -> Self {
        let rng = StdRng::seed_from_u64(seed);
        let processes = BTreeMap::new();
        let shared = Arc::new(Mutex::new(NetState { rng, processes }));
        Self {
            shared,
            longest_delay,
        }
    }

    pub fn join(&self, name: VmName, follower: ConfigFollower) {
        let mut net = self.shared.lock().unwrap();
        net.processes.insert(name, (Reach::Open, follower));
    }

    pub fn leave(&self, name: &VmName) {
        self.shared.lock().unwrap().processes.remove(name);
    }

    pub fn set_reach(&self, name: &VmName, reach: Reach) {
        if let Some(process) = self.shared.lock().unwrap().processes.get_mut(name) {
            process.0 = reach;
        }
    }

    pub fn delay(&self) -> Duration {
        let share: f64 = self.shared.lock().unwrap().rng.random();
        // Most messages are quick, a few are late.
        self.longest_delay.mul_f64(share.powi(4))
    }
}

#[async_trait]
impl ConfigPeer for Net {
    async fn fetch(
        &self,
        peer: &VmName,
        have: Revision,
        wait: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        sleep(self.delay()).await;
        let found = self.shared.lock().unwrap().processes.get(peer).cloned();
        let answer = match found {
            Some((Reach::Open, follower)) => follower.serve(have, wait).await,
            Some((Reach::Silent, _)) => std::future::pending().await,
            Some((Reach::Closed, _)) | None => return Err(PeerError("refused".into())),
        };
        sleep(self.delay()).await;
        Ok(answer)
    }
}

/// One process's way to the store.
#[derive(Clone)]
pub struct Link {
    store: MemoryStore,
    net: Net,
    /// Broken on purpose: a lost answer is reported as a failed write.
    pub lost_is_failed: bool,
    state: Arc<Mutex<LinkState>>,
}

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    #[default]
    Up,
    /// No call reaches the store.
    Cut,
    /// Watches never wake before their time.
    Deaf,
}

impl Link {
    pub fn new(store: MemoryStore, net: Net) -> Self {
        let state = Arc::default();
        let lost_is_failed = false;
        Self {
            store,
            net,
            lost_is_failed,
            state,
        }
    }

    pub fn set(&self, state: LinkState) {
        *self.state.lock().unwrap() = state;
    }

    fn state(&self) -> LinkState {
        *self.state.lock().unwrap()
    }

    async fn pass(&self) -> Result<(), StoreError> {
        sleep(self.net.delay()).await;
        match self.state() {
            LinkState::Cut => Err(StoreError::Unavailable),
            LinkState::Up | LinkState::Deaf => Ok(()),
        }
    }
}

#[async_trait]
impl Store for Link {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.pass().await?;
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
        self.pass().await?;
        let end = self.store.put(key, value, expect).await;
        sleep(self.net.delay()).await;
        match end {
            Err(StoreError::Ambiguous) if self.lost_is_failed => Err(StoreError::Unavailable),
            end => end,
        }
    }

    async fn put_leased(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
        lease: LeaseId,
    ) -> Result<StoreVersion, StoreError> {
        self.pass().await?;
        self.store.put_leased(key, value, expect, lease).await
    }

    async fn delete(&self, key: &str, expect: Precondition) -> Result<(), StoreError> {
        self.pass().await?;
        self.store.delete(key, expect).await
    }

    async fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        self.pass().await?;
        if self.state() == LinkState::Deaf {
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

/// A fleet with a store.
pub struct Fleet {
    pub store: MemoryStore,
    pub net: Net,
    pub members: Vec<Member>,
    pub cfg: SpreadConfig,
    pub install_rule: Option<Arc<dyn InstallRule>>,
    pub running: BTreeMap<VmName, (ConfigFollower, Link)>,
    starts: u64,
}

impl Fleet {
    pub fn new(domains: usize, per_domain: usize, cfg: SpreadConfig, net: Net) -> Self {
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
            starts: 0,
        }
    }

    pub fn start(&mut self, i: usize) {
        let me = self.members[i].clone();
        self.starts += 1;
        let mut cfg = FollowerConfig {
            spread: self.cfg,
            seed: Some(self.starts),
            ..FollowerConfig::default()
        };
        cfg.install_rule = self.install_rule.clone().unwrap_or(cfg.install_rule);
        let link = Link::new(self.store.clone(), self.net.clone());
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

    /// Waits until every process that runs holds a revision; false if that takes too long.
    pub async fn all_hold(&self, revision: Revision, longest: Duration) -> bool {
        let deadline = tokio::time::Instant::now() + longest;
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

/// Sets the region of a failure domain, which any two values of conflict.
pub fn set_region(catalog: &Catalog, domain: &str, region: &str) -> Edit {
    Edit::from_fn(catalog, |c| {
        let state = ServiceState::InService;
        let region = region.to_owned();
        let domain = DomainName::new(domain);
        c.domains.insert(domain, FailureDomain { region, state });
    })
}
