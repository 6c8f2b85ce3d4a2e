//! Which entries an account should use.
//!
//! Each account gets a small subset of the entries, chosen by rendezvous hash, so that accounts
//! share few entries with one another and an account's callers meet where its limits are kept.
//! The subset goes over as many failure domains as it can, so that losing one leaves the account
//! entries elsewhere.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use oriole_types::prelude::*;

use crate::rendezvous::{hash_fields, weighted_score};

/// Steps in which room is taken into account, so that small changes move nobody.
const ROOM_STEPS: f64 = 4.0;

/// Settings of [`EndpointAnswers`].
#[derive(Clone, Debug)]
pub struct AnswerConfig {
    /// Time for which callers may keep an answer, in milliseconds.
    pub ttl_ms: u32,
    /// Entries that a small account gets.
    pub min_entries: usize,
    /// Entries that the largest account gets.
    pub max_entries: usize,
    /// Requests a second for which an account gets one entry more.
    pub requests_per_s_per_entry: u32,
}

impl Default for AnswerConfig {
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
    /// One entry that callers may use.
    pub struct Endpoint {
        /// VM of the entry.
        pub vm: VmName,
        /// Failure domain it lies in.
        pub domain: DomainName,
        /// Address to connect to.
        pub address: SocketAddr,
    }
}

domain_type! {
    /// The answer to "which addresses may I use", best first.
    pub struct EndpointAnswer {
        /// Entries in order of preference.
        pub endpoints: Vec<Endpoint>,
        /// Time for which the answer may be kept, in milliseconds.
        pub ttl_ms: u32,
    }
}

/// What an answer is made from.
#[derive(Clone, Copy, Debug)]
pub struct AnswerView<'a> {
    /// The platform's VM list.
    pub list: &'a VmList,
    /// The operators' catalog.
    pub catalog: &'a Catalog,
    /// Entries that are leaving or believed dead.
    pub away: &'a BTreeSet<VmName>,
    /// Room of entries between 0 and 1; entries not named have all of it.
    pub room: &'a BTreeMap<VmName, f64>,
}

/// Answers callers that ask which entries to use.
#[derive(Clone, Debug, Default)]
pub struct EndpointAnswers {
    cfg: AnswerConfig,
}

/// An entry that may be named, with its score for an account.
struct Scored<'a> {
    record: &'a VmRecord,
    score: f64,
}

impl EndpointAnswers {
    /// A machine with some settings.
    #[must_use]
    pub fn new(cfg: AnswerConfig) -> Self {
        Self { cfg }
    }

    /// The answer for one caller of an account.
    ///
    /// All callers of an account get the same entries; `caller` (a hash of the caller's address)
    /// only turns their order, so that the callers of an account spread over its entries.
    #[must_use]
    pub fn answer(
        &self,
        view: &AnswerView<'_>,
        account: &AccountName,
        caller: u64,
    ) -> EndpointAnswer {
        let mut records = self.subset(view, account);
        let order = |r: &&VmRecord| {
            let hash = hash_fields(&[account.as_str(), r.name.as_str()]) ^ caller;
            Reverse(scramble(hash))
        };
        records.sort_by_key(order);
        let endpoints = records.into_iter().map(endpoint).collect();
        EndpointAnswer {
            endpoints,
            ttl_ms: self.cfg.ttl_ms,
        }
    }

    /// The entries that an account is steered to, best first.
    ///
    /// These keep the account's limits; use it to find the peers with which to trade shares.
    #[must_use]
    pub fn subset<'a>(&self, view: &AnswerView<'a>, account: &AccountName) -> Vec<&'a VmRecord> {
        let size = self.subset_size(view.catalog, account);
        let mut by_domain = scored_by_domain(view, account);
        let mut chosen = Vec::with_capacity(size);
        while chosen.len() < size && !by_domain.is_empty() {
            by_domain.sort_by(|a, b| top(b).total_cmp(&top(a)));
            let missing = size - chosen.len();
            for domain in by_domain.iter_mut().take(missing) {
                chosen.extend(domain.pop().map(|s| s.record));
            }
            by_domain.retain(|domain| !domain.is_empty());
        }
        chosen
    }

    /// Number of entries that an account gets, by its rate.
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

/// Entries that may be named, in one list a domain, each list from the lowest score up.
fn scored_by_domain<'a>(view: &AnswerView<'a>, account: &AccountName) -> Vec<Vec<Scored<'a>>> {
    let mut domains: BTreeMap<&DomainName, Vec<Scored<'a>>> = BTreeMap::new();
    for record in view.list.vms.iter().filter(|r| may_be_named(view, r)) {
        let room = view.room.get(&record.name).copied().unwrap_or(1.0);
        let hash = hash_fields(&[account.as_str(), record.name.as_str()]);
        let score = weighted_score(hash, room_weight(room));
        domains
            .entry(&record.domain)
            .or_default()
            .push(Scored { record, score });
    }
    let mut lists: Vec<_> = domains.into_values().collect();
    for list in &mut lists {
        list.sort_by(|a, b| a.score.total_cmp(&b.score));
    }
    lists
}

fn may_be_named(view: &AnswerView<'_>, record: &VmRecord) -> bool {
    record.role == VmRole::Entry
        && record.state == VmState::Live
        && view.catalog.is_in_service(&record.name, &record.domain)
        && !view.away.contains(&record.name)
}

/// Weight of an entry by its room, in coarse steps and never zero: a full fleet still answers.
fn room_weight(room: f64) -> f64 {
    ((room.clamp(0.0, 1.0) * ROOM_STEPS).round() / ROOM_STEPS).max(1.0 / (2.0 * ROOM_STEPS))
}

fn top(domain: &[Scored<'_>]) -> f64 {
    domain.last().map_or(0.0, |s| s.score)
}

fn endpoint(record: &VmRecord) -> Endpoint {
    Endpoint {
        vm: record.name.clone(),
        domain: record.domain.clone(),
        address: record.address,
    }
}

/// Mixes the bits of a hash, so that two that differ in few bits end up far apart.
fn scramble(hash: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64(&hash.to_be_bytes())
}
