//! Whether the configuration at hand may still be acted on.
//!
//! A confirmation says how long ago the store, read by anyone, showed no newer revision. While the
//! store can be read by some process that reaches us, the newest confirmation is young. It grows
//! old in two cases that differ in one point:
//!
//! - The store is out for all. No operator can have changed anything through it, and processes of a
//!   majority of failure domains still talk to us: work goes on.
//! - We are parted from the store and from the other domains. A drain may have been accepted
//!   without us, so new work stops until somebody confirms again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriole_types::ids::DomainName;

/// What some process says of the configuration.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Failure domain of the process that says it.
    pub domain: DomainName,
    /// Time since the store showed that the revision is the newest, as far as the process knows;
    /// absent if it never heard of a read.
    pub age: Option<Duration>,
}

impl Confirmation {
    /// What a process says that has just read the store.
    #[must_use]
    pub fn fresh(domain: DomainName) -> Self {
        let age = Some(Duration::ZERO);
        Self { domain, age }
    }
}

/// Keeps the newest confirmation and the domains that were heard.
#[derive(Clone, Debug)]
pub struct ConfirmationTracker {
    bound: Duration,
    confirmed_at: Option<Duration>,
    domains: BTreeSet<DomainName>,
    heard: BTreeMap<DomainName, Duration>,
}

impl ConfirmationTracker {
    /// A watch that calls a confirmation old after `bound`.
    #[must_use]
    pub fn new(bound: Duration) -> Self {
        Self {
            bound,
            confirmed_at: None,
            domains: BTreeSet::new(),
            heard: BTreeMap::new(),
        }
    }

    /// Sets the failure domains that the configuration names.
    pub fn set_domains<'a>(&mut self, domains: impl IntoIterator<Item = &'a DomainName>) {
        self.domains = domains.into_iter().cloned().collect();
    }

    /// Takes in what a process said.
    pub fn heard(&mut self, now: Duration, confirmation: &Confirmation) {
        self.heard.insert(confirmation.domain.clone(), now);
        let at = confirmation.age.map(|age| now.saturating_sub(age));
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Time since the store confirmed the configuration, for the confirmations this process sends.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether work may be admitted under the configuration at hand.
    #[must_use]
    pub fn may_admit(&self, now: Duration) -> bool {
        match self.age(now) {
            None => false,
            Some(age) => age <= self.bound || self.hears_majority(now),
        }
    }

    fn hears_majority(&self, now: Duration) -> bool {
        let recent = |at: &Duration| now.saturating_sub(*at) <= self.bound;
        let named = |d: &DomainName| self.domains.is_empty() || self.domains.contains(d);
        let heard = self
            .heard
            .iter()
            .filter(|(d, at)| named(d) && recent(at))
            .count();
        let of = self.domains.len().max(1);
        heard * 2 > of
    }
}
