//! What is deployed.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use oriole_catalog::prelude::{AccountKey, Document};
use oriole_standins::engine::EngineConfig;
use oriole_standins::service::ServiceConfig;
use oriole_types::prelude::*;

/// Requests a second of a large account.
const LARGE_REQUESTS_PER_S: u32 = 2_000;

/// Requests a second of a small account.
const SMALL_REQUESTS_PER_S: u32 = 200;

/// Experts in a layer of the model group.
const GROUP_EXPERTS: u32 = 64;

/// Layers of the model group.
const GROUP_LAYERS: u32 = 2;

/// Slots of a rank in a layer beyond those that hold each expert once.
const SPARE_SLOTS: u32 = 2;

/// A deployment that comes with the project.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum DeploymentName {
    /// A recycler's dispatch models and ledger.
    #[default]
    Grucce,
    /// A hire franchise's assistant, bookings and stock.
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
    /// The catalog, without accounts, as operators write it.
    #[must_use]
    pub fn document(self) -> &'static str {
        match self {
            Self::Grucce => include_str!("../deployments/grucce.toml"),
            Self::Islandwash => include_str!("../deployments/islandwash.toml"),
        }
    }

    /// Requests of the demonstration workload, one JSON document a line.
    #[must_use]
    pub fn workload(self) -> &'static str {
        match self {
            Self::Grucce => include_str!("../../../examples/workloads/grucce.jsonl"),
            Self::Islandwash => include_str!("../../../examples/workloads/islandwash.jsonl"),
        }
    }

    /// Pool whose engines step together.
    fn group_pool(self) -> Option<&'static str> {
        match self {
            Self::Grucce => Some("dispatch"),
            Self::Islandwash => None,
        }
    }

    /// Names of the client accounts; the first ones are large.
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

/// What is deployed: catalog, accounts with their keys, and numbers of VMs.
#[derive(Clone, Debug)]
pub struct DeploymentSpec {
    /// The catalog with the accounts' key digests.
    pub catalog: Catalog,
    /// Keys of the accounts.
    pub keys: BTreeMap<AccountName, String>,
    /// Number of entry VMs, dealt out over the failure domains.
    pub entries: usize,
    /// Number of upstream VMs of each engine pool.
    pub engines: usize,
    /// Number of upstream VMs of each service pool.
    pub services: usize,
    /// How engines work; name, domain and cold concurrency are set per VM.
    pub engine: EngineConfig,
    /// How services work; name, domain and cold concurrency are set per VM.
    pub service: ServiceConfig,
    /// Age of the VM list.
    pub vm_list_lag: Duration,
    /// Time between two reads of the VM list by each daemon, in milliseconds.
    pub vm_list_period_ms: u64,
    /// Worker threads of each daemon.
    pub daemon_threads: usize,
    /// Engine pool whose upstreams are the ranks of one model group; none if no group is run.
    pub group_pool: Option<PoolName>,
    /// Time for which callers keep endpoint answers, in milliseconds.
    pub endpoint_ttl_ms: u32,
    /// Lowest log level of the daemons.
    pub log_level: slog::Level,
}

impl DeploymentSpec {
    /// A deployment that comes with the project, at a size for a laptop.
    ///
    /// # Errors
    ///
    /// Fails if its catalog is not valid, which a test excludes.
    pub fn named(name: DeploymentName) -> eyre::Result<Self> {
        let document = Document::parse("deployment.toml", name.document())?;
        let mut spec = Self::from_catalog(document.catalog);
        spec.group_pool = name.group_pool().map(PoolName::from);
        for (i, account) in name.accounts().iter().enumerate() {
            spec.add_account(account, i < 3);
        }
        Ok(spec)
    }

    /// A deployment of some catalog, without accounts.
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
            daemon_threads: 1,
            group_pool: None,
            endpoint_ttl_ms: 2_000,
            log_level: slog::Level::Warning,
        }
    }

    /// The same deployment with as many VMs as its users run.
    #[must_use]
    pub fn at_full_size(mut self) -> Self {
        self.entries = 18;
        self.engines = 16;
        self.services = 3;
        self
    }

    /// The model group that is run, with one rank for each engine; named like its pool.
    #[must_use]
    pub fn group(&self) -> Option<(GroupName, Group)> {
        let pool = self.group_pool.clone().filter(|_| self.engines > 0)?;
        let ranks = u32::try_from(self.engines).ok()?;
        let group = Group {
            pool: pool.clone(),
            ranks,
            experts: GROUP_EXPERTS,
            layers: GROUP_LAYERS,
            slots_per_rank: (GROUP_EXPERTS.div_ceil(ranks) + SPARE_SLOTS).min(GROUP_EXPERTS),
            expert_bytes: 1 << 20,
            weight_bytes_per_s: 1 << 30,
        };
        Some((GroupName::new(pool.as_str()), group))
    }

    /// The catalog with the model group that is run.
    #[must_use]
    pub fn catalog_with_group(&self) -> Catalog {
        let mut catalog = self.catalog.clone();
        catalog.groups.extend(self.group());
        catalog
    }

    /// Adds an account with a fresh key.
    pub fn add_account(&mut self, name: &str, large: bool) {
        let key = AccountKey::generate(&mut rand::rng());
        let requests_per_s = if large {
            LARGE_REQUESTS_PER_S
        } else {
            SMALL_REQUESTS_PER_S
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
