//! Reads the addresses of the group's engines and the limits on its maps from the platform's store.

use std::sync::Arc;
use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_store::backoff::Backoff;
use oriole_store::error::StoreError;
use slog::warn;

use super::{Agent, lock};
use crate::group_addresses::GroupAddresses;

/// Time between two reads of the group's addresses after the group was formed anew, and until the
/// addresses of all ranks are known.
const ADDRESS_REFRESH_INTERVAL: Duration = Duration::from_secs(4);

/// Time between two reads otherwise. A listing holds all upstreams of the fleet, and a rank moves to
/// another VM only when its group is formed anew.
const IDLE_REFRESH_INTERVAL: Duration = Duration::from_secs(30);

/// Longest delay of the read after the group was formed anew, so that not all agents read at once.
const MAX_REGROUPED_DELAY: Duration = Duration::from_millis(400);

/// Number of reads at [`ADDRESS_REFRESH_INTERVAL`] after the group was formed anew, since the store may
/// learn of a new upstream late.
const READS_AFTER_REGROUPING: u32 = 3;

/// Pauses between retries until everything that is needed has been read.
const RETRY_BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(400),
    max: Duration::from_secs(4),
};

/// Reads the limits on the group's maps once, and its addresses periodically.
pub(super) async fn refresh_addresses(agent: Arc<Agent>) {
    let mut failed_reads = 0;
    let mut has_limits = false;
    let mut reads_soon = READS_AFTER_REGROUPING;
    loop {
        let outcome = agent.refresh_once(&mut has_limits).await;
        let pause = match outcome {
            Ok(true) => {
                failed_reads = 0;
                reads_soon = reads_soon.saturating_sub(1);
                if reads_soon > 0 || !agent.knows_all_ranks() {
                    ADDRESS_REFRESH_INTERVAL
                } else {
                    IDLE_REFRESH_INTERVAL
                }
            }
            Ok(false) | Err(_) => {
                failed_reads += 1;
                RETRY_BACKOFF.pause(failed_reads, &mut rand::rng())
            }
        };
        if let Err(e) = outcome {
            warn!(agent.log, "store"; "step" => "learn the group", "error" => e.to_string());
        }
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = agent.regrouped.notified() => {
                reads_soon = READS_AFTER_REGROUPING;
                let delay = MAX_REGROUPED_DELAY.mul_f64(rand::random());
                tokio::time::sleep(delay).await;
            }
        }
    }
}

impl Agent {
    fn knows_all_ranks(&self) -> bool {
        let shared = lock(&self.shared);
        shared.engine_addresses.len() >= shared.ranks
    }

    /// Reads what is due. Returns whether the agent has everything it needs.
    async fn refresh_once(&self, has_limits: &mut bool) -> Result<bool, StoreError> {
        if !*has_limits {
            *has_limits = self.read_limits().await?;
        }
        Ok(self.read_addresses().await? && *has_limits)
    }

    async fn read_limits(&self) -> Result<bool, StoreError> {
        let dialect = &self.parts.dialect;
        let key = dialect.configuration_key();
        let page = self.parts.store.list(key, None, Freshness::Stale).await?;
        for item in page.items {
            if let DecodedItem::Configuration(cfg) = dialect.decode(&item.key, &item.value) {
                let service = cfg.services.get(&self.cfg.service);
                if let Some(limits) = service.and_then(|s| s.group.clone()) {
                    lock(&self.leader).set_limits(limits);
                    return Ok(true);
                }
            }
        }
        Ok(false)
    }

    /// Reads the addresses of the group's engines. Returns whether that of the leader's is known.
    async fn read_addresses(&self) -> Result<bool, StoreError> {
        let group = lock(&self.shared).group.clone();
        let prefix = self.parts.dialect.upstreams_prefix();
        let mut addresses = GroupAddresses::new(&self.cfg.service, &group);
        let mut after: Option<String> = None;
        loop {
            let page = self
                .parts
                .store
                .list(prefix, after.as_deref(), Freshness::Stale)
                .await?;
            for item in &page.items {
                if let DecodedItem::Upstream(upstream) =
                    self.parts.dialect.decode(&item.key, &item.value)
                {
                    addresses.add(&upstream);
                }
            }
            after = page.items.last().map(|i| i.key.clone());
            if !page.truncated || after.is_none() {
                break;
            }
        }
        let addresses = addresses.into_addresses();
        let is_known = addresses.contains_key(&0);
        lock(&self.shared).engine_addresses = addresses;
        Ok(is_known)
    }
}
