//! Keeps this daemon's peer address in the store, under a lease.

use std::sync::Arc;
use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_store::backoff::Backoff;
use oriole_store::error::StoreError;
use oriole_store::store::LeaseId;
use tokio_util::sync::CancellationToken;

use crate::decision_log::Event;
use crate::gateway::Gateway;

/// Time for which the address stays after its daemon fell silent. Peers judge life by heartbeats;
/// the address only has to outlast a restart.
const LEASE: Duration = Duration::from_secs(20);

/// Time between renewals: several fit a lease.
const RENEW: Duration = Duration::from_secs(6);

/// Time between reads of the other daemons' addresses: shorter than these are kept, so that daemons
/// that were cut off from all others for long find them again.
const PEERS_EVERY: Duration = Duration::from_secs(30);

/// Pauses after failed calls.
const BACKOFF: Backoff = Backoff {
    first: Duration::from_millis(300),
    max: Duration::from_secs(2),
};

/// Registers until told to stop; then the lease is left to lapse.
pub fn spawn(gateway: &Arc<Gateway>, store: &Arc<dyn FleetStore>, stop: &CancellationToken) {
    let (gateway, store, stop) = (gateway.clone(), store.clone(), stop.clone());
    tokio::spawn(async move {
        tokio::select! {
            () = stop.cancelled() => {}
            () = run(&gateway, store.as_ref()) => {}
        }
    });
}

async fn run(gateway: &Gateway, store: &dyn FleetStore) {
    let mut registration = Registration::default();
    let mut failed_calls = 0;
    loop {
        match registration.refresh(gateway, store).await {
            Ok(()) => {
                failed_calls = 0;
                tokio::time::sleep(RENEW).await;
            }
            Err(e) => {
                gateway.log.event(&Event::Store {
                    now: "registration failed",
                    prefix: "",
                    reason: &e.to_string(),
                    revision: 0,
                });
                if e == StoreError::LeaseLapsed {
                    registration.lease = None;
                }
                failed_calls += 1;
                let pause = BACKOFF.pause(failed_calls, &mut rand::rng());
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// What has been done of the registration.
#[derive(Default)]
struct Registration {
    lease: Option<LeaseId>,
    peers_read_at: Option<Duration>,
}

impl Registration {
    /// Takes the next steps that are due; goes on where an earlier try failed.
    async fn refresh(
        &mut self,
        gateway: &Gateway,
        store: &dyn FleetStore,
    ) -> Result<(), StoreError> {
        match self.lease {
            Some(lease) => store.renew_lease(lease).await?,
            None => self.lease = Some(register(gateway, store).await?),
        }
        let now = gateway.clock.now();
        if self.peers_read_at.is_none_or(|at| now >= at + PEERS_EVERY) {
            // A daemon that starts must know all that started before; later on some delay is fine.
            let freshness = match self.peers_read_at {
                None => Freshness::Latest,
                Some(_) => Freshness::Stale,
            };
            read_peers(gateway, store, freshness).await?;
            self.peers_read_at = Some(now);
        }
        Ok(())
    }
}

/// Writes this daemon's address under a new lease.
async fn register(gateway: &Gateway, store: &dyn FleetStore) -> Result<LeaseId, StoreError> {
    let lease = store.grant_lease(LEASE).await?;
    let (key, value) = gateway
        .dialect
        .encode_peer(&gateway.cfg.name, gateway.cfg.peers.listen);
    let item = PutItem {
        key: &key,
        value,
        lease,
    };
    store.put(item).await?;
    Ok(lease)
}

/// Reads where the other daemons are heard; they hear from this one then.
async fn read_peers(
    gateway: &Gateway,
    store: &dyn FleetStore,
    freshness: Freshness,
) -> Result<(), StoreError> {
    let prefix = gateway.dialect.peers_prefix();
    let page = store.list(prefix, None, freshness).await?;
    let now = gateway.clock.now();
    for item in page.items {
        match gateway.dialect.decode(&item.key, &item.value) {
            DecodedItem::Peer { address, .. } => gateway.members().add_contact(now, address),
            meaning => gateway.log.event(&Event::CallFailed {
                step: "read peer address",
                peer: None,
                error: &format!("{}: {meaning:?}", item.key),
            }),
        }
    }
    Ok(())
}
