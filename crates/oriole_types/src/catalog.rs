//! The operators' catalog: what is served, for whom, within which limits, and which parts of the
//! fleet are in service.
//!
//! The catalog is one value with one revision. Every process holds the same value; decisions that
//! need configuration read it and nothing else.

use std::collections::BTreeMap;

use crate::digest::Digest;
use crate::ids::{
    AccountName, DomainName, EntryName, GroupName, ModelName, PoolName, Revision, VmName,
};

value_type! {
    /// How urgent a request is, most urgent first.
    #[derive(Default)]
    pub enum Priority {
        /// Served before everything else.
        High,
        /// The usual class.
        #[default]
        Normal,
        /// Refused first when capacity is short.
        Low,
    }
}

value_type! {
    /// What kind of process a pool's upstreams are.
    pub enum PoolKind {
        /// Model engines: batch continuously, stream tokens, can resume and cancel.
        Engine,
        /// Plain services: one request, one answer.
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
        /// Takes no new work; what runs may finish.
        Drained,
    }
}

value_type! {
    /// Class of a catalog entry's requests.
    pub struct RequestClass {
        /// Whether a request may run more than once.
        pub idempotent: bool,
        /// Urgency.
        #[serde(default)]
        pub priority: Priority,
        /// Whether answers may be streamed.
        #[serde(default)]
        pub stream: bool,
    }
}

domain_type! {
    /// One thing that callers can request.
    pub struct CatalogEntry {
        /// Team that answers for the entry.
        pub owner: String,
        /// Class of its requests.
        pub class: RequestClass,
        /// Pool that serves it.
        pub pool: PoolName,
        /// Model the pool's engines must hold; absent for plain services.
        #[serde(default)]
        pub model: Option<ModelName>,
        /// Largest request body, in bytes.
        #[serde(default = "default_max_body_bytes")]
        pub max_body_bytes: u32,
        /// Most requests a second over the whole fleet.
        #[serde(default = "default_entry_requests_per_s")]
        pub requests_per_s: u32,
        /// Timeout of a request whose caller states none, in milliseconds.
        #[serde(default = "default_timeout_ms")]
        pub default_timeout_ms: u32,
        /// Longest timeout a caller may ask for, in milliseconds.
        #[serde(default = "default_max_timeout_ms")]
        pub max_timeout_ms: u32,
    }
}

domain_type! {
    /// One customer of the fleet.
    pub struct ClientAccount {
        /// Digests of the keys the account may show; two while a key is rotated.
        pub key_digests: Vec<Digest>,
        /// Most requests a second over the whole fleet.
        pub requests_per_s: u32,
        /// Most requests admitted at once after a pause, beyond the steady rate.
        #[serde(default = "default_burst")]
        pub burst: u32,
        /// Most requests in flight over the whole fleet.
        pub max_in_flight: u32,
        /// Share of capacity relative to other accounts when capacity is short.
        #[serde(default = "default_weight")]
        pub weight: u32,
    }
}

domain_type! {
    /// Upstreams that serve the same entries. The VM list says which VMs belong to it.
    pub struct Pool {
        /// Kind of upstream.
        pub kind: PoolKind,
        /// Most requests in flight that an upstream bears in cold start.
        pub cold_concurrency: u32,
        /// Most requests in flight that a warm upstream bears.
        pub warm_concurrency: u32,
        /// Whether the upstreams themselves refuse an order with an old fencing number.
        #[serde(default)]
        pub checks_fencing: bool,
        /// Number of claim partitions of the pool, for entries that are not idempotent.
        #[serde(default = "default_claim_partitions")]
        pub claim_partitions: u32,
    }
}

domain_type! {
    /// A failure domain.
    pub struct FailureDomain {
        /// Region the failure domain lies in.
        #[serde(default)]
        pub region: String,
        /// Whether it takes new work.
        #[serde(default)]
        pub state: ServiceState,
    }
}

domain_type! {
    /// An expert-parallel model group whose ranks run in lock-step on one expert map.
    pub struct Group {
        /// Pool whose upstreams are the group's ranks.
        pub pool: PoolName,
        /// Number of ranks.
        pub ranks: u32,
        /// Number of experts in a layer.
        pub experts: u32,
        /// Number of layers with experts.
        pub layers: u32,
        /// Expert slots a rank has in a layer.
        pub slots_per_rank: u32,
        /// Weight of one expert in one layer, in bytes.
        pub expert_bytes: u64,
        /// Bandwidth of the weight store that the group may use, in bytes a second.
        pub weight_bytes_per_s: u64,
    }
}

domain_type! {
    /// A narrow block that an operator set on one account, entry or key.
    pub struct Block {
        /// Account whose requests are refused; any if absent.
        #[serde(default)]
        pub account: Option<AccountName>,
        /// Entry whose requests are refused; any if absent.
        #[serde(default)]
        pub entry: Option<EntryName>,
        /// Digest of the idempotency key that is refused; any if absent.
        #[serde(default)]
        pub key: Option<Digest>,
        /// Why, as the refused caller reads it.
        pub reason: String,
    }
}

domain_type! {
    /// The whole configuration that operators accepted, under one revision.
    #[derive(Default)]
    pub struct Catalog {
        /// Revision; grows by one with each accepted change.
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
        /// VMs whose state an operator set; all others are in service.
        #[serde(default)]
        pub vms: BTreeMap<VmName, ServiceState>,
        /// Model groups by name.
        #[serde(default)]
        pub groups: BTreeMap<GroupName, Group>,
        /// Blocks by name.
        #[serde(default)]
        pub blocks: BTreeMap<String, Block>,
        /// Content digests that operators released from quarantine.
        #[serde(default)]
        pub released_digests: Vec<Digest>,
    }
}

impl Catalog {
    /// Whether new work may go to a VM in a failure domain, as far as operators decide it.
    #[must_use]
    pub fn is_in_service(&self, vm: &VmName, domain: &DomainName) -> bool {
        self.domain_state(domain) == ServiceState::InService
            && self.vm_state(vm) == ServiceState::InService
    }

    /// The state operators gave a failure domain; in service if they said nothing.
    #[must_use]
    pub fn domain_state(&self, domain: &DomainName) -> ServiceState {
        self.domains
            .get(domain)
            .map_or(ServiceState::InService, |d| d.state)
    }

    /// The state operators gave a VM; in service if they said nothing.
    #[must_use]
    pub fn vm_state(&self, vm: &VmName) -> ServiceState {
        self.vms.get(vm).copied().unwrap_or_default()
    }

    /// The account that owns a key, found by the digest of the key in constant time per account.
    #[must_use]
    pub fn account_by_key(&self, key: &Digest) -> Option<(&AccountName, &ClientAccount)> {
        self.accounts
            .iter()
            .find(|(_, account)| account.key_digests.iter().any(|d| d.constant_time_eq(key)))
    }

    /// The first block that covers a request, with its name.
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
    /// Whether the block covers a request. A block that names nothing covers nothing.
    #[must_use]
    pub fn matches(&self, account: &AccountName, entry: &EntryName, key: Option<&Digest>) -> bool {
        let named = self.account.is_some() || self.entry.is_some() || self.key.is_some();
        named
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
