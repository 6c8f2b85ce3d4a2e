//! What the daemon believes of the fleet: items of the store by revision, and their meaning.
//!
//! An item only moves forward in revision, so changes may come from the store or from a peer, twice
//! and out of order.

mod known;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oriole_fleet::prelude::*;

pub use self::known::KnownUpstream;

/// Longest time for which an upstream whose entry vanished around a store outage still counts as
/// there: entries that lapsed in the outage are written again about two seconds after its end.
pub const LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// Time after the end of trouble with the store in which a vanished entry may be a lapsed lease.
const DISTURBED_FOR: Duration = Duration::from_millis(2200);

/// Entries vanishing within [`MASS_WINDOW`] that point to lapsed leases rather than departures, as
/// a share of those known.
const MASS_SHARE: f64 = 0.34;

/// Fewest vanished entries that count as many.
const MASS_MIN: usize = 4;

/// Time within which vanished entries are counted together.
const MASS_WINDOW: Duration = Duration::from_secs(1);

/// Time for which a departed upstream is remembered, so that a late item does not revive it and
/// logs can still name it.
const DEPARTED_KEPT: Duration = Duration::from_secs(60);

/// Most removed keys whose revisions are kept for peers that lag.
const MAX_REMOVED: usize = 4096;

/// Highest revision held under each watched prefix. One number would hide a change that was missed
/// under one prefix behind a later one under another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Versions(pub Vec<u64>);

impl Versions {
    /// Whether any of them is above another's.
    #[must_use]
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        let others = other.0.iter().copied().chain(std::iter::repeat(0));
        self.0.iter().zip(others).any(|(own, other)| *own > other)
    }
}

/// An item as it is held and handed to peers.
#[derive(Clone, Debug)]
pub struct HeldItem {
    /// Revision of its last change.
    pub revision: u64,
    /// Value; `None` if it was removed.
    pub value: Option<Bytes>,
}

/// A change of what is believed, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum BeliefChange {
    /// A configuration came into force.
    Configuration {
        /// Version that the operator gave it.
        version: u64,
    },
    /// An upstream is new, or its entry changed.
    Upstream {
        /// Instance.
        instance: String,
        /// State.
        state: UpstreamState,
    },
    /// An upstream's entry is gone.
    UpstreamGone {
        /// Instance.
        instance: String,
        /// Whether it may be a lapsed lease and stays in use for a while.
        lapsed: bool,
    },
    /// A failure domain was taken out of service or returned.
    Evacuated {
        /// Failure domain.
        domain: String,
        /// Whether it is out of service now.
        out: bool,
    },
    /// An item cannot be understood.
    Unreadable {
        /// Key.
        key: String,
        /// Why.
        reason: String,
    },
}

/// Items by key and their meaning.
pub struct Belief {
    dialect: Arc<dyn Dialect>,
    items: HashMap<String, HeldItem>,
    versions: Versions,
    configuration: Option<Arc<Configuration>>,
    upstreams: HashMap<String, KnownUpstream>,
    evacuated: HashMap<String, String>,
    upstreams_listed: bool,
    disturbed_at: Option<Duration>,
    lapse_grace: Duration,
    vanished: Vec<Duration>,
}

impl Belief {
    /// A belief that knows nothing. `lapse_grace` is the time for which a vanished upstream may
    /// count as there; a departure must not be overlooked for longer than agreed.
    #[must_use]
    pub fn new(dialect: Arc<dyn Dialect>, lapse_grace: Duration) -> Self {
        let prefixes = dialect.watched_prefixes().len();
        Self {
            dialect,
            items: HashMap::new(),
            versions: Versions(vec![0; prefixes]),
            configuration: None,
            upstreams: HashMap::new(),
            evacuated: HashMap::new(),
            upstreams_listed: false,
            disturbed_at: None,
            lapse_grace: lapse_grace.min(LAPSE_GRACE),
            vanished: Vec::new(),
        }
    }

    /// Highest revision of any item held, for logs.
    #[must_use]
    pub fn version(&self) -> u64 {
        self.versions.0.iter().copied().max().unwrap_or(0)
    }

    /// Highest revisions held; peers compare them.
    #[must_use]
    pub fn versions(&self) -> &Versions {
        &self.versions
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Whether requests can be routed: a configuration and at least one upstream are known.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.configuration.is_some() && (self.upstreams_listed || !self.upstreams.is_empty())
    }

    /// Notes that the store was out of reach, slow or refusing.
    pub fn store_disturbed(&mut self, now: Duration) {
        self.disturbed_at = Some(now);
    }

    /// Applies one change; older revisions than the one held have no effect.
    pub fn apply(&mut self, now: Duration, change: Change) -> Vec<BeliefChange> {
        match change {
            Change::Put(item) => self.put(now, item),
            Change::Removed { key, revision } => self.remove(now, &key, revision),
        }
    }

    /// Applies a whole listing of a prefix, taken while the store stood at `at`: what it lacks was
    /// removed.
    pub fn apply_listing(
        &mut self,
        now: Duration,
        prefix: &str,
        items: Vec<Item>,
        at: u64,
    ) -> Vec<BeliefChange> {
        let missing: Vec<String> = self
            .items
            .iter()
            .filter(|(key, held)| {
                key.starts_with(prefix)
                    && held.value.is_some()
                    && held.revision <= at
                    && !items.iter().any(|i| i.key == **key)
            })
            .map(|(key, _)| key.clone())
            .collect();
        let mut changes = Vec::new();
        for item in items {
            changes.extend(self.put(now, item));
        }
        for key in missing {
            changes.extend(self.remove(now, &key, at));
        }
        self.upstreams_listed |= !self.upstreams.is_empty();
        changes
    }

    /// Items whose last change is above what a peer that lags holds.
    #[must_use]
    pub fn items_since(&self, held: &Versions) -> Vec<(&str, &HeldItem)> {
        self.items
            .iter()
            .filter(|(key, item)| {
                let since = self.prefix_of(key).and_then(|i| held.0.get(i));
                item.revision > since.copied().unwrap_or(0)
            })
            .map(|(key, item)| (key.as_str(), item))
            .collect()
    }

    fn prefix_of(&self, key: &str) -> Option<usize> {
        let prefixes = self.dialect.watched_prefixes();
        prefixes.iter().position(|p| key.starts_with(p))
    }

    /// Upstreams of a service that take new work now.
    pub fn usable<'a>(
        &'a self,
        now: Duration,
        service: &'a str,
    ) -> impl Iterator<Item = &'a KnownUpstream> {
        self.upstreams.values().filter(move |u| {
            u.upstream.service == service
                && u.takes_work(now)
                && !self.evacuated.values().any(|d| *d == u.upstream.domain)
        })
    }

    /// All upstreams that are known, departed ones included.
    pub fn upstreams(&self) -> impl Iterator<Item = &KnownUpstream> {
        self.upstreams.values()
    }

    /// Forgets what departed long ago.
    pub fn tick(&mut self, now: Duration) {
        self.upstreams
            .retain(|_, u| u.gone_at.is_none_or(|at| now < at + DEPARTED_KEPT));
        let removed = self.items.values().filter(|i| i.value.is_none()).count();
        if removed > MAX_REMOVED {
            // Half of the removals keep their revisions: the newer ones.
            let mut revisions: Vec<u64> = self
                .items
                .values()
                .filter(|i| i.value.is_none())
                .map(|i| i.revision)
                .collect();
            revisions.sort_unstable();
            let oldest_kept = revisions[removed - MAX_REMOVED / 2];
            self.items
                .retain(|_, i| i.value.is_some() || i.revision >= oldest_kept);
        }
    }

    fn advance(&mut self, key: &str, revision: u64) -> bool {
        let is_newer = self.items.get(key).is_none_or(|h| h.revision < revision);
        if is_newer
            && let Some(prefix) = self.prefix_of(key)
            && let Some(version) = self.versions.0.get_mut(prefix)
        {
            *version = revision.max(*version);
        }
        is_newer
    }

    fn put(&mut self, now: Duration, item: Item) -> Vec<BeliefChange> {
        if !self.advance(&item.key, item.revision) {
            return Vec::new();
        }
        let meaning = self.dialect.decode(&item.key, &item.value);
        let held = HeldItem {
            revision: item.revision,
            value: Some(item.value),
        };
        self.items.insert(item.key.clone(), held);
        match meaning {
            DecodedItem::Configuration(cfg) => self.put_configuration(*cfg),
            DecodedItem::Upstream(upstream) => self.put_upstream(now, &item.key, *upstream),
            DecodedItem::Evacuated(domain) => {
                self.evacuated.insert(item.key, domain.clone());
                vec![BeliefChange::Evacuated { domain, out: true }]
            }
            DecodedItem::Unreadable(reason) => {
                // An entry that cannot be read names no upstream to use.
                self.upstreams.remove(&item.key);
                vec![BeliefChange::Unreadable {
                    key: item.key,
                    reason,
                }]
            }
            DecodedItem::Peer { .. } | DecodedItem::Other => Vec::new(),
        }
    }

    fn put_configuration(&mut self, cfg: Configuration) -> Vec<BeliefChange> {
        let version = cfg.version;
        self.configuration = Some(Arc::new(cfg));
        vec![BeliefChange::Configuration { version }]
    }

    fn put_upstream(&mut self, now: Duration, key: &str, upstream: Upstream) -> Vec<BeliefChange> {
        let change = BeliefChange::Upstream {
            instance: upstream.instance.clone(),
            state: upstream.state,
        };
        match self.upstreams.get_mut(key) {
            Some(known) => known.update(now, upstream),
            None => {
                let known = KnownUpstream::new(now, upstream);
                self.upstreams.insert(key.to_owned(), known);
            }
        }
        self.supersede(key);
        vec![change]
    }

    /// Of several instances at one address only the youngest is there: the entries of the others
    /// have not lapsed yet.
    fn supersede(&mut self, key: &str) {
        let Some(newest) = self.upstreams.get(key).cloned() else {
            return;
        };
        let mut is_superseded = false;
        for (other_key, other) in &mut self.upstreams {
            if other_key == key || other.upstream.address != newest.upstream.address {
                continue;
            }
            if newest.is_younger(other) {
                other.is_superseded = true;
            } else {
                is_superseded = true;
            }
        }
        if let Some(known) = self.upstreams.get_mut(key) {
            known.is_superseded = is_superseded;
        }
    }

    /// Notes that another instance answered at an upstream's address.
    pub fn misdirected(&mut self, instance: &str) {
        for known in self.upstreams.values_mut() {
            if known.upstream.instance == instance {
                known.is_superseded = true;
            }
        }
    }

    fn remove(&mut self, now: Duration, key: &str, revision: u64) -> Vec<BeliefChange> {
        if !self.advance(key, revision) {
            return Vec::new();
        }
        let held = HeldItem {
            revision,
            value: None,
        };
        self.items.insert(key.to_owned(), held);
        if let Some(domain) = self.evacuated.remove(key) {
            self.returned(now, &domain);
            return vec![BeliefChange::Evacuated { domain, out: false }];
        }
        if !self.upstreams.contains_key(key) {
            return Vec::new();
        }
        let lapsed = self.may_be_lapse(now);
        let grace = self.lapse_grace;
        let Some(known) = self.upstreams.get_mut(key) else {
            return Vec::new();
        };
        known.gone(now, if lapsed { grace } else { Duration::ZERO });
        let instance = known.upstream.instance.clone();
        if lapsed {
            self.extend_grace_of_recent(now);
        }
        vec![BeliefChange::UpstreamGone { instance, lapsed }]
    }

    /// Upstreams of a returned failure domain may have become cold while nothing reached them.
    fn returned(&mut self, now: Duration, domain: &str) {
        let cfg = self.configuration.clone();
        for known in self.upstreams.values_mut() {
            if known.upstream.domain != domain {
                continue;
            }
            let cold_start = cfg
                .as_ref()
                .and_then(|c| c.services.get(&known.upstream.service))
                .map_or(Duration::ZERO, |s| s.cold_start);
            known.cold_until = known.cold_until.max(now + cold_start);
        }
    }

    fn may_be_lapse(&mut self, now: Duration) -> bool {
        self.vanished.retain(|at| now < *at + MASS_WINDOW);
        self.vanished.push(now);
        let is_disturbed = self.disturbed_at.is_some_and(|at| now < at + DISTURBED_FOR);
        let live = self
            .upstreams
            .values()
            .filter(|u| u.gone_at.is_none())
            .count();
        let known = live + self.vanished.len() - 1;
        let is_mass = self.vanished.len() >= MASS_MIN
            && self.vanished.len() as f64 >= MASS_SHARE * known as f64;
        is_disturbed || is_mass
    }

    /// The first entries of a mass lapse vanished before it could be told as one.
    fn extend_grace_of_recent(&mut self, now: Duration) {
        let grace = self.lapse_grace;
        for known in self.upstreams.values_mut() {
            if known.gone_at.is_some_and(|at| now < at + MASS_WINDOW) {
                known.extend_grace(grace);
            }
        }
    }
}
