//! Keeps the fleet view up to date from the store: lists each prefix, then watches from the
//! revision of the listing.

use std::sync::Arc;
use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_store::backoff::Backoff;
use oriole_store::error::StoreError;
use tokio_util::sync::CancellationToken;

use crate::decision_log::LogEvent;
use crate::gateway::Gateway;

/// Pauses after failed calls. The longest is short compared with the agreed time for changes to
/// take effect.
const BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(100),
    max: Duration::from_millis(800),
};

/// Pause after a watch returned changes, so that changes in quick succession cost one call. Short
/// compared with the agreed time for changes to take effect.
const CHANGE_BATCH_PAUSE: Duration = Duration::from_millis(300);

/// Starts a task for each watched prefix of the dialect, which runs until `stop` is cancelled.
pub fn spawn(gateway: &Arc<Gateway>, store: &Arc<dyn FleetStore>, stop: &CancellationToken) {
    for prefix in gateway.dialect.watched_prefixes() {
        let watcher = PrefixWatcher {
            gateway: gateway.clone(),
            store: store.clone(),
            prefix,
            revision: None,
            last_response_at: gateway.clock.now(),
            failed_calls: 0,
        };
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = watcher.run() => {}
            }
        });
    }
}

struct PrefixWatcher {
    gateway: Arc<Gateway>,
    store: Arc<dyn FleetStore>,
    prefix: &'static str,
    /// Revision up to which changes are known; `None` if a listing is needed.
    revision: Option<u64>,
    /// Time of the store's last response.
    last_response_at: Duration,
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
        let mut items = Vec::new();
        let mut store_revision = None;
        loop {
            let after = items.last().map(|i: &Item| i.key.clone());
            let page = self
                .store
                .list(self.prefix, after.as_deref(), Freshness::Latest)
                .await?;
            // Pages are not a snapshot: the watch delivers what changed since the first page.
            store_revision.get_or_insert(page.store_revision);
            items.extend(page.items);
            if !page.truncated {
                break;
            }
        }
        let store_revision = store_revision.unwrap_or(0);
        self.gateway
            .apply_listing(self.prefix, items, store_revision);
        self.revision = Some(store_revision);
        Ok(())
    }

    async fn watch(&mut self, revision: u64) -> Result<(), StoreError> {
        let wait = Duration::from_millis(self.gateway.cfg.store.watch_ms);
        match self.store.watch(self.prefix, revision, wait).await? {
            WatchOutcome::Changes {
                changes,
                resume_revision,
            } => {
                let has_changes = !changes.is_empty();
                for change in changes {
                    self.gateway.apply(change, "store");
                }
                self.revision = Some(resume_revision.max(revision));
                if has_changes {
                    tokio::time::sleep(CHANGE_BATCH_PAUSE).await;
                }
            }
            WatchOutcome::HistoryGone => {
                self.log_state("history gone", "the store dropped its history");
                self.revision = None;
            }
        }
        Ok(())
    }

    fn on_success(&mut self) {
        let now = self.gateway.clock.now();
        let age = now.saturating_sub(self.last_response_at);
        metrics::histogram!("oriole_belief_age_seconds", "prefix" => self.prefix)
            .record(age.as_secs_f64());
        self.last_response_at = now;
        if self.failed_calls > 0 {
            self.gateway
                .fleet_view()
                .record_store_trouble(self.gateway.clock.now());
            self.log_state("regained", "");
        }
        self.failed_calls = 0;
    }

    async fn on_failure(&mut self, e: &StoreError) {
        let now = self.gateway.clock.now();
        self.gateway.fleet_view().record_store_trouble(now);
        if self.failed_calls == 0 {
            self.log_state("lost", &e.to_string());
        }
        metrics::counter!("oriole_store_failures_total", "prefix" => self.prefix).increment(1);
        self.failed_calls += 1;
        // A watch resumed after a failure may omit changes made meanwhile, so list again.
        self.revision = None;
        let pause = BACKOFF.pause(self.failed_calls, &mut rand::rng());
        tokio::time::sleep(pause).await;
    }

    fn log_state(&self, now: &str, reason: &str) {
        self.gateway.log.event(&LogEvent::Store {
            now,
            prefix: self.prefix,
            reason,
            revision: self.revision.unwrap_or(0),
        });
    }
}
