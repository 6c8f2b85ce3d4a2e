//! Where the group's engines are, and the limits on its maps, from the platform's store.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_store::backoff::Backoff;
use oriole_store::error::StoreError;
use slog::warn;

use super::{Agent, lock};

/// Time between reads of the group's addresses.
const ADDRESSES_EVERY: Duration = Duration::from_secs(4);

/// Pauses between tries to read what is needed at the start.
const AGAIN: Backoff = Backoff {
    first: Duration::from_millis(400),
    max: Duration::from_secs(4),
};

/// Learns the group's shape once, and its addresses again and again.
pub(super) async fn learn(agent: Arc<Agent>) {
    let mut failed_reads = 0;
    let mut has_shape = false;
    loop {
        let outcome = agent.learn_once(&mut has_shape).await;
        let pause = match outcome {
            Ok(true) => {
                failed_reads = 0;
                ADDRESSES_EVERY
            }
            Ok(false) | Err(_) => {
                failed_reads += 1;
                AGAIN.pause(failed_reads, &mut rand::rng())
            }
        };
        if let Err(e) = outcome {
            warn!(agent.log, "store"; "step" => "learn the group", "error" => e.to_string());
        }
        tokio::time::sleep(pause).await;
    }
}

impl Agent {
    /// Whether all that the agent has to know is known.
    async fn learn_once(&self, has_shape: &mut bool) -> Result<bool, StoreError> {
        if !*has_shape {
            *has_shape = self.read_shape().await?;
        }
        Ok(self.read_addresses().await? && *has_shape)
    }

    async fn read_shape(&self) -> Result<bool, StoreError> {
        let dialect = &self.parts.dialect;
        let key = dialect.configuration_key();
        let page = self.parts.store.list(key, None, Freshness::Stale).await?;
        for item in page.items {
            if let DecodedItem::Configuration(cfg) = dialect.decode(&item.key, &item.value) {
                let service = cfg.services.get(&self.cfg.service);
                if let Some(shape) = service.and_then(|s| s.group.clone()) {
                    lock(&self.leader).set_shape(shape);
                    return Ok(true);
                }
            }
        }
        Ok(false)
    }

    /// Reads where the group's ranks are; whether all are known.
    async fn read_addresses(&self) -> Result<bool, StoreError> {
        let group = lock(&self.shared).group.clone();
        let prefix = self.parts.dialect.upstreams_prefix();
        let mut ranks = HashMap::new();
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
                    && let Some(membership) = upstream.group_membership
                    && membership.group == group
                {
                    ranks.insert(membership.rank, upstream.address);
                }
            }
            after = page.items.last().map(|i| i.key.clone());
            if !page.truncated || after.is_none() {
                break;
            }
        }
        let is_known = ranks.contains_key(&0);
        lock(&self.shared).ranks = ranks;
        Ok(is_known)
    }
}
