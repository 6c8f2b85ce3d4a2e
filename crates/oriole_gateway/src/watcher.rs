//! Follows the store: a listing, then watches from its revision.

use std::sync::Arc;
use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_store::backoff::Backoff;
use oriole_store::error::StoreError;
use tokio_util::sync::CancellationToken;

use crate::decision_log::Event;
use crate::gateway::Gateway;

/// Pauses after failed calls. The longest is short against the bounds on changes.
const BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(100),
    max: Duration::from_millis(800),
};

/// Pause after changes, so that those that come together cost one call. Short against the bounds on
/// changes.
const GATHER: Duration = Duration::from_millis(300);

/// Follows each prefix that the dialect names until told to stop.
pub fn spawn(gateway: &Arc<Gateway>, store: &Arc<dyn FleetStore>, stop: &CancellationToken) {
    for prefix in gateway.dialect.watched_prefixes() {
        let follower = Follower {
            gateway: gateway.clone(),
            store: store.clone(),
            prefix,
            revision: None,
            heard_at: gateway.clock.now(),
            failed_calls: 0,
        };
        let stop = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stop.cancelled() => {}
                () = follower.run() => {}
            }
        });
    }
}

struct Follower {
    gateway: Arc<Gateway>,
    store: Arc<dyn FleetStore>,
    prefix: &'static str,
    /// Revision up to which changes are known; none before a listing.
    revision: Option<u64>,
    /// Time of the store's last answer.
    heard_at: Duration,
    failed_calls: u32,
}

impl Follower {
    async fn run(mut self) {
        loop {
            let outcome = match self.revision {
                None => self.list().await,
                Some(revision) => self.watch(revision).await,
            };
            match outcome {
                Ok(()) => self.succeeded(),
                Err(e) => self.failed(&e).await,
            }
        }
    }

    async fn list(&mut self) -> Result<(), StoreError> {
        let mut items = Vec::new();
        let mut at = None;
        loop {
            let after = items.last().map(|i: &Item| i.key.clone());
            let page = self
                .store
                .list(self.prefix, after.as_deref(), Freshness::Latest)
                .await?;
            // Pages are no snapshot: what changed since the first one comes with the watch.
            at.get_or_insert(page.store_revision);
            items.extend(page.items);
            if !page.truncated {
                break;
            }
        }
        let at = at.unwrap_or(0);
        self.gateway.apply_listing(self.prefix, items, at);
        self.revision = Some(at);
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
                    tokio::time::sleep(GATHER).await;
                }
            }
            WatchOutcome::HistoryGone => {
                self.tell("history gone", "the store dropped its history");
                self.revision = None;
            }
        }
        Ok(())
    }

    fn succeeded(&mut self) {
        let now = self.gateway.clock.now();
        let age = now.saturating_sub(self.heard_at);
        metrics::histogram!("oriole_belief_age_seconds", "prefix" => self.prefix)
            .record(age.as_secs_f64());
        self.heard_at = now;
        if self.failed_calls > 0 {
            self.gateway
                .belief()
                .store_disturbed(self.gateway.clock.now());
            self.tell("regained", "");
        }
        self.failed_calls = 0;
    }

    async fn failed(&mut self, e: &StoreError) {
        let now = self.gateway.clock.now();
        self.gateway.belief().store_disturbed(now);
        if self.failed_calls == 0 {
            self.tell("lost", &e.to_string());
        }
        metrics::counter!("oriole_store_failures_total", "prefix" => self.prefix).increment(1);
        self.failed_calls += 1;
        // A watch that is resumed after trouble may stay silent about what changed meanwhile.
        self.revision = None;
        let pause = BACKOFF.pause(self.failed_calls, &mut rand::rng());
        tokio::time::sleep(pause).await;
    }

    fn tell(&self, now: &str, reason: &str) {
        self.gateway.log.event(&Event::Store {
            now,
            prefix: self.prefix,
            reason,
            revision: self.revision.unwrap_or(0),
        });
    }
}
