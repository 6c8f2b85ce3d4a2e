//! Selection of the entries that an account should connect to.
//!
//! Each account gets a small subset of the entries, chosen by rendezvous hashing. Different
//! accounts overlap in few entries, and all callers of an account use the entries that track its
//! limits. The subset covers as many failure domains as possible, so that an account keeps working
//! entries when a domain is lost.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use oriole_types::prelude::*;

use crate::rendezvous::{hash_fields, weighted_score};

/// Number of steps to which headroom is rounded, so that small changes don't alter the selection.
const HEADROOM_STEPS: f64 = 4.0;

/// Settings of [`EndpointSelector`].
#[derive(Clone, Debug)]
pub struct EndpointConfig {
    /// Time for which callers may cache an answer, in milliseconds.
    pub ttl_ms: u32,
    /// Number of entries for the smallest accounts.
    pub min_entries: usize,
    /// Number of entries for the largest accounts.
    pub max_entries: usize,
    /// Requests per second of an account's rate limit for each entry it gets.
    pub requests_per_s_per_entry: u32,
}

impl Default for EndpointConfig {
    fn default() -> Self {
        Self {
            ttl_ms: 10_000,
            min_entries: 4,
            max_entries: 12,
            requests_per_s_per_entry: 25,
        }
    }
}

domain_type! {
    /// An entry that callers may connect to.
    pub struct Endpoint {
        /// VM that runs the entry.
        pub vm: VmName,
        /// Failure domain of the VM.
        pub domain: DomainName,
        /// Address that callers connect to.
        pub address: SocketAddr,
    }
}

domain_type! {
    /// The answer to a caller that asks for addresses.
    pub struct EndpointAnswer {
        /// Entries in order of preference.
        pub endpoints: Vec<Endpoint>,
        /// Time for which the caller may cache the answer, in milliseconds.
        pub ttl_ms: u32,
    }
}

/// The state of the fleet from which endpoints are selected.
#[derive(Clone, Copy, Debug)]
pub struct EndpointInputs<'a> {
    /// The platform's VM list.
    pub list: &'a VmList,
    /// The catalog as operators configured it.
    pub catalog: &'a Catalog,
    /// Entries that are leaving or assumed to have failed.
    pub unavailable: &'a BTreeSet<VmName>,
    /// Free capacity of entries, from 0 (full) to 1 (idle); entries not in the map count as idle.
    pub headroom: &'a BTreeMap<VmName, f64>,
}

/// Selects the entries that callers should connect to.
#[derive(Clone, Debug, Default)]
pub struct EndpointSelector {
    cfg: EndpointConfig,
}

/// An eligible entry with its score for one account.
struct ScoredEntry<'a> {
    record: &'a VmRecord,
    score: f64,
}

impl EndpointSelector {
    /// Creates a selector.
    #[must_use]
    pub fn new(cfg: EndpointConfig) -> Self {
        Self { cfg }
    }

    /// The answer for one caller of an account.
    ///
    /// All callers of an account get the same entries. `caller`, a hash of the caller's address,
    /// only changes their order, which spreads the callers over the account's entries.
    #[must_use]
    pub fn answer(
        &self,
        inputs: &EndpointInputs<'_>,
        account: &AccountName,
        caller: u64,
    ) -> EndpointAnswer {
        let mut records = self.subset(inputs, account);
        let sort_key = |r: &&VmRecord| {
            let hash = hash_fields(&[account.as_str(), r.name.as_str()]) ^ caller;
            Reverse(scramble(hash))
        };
        records.sort_by_key(sort_key);
        let endpoints = records.into_iter().map(endpoint).collect();
        EndpointAnswer {
            endpoints,
            ttl_ms: self.cfg.ttl_ms,
        }
    }

    /// The entries that an account is directed to, best first.
    ///
    /// These entries share the account's limits and exchange limit digests with each other.
    #[must_use]
    pub fn subset<'a>(
        &self,
        inputs: &EndpointInputs<'a>,
        account: &AccountName,
    ) -> Vec<&'a VmRecord> {
        let size = self.subset_size(inputs.catalog, account);
        let mut by_domain = scored_by_domain(inputs, account);
        let mut chosen = Vec::with_capacity(size);
        while chosen.len() < size && !by_domain.is_empty() {
            by_domain.sort_by(|a, b| best_score(b).total_cmp(&best_score(a)));
            let remaining = size - chosen.len();
            for domain in by_domain.iter_mut().take(remaining) {
                chosen.extend(domain.pop().map(|s| s.record));
            }
            by_domain.retain(|domain| !domain.is_empty());
        }
        chosen
    }

    /// Number of entries that an account gets, by its configured rate.
    #[must_use]
    pub fn subset_size(&self, catalog: &Catalog, account: &AccountName) -> usize {
        let rate = catalog
            .accounts
            .get(account)
            .map_or(0, |a| a.requests_per_s);
        let by_rate = rate.div_ceil(self.cfg.requests_per_s_per_entry.max(1)) as usize;
        by_rate.clamp(
            self.cfg.min_entries,
            self.cfg.max_entries.max(self.cfg.min_entries),
        )
    }
}

/// Eligible entries grouped by failure domain, each group sorted by ascending score.
fn scored_by_domain<'a>(
    inputs: &EndpointInputs<'a>,
    account: &AccountName,
) -> Vec<Vec<ScoredEntry<'a>>> {
    let mut domains: BTreeMap<&DomainName, Vec<ScoredEntry<'a>>> = BTreeMap::new();
    for record in inputs.list.vms.iter().filter(|r| is_eligible(inputs, r)) {
        let headroom = inputs.headroom.get(&record.name).copied().unwrap_or(1.0);
        let hash = hash_fields(&[account.as_str(), record.name.as_str()]);
        let score = weighted_score(hash, headroom_weight(headroom));
        domains
            .entry(&record.domain)
            .or_default()
            .push(ScoredEntry { record, score });
    }
    let mut lists: Vec<_> = domains.into_values().collect();
    for list in &mut lists {
        list.sort_by(|a, b| a.score.total_cmp(&b.score));
    }
    lists
}

/// Whether callers may be sent to a VM.
fn is_eligible(inputs: &EndpointInputs<'_>, record: &VmRecord) -> bool {
    record.role == VmRole::Entry
        && record.state == VmState::Live
        && inputs.catalog.is_in_service(&record.name, &record.domain)
        && !inputs.unavailable.contains(&record.name)
}

/// Weight of an entry by its headroom, in coarse steps. Never zero, so that callers still get an
/// answer when every entry is full.
fn headroom_weight(headroom: f64) -> f64 {
    ((headroom.clamp(0.0, 1.0) * HEADROOM_STEPS).round() / HEADROOM_STEPS)
        .max(1.0 / (2.0 * HEADROOM_STEPS))
}

fn best_score(domain: &[ScoredEntry<'_>]) -> f64 {
    domain.last().map_or(0.0, |s| s.score)
}

fn endpoint(record: &VmRecord) -> Endpoint {
    Endpoint {
        vm: record.name.clone(),
        domain: record.domain.clone(),
        address: record.address,
    }
}

/// Mixes the bits of a hash, so that inputs that differ in few bits sort far apart.
fn scramble(hash: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&hash.to_be_bytes())
}
