//! The cached state of one upstream.

use std::time::Duration;

use oriole_fleet::prelude::*;

/// Time for which an upstream is not used after another instance answered at its address. Longer than
/// the entry of an instance that is gone usually stays in the store.
const REFUTED_TIME: Duration = Duration::from_secs(10);

/// An upstream's latest entry with the times that decide whether it may be used.
#[derive(Clone, Debug)]
pub struct KnownUpstream {
    /// The latest entry from the store.
    pub upstream: Upstream,
    /// Time at which that entry was received.
    pub declared_at: Duration,
    /// Time until which the upstream only takes its cold rate.
    pub cold_until: Duration,
    /// Time at which the entry was removed; `None` while it exists.
    pub removed_at: Option<Duration>,
    /// Whether a newer run at the same address has an entry.
    pub(super) is_superseded: bool,
    /// Time at which another instance answered at its address, unless the entry changed since.
    refuted_at: Option<Duration>,
    usable_until: Duration,
}

impl KnownUpstream {
    /// An upstream whose entry was just received.
    #[must_use]
    pub fn new(now: Duration, upstream: Upstream) -> Self {
        Self {
            declared_at: now,
            cold_until: now + upstream.cold_remaining,
            removed_at: None,
            is_superseded: false,
            refuted_at: None,
            usable_until: Duration::MAX,
            upstream,
        }
    }

    /// Whether it takes new requests, regardless of evacuations and of its group.
    #[must_use]
    pub fn accepts_work(&self, now: Duration) -> bool {
        let is_refuted = self.refuted_at.is_some_and(|at| now < at + REFUTED_TIME);
        self.upstream.state == UpstreamState::Ready
            && now < self.usable_until
            && !self.is_superseded
            && !is_refuted
    }

    /// Hash of the instance and its run; another run has another one.
    #[must_use]
    pub fn run_hash(&self) -> u64 {
        let run = self.upstream.started_at_ms.unwrap_or_default();
        xxhash_rust::xxh3::xxh3_64_with_seed(self.upstream.instance.as_bytes(), run)
    }

    /// Name of its group, if it belongs to one.
    #[must_use]
    pub fn group(&self) -> Option<&str> {
        let membership = self.upstream.group_membership.as_ref();
        membership.map(|m| m.group.as_str())
    }

    /// Whether its group runs according to the store. True for an upstream without a group.
    #[must_use]
    pub fn group_reported_running(&self) -> bool {
        self.upstream
            .group_membership
            .as_ref()
            .is_none_or(|s| s.group_running)
    }

    /// Start time of its run, if the entry shows that this run took the address over from earlier ones.
    pub(super) fn superseding_start(&self) -> Option<u64> {
        let is_listed = self.removed_at.is_none() && self.refuted_at.is_none();
        self.upstream.started_at_ms.filter(|_| is_listed)
    }

    /// Records that another instance answered at its address.
    pub(super) fn refute(&mut self, now: Duration) {
        self.refuted_at = Some(now);
    }

    /// Whether it only takes its cold rate.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Replaces the entry by a newer one.
    pub(super) fn update(&mut self, now: Duration, upstream: Upstream) {
        let cold_until = now + upstream.cold_remaining;
        self.cold_until = self.cold_until.max(cold_until);
        self.declared_at = now;
        self.removed_at = None;
        self.refuted_at = None;
        self.usable_until = Duration::MAX;
        self.upstream = upstream;
    }

    /// Marks the entry as removed; the upstream stays usable for `grace`.
    pub(super) fn mark_removed(&mut self, now: Duration, grace: Duration) {
        self.removed_at = Some(now);
        self.usable_until = now + grace;
    }

    /// Keeps a removed upstream usable until at least `grace` after its removal.
    pub(super) fn extend_grace(&mut self, grace: Duration) {
        if let Some(at) = self.removed_at {
            self.usable_until = self.usable_until.max(at + grace);
        }
    }
}
