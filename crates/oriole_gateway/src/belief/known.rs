//! One upstream as it is known.

use std::time::Duration;

use oriole_fleet::prelude::*;

/// An upstream with the times that matter for using it.
#[derive(Clone, Debug)]
pub struct KnownUpstream {
    /// As it was last declared.
    pub upstream: Upstream,
    /// Time of that declaration.
    pub heard_at: Duration,
    /// Time until which it bears only its cold rate.
    pub cold_until: Duration,
    /// Time at which its entry was removed.
    pub gone_at: Option<Duration>,
    /// Whether another instance has its address.
    pub is_superseded: bool,
    usable_until: Duration,
}

impl KnownUpstream {
    /// An upstream that was just declared.
    #[must_use]
    pub fn new(now: Duration, upstream: Upstream) -> Self {
        Self {
            heard_at: now,
            cold_until: now + upstream.cold_remaining,
            gone_at: None,
            is_superseded: false,
            usable_until: Duration::MAX,
            upstream,
        }
    }

    /// Whether it takes new work, evacuations aside.
    #[must_use]
    pub fn takes_work(&self, now: Duration) -> bool {
        self.upstream.state == UpstreamState::Ready
            && now < self.usable_until
            && !self.is_superseded
    }

    /// Whether its group runs, if it belongs to one.
    #[must_use]
    pub fn is_open(&self) -> bool {
        self.upstream
            .group_membership
            .as_ref()
            .is_none_or(|s| s.group_running)
    }

    /// Whether it started after another instance, as far as both tell.
    pub(super) fn is_younger(&self, other: &Self) -> bool {
        match (self.upstream.started_at_ms, other.upstream.started_at_ms) {
            (Some(own), Some(other)) if own != other => own > other,
            _ => self.heard_at >= other.heard_at,
        }
    }

    /// Whether it bears only its cold rate.
    #[must_use]
    pub fn is_cold(&self, now: Duration) -> bool {
        now < self.cold_until
    }

    /// Takes a new declaration.
    pub(super) fn update(&mut self, now: Duration, upstream: Upstream) {
        let cold_until = now + upstream.cold_remaining;
        self.cold_until = self.cold_until.max(cold_until);
        self.heard_at = now;
        self.gone_at = None;
        self.is_superseded = false;
        self.usable_until = Duration::MAX;
        self.upstream = upstream;
    }

    /// Notes that its entry was removed; it stays in use for a while.
    pub(super) fn gone(&mut self, now: Duration, grace: Duration) {
        self.gone_at = Some(now);
        self.usable_until = now + grace;
    }

    /// Keeps a removed upstream in use for a while after its removal.
    pub(super) fn extend_grace(&mut self, grace: Duration) {
        if let Some(at) = self.gone_at {
            self.usable_until = self.usable_until.max(at + grace);
        }
    }
}
