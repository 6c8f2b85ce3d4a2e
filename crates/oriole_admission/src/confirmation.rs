//! Whether the held configuration is recent enough to admit work.
//!
//! A confirmation says how long ago some process read the store and found no newer revision. As
//! long as any process that can reach this one can read the store, the newest confirmation is
//! recent. It becomes old in two cases:
//!
//! - Nobody can read the store. No operator can have changed anything through it, and processes in
//!   a majority of failure domains still reach this one, so work goes on.
//! - This process is partitioned from the store and from the other failure domains. A drain may
//!   have been accepted meanwhile, so new work stops until the configuration is confirmed again.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use oriole_types::ids::DomainName;

/// A process's statement of how recently the configuration was checked against the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Confirmation {
    /// Failure domain of the process that sent it.
    pub domain: DomainName,
    /// Time since a read of the store showed that the revision is the newest; `None` if the sender
    /// knows of no such read.
    pub age: Option<Duration>,
}

impl Confirmation {
    /// The confirmation of a process that has just read the store.
    #[must_use]
    pub fn fresh(domain: DomainName) -> Self {
        let age = Some(Duration::ZERO);
        Self { domain, age }
    }
}

/// Keeps the newest confirmation and when each failure domain last sent one.
#[derive(Clone, Debug)]
pub struct ConfirmationTracker {
    max_age: Duration,
    confirmed_at: Option<Duration>,
    domains: BTreeSet<DomainName>,
    last_received: BTreeMap<DomainName, Duration>,
}

impl ConfirmationTracker {
    /// Creates a tracker for which a confirmation is old after `max_age`.
    #[must_use]
    pub fn new(max_age: Duration) -> Self {
        Self {
            max_age,
            confirmed_at: None,
            domains: BTreeSet::new(),
            last_received: BTreeMap::new(),
        }
    }

    /// Sets the failure domains that the configuration names.
    pub fn set_domains<'a>(&mut self, domains: impl IntoIterator<Item = &'a DomainName>) {
        self.domains = domains.into_iter().cloned().collect();
    }

    /// Records a confirmation received from a process.
    pub fn record(&mut self, now: Duration, confirmation: &Confirmation) {
        self.last_received.insert(confirmation.domain.clone(), now);
        let at = confirmation.age.map(|age| now.saturating_sub(age));
        self.confirmed_at = self.confirmed_at.max(at);
    }

    /// Age of the newest confirmation, to send in this process's own confirmations; `None` before
    /// the first.
    #[must_use]
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|at| now.saturating_sub(at))
    }

    /// Whether work may be admitted under the held configuration.
    #[must_use]
    pub fn may_admit(&self, now: Duration) -> bool {
        match self.age(now) {
            None => false,
            Some(age) => age <= self.max_age || self.is_reached_by_majority(now),
        }
    }

    /// Whether processes in a majority of failure domains sent a confirmation lately.
    fn is_reached_by_majority(&self, now: Duration) -> bool {
        let recent = |at: &Duration| now.saturating_sub(*at) <= self.max_age;
        let configured = |d: &DomainName| self.domains.is_empty() || self.domains.contains(d);
        let reaching = self
            .last_received
            .iter()
            .filter(|(d, at)| configured(d) && recent(at))
            .count();
        let total = self.domains.len().max(1);
        reaching * 2 > total
    }
}
