//! The operators' catalog: the entries that are served, the client accounts, their limits, and which
//! failure domains and VMs are in service.
//!
//! The catalog is one value with one revision, replicated to every process. It is the only source of
//! configuration that operators can change at run time.

use std::collections::BTreeMap;

use crate::digest::Digest;
use crate::ids::{
    AccountName, DomainName, EntryName, GroupName, ModelName, PoolName, Revision, VmName,
};

value_type! {
    /// Priority of a request, in order of decreasing urgency.
    #[derive(Default)]
    pub enum Priority {
        /// Served before everything else.
        High,
        /// The default.
        #[default]
        Normal,
        /// Refused first when capacity is short.
        Low,
    }
}

value_type! {
    /// Kind of process that runs as a pool's upstreams.
    pub enum PoolKind {
        /// Model engines. They batch continuously, stream tokens, and can resume and cancel a request.
        Engine,
        /// Plain services that give one whole answer to each request.
        Service,
    }
}

value_type! {
    /// Whether a failure domain or VM takes new work.
    #[derive(Default)]
    pub enum ServiceState {
        /// Takes new work.
        #[default]
        InService,
        /// Takes no new work; running requests may finish.
        Drained,
    }
}

value_type! {
    /// How the requests of a catalog entry may be handled.
    pub struct RequestClass {
        /// Whether a request may run more than once.
        pub idempotent: bool,
        /// Priority when capacity is short.
        #[serde(default)]
        pub priority: Priority,
        /// Whether answers may be streamed.
        #[serde(default)]
        pub stream: bool,
    }
}

domain_type! {
    /// An item of the catalog that callers can request.
    pub struct CatalogEntry {
        /// Team that is responsible for the entry.
        pub owner: String,
        /// How its requests may be handled.
        pub class: RequestClass,
        /// Pool that serves it.
        pub pool: PoolName,
        /// Model that the pool's engines must have loaded; `None` for plain services.
        #[serde(default)]
        pub model: Option<ModelName>,
        /// Largest request body, in bytes.
        #[serde(default = "default_max_body_bytes")]
        pub max_body_bytes: u32,
        /// Maximum request rate over the whole fleet, in requests per second.
        #[serde(default = "default_entry_requests_per_s")]
        pub requests_per_s: u32,
        /// Timeout if the caller sets none, in milliseconds.
        #[serde(default = "default_timeout_ms")]
        pub default_timeout_ms: u32,
        /// Longest timeout that a caller may set, in milliseconds.
        #[serde(default = "default_max_timeout_ms")]
        pub max_timeout_ms: u32,
    }
}

domain_type! {
    /// A customer of the fleet, with its API keys and limits.
    pub struct ClientAccount {
        /// Digests of the account's valid API keys; two while a key is being rotated.
        pub key_digests: Vec<Digest>,
        /// Maximum request rate over the whole fleet, in requests per second.
        pub requests_per_s: u32,
        /// Size of the burst above the steady rate that is admitted after an idle time, in requests.
        #[serde(default = "default_burst")]
        pub burst: u32,
        /// Maximum number of requests in flight over the whole fleet.
        pub max_in_flight: u32,
        /// Weight of the account's share of capacity, relative to other accounts, when capacity is
        /// short.
        #[serde(default = "default_weight")]
        pub weight: u32,
    }
}

domain_type! {
    /// A set of upstreams that serve the same entries. The VM list defines which VMs belong to it.
    pub struct Pool {
        /// Kind of upstream.
        pub kind: PoolKind,
        /// Maximum number of requests in flight at an upstream during its cold start.
        pub cold_concurrency: u32,
        /// Maximum number of requests in flight at a warm upstream.
        pub warm_concurrency: u32,
        /// Whether the upstreams themselves refuse orders with an outdated fencing number.
        #[serde(default)]
        pub checks_fencing: bool,
        /// Number of partitions of the pool's claims, which are kept for entries that are not
        /// idempotent.
        #[serde(default = "default_claim_partitions")]
        pub claim_partitions: u32,
    }
}

domain_type! {
    /// A failure domain: VMs that can fail together.
    pub struct FailureDomain {
        /// Region of the failure domain; empty if not set.
        #[serde(default)]
        pub region: String,
        /// Whether it takes new work.
        #[serde(default)]
        pub state: ServiceState,
    }
}

domain_type! {
    /// An expert-parallel model group, whose ranks run in lock-step with the same expert map.
    pub struct Group {
        /// Pool whose upstreams are the group's ranks.
        pub pool: PoolName,
        /// Number of ranks.
        pub ranks: u32,
        /// Number of experts per layer.
        pub experts: u32,
        /// Number of layers with experts.
        pub layers: u32,
        /// Number of experts that a rank can hold per layer.
        pub slots_per_rank: u32,
        /// Size of the weights of one expert in one layer, in bytes.
        pub expert_bytes: u64,
        /// Bandwidth that the group may use to load weights from the weight store, in bytes per second.
        pub weight_bytes_per_s: u64,
    }
}

domain_type! {
    /// A block that an operator set on requests of an account, entry or key.
    ///
    /// A request must match all fields that are set.
    pub struct Block {
        /// Account whose requests are refused; `None` matches any.
        #[serde(default)]
        pub account: Option<AccountName>,
        /// Entry whose requests are refused; `None` matches any.
        #[serde(default)]
        pub entry: Option<EntryName>,
        /// Digest of the idempotency key that is refused; `None` matches any.
        #[serde(default)]
        pub key: Option<Digest>,
        /// Reason, sent to the refused caller.
        pub reason: String,
    }
}

domain_type! {
    /// The whole configuration that operators have accepted, as one revision.
    #[derive(Default)]
    pub struct Catalog {
        /// Revision, incremented with each accepted change.
        #[serde(default)]
        pub revision: Revision,
        /// Entries by name.
        #[serde(default)]
        pub entries: BTreeMap<EntryName, CatalogEntry>,
        /// Client accounts by name.
        #[serde(default)]
        pub accounts: BTreeMap<AccountName, ClientAccount>,
        /// Pools by name.
        #[serde(default)]
        pub pools: BTreeMap<PoolName, Pool>,
        /// Failure domains by name.
        #[serde(default)]
        pub domains: BTreeMap<DomainName, FailureDomain>,
        /// VMs whose state an operator has set; all others are in service.
        #[serde(default)]
        pub vms: BTreeMap<VmName, ServiceState>,
        /// Model groups by name.
        #[serde(default)]
        pub groups: BTreeMap<GroupName, Group>,
        /// Blocks by name.
        #[serde(default)]
        pub blocks: BTreeMap<String, Block>,
        /// Digests of contents that operators have released from quarantine.
        #[serde(default)]
        pub released_digests: Vec<Digest>,
    }
}

impl Catalog {
    /// Whether neither the VM nor its failure domain is drained by an operator.
    #[must_use]
    pub fn is_in_service(&self, vm: &VmName, domain: &DomainName) -> bool {
        self.domain_state(domain) == ServiceState::InService
            && self.vm_state(vm) == ServiceState::InService
    }

    /// The state that operators have set for a failure domain; in service by default.
    #[must_use]
    pub fn domain_state(&self, domain: &DomainName) -> ServiceState {
        self.domains
            .get(domain)
            .map_or(ServiceState::InService, |d| d.state)
    }

    /// The state that operators have set for a VM; in service by default.
    #[must_use]
    pub fn vm_state(&self, vm: &VmName) -> ServiceState {
        self.vms.get(vm).copied().unwrap_or_default()
    }

    /// Finds the account that owns an API key, by the key's digest. Digests are compared in constant
    /// time.
    #[must_use]
    pub fn account_by_key(&self, key: &Digest) -> Option<(&AccountName, &ClientAccount)> {
        self.accounts
            .iter()
            .find(|(_, account)| account.key_digests.iter().any(|d| d.constant_time_eq(key)))
    }

    /// The first block that matches a request, with its name.
    #[must_use]
    pub fn block_for(
        &self,
        account: &AccountName,
        entry: &EntryName,
        key: Option<&Digest>,
    ) -> Option<(&str, &Block)> {
        self.blocks
            .iter()
            .find(|(_, b)| b.matches(account, entry, key))
            .map(|(name, b)| (name.as_str(), b))
    }
}

impl Block {
    /// Whether the block matches a request. A block without account, entry and key matches none.
    #[must_use]
    pub fn matches(&self, account: &AccountName, entry: &EntryName, key: Option<&Digest>) -> bool {
        let has_condition = self.account.is_some() || self.entry.is_some() || self.key.is_some();
        has_condition
            && self.account.as_ref().is_none_or(|a| a == account)
            && self.entry.as_ref().is_none_or(|e| e == entry)
            && self.key.as_ref().is_none_or(|k| Some(k) == key)
    }
}

fn default_max_body_bytes() -> u32 {
    256 * 1024
}

fn default_entry_requests_per_s() -> u32 {
    10_000
}

fn default_timeout_ms() -> u32 {
    30_000
}

fn default_max_timeout_ms() -> u32 {
    300_000
}

fn default_burst() -> u32 {
    20
}

fn default_weight() -> u32 {
    1
}

fn default_claim_partitions() -> u32 {
    16
}
