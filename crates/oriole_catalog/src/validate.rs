//! Validates what the types of a catalog cannot express: names, ranges, and references between
//! sections.

use std::collections::BTreeMap;
use std::fmt::{Debug, Display};

use oriole_types::prelude::*;

/// Maximum length of a name.
const MAX_NAME_BYTES: usize = 64;
/// Largest request body that an entry may allow.
const MAX_BODY_BYTES: u32 = 16 * 1024 * 1024;
/// Maximum number of keys of an account: the one in use and, during a rotation, its successor.
const MAX_KEYS: usize = 2;
/// Maximum weight of an account.
const MAX_WEIGHT: u32 = 1_000;
/// Maximum number of claim partitions of a pool.
const MAX_CLAIM_PARTITIONS: u32 = 4_096;

/// A rule that a catalog violates.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{key}: {message}")]
pub struct Violation {
    /// Key path, such as `entries.credits.pool`.
    pub key: String,
    /// What is wrong, and what is allowed.
    pub message: String,
}

/// Returns all violations in a catalog, names first, then section by section.
#[must_use]
pub fn violations(catalog: &Catalog) -> Vec<Violation> {
    let mut checks = Checks {
        catalog,
        found: Vec::new(),
    };
    checks.check_names();
    checks.check_entries();
    checks.check_accounts();
    checks.check_pools();
    checks.check_groups();
    checks.check_blocks();
    checks.found
}

struct Checks<'a> {
    catalog: &'a Catalog,
    found: Vec<Violation>,
}

impl Checks<'_> {
    fn report(&mut self, key: String, message: impl Into<String>) {
        let message = message.into();
        self.found.push(Violation { key, message });
    }

    fn check_range(&mut self, key: String, value: u64, low: u64, high: u64) {
        if !(low..=high).contains(&value) {
            self.report(
                key,
                format!("{value} is out of range; allowed: {low} to {high}"),
            );
        }
    }

    fn check_positive(&mut self, key: String, value: u32) {
        self.check_range(key, value.into(), 1, u32::MAX.into());
    }

    fn check_names(&mut self) {
        let c = self.catalog;
        let names = (c.entries.keys().map(|n| ("entries", n.as_str())))
            .chain(c.accounts.keys().map(|n| ("accounts", n.as_str())))
            .chain(c.pools.keys().map(|n| ("pools", n.as_str())))
            .chain(c.domains.keys().map(|n| ("domains", n.as_str())))
            .chain(c.vms.keys().map(|n| ("vms", n.as_str())))
            .chain(c.groups.keys().map(|n| ("groups", n.as_str())))
            .chain(c.blocks.keys().map(|n| ("blocks", n.as_str())));
        for (section, name) in names.filter(|(_, name)| !is_valid_name(name)) {
            self.report(
                format!("{section}.{name}"),
                format!("not a name; allowed: 1 to {MAX_NAME_BYTES} of a-z, A-Z, 0-9, -, _ and ."),
            );
        }
    }

    fn check_entries(&mut self) {
        let catalog = self.catalog;
        for (name, e) in &catalog.entries {
            let key = |field: &str| format!("entries.{name}.{field}");
            if e.owner.is_empty() {
                self.report(key("owner"), "must not be empty");
            }
            if !e.class.idempotent && e.class.stream {
                self.report(
                    key("class.stream"),
                    "an entry that is not idempotent cannot be streamed; allowed: false",
                );
            }
            match catalog.pools.get(&e.pool) {
                None => self.report(
                    key("pool"),
                    unknown_message("pool", &e.pool, catalog.pools.keys()),
                ),
                Some(pool) if pool.kind == PoolKind::Service && e.model.is_some() => {
                    self.report(
                        key("model"),
                        "the pool's upstreams are plain services; leave it out",
                    );
                }
                Some(_) => {}
            }
            self.check_range(
                key("max_body_bytes"),
                e.max_body_bytes.into(),
                1,
                MAX_BODY_BYTES.into(),
            );
            self.check_positive(key("requests_per_s"), e.requests_per_s);
            self.check_positive(key("max_timeout_ms"), e.max_timeout_ms);
            self.check_range(
                key("default_timeout_ms"),
                e.default_timeout_ms.into(),
                1,
                e.max_timeout_ms.max(1).into(),
            );
        }
    }

    fn check_accounts(&mut self) {
        let mut owners = BTreeMap::new();
        for (name, a) in &self.catalog.accounts {
            let key = |field: &str| format!("accounts.{name}.{field}");
            if !(1..=MAX_KEYS).contains(&a.key_digests.len()) {
                let n = a.key_digests.len();
                self.report(
                    key("key_digests"),
                    format!("{n} digests; allowed: 1, or {MAX_KEYS} while a key is rotated"),
                );
            }
            for digest in &a.key_digests {
                if let Some(owner) = owners.insert(digest, name) {
                    self.report(
                        key("key_digests"),
                        format!("account {owner} has the same key"),
                    );
                }
            }
            self.check_positive(key("requests_per_s"), a.requests_per_s);
            self.check_positive(key("burst"), a.burst);
            self.check_positive(key("max_in_flight"), a.max_in_flight);
            self.check_range(key("weight"), a.weight.into(), 1, MAX_WEIGHT.into());
        }
    }

    fn check_pools(&mut self) {
        for (name, p) in &self.catalog.pools {
            let key = |field: &str| format!("pools.{name}.{field}");
            self.check_positive(key("warm_concurrency"), p.warm_concurrency);
            self.check_range(
                key("cold_concurrency"),
                p.cold_concurrency.into(),
                1,
                p.warm_concurrency.max(1).into(),
            );
            self.check_range(
                key("claim_partitions"),
                p.claim_partitions.into(),
                1,
                MAX_CLAIM_PARTITIONS.into(),
            );
        }
    }

    fn check_groups(&mut self) {
        let catalog = self.catalog;
        for (name, g) in &catalog.groups {
            let key = |field: &str| format!("groups.{name}.{field}");
            match catalog.pools.get(&g.pool) {
                None => self.report(
                    key("pool"),
                    unknown_message("pool", &g.pool, catalog.pools.keys()),
                ),
                Some(pool) if pool.kind != PoolKind::Engine => {
                    self.report(key("pool"), "a group's pool must be of kind \"engine\"");
                }
                Some(_) => {}
            }
            self.check_positive(key("ranks"), g.ranks);
            self.check_positive(key("experts"), g.experts);
            self.check_positive(key("layers"), g.layers);
            self.check_range(key("expert_bytes"), g.expert_bytes, 1, u64::MAX);
            self.check_range(key("weight_bytes_per_s"), g.weight_bytes_per_s, 1, u64::MAX);
            let min_slots = g.experts.div_ceil(g.ranks.max(1));
            self.check_range(
                key("slots_per_rank"),
                g.slots_per_rank.into(),
                min_slots.into(),
                u32::MAX.into(),
            );
        }
    }

    fn check_blocks(&mut self) {
        let catalog = self.catalog;
        for (name, b) in &catalog.blocks {
            let key = |field: &str| format!("blocks.{name}.{field}");
            if b.account.is_none() && b.entry.is_none() && b.key.is_none() {
                self.report(
                    format!("blocks.{name}"),
                    "covers nothing; name at least one of account, entry, key",
                );
            }
            if let Some(e) = b
                .entry
                .as_ref()
                .filter(|e| !catalog.entries.contains_key(*e))
            {
                self.report(
                    key("entry"),
                    unknown_message("entry", e, catalog.entries.keys()),
                );
            }
            if let Some(a) = b
                .account
                .as_ref()
                .filter(|a| !catalog.accounts.contains_key(*a))
            {
                self.report(key("account"), format!("no account {:?}", a.as_str()));
            }
            if b.reason.is_empty() {
                self.report(key("reason"), "must not be empty");
            }
        }
    }
}

fn is_valid_name(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_alphanumeric() || matches!(c, '-' | '_' | '.');
    (1..=MAX_NAME_BYTES).contains(&text.len()) && text.chars().all(allowed)
}

fn unknown_message<'a, N: Display + Debug + 'a>(
    what: &str,
    name: &N,
    known: impl Iterator<Item = &'a N>,
) -> String {
    let known: Vec<_> = known.map(ToString::to_string).collect();
    format!("no {what} {name:?}; allowed: {}", known.join(", "))
}
