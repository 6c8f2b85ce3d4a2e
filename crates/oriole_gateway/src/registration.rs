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
    let mut lease = None;
    let mut failed_calls = 0;
    loop {
        match register(gateway, store, &mut lease).await {
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
                    lease = None;
                }
                failed_calls += 1;
                let pause = BACKOFF.pause(failed_calls, &mut rand::rng());
                tokio::time::sleep(pause).await;
            }
        }
    }
}

/// Reads where the other daemons are heard. One that starts knows all that started before, and
/// they hear from it.
async fn read_peers(gateway: &Gateway, store: &dyn FleetStore) -> Result<(), StoreError> {
    let prefix = gateway.dialect.peers_prefix();
    let page = store.list(prefix, None, Freshness::Latest).await?;
    let now = gateway.clock.now();
    for item in page.items {
        match gateway.dialect.decode(&item.key, &item.value) {
            Declared::Peer { address, .. } => gateway.members().add_contact(now, address),
            meaning => gateway.log.event(&Event::CallFailed {
                step: "read peer address",
                peer: None,
                error: &format!("{}: {meaning:?}", item.key),
            }),
        }
    }
    Ok(())
}

async fn register(
    gateway: &Gateway,
    store: &dyn FleetStore,
    lease: &mut Option<LeaseId>,
) -> Result<(), StoreError> {
    if let Some(lease) = lease {
        return store.renew_lease(*lease).await;
    }
    let granted = store.grant_lease(LEASE).await?;
    let (key, value) = gateway
        .dialect
        .encode_peer(&gateway.cfg.name, gateway.cfg.peers.listen);
    let item = PutItem {
        key: &key,
        value,
        lease: granted,
    };
    store.put(item).await?;
    *lease = Some(granted);
    read_peers(gateway, store).await
}
