//! The HTTP client of `oriole_store` against the stand-in store.

use std::time::Duration;

use oriole_standins::store::{StoreFault, StoreServer, StoreServerConfig};
use oriole_store::backoff::Backoff;
use oriole_store::prelude::*;

const MINUTE: Duration = Duration::from_secs(60);

async fn start() -> (StoreServer, HttpStore) {
    let addr = ([127, 0, 0, 1], 0).into();
    let server = StoreServer::bind(addr, StoreServerConfig::default())
        .await
        .unwrap();
    let cfg = StoreClientConfig {
        backoff: Backoff {
            first: Duration::from_millis(1),
            max: Duration::from_millis(1),
        },
        ..StoreClientConfig::default()
    };
    let store = HttpStore::open(server.addr(), cfg);
    (server, store)
}

#[tokio::test]
async fn http_round_trip() {
    let (server, store) = start().await;
    let key = "claims/pool a/ü?";
    assert_eq!(store.get(key).await, Ok(None));
    let value = vec![7; oriole_store::store::MAX_VALUE_BYTES];
    let version = store
        .put(key, value.clone().into(), Precondition::Absent)
        .await
        .unwrap();
    let found = store.get(key).await.unwrap().unwrap();
    assert_eq!((found.value.len(), found.version), (value.len(), version));
    let second_put = store.put(key, "b".into(), Precondition::Absent).await;
    assert_eq!(second_put, Err(StoreError::Conflict));
    store
        .delete(key, Precondition::Version(version))
        .await
        .unwrap();
    assert_eq!(store.get(key).await, Ok(None));
    server.shutdown().await;
}

#[tokio::test]
async fn http_leases() {
    let (_server, store) = start().await;
    let lease = store.grant_lease(MINUTE).await.unwrap();
    store.renew_lease(lease).await.unwrap();
    let put = store.put_leased("k", "a".into(), Precondition::Absent, lease);
    put.await.unwrap();
    let lapsed = LeaseId(lease.0 + 1);
    assert_eq!(
        store.renew_lease(lapsed).await,
        Err(StoreError::LeaseLapsed)
    );
}

#[tokio::test]
async fn http_watch_wakes() {
    let (_server, store) = start().await;
    let first = store
        .put("k", "a".into(), Precondition::Absent)
        .await
        .unwrap();
    let (watched, second) = tokio::join!(
        store.watch("k", first, MINUTE),
        store.put("k", "b".into(), Precondition::Any)
    );
    assert_eq!(watched.unwrap().unwrap().version, second.unwrap());
    let waited = store.watch("x", StoreVersion(0), Duration::from_millis(1));
    assert_eq!(waited.await, Ok(None));
}

#[tokio::test]
async fn http_lost_answer_is_ambiguous() {
    let (server, store) = start().await;
    server.set_fault(StoreFault::LoseAnswers);
    let result = store.put("k", "a".into(), Precondition::Absent).await;
    assert_eq!(result, Err(StoreError::Ambiguous));
    assert_eq!(server.counts().writes, 1);
    assert_eq!(store.get("k").await.unwrap().unwrap().value, "a");
}

#[tokio::test]
async fn http_outage_writes_nothing() {
    let (server, store) = start().await;
    server.set_fault(StoreFault::Down);
    let result = store.put("k", "a".into(), Precondition::Absent).await;
    assert_eq!(result, Err(StoreError::Unavailable));
    assert_eq!(store.get("k").await, Err(StoreError::Unavailable));
    server.set_fault(StoreFault::Up);
    assert_eq!(store.get("k").await, Ok(None));
}

#[tokio::test]
async fn http_server_gone() {
    let (server, store) = start().await;
    server.shutdown().await;
    let result = store.put("k", "a".into(), Precondition::Absent).await;
    assert_eq!(result, Err(StoreError::Unavailable));
}

#[tokio::test]
async fn http_budget_spent() {
    let (server, _) = start().await;
    let cfg = StoreClientConfig {
        calls_per_s: 0,
        call_burst: 1,
        ..StoreClientConfig::default()
    };
    let store = HttpStore::open(server.addr(), cfg);
    assert_eq!(store.get("k").await, Ok(None));
    assert_eq!(store.get("k").await, Err(StoreError::BudgetSpent));
    assert_eq!(server.counts().reads, 1);
}
