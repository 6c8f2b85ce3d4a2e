//! The daemon's cached view of the fleet: the store's items by revision, and what they decode to.
//!
//! An item only moves forward in revision. Changes may therefore arrive from the store or from a
//! peer, repeatedly and out of order.

mod known_upstream;

use std::collections::{HashMap, HashSet};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use oriole_fleet::prelude::*;
use oriole_types::digest::Digest;

pub use self::known_upstream::KnownUpstream;

/// Longest time for which an upstream whose entry vanished around a store outage stays usable.
/// Entries whose leases expired during the outage are written again about two seconds after its
/// end.
pub const MAX_LAPSE_GRACE: Duration = Duration::from_millis(2200);

/// Time after store trouble during which a vanished entry may be an expired lease.
const STORE_TROUBLE_WINDOW: Duration = Duration::from_millis(2200);

/// Share of the known entries that must vanish within [`MASS_LAPSE_WINDOW`] to be treated as
/// expired leases rather than departures.
const MASS_LAPSE_SHARE: f64 = 0.34;

/// Fewest entries that must vanish within [`MASS_LAPSE_WINDOW`] to be treated as expired leases.
const MASS_LAPSE_MIN_COUNT: usize = 4;

/// Window in which vanished entries are counted together.
const MASS_LAPSE_WINDOW: Duration = Duration::from_secs(1);

/// Time for which a removed upstream is remembered, so that a late item does not restore it and
/// logs can still name it.
const REMOVED_RETENTION: Duration = Duration::from_secs(60);

/// Most removed keys whose revisions are kept for peers that lag behind.
const MAX_TOMBSTONES: usize = 4096;

/// Highest revision held under each watched prefix. A single number would hide a missed change
/// under one prefix behind a later change under another.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixRevisions(pub Vec<u64>);

impl PrefixRevisions {
    /// Whether any revision is higher than the corresponding one of `other`.
    #[must_use]
    pub fn is_ahead_of(&self, other: &Self) -> bool {
        let others = other.0.iter().copied().chain(std::iter::repeat(0));
        self.0.iter().zip(others).any(|(own, other)| *own > other)
    }
}

/// Digest of the items held under each watched prefix: equal for daemons that hold the same items in
/// the same revisions. Removed items do not count, as daemons may learn of a removal under different
/// revisions.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PrefixDigests(pub Vec<u64>);

fn item_digest(key: &str, revision: u64) -> u64 {
    Digest::of_fields(&[key.as_bytes(), &revision.to_be_bytes()]).prefix_u64()
}

/// A store item as it is cached and sent to peers.
#[derive(Clone, Debug)]
pub struct CachedItem {
    /// Revision of the item's last change.
    pub revision: u64,
    /// Value; `None` if the item was removed.
    pub value: Option<Bytes>,
}

/// A change of the fleet view, for the log.
#[derive(Clone, Debug, PartialEq)]
pub enum FleetChange {
    /// A configuration took effect.
    Configuration {
        /// Version given by the operator.
        version: u64,
    },
    /// An upstream was added, or its entry changed.
    Upstream {
        /// Instance of the upstream.
        instance: String,
        /// Service that its entry names.
        service: String,
        /// Address that its entry names.
        address: SocketAddr,
        /// New state of the upstream.
        state: UpstreamState,
    },
    /// An upstream's entry was removed.
    UpstreamGone {
        /// Instance of the upstream.
        instance: String,
        /// Whether the cause may be an expired lease. The upstream then stays usable for a while.
        lapsed: bool,
    },
    /// An upstream's entry was superseded by that of a newer run at the same address, or no longer is.
    UpstreamSuperseded {
        /// Instance of the upstream.
        instance: String,
        /// Whether it is superseded now.
        superseded: bool,
    },
    /// Another instance answered at an upstream's address.
    UpstreamRefuted {
        /// Instance of the upstream.
        instance: String,
    },
    /// A failure domain was taken out of service or returned.
    Evacuated {
        /// Name of the failure domain.
        domain: String,
        /// Whether it is now out of service.
        out: bool,
    },
    /// An item could not be decoded.
    Unreadable {
        /// Key of the item.
        key: String,
        /// Why it could not be decoded.
        reason: String,
    },
}

/// Store items by key, and what they decode to.
pub struct FleetView {
    dialect: Arc<dyn Dialect>,
    items: HashMap<String, CachedItem>,
    revisions: PrefixRevisions,
    digests: PrefixDigests,
    configuration: Option<Arc<Configuration>>,
    upstreams: HashMap<String, KnownUpstream>,
    evacuated_domains: HashMap<String, String>,
    has_listed_upstreams: bool,
    store_trouble_at: Option<Duration>,
    lapse_grace: Duration,
    recent_removals: Vec<Duration>,
}

impl FleetView {
    /// An empty view. `lapse_grace` limits how long an upstream whose entry vanished may stay
    /// usable, since a real departure must take effect within the agreed time.
    #[must_use]
    pub fn new(dialect: Arc<dyn Dialect>, lapse_grace: Duration) -> Self {
        let prefixes = dialect.watched_prefixes().len();
        Self {
            dialect,
            items: HashMap::new(),
            revisions: PrefixRevisions(vec![0; prefixes]),
            digests: PrefixDigests(vec![0; prefixes]),
            configuration: None,
            upstreams: HashMap::new(),
            evacuated_domains: HashMap::new(),
            has_listed_upstreams: false,
            store_trouble_at: None,
            lapse_grace: lapse_grace.min(MAX_LAPSE_GRACE),
            recent_removals: Vec::new(),
        }
    }

    /// Highest revision of any item held, for logs.
    #[must_use]
    pub fn max_revision(&self) -> u64 {
        self.revisions.0.iter().copied().max().unwrap_or(0)
    }

    /// Highest revision held under each prefix; peers compare them.
    #[must_use]
    pub fn revisions(&self) -> &PrefixRevisions {
        &self.revisions
    }

    /// Digest of the items held under each prefix; peers compare them.
    #[must_use]
    pub fn digests(&self) -> &PrefixDigests {
        &self.digests
    }

    /// The configuration in force.
    #[must_use]
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Whether requests can be routed: a configuration is known, and at least one upstream is or
    /// was known.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.configuration.is_some() && (self.has_listed_upstreams || !self.upstreams.is_empty())
    }

    /// Records that the store was unreachable, slow or refusing calls.
    pub fn record_store_trouble(&mut self, now: Duration) {
        self.store_trouble_at = Some(now);
    }

    /// Applies one change, unless the held item has the same or a higher revision.
    pub fn apply(&mut self, now: Duration, change: Change) -> Vec<FleetChange> {
        match change {
            Change::Put(item) => self.put(now, item),
            Change::Removed { key, revision } => self.remove(now, &key, revision),
        }
    }

    /// Applies a complete listing of a prefix, taken at `store_revision`. Held items that are
    /// missing from the listing were removed.
    pub fn apply_listing(
        &mut self,
        now: Duration,
        prefix: &str,
        items: Vec<Item>,
        store_revision: u64,
    ) -> Vec<FleetChange> {
        let missing: Vec<String> = self
            .items
            .iter()
            .filter(|(key, held)| {
                key.starts_with(prefix)
                    && held.value.is_some()
                    && held.revision <= store_revision
                    && !items.iter().any(|i| i.key == **key)
            })
            .map(|(key, _)| key.clone())
            .collect();
        let mut changes = Vec::new();
        for item in items {
            changes.extend(self.put(now, item));
        }
        for key in missing {
            changes.extend(self.remove(now, &key, store_revision));
        }
        self.has_listed_upstreams |= !self.upstreams.is_empty();
        changes
    }

    /// Items with a higher revision than those that a peer holds.
    #[must_use]
    pub fn items_since(&self, held: &PrefixRevisions) -> Vec<(&str, &CachedItem)> {
        self.items
            .iter()
            .filter(|(key, item)| {
                let since = self.prefix_index(key).and_then(|i| held.0.get(i));
                item.revision > since.copied().unwrap_or(0)
            })
            .map(|(key, item)| (key.as_str(), item))
            .collect()
    }

    /// Index of the watched prefix that a key belongs to.
    #[must_use]
    pub fn prefix_index(&self, key: &str) -> Option<usize> {
        let prefixes = self.dialect.watched_prefixes();
        prefixes.iter().position(|p| key.starts_with(p))
    }

    /// Upstreams of a service that take new requests now.
    pub fn usable_upstreams<'a>(
        &'a self,
        now: Duration,
        service: &'a str,
    ) -> impl Iterator<Item = &'a KnownUpstream> {
        self.upstreams.values().filter(move |u| {
            u.upstream.service == service
                && u.accepts_work(now)
                && !self
                    .evacuated_domains
                    .values()
                    .any(|d| *d == u.upstream.domain)
        })
    }

    /// Group of an upstream, if one of its members takes new requests now.
    #[must_use]
    pub fn running_group_of(&self, now: Duration, instance: &str) -> Option<&str> {
        let mut upstreams = self.upstreams.values();
        let member = upstreams.find(|known| known.upstream.instance == instance)?;
        let group = member.group()?;
        let is_running = self.upstreams.values().any(|known| {
            known.group() == Some(group)
                && known.upstream.service == member.upstream.service
                && known.accepts_work(now)
                && known.group_reported_running()
        });
        is_running.then_some(group)
    }

    /// All known upstreams, including those removed recently.
    pub fn upstreams(&self) -> impl Iterator<Item = &KnownUpstream> {
        self.upstreams.values()
    }

    /// Drops upstreams that were removed long ago, and old tombstones.
    pub fn tick(&mut self, now: Duration) {
        self.upstreams
            .retain(|_, u| u.removed_at.is_none_or(|at| now < at + REMOVED_RETENTION));
        let removed = self.items.values().filter(|i| i.value.is_none()).count();
        if removed > MAX_TOMBSTONES {
            // Keep the newer half of the allowed number of tombstones.
            let mut revisions: Vec<u64> = self
                .items
                .values()
                .filter(|i| i.value.is_none())
                .map(|i| i.revision)
                .collect();
            revisions.sort_unstable();
            let oldest_kept = revisions[removed - MAX_TOMBSTONES / 2];
            self.items
                .retain(|_, i| i.value.is_some() || i.revision >= oldest_kept);
        }
    }

    fn advance_revision(&mut self, key: &str, revision: u64) -> bool {
        let is_newer = self.items.get(key).is_none_or(|h| h.revision < revision);
        if is_newer
            && let Some(prefix) = self.prefix_index(key)
            && let Some(highest) = self.revisions.0.get_mut(prefix)
        {
            *highest = revision.max(*highest);
        }
        is_newer
    }

    /// Replaces the held item of a key.
    fn hold(&mut self, key: &str, item: CachedItem) {
        let Some(prefix) = self.prefix_index(key) else {
            return;
        };
        // The digests are combined by exclusive or, so that an item can be taken out again.
        let mut delta = 0;
        if item.value.is_some() {
            delta ^= item_digest(key, item.revision);
        }
        if let Some(replaced) = self.items.insert(key.to_owned(), item)
            && replaced.value.is_some()
        {
            delta ^= item_digest(key, replaced.revision);
        }
        self.digests.0[prefix] ^= delta;
    }

    fn put(&mut self, now: Duration, item: Item) -> Vec<FleetChange> {
        if !self.advance_revision(&item.key, item.revision) {
            return Vec::new();
        }
        let declared = self.dialect.decode(&item.key, &item.value);
        let held = CachedItem {
            revision: item.revision,
            value: Some(item.value),
        };
        self.hold(&item.key, held);
        match declared {
            DecodedItem::Configuration(cfg) => self.put_configuration(*cfg),
            DecodedItem::Upstream(upstream) => self.put_upstream(now, &item.key, *upstream),
            DecodedItem::Evacuated(domain) => {
                self.evacuated_domains.insert(item.key, domain.clone());
                vec![FleetChange::Evacuated { domain, out: true }]
            }
            DecodedItem::Unreadable(reason) => {
                // An unreadable entry does not identify a usable upstream.
                let replaced = self.upstreams.remove(&item.key);
                let mut changes = vec![FleetChange::Unreadable {
                    key: item.key,
                    reason,
                }];
                if let Some(replaced) = replaced {
                    changes.extend(self.update_superseded(replaced.upstream.address));
                }
                changes
            }
            DecodedItem::Peer { .. } | DecodedItem::Other => Vec::new(),
        }
    }

    fn put_configuration(&mut self, cfg: Configuration) -> Vec<FleetChange> {
        let version = cfg.version;
        self.configuration = Some(Arc::new(cfg));
        let mut changes = vec![FleetChange::Configuration { version }];
        // Which entries may supersede others depends on the configured services.
        let addresses: HashSet<SocketAddr> = self
            .upstreams
            .values()
            .map(|known| known.upstream.address)
            .collect();
        if addresses.len() < self.upstreams.len() {
            for address in addresses {
                changes.extend(self.update_superseded(address));
            }
        }
        changes
    }

    fn put_upstream(&mut self, now: Duration, key: &str, upstream: Upstream) -> Vec<FleetChange> {
        let mut changes = vec![FleetChange::Upstream {
            instance: upstream.instance.clone(),
            service: upstream.service.clone(),
            address: upstream.address,
            state: upstream.state,
        }];
        let address = upstream.address;
        let mut left_address = None;
        match self.upstreams.get_mut(key) {
            Some(known) => {
                left_address = Some(known.upstream.address).filter(|left| *left != address);
                known.update(now, upstream);
            }
            None => {
                let known = KnownUpstream::new(now, upstream);
                self.upstreams.insert(key.to_owned(), known);
            }
        }
        for address in left_address.into_iter().chain([address]) {
            changes.extend(self.update_superseded(address));
        }
        changes
    }

    /// Whether an entry names an upstream that requests can be sent to. Entries of other writers may
    /// have services that are not configured.
    fn names_upstream(&self, known: &KnownUpstream) -> bool {
        let cfg = self.configuration.as_ref();
        cfg.is_none_or(|cfg| cfg.services.contains_key(&known.upstream.service))
    }

    /// Determines which entries at an address are superseded: those that started before another one
    /// there. The entries of earlier runs may not have expired yet. Without start times nothing shows
    /// which run is newer; then the upstream itself refuses requests that are not meant for it.
    fn update_superseded(&mut self, address: SocketAddr) -> Vec<FleetChange> {
        let at_address = |known: &&KnownUpstream| known.upstream.address == address;
        let latest_start = self
            .upstreams
            .values()
            .filter(at_address)
            .filter(|known| self.names_upstream(known))
            .filter_map(KnownUpstream::superseding_start)
            .max();
        let mut changes = Vec::new();
        for known in self.upstreams.values_mut() {
            if known.upstream.address != address {
                continue;
            }
            let own_start = known.upstream.started_at_ms;
            let superseded = own_start.is_some() && own_start < latest_start;
            if std::mem::replace(&mut known.is_superseded, superseded) != superseded {
                changes.push(FleetChange::UpstreamSuperseded {
                    instance: known.upstream.instance.clone(),
                    superseded,
                });
            }
        }
        changes
    }

    /// Records that another instance answered at the upstream's address. It is not used for a while,
    /// and its entry supersedes no other.
    pub fn refute(&mut self, now: Duration, instance: &str) -> Vec<FleetChange> {
        let mut upstreams = self.upstreams.values_mut();
        let Some(known) = upstreams.find(|known| known.upstream.instance == instance) else {
            return Vec::new();
        };
        known.refute(now);
        let address = known.upstream.address;
        let mut changes = vec![FleetChange::UpstreamRefuted {
            instance: instance.to_owned(),
        }];
        changes.extend(self.update_superseded(address));
        changes
    }

    fn remove(&mut self, now: Duration, key: &str, revision: u64) -> Vec<FleetChange> {
        if !self.advance_revision(key, revision) {
            return Vec::new();
        }
        let held = CachedItem {
            revision,
            value: None,
        };
        self.hold(key, held);
        if let Some(domain) = self.evacuated_domains.remove(key) {
            self.on_domain_return(now, &domain);
            return vec![FleetChange::Evacuated { domain, out: false }];
        }
        let Some(known) = self.upstreams.get(key) else {
            return Vec::new();
        };
        let lapsed = self.names_upstream(known) && self.is_likely_lapse(now);
        let grace = self.lapse_grace;
        let Some(known) = self.upstreams.get_mut(key) else {
            return Vec::new();
        };
        known.mark_removed(now, if lapsed { grace } else { Duration::ZERO });
        let instance = known.upstream.instance.clone();
        let address = known.upstream.address;
        if lapsed {
            self.extend_recent_grace(now);
        }
        let mut changes = vec![FleetChange::UpstreamGone { instance, lapsed }];
        changes.extend(self.update_superseded(address));
        changes
    }

    /// Treats the upstreams of a returned failure domain as cold, because they received no requests
    /// while it was out of service.
    fn on_domain_return(&mut self, now: Duration, domain: &str) {
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

    fn is_likely_lapse(&mut self, now: Duration) -> bool {
        self.recent_removals
            .retain(|at| now < *at + MASS_LAPSE_WINDOW);
        self.recent_removals.push(now);
        let has_store_trouble = self
            .store_trouble_at
            .is_some_and(|at| now < at + STORE_TROUBLE_WINDOW);
        let live = self
            .upstreams
            .values()
            .filter(|u| u.removed_at.is_none() && self.names_upstream(u))
            .count();
        let known = live + self.recent_removals.len() - 1;
        let is_mass = self.recent_removals.len() >= MASS_LAPSE_MIN_COUNT
            && self.recent_removals.len() as f64 >= MASS_LAPSE_SHARE * known as f64;
        has_store_trouble || is_mass
    }

    /// Extends the grace of the entries that vanished before the mass lapse was recognized.
    fn extend_recent_grace(&mut self, now: Duration) {
        let grace = self.lapse_grace;
        for known in self.upstreams.values_mut() {
            if known
                .removed_at
                .is_some_and(|at| now < at + MASS_LAPSE_WINDOW)
            {
                known.extend_grace(grace);
            }
        }
    }
}
