//! Stand-ins for the platform's store and VM list, and the upstreams.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{SystemTime, UNIX_EPOCH};

use oriole_catalog::prelude::{ChangeMeta, Edit, Repository, RepositoryConfig};
use oriole_standins::engine::{Engine, EngineConfig};
use oriole_standins::group::{GroupConfig, LockStep};
use oriole_standins::health::{HealthState, UpstreamView};
use oriole_standins::ledger::Ledger;
use oriole_standins::service::{Service, ServiceConfig};
use oriole_standins::store::{StoreServer, StoreServerConfig};
use oriole_standins::vm_list::{VmListConfig, VmListServer};
use oriole_store::store::Store;
use oriole_types::prelude::*;

use crate::spec::DeploymentSpec;

/// A stand-in for an upstream.
pub enum Upstream {
    /// Model engine.
    Engine(Engine),
    /// Service without a model.
    Service(Service),
}

/// An upstream with the VM that runs it.
pub struct UpstreamVm {
    /// Name of the VM.
    pub name: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Pool that it serves.
    pub pool: PoolName,
    /// The upstream itself.
    pub upstream: Upstream,
}

/// The stand-ins for the platform, and the upstreams.
pub struct Platform {
    /// Stand-in for the key-value store.
    pub store: StoreServer,
    /// Stand-in for the VM list.
    pub vm_list: VmListServer,
    /// Number of executions per idempotency key, counted by the services.
    pub ledger: Ledger,
    /// Step synchronization of the model group's engines; `None` if no group runs.
    pub group: Option<Arc<LockStep>>,
    /// All upstreams.
    pub upstreams: Vec<UpstreamVm>,
}

impl Upstream {
    /// Listening address.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.addr(),
            Self::Service(service) => service.addr(),
        }
    }

    /// Sets its health state, for example to make it stall or crash.
    pub fn set_state(&self, state: HealthState) {
        match self {
            Self::Engine(engine) => engine.set_state(state),
            Self::Service(service) => service.set_state(state),
        }
    }

    /// Its counters and state so far.
    #[must_use]
    pub fn view(&self) -> UpstreamView {
        match self {
            Self::Engine(engine) => engine.view(),
            Self::Service(service) => service.view(),
        }
    }
}

impl Platform {
    /// Starts the stand-ins and writes the catalog to the store.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the catalog is refused.
    pub async fn bind(spec: &DeploymentSpec) -> eyre::Result<Self> {
        let store = StoreServer::bind(loopback(), StoreServerConfig::default()).await?;
        apply_catalog(Arc::new(store.store().clone()), &spec.catalog_with_group()).await?;
        let list = VmListConfig {
            lag: spec.vm_list_lag,
        };
        let vm_list = VmListServer::bind(list, Vec::new()).await?;
        let ledger = Ledger::default();
        let group = spec.group().map(|(_, g)| spawn_group(&g));
        let upstreams = bind_upstreams(spec, &ledger, group.as_ref()).await?;
        Ok(Self {
            group,
            store,
            vm_list,
            ledger,
            upstreams,
        })
    }

    /// Finds an upstream by the name of its VM.
    #[must_use]
    pub fn upstream(&self, name: &VmName) -> Option<&UpstreamVm> {
        self.upstreams.iter().find(|u| u.name == *name)
    }
}

/// Loopback address with port 0, for which the system chooses a free port.
#[must_use]
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn apply_catalog(store: Arc<dyn Store>, catalog: &Catalog) -> eyre::Result<()> {
    let repository = Repository::open(store, RepositoryConfig::default());
    let edit = Edit::between(&Catalog::default(), catalog);
    let meta = ChangeMeta {
        author: "oriole-local".into(),
        message: "first catalog".into(),
        at_unix_ms: unix_ms(),
    };
    repository.change(&edit, &meta).await?;
    Ok(())
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |d| u64::try_from(d.as_millis()).unwrap_or(u64::MAX))
}

async fn bind_upstreams(
    spec: &DeploymentSpec,
    ledger: &Ledger,
    group: Option<&Arc<LockStep>>,
) -> eyre::Result<Vec<UpstreamVm>> {
    let domains: Vec<&DomainName> = spec.catalog.domains.keys().collect();
    let mut upstreams = Vec::new();
    for (pool_name, pool) in &spec.catalog.pools {
        let count = match pool.kind {
            PoolKind::Engine => spec.engines,
            PoolKind::Service => spec.services,
        };
        for (i, domain) in (1..=count).zip(domains.iter().copied().cycle()) {
            let name = vm_name(pool_name, i);
            let upstream = match pool.kind {
                PoolKind::Engine => {
                    let mut cfg = engine_config(spec, pool, &name, domain);
                    let in_group = spec.group_pool.as_ref() == Some(pool_name);
                    let group = group.filter(|_| in_group);
                    cfg.group = group.map(|g| g.rank(rank_of(pool_name, count, i)));
                    Upstream::Engine(Engine::bind(cfg).await?)
                }
                PoolKind::Service => {
                    let cfg = service_config(spec, pool, &name, domain);
                    Upstream::Service(Service::bind(cfg, ledger.clone()).await?)
                }
            };
            upstreams.push(UpstreamVm {
                name,
                domain: domain.clone(),
                pool: pool_name.clone(),
                upstream,
            });
        }
    }
    Ok(upstreams)
}

fn spawn_group(group: &Group) -> Arc<LockStep> {
    LockStep::spawn(GroupConfig {
        ranks: group.ranks as usize,
        experts: group.experts as usize,
        layers: group.layers as usize,
        ..GroupConfig::default()
    })
}

/// Name of the VM with this number in a pool; numbers start at 1.
fn vm_name(pool: &PoolName, number: usize) -> VmName {
    VmName::new(&format!("{pool}-{number}"))
}

/// Rank of a VM: its index among the pool's `count` VMs, sorted by name.
fn rank_of(pool: &PoolName, count: usize, number: usize) -> usize {
    let name = vm_name(pool, number);
    (1..=count).filter(|n| vm_name(pool, *n) < name).count()
}

fn engine_config(
    spec: &DeploymentSpec,
    pool: &Pool,
    name: &VmName,
    domain: &DomainName,
) -> EngineConfig {
    let mut cfg = spec.engine.clone();
    cfg.health.name = name.clone();
    cfg.health.domain = domain.clone();
    cfg.health.cold_concurrency = pool.cold_concurrency;
    cfg.slots = pool.warm_concurrency;
    cfg.checks_fencing = pool.checks_fencing;
    cfg
}

fn service_config(
    spec: &DeploymentSpec,
    pool: &Pool,
    name: &VmName,
    domain: &DomainName,
) -> ServiceConfig {
    let mut cfg = spec.service.clone();
    cfg.health.name = name.clone();
    cfg.health.domain = domain.clone();
    cfg.health.cold_concurrency = pool.cold_concurrency;
    cfg
}
