//! Fleet size, load and faults of a run.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_types::prelude::*;

use super::engine::{Engine, EngineConfig};
use super::slots::Slots;
use super::upstream::Upstream;

/// Pool of the model engines.
pub const MODELS: &str = "models";

/// Pool of the plain services, whose requests must not run twice.
pub const LEDGERS: &str = "ledgers";

/// Service time of a plain service.
const LEDGER_SERVICE_TIME: Duration = Duration::from_millis(20);

/// Requests of one account.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Account that sends the requests.
    pub account: AccountName,
    /// Requests per second.
    pub requests_per_s: f64,
    /// Whether they go to the plain services instead of the model engines.
    pub uses_ledgers: bool,
    /// Whether all requests have one key and one prompt prefix.
    pub one_key: bool,
    /// Shares of the requests with high and low priority; the rest is normal.
    pub high_low: (f64, f64),
    /// Limits of the account in the catalog.
    pub limits: ClientAccount,
}

/// A fault or an operation during a run.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// An upstream starts or stops failing every request.
    Failing(usize, bool),
    /// An upstream turns cold without notice.
    TurnCold(usize),
    /// An entry crashes.
    EntryCrash(usize),
    /// Operators drain a failure domain or return it to service.
    Domain(usize, ServiceState),
}

/// Configuration of a run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Number of entries.
    pub entries: usize,
    /// Number of model engines.
    pub upstreams: usize,
    /// Number of plain services; their indices follow those of the engines.
    pub ledgers: usize,
    /// Whether upstreams are [`Engine`]s, which can be cold, instead of [`Slots`], which are always
    /// warm.
    pub engines: bool,
    /// Number of failure domains.
    pub domains: usize,
    /// Requests in flight that a warm upstream can take.
    pub warm_concurrency: u32,
    /// Requests in flight that a cold upstream can take.
    pub cold_concurrency: u32,
    /// Median service time.
    pub service_time: Duration,
    /// Standard deviation of the logarithm of service times.
    pub sigma: f64,
    /// One-way network delay between failure domains and between callers and entries.
    pub one_way: Duration,
    /// Time that a caller allows for a request.
    pub timeout: Duration,
    /// Length of the part before the measured one.
    pub warm_up: Duration,
    /// Length of the measured part.
    pub measured: Duration,
    /// Load of each account.
    pub traffic: Vec<Traffic>,
    /// Faults with the times at which they happen.
    pub faults: Vec<(Duration, Fault)>,
    /// Seed of everything random in the run.
    pub seed: u64,
}

impl Default for Setup {
    fn default() -> Self {
        Self {
            entries: 18,
            upstreams: 16,
            ledgers: 0,
            engines: false,
            domains: 3,
            warm_concurrency: 16,
            cold_concurrency: 2,
            service_time: Duration::from_millis(200),
            sigma: 0.4,
            one_way: Duration::from_millis(1),
            timeout: Duration::from_secs(5),
            warm_up: Duration::from_secs(5),
            measured: Duration::from_secs(20),
            traffic: Vec::new(),
            faults: Vec::new(),
            seed: 1,
        }
    }
}

impl Setup {
    /// Returns the requests per second that `upstreams` engines answer at full load.
    #[must_use]
    pub fn capacity_of(&self, upstreams: usize) -> f64 {
        let mean_s = self.service_time.as_secs_f64() * (self.sigma * self.sigma / 2.0).exp();
        upstreams as f64 * f64::from(self.warm_concurrency) / mean_s
    }

    /// Returns the requests per second that all engines answer at full load.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.capacity_of(self.upstreams)
    }

    /// Sets up ten accounts, three of them large, that together send `requests_per_s`.
    pub fn set_offered_load(&mut self, requests_per_s: f64) -> &mut Self {
        const PARTS: [f64; 10] = [0.25, 0.25, 0.2, 0.06, 0.06, 0.05, 0.05, 0.04, 0.02, 0.02];
        let traffic = |(i, part): (usize, &f64)| Traffic {
            account: AccountName::new(&format!("account{i}")),
            requests_per_s: requests_per_s * part,
            uses_ledgers: false,
            one_key: false,
            high_low: (0.1, 0.3),
            limits: unlimited(),
        };
        self.traffic = PARTS.iter().enumerate().map(traffic).collect();
        self
    }

    /// Returns the end of the measured part.
    #[must_use]
    pub fn end(&self) -> Duration {
        self.warm_up + self.measured
    }

    /// Returns the VM list.
    #[must_use]
    pub fn vm_list(&self) -> VmList {
        let entries = (0..self.entries).map(|i| self.record(&entry_name(i), i, VmRole::Entry));
        let role = |i| VmRole::Upstream {
            pool: self.pool_of(i),
        };
        let upstreams =
            (0..self.all_upstreams()).map(|i| self.record(&upstream_name(i), i, role(i)));
        VmList {
            version: 1,
            vms: entries.chain(upstreams).collect(),
        }
    }

    /// Returns the catalog.
    #[must_use]
    pub fn catalog(&self) -> Catalog {
        let mut catalog = Catalog {
            revision: Revision(1),
            ..Catalog::default()
        };
        let timeout_ms = self.timeout.as_millis() as u32;
        for (name, kind) in [(MODELS, PoolKind::Engine), (LEDGERS, PoolKind::Service)] {
            let pool = Pool {
                kind,
                cold_concurrency: self.cold_concurrency,
                warm_concurrency: self.warm_concurrency,
                checks_fencing: false,
                claim_partitions: 8,
            };
            catalog.pools.insert(name.into(), pool);
            let idempotent = kind == PoolKind::Engine;
            let entry = CatalogEntry {
                owner: "bench".to_owned(),
                class: RequestClass {
                    idempotent,
                    priority: Priority::Normal,
                    stream: false,
                },
                pool: name.into(),
                model: None,
                max_body_bytes: 1 << 20,
                requests_per_s: 1_000_000,
                default_timeout_ms: timeout_ms,
                max_timeout_ms: timeout_ms,
            };
            catalog.entries.insert(name.into(), entry);
        }
        for t in &self.traffic {
            catalog.accounts.insert(t.account.clone(), t.limits.clone());
        }
        catalog
    }

    /// Returns the number of engines and plain services.
    #[must_use]
    pub fn all_upstreams(&self) -> usize {
        self.upstreams + self.ledgers
    }

    /// Returns the pool of an upstream.
    #[must_use]
    pub fn pool_of(&self, upstream: usize) -> PoolName {
        if upstream < self.upstreams {
            MODELS.into()
        } else {
            LEDGERS.into()
        }
    }

    /// Creates the upstream with index `i`; `gated` selects the agent's real gate.
    #[must_use]
    pub fn upstream(&self, i: usize, gated: bool) -> Box<dyn Upstream> {
        if !self.engines {
            return Box::new(Slots::new(
                self.warm_concurrency,
                self.service_time,
                self.sigma,
            ));
        }
        let is_engine = i < self.upstreams;
        let cfg = EngineConfig {
            kind: if is_engine {
                PoolKind::Engine
            } else {
                PoolKind::Service
            },
            vm: upstream_name(i),
            cold_concurrency: self.cold_concurrency,
            warm_concurrency: self.warm_concurrency,
            service_time: if is_engine {
                self.service_time
            } else {
                LEDGER_SERVICE_TIME
            },
            sigma: self.sigma,
        };
        Box::new(Engine::new(cfg, gated))
    }

    /// Returns the failure domain of the entry or upstream with index `i`.
    #[must_use]
    pub fn domain_of(&self, i: usize) -> usize {
        i % self.domains
    }

    fn record(&self, name: &VmName, i: usize, role: VmRole) -> VmRecord {
        let address = SocketAddr::from(([127, 0, 0, 1], 1));
        VmRecord {
            name: name.clone(),
            domain: domain_name(self.domain_of(i)),
            role,
            address,
            peer_address: address,
            state: VmState::Live,
        }
    }
}

/// Limits that are never reached.
#[must_use]
pub fn unlimited() -> ClientAccount {
    ClientAccount {
        key_digests: Vec::new(),
        requests_per_s: 1_000_000,
        burst: 1_000_000,
        max_in_flight: 1_000_000,
        weight: 1,
    }
}

/// Returns the name of an entry's VM.
#[must_use]
pub fn entry_name(i: usize) -> VmName {
    VmName::new(&format!("entry{i:02}"))
}

/// Returns the name of an upstream's VM.
#[must_use]
pub fn upstream_name(i: usize) -> VmName {
    VmName::new(&format!("upstream{i:02}"))
}

/// Returns the name of a failure domain.
#[must_use]
pub fn domain_name(i: usize) -> DomainName {
    DomainName::new(&format!("domain{i}"))
}
