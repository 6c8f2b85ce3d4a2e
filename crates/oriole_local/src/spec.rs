//! Specifies a deployment: catalog, accounts, numbers of VMs.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use oriole_catalog::prelude::{AccountKey, Document};
use oriole_standins::engine::EngineConfig;
use oriole_standins::service::ServiceConfig;
use oriole_types::prelude::*;

/// Rate limit of a large account.
const LARGE_ACCOUNT_REQUESTS_PER_S: u32 = 2_000;

/// Rate limit of a small account.
const SMALL_ACCOUNT_REQUESTS_PER_S: u32 = 200;

/// Experts in each layer of the model group.
const GROUP_EXPERTS: u32 = 64;

/// Layers of the model group.
const GROUP_LAYERS: u32 = 2;

/// Expert slots of each rank and layer beyond those needed to hold every expert once.
const SPARE_SLOTS_PER_RANK: u32 = 2;

/// An example deployment that is part of the project.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeploymentName {
    /// Recycling company: dispatch models and a ledger.
    #[default]
    Grucce,
    /// Rental franchise: assistant, bookings and stock.
    Islandwash,
}

impl FromStr for DeploymentName {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        match text {
            "grucce" => Ok(Self::Grucce),
            "islandwash" => Ok(Self::Islandwash),
            _ => Err(format!(
                "no deployment {text:?}: allowed are grucce, islandwash"
            )),
        }
    }
}

impl DeploymentName {
    /// Catalog document in TOML, without accounts.
    #[must_use]
    pub fn document(self) -> &'static str {
        match self {
            Self::Grucce => include_str!("../deployments/grucce.toml"),
            Self::Islandwash => include_str!("../deployments/islandwash.toml"),
        }
    }

    /// Requests of the demonstration workload, one JSON document per line.
    #[must_use]
    pub fn workload(self) -> &'static str {
        match self {
            Self::Grucce => include_str!("../../../examples/workloads/grucce.jsonl"),
            Self::Islandwash => include_str!("../../../examples/workloads/islandwash.jsonl"),
        }
    }

    /// Pool whose engines form the model group; `None` for a deployment without one.
    fn group_pool(self) -> Option<&'static str> {
        match self {
            Self::Grucce => Some("dispatch"),
            Self::Islandwash => None,
        }
    }

    /// Names of the client accounts; the first three are large.
    fn accounts(self) -> &'static [&'static str] {
        match self {
            Self::Grucce => &[
                "cooperative-enna",
                "cooperative-gela",
                "laundries-caltanissetta",
                "laundries-gela",
                "mill-melilli",
                "mill-priolo",
                "dispatch-desk",
                "bookkeeper",
                "depot-niscemi",
                "depot-butera",
            ],
            Self::Islandwash => &[
                "franchise-san-fernando",
                "franchise-port-of-spain",
                "franchise-arima",
                "franchise-chaguanas",
                "franchise-scarborough",
                "franchise-couva",
                "franchise-point-fortin",
                "franchise-sangre-grande",
                "call-centre",
                "web-shop",
            ],
        }
    }
}

/// Specification of a deployment: catalog, accounts with their keys, and numbers of VMs.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// Catalog, with the digests of the account keys.
    pub catalog: Catalog,
    /// Account keys by account name.
    pub keys: BTreeMap<AccountName, String>,
    /// Number of entry VMs, distributed over the failure domains in turn.
    pub entries: usize,
    /// Number of upstream VMs of each engine pool.
    pub engines: usize,
    /// Number of upstream VMs of each service pool.
    pub services: usize,
    /// Engine configuration; fields that depend on the VM or its pool are set per VM.
    pub engine: EngineConfig,
    /// Service configuration; name, domain and cold concurrency are set per VM.
    pub service: ServiceConfig,
    /// Delay until readers of the VM list see a change.
    pub vm_list_lag: Duration,
    /// Interval at which each daemon reads the VM list, in milliseconds.
    pub vm_list_period_ms: u64,
    /// Memory of the entry VMs that their budget is derived from, in MB.
    pub entry_memory_mb: u64,
    /// Worker threads of each daemon.
    pub daemon_threads: usize,
    /// Engine pool whose upstreams are the ranks of the model group; `None` runs no group.
    pub group_pool: Option<PoolName>,
    /// How long callers may cache endpoint answers, in milliseconds.
    pub endpoint_ttl_ms: u32,
    /// Lowest log level of the daemons.
    pub log_level: slog::Level,
}

impl DeploymentSpec {
    /// Specifies an example deployment, sized for a laptop.
    ///
    /// # Errors
    ///
    /// Fails if its catalog document is invalid.
    pub fn named(name: DeploymentName) -> eyre::Result<Self> {
        let document = Document::parse("deployment.toml", name.document())?;
        let mut spec = Self::from_catalog(document.catalog);
        spec.group_pool = name.group_pool().map(PoolName::from);
        for (i, account) in name.accounts().iter().enumerate() {
            spec.add_account(account, i < 3);
        }
        Ok(spec)
    }

    /// Specifies a deployment of a catalog, without accounts.
    #[must_use]
    pub fn from_catalog(catalog: Catalog) -> Self {
        Self {
            catalog,
            keys: BTreeMap::new(),
            entries: 6,
            engines: 6,
            services: 3,
            engine: EngineConfig::default(),
            service: ServiceConfig::default(),
            vm_list_lag: Duration::from_millis(500),
            vm_list_period_ms: 300,
            entry_memory_mb: 512,
            daemon_threads: 1,
            group_pool: None,
            endpoint_ttl_ms: 2_000,
            log_level: slog::Level::Warning,
        }
    }

    /// Sets the numbers of VMs to those of a production deployment.
    #[must_use]
    pub fn at_full_size(mut self) -> Self {
        self.entries = 18;
        self.engines = 16;
        self.services = 3;
        self
    }

    /// The model group, with one rank per engine; it has the name of its pool. `None` if no group
    /// runs.
    #[must_use]
    pub fn group(&self) -> Option<(GroupName, Group)> {
        let pool = self.group_pool.clone().filter(|_| self.engines > 0)?;
        let ranks = u32::try_from(self.engines).ok()?;
        let group = Group {
            pool: pool.clone(),
            ranks,
            experts: GROUP_EXPERTS,
            layers: GROUP_LAYERS,
            slots_per_rank: (GROUP_EXPERTS.div_ceil(ranks) + SPARE_SLOTS_PER_RANK)
                .min(GROUP_EXPERTS),
            expert_bytes: 1 << 20,
            weight_bytes_per_s: 1 << 30,
        };
        Some((GroupName::new(pool.as_str()), group))
    }

    /// The catalog with the model group added.
    #[must_use]
    pub fn catalog_with_group(&self) -> Catalog {
        let mut catalog = self.catalog.clone();
        catalog.groups.extend(self.group());
        catalog
    }

    /// Adds an account with a newly generated key.
    pub fn add_account(&mut self, name: &str, large: bool) {
        let key = AccountKey::generate(&mut rand::rng());
        let requests_per_s = if large {
            LARGE_ACCOUNT_REQUESTS_PER_S
        } else {
            SMALL_ACCOUNT_REQUESTS_PER_S
        };
        let account = ClientAccount {
            key_digests: vec![key.digest()],
            requests_per_s,
            burst: requests_per_s,
            max_in_flight: requests_per_s * 4,
            weight: if large { 4 } else { 1 },
        };
        self.catalog.accounts.insert(name.into(), account);
        self.keys.insert(name.into(), key.reveal().to_owned());
    }
}
