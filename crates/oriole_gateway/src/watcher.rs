//! Keeps the fleet view up to date from the store: lists each prefix, watches from the revision of
//! the listing, and confirms the cached items with further listings as [`crate::freshness`] decides.

use std::sync::Arc;
use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_store::error::StoreError;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::decision_log::LogEvent;
use crate::freshness::FreshnessAction;
use crate::gateway::{Gateway, Listing};

/// Starts the tasks for each watched prefix of the dialect, which run until `stop` is cancelled.
pub fn spawn(gateway: &Arc<Gateway>, store: &Arc<dyn FleetStore>, stop: &CancellationToken) {
    for (index, name) in gateway.dialect.watched_prefixes().iter().enumerate() {
        let prefix = WatchedPrefix {
            gateway: gateway.clone(),
            store: store.clone(),
            index,
            name,
            cut: Arc::new(Notify::new()),
        };
        let watcher = PrefixWatcher {
            prefix: prefix.clone(),
            revision: None,
            complete_revision: None,
            failed_calls: 0,
        };
        let confirmer = PrefixConfirmer {
            prefix,
            failed_calls: 0,
        };
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = watcher.run() => {}
                () = confirmer.run() => {}
            }
        });
    }
}

/// A prefix of the store, as both of its tasks use it.
#[derive(Clone)]
struct WatchedPrefix {
    gateway: Arc<Gateway>,
    store: Arc<dyn FleetStore>,
    /// Index among the dialect's prefixes.
    index: usize,
    name: &'static str,
    /// Ends the watch that is open.
    cut: Arc<Notify>,
}

impl WatchedPrefix {
    /// Lists the prefix and applies the listing; returns the store's revision.
    async fn list(&self) -> Result<u64, StoreError> {
        let sent_at = self.gateway.clock.now();
        let mut items = Vec::new();
        let mut store_revision = None;
        loop {
            let after = items.last().map(|i: &Item| i.key.clone());
            let page = self
                .store
                .list(self.name, after.as_deref(), Freshness::Latest)
                .await?;
            // Pages are not a snapshot: the watch delivers what changed since the first page.
            store_revision.get_or_insert(page.store_revision);
            items.extend(page.items);
            if !page.truncated {
                break;
            }
        }
        let store_revision = store_revision.unwrap_or(0);
        self.gateway.apply_listing(Listing {
            prefix: self.index,
            sent_at,
            items,
            store_revision,
        });
        Ok(store_revision)
    }

    fn record_failure(&self) {
        let now = self.gateway.clock.now();
        self.gateway.fleet_view().record_store_trouble(now);
        metrics::counter!("oriole_store_failures_total", "prefix" => self.name).increment(1);
    }

    fn log_state(&self, now: &str, reason: &str, revision: Option<u64>) {
        self.gateway.log.event(&LogEvent::Store {
            now,
            prefix: self.name,
            reason,
            revision: revision.unwrap_or(0),
        });
    }
}

/// Watches a prefix and reports its changes.
struct PrefixWatcher {
    prefix: WatchedPrefix,
    /// Revision up to which changes are known; `None` if a listing is needed.
    revision: Option<u64>,
    /// Revision up to which the last successful calls were complete, also after a failure.
    complete_revision: Option<u64>,
    failed_calls: u32,
}

impl PrefixWatcher {
    async fn run(mut self) {
        loop {
            let outcome = match self.revision {
                None => self.list().await,
                Some(revision) => self.watch(revision).await,
            };
            match outcome {
                Ok(()) => self.on_success(),
                Err(e) => self.on_failure(&e).await,
            }
        }
    }

    async fn list(&mut self) -> Result<(), StoreError> {
        self.set_revision(self.prefix.list().await?);
        Ok(())
    }

    fn set_revision(&mut self, revision: u64) {
        self.revision = Some(revision);
        self.complete_revision = Some(revision);
    }

    async fn watch(&mut self, revision: u64) -> Result<(), StoreError> {
        let gateway = self.prefix.gateway.clone();
        let wait = Duration::from_millis(gateway.cfg.store.watch_ms);
        let (index, now) = (self.prefix.index, gateway.clock.now());
        gateway.watch_relay().on_watch_sent(now, index);
        gateway.freshness().on_watch_opened(now, index);
        let outcome = tokio::select! {
            outcome = self.prefix.store.watch(self.prefix.name, revision, wait) => Some(outcome),
            () = self.prefix.cut.notified() => None,
        };
        gateway.freshness().on_watch_ended(index);
        let Some(outcome) = outcome else {
            self.prefix
                .log_state("watch cut", "its answer may be lost", self.revision);
            metrics::counter!("oriole_watches_cut_total", "prefix" => self.prefix.name)
                .increment(1);
            self.revision = None;
            return Ok(());
        };
        match outcome? {
            WatchOutcome::Changes {
                changes,
                resume_revision,
            } => {
                let has_changes = !changes.is_empty();
                for change in changes {
                    gateway.apply(change, "store");
                }
                // Changes from peers do not count: they do not prove that none between is missing.
                let complete = resume_revision.max(revision);
                self.set_revision(complete);
                if has_changes {
                    gateway.pause_after_changes(index, complete).await;
                } else {
                    gateway.watch_relay().on_no_changes(index);
                }
            }
            WatchOutcome::HistoryGone => {
                let reason = "the store dropped its history";
                self.prefix.log_state("history gone", reason, self.revision);
                self.revision = None;
            }
        }
        Ok(())
    }

    fn on_success(&mut self) {
        if self.failed_calls > 0 {
            let gateway = &self.prefix.gateway;
            gateway
                .fleet_view()
                .record_store_trouble(gateway.clock.now());
            self.prefix.log_state("regained", "", self.revision);
        }
        self.failed_calls = 0;
    }

    async fn on_failure(&mut self, e: &StoreError) {
        self.prefix.record_failure();
        if self.failed_calls == 0 {
            self.prefix.log_state("lost", &e.to_string(), self.revision);
        }
        self.failed_calls += 1;
        // A watch resumed after a failure may omit changes made meanwhile, so list again.
        self.revision = None;
        let (gateway, index) = (&self.prefix.gateway, self.prefix.index);
        gateway.on_watcher_call_failed(index, self.failed_calls, self.complete_revision);
        gateway.wait_for_retry(index).await;
    }
}

/// Confirms the cached items of a prefix when they are due, and cuts watches that are no longer
/// trusted.
struct PrefixConfirmer {
    prefix: WatchedPrefix,
    failed_calls: u32,
}

impl PrefixConfirmer {
    async fn run(mut self) {
        let gateway = self.prefix.gateway.clone();
        let wake = &gateway.freshness_wake[self.prefix.index];
        loop {
            let (now, place) = (gateway.clock.now(), gateway.confirming_place());
            let action = gateway
                .freshness()
                .next_action(now, self.prefix.index, place);
            match action {
                FreshnessAction::Confirm => self.confirm().await,
                FreshnessAction::CutWatch => {
                    gateway.freshness().on_watch_ended(self.prefix.index);
                    self.prefix.cut.notify_one();
                }
                FreshnessAction::WaitUntil(at) => tokio::select! {
                    () = tokio::time::sleep(at.saturating_sub(now)) => {}
                    () = wake.notified() => {}
                },
            }
        }
    }

    async fn confirm(&mut self) {
        let gateway = &self.prefix.gateway;
        match self.prefix.list().await {
            Ok(revision) => {
                if self.failed_calls > 0 {
                    self.prefix.log_state("confirmed", "", Some(revision));
                }
                self.failed_calls = 0;
                gateway.watch_relay().on_confirm(self.prefix.index, None);
                // Peers take over the confirmation and need no read of their own.
                gateway.mesh_wake.notify_one();
            }
            Err(e) => {
                self.prefix.record_failure();
                if self.failed_calls == 0 {
                    self.prefix.log_state("unconfirmed", &e.to_string(), None);
                }
                self.failed_calls += 1;
                let now = gateway.clock.now();
                let pause = {
                    let mut relay = gateway.watch_relay();
                    let pause = relay.retry_pause(self.failed_calls, &mut rand::rng());
                    relay.on_confirm(self.prefix.index, Some(now + pause));
                    pause
                };
                gateway
                    .freshness()
                    .on_confirm_failed(now, self.prefix.index, pause);
            }
        }
    }
}
