//! The platform's stand-ins and the upstreams.

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

/// An upstream of either kind.
pub enum Upstream {
    /// A model engine.
    Engine(Engine),
    /// A plain service.
    Service(Service),
}

/// An upstream with its place in the fleet.
pub struct PlacedUpstream {
    /// Name of the VM.
    pub name: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
    /// Pool it serves.
    pub pool: PoolName,
    /// The upstream.
    pub upstream: Upstream,
}

/// The platform's stand-ins and the upstreams.
pub struct Platform {
    /// Key-value store.
    pub store: StoreServer,
    /// VM list.
    pub vm_list: VmListServer,
    /// Executions per idempotency key, as the plain services count them.
    pub ledger: Ledger,
    /// The engines that step together.
    pub group: Option<Arc<LockStep>>,
    /// All upstreams.
    pub upstreams: Vec<PlacedUpstream>,
}

impl Upstream {
    /// Address it listens at.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        match self {
            Self::Engine(engine) => engine.addr(),
            Self::Service(service) => service.addr(),
        }
    }

    /// Puts it into a state.
    pub fn set_state(&self, state: HealthState) {
        match self {
            Self::Engine(engine) => engine.set_state(state),
            Self::Service(service) => service.set_state(state),
        }
    }

    /// What it saw so far.
    #[must_use]
    pub fn view(&self) -> UpstreamView {
        match self {
            Self::Engine(engine) => engine.view(),
            Self::Service(service) => service.view(),
        }
    }
}

impl Platform {
    /// Binds the stand-ins and applies the catalog.
    ///
    /// # Errors
    ///
    /// Fails if an address cannot be bound or the catalog is refused.
    pub async fn bind(spec: &DeploymentSpec) -> eyre::Result<Self> {
        let store = StoreServer::bind(loopback(), StoreServerConfig::default()).await?;
        apply(Arc::new(store.store().clone()), &spec.whole_catalog()).await?;
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

    /// The upstream of some name.
    #[must_use]
    pub fn upstream(&self, name: &VmName) -> Option<&PlacedUpstream> {
        self.upstreams.iter().find(|u| u.name == *name)
    }
}

/// An address on loopback with a port that the system chooses.
#[must_use]
pub fn loopback() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn apply(store: Arc<dyn Store>, catalog: &Catalog) -> eyre::Result<()> {
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
) -> eyre::Result<Vec<PlacedUpstream>> {
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
            upstreams.push(PlacedUpstream {
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

/// Name of a pool's VM by its number, from 1 on.
fn vm_name(pool: &PoolName, number: usize) -> VmName {
    VmName::new(&format!("{pool}-{number}"))
}

/// Place of a pool's VM among all of them in the order of their names.
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
