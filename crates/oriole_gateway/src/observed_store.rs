//! Records which calls to the store are answered, so that one view of its health is fed by all of
//! them.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use oriole_fleet::prelude::*;
use oriole_store::error::StoreError;
use oriole_store::store::LeaseId;

use crate::gateway::Gateway;

/// A store whose calls are recorded in the gateway's freshness tracker.
pub struct ObservedStore {
    gateway: Arc<Gateway>,
    inner: Arc<dyn FleetStore>,
}

impl ObservedStore {
    /// Wraps a store.
    #[must_use]
    pub fn new(gateway: &Arc<Gateway>, inner: Arc<dyn FleetStore>) -> Self {
        let gateway = gateway.clone();
        Self { gateway, inner }
    }

    fn record<T>(
        &self,
        sent_at: Duration,
        outcome: Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let is_answered = !matches!(
            outcome,
            Err(StoreError::Unavailable | StoreError::Ambiguous)
        );
        self.gateway.on_store_call(sent_at, is_answered);
        outcome
    }
}

/// Counts a call; calls of the registration have no prefix.
fn count_call(prefix: &str, call: &'static str) {
    metrics::counter!("oriole_store_calls_total", "prefix" => prefix.to_owned(), "call" => call)
        .increment(1);
}

#[async_trait]
impl FleetStore for ObservedStore {
    async fn list(
        &self,
        prefix: &str,
        after: Option<&str>,
        freshness: Freshness,
    ) -> Result<ListPage, StoreError> {
        count_call(prefix, "list");
        let sent_at = self.gateway.clock.now();
        self.record(sent_at, self.inner.list(prefix, after, freshness).await)
    }

    async fn watch(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> Result<WatchOutcome, StoreError> {
        count_call(prefix, "watch");
        let outcome = self.inner.watch(prefix, after, wait).await;
        // A failed watch is listed again anyway, and it may have been sent long before the failure.
        if outcome.is_ok() {
            self.gateway.on_store_call(self.gateway.clock.now(), true);
        }
        outcome
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        count_call("", "grant_lease");
        let sent_at = self.gateway.clock.now();
        self.record(sent_at, self.inner.grant_lease(ttl).await)
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        count_call("", "renew_lease");
        let sent_at = self.gateway.clock.now();
        self.record(sent_at, self.inner.renew_lease(lease).await)
    }

    async fn put(&self, item: PutItem<'_>) -> Result<(), StoreError> {
        count_call("", "put");
        let sent_at = self.gateway.clock.now();
        self.record(sent_at, self.inner.put(item).await)
    }
}
