//! Sizes, load and faults of a run.

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
const LEDGER_SERVICE: Duration = Duration::from_millis(20);

/// Requests of one account.
#[derive(Clone, Debug)]
pub struct Traffic {
    /// Account.
    pub account: AccountName,
    /// Requests a second.
    pub requests_per_s: f64,
    /// Whether it asks the plain services instead of the model engines.
    pub ledgers: bool,
    /// Whether all requests have one key and one prompt prefix.
    pub one_key: bool,
    /// Parts of the requests that are high and low; the rest is normal.
    pub high_low: (f64, f64),
    /// What the catalog lets the account have.
    pub limits: ClientAccount,
}

/// Something that happens to the fleet.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// An upstream fails whatever it gets.
    Failing(usize, bool),
    /// An upstream turns cold without a warning.
    TurnCold(usize),
    /// An entry dies.
    EntryCrash(usize),
    /// Operators drain a failure domain or bring it back.
    Domain(usize, ServiceState),
}

/// One run.
#[derive(Clone, Debug)]
pub struct Setup {
    /// Entries.
    pub entries: usize,
    /// Model engines.
    pub upstreams: usize,
    /// Plain services; they are numbered after the engines.
    pub ledgers: usize,
    /// Whether engines can be cold, behind the agent's real gate; otherwise they are warm slots.
    pub engines: bool,
    /// Failure domains.
    pub domains: usize,
    /// Requests in flight that a warm upstream bears.
    pub warm: u32,
    /// Requests in flight that a cold upstream bears.
    pub cold: u32,
    /// Median service time.
    pub service: Duration,
    /// Spread of the logarithm of service times.
    pub sigma: f64,
    /// Time one way between two VMs of different failure domains and from callers.
    pub one_way: Duration,
    /// Time that a caller gives a request.
    pub timeout: Duration,
    /// Time before the measured part.
    pub warm_up: Duration,
    /// Measured part.
    pub measured: Duration,
    /// Accounts and their load.
    pub traffic: Vec<Traffic>,
    /// Faults and when they happen.
    pub faults: Vec<(Duration, Fault)>,
    /// Seed.
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
            warm: 16,
            cold: 2,
            service: Duration::from_millis(200),
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
    /// Requests a second that so many upstreams answer when full.
    #[must_use]
    pub fn capacity_of(&self, upstreams: usize) -> f64 {
        let mean_s = self.service.as_secs_f64() * (self.sigma * self.sigma / 2.0).exp();
        upstreams as f64 * f64::from(self.warm) / mean_s
    }

    /// Requests a second that all upstreams answer when full.
    #[must_use]
    pub fn capacity(&self) -> f64 {
        self.capacity_of(self.upstreams)
    }

    /// Ten accounts, three of them large, that together offer so many requests a second.
    pub fn set_offered_load(&mut self, requests_per_s: f64) -> &mut Self {
        const PARTS: [f64; 10] = [0.25, 0.25, 0.2, 0.06, 0.06, 0.05, 0.05, 0.04, 0.02, 0.02];
        let traffic = |(i, part): (usize, &f64)| Traffic {
            account: AccountName::new(&format!("account{i}")),
            requests_per_s: requests_per_s * part,
            ledgers: false,
            one_key: false,
            high_low: (0.1, 0.3),
            limits: unlimited(),
        };
        self.traffic = PARTS.iter().enumerate().map(traffic).collect();
        self
    }

    /// End of the run.
    #[must_use]
    pub fn end(&self) -> Duration {
        self.warm_up + self.measured
    }

    /// The VM list.
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

    /// The catalog.
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
                cold_concurrency: self.cold,
                warm_concurrency: self.warm,
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

    /// Number of upstreams of both kinds.
    #[must_use]
    pub fn all_upstreams(&self) -> usize {
        self.upstreams + self.ledgers
    }

    /// Pool of an upstream.
    #[must_use]
    pub fn pool_of(&self, upstream: usize) -> PoolName {
        if upstream < self.upstreams {
            MODELS.into()
        } else {
            LEDGERS.into()
        }
    }

    /// The upstream with some number; `gated` says whether a real gate admits.
    #[must_use]
    pub fn upstream(&self, i: usize, gated: bool) -> Box<dyn Upstream> {
        if !self.engines {
            return Box::new(Slots::new(self.warm, self.service, self.sigma));
        }
        let is_engine = i < self.upstreams;
        let cfg = EngineConfig {
            kind: if is_engine {
                PoolKind::Engine
            } else {
                PoolKind::Service
            },
            vm: upstream_name(i),
            cold: self.cold,
            warm: self.warm,
            service: if is_engine {
                self.service
            } else {
                LEDGER_SERVICE
            },
            sigma: self.sigma,
        };
        Box::new(Engine::new(cfg, gated))
    }

    /// Failure domain of the VM with some number.
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

/// Limits that never bind.
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

/// Name of an entry's VM.
#[must_use]
pub fn entry_name(i: usize) -> VmName {
    VmName::new(&format!("entry{i:02}"))
}

/// Name of an upstream's VM.
#[must_use]
pub fn upstream_name(i: usize) -> VmName {
    VmName::new(&format!("upstream{i:02}"))
}

/// Name of a failure domain.
#[must_use]
pub fn domain_name(i: usize) -> DomainName {
    DomainName::new(&format!("domain{i}"))
}
