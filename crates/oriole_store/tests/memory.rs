//! Tests the in-process store: preconditions, leases, watches, faults and rate limits.

use std::time::Duration;

use oriole_store::prelude::*;
use rstest::rstest;
use tokio::time::advance;

const MINUTE: Duration = Duration::from_secs(60);

#[rstest]
#[case(Precondition::Absent, false)]
#[case(Precondition::Any, true)]
#[case(Precondition::Version(StoreVersion(1)), true)]
#[case(Precondition::Version(StoreVersion(2)), false)]
#[tokio::test]
async fn put_existing_value(#[case] expect: Precondition, #[case] accepted: bool) {
    let store = MemoryStore::new();
    store
        .put("k", "a".into(), Precondition::Absent)
        .await
        .unwrap();
    let result = store.put("k", "b".into(), expect).await;
    assert_eq!(result.is_ok(), accepted);
    let value = store.get("k").await.unwrap().unwrap().value;
    assert_eq!(value, if accepted { "b" } else { "a" });
}

#[tokio::test]
async fn put_too_large() {
    let store = MemoryStore::new();
    let value = vec![0; oriole_store::store::MAX_VALUE_BYTES + 1];
    let result = store.put("k", value.into(), Precondition::Any).await;
    assert_eq!(result, Err(StoreError::TooLarge));
}

#[tokio::test(start_paused = true)]
async fn lease_lapses_and_wakes_watch() {
    let store = MemoryStore::new();
    let lease = store.grant_lease(Duration::from_secs(5)).await.unwrap();
    let version = store
        .put_leased("k", "a".into(), Precondition::Absent, lease)
        .await
        .unwrap();
    advance(Duration::from_secs(4)).await;
    store.renew_lease(lease).await.unwrap();
    let removed = store.watch("k", version, MINUTE).await.unwrap().unwrap();
    assert!(removed.value.is_empty() && removed.version > version);
    assert_eq!(store.get("k").await, Ok(None));
    assert_eq!(store.renew_lease(lease).await, Err(StoreError::LeaseLapsed));
}

#[tokio::test(start_paused = true)]
async fn watch_resumes_without_gap() {
    let store = MemoryStore::new();
    let first = store
        .put("k", "a".into(), Precondition::Absent)
        .await
        .unwrap();
    let second = store.put("k", "b".into(), Precondition::Any).await.unwrap();
    let seen = store.watch("k", first, MINUTE).await.unwrap().unwrap();
    assert_eq!(seen.version, second);
    assert_eq!(store.watch("k", second, MINUTE).await, Ok(None));
}

#[tokio::test(start_paused = true)]
async fn watch_ends_in_outage() {
    let store = MemoryStore::new();
    let pending_watch = tokio::spawn({
        let store = store.clone();
        async move { store.watch("k", StoreVersion(0), MINUTE).await }
    });
    advance(Duration::from_secs(1)).await;
    store.set_fault(StoreFault::Down);
    assert_eq!(pending_watch.await.unwrap(), Err(StoreError::Unavailable));
}

#[rstest]
#[case(WriteFault::LoseAnswer, true)]
#[case(WriteFault::LoseRequest, false)]
#[tokio::test]
async fn scripted_fault_is_ambiguous(#[case] fault: WriteFault, #[case] written: bool) {
    let store = MemoryStore::new();
    store.queue_write_fault(fault);
    let result = store.put("k", "a".into(), Precondition::Absent).await;
    assert_eq!(result, Err(StoreError::Ambiguous));
    assert_eq!(store.get("k").await.unwrap().is_some(), written);
}

#[tokio::test(start_paused = true)]
async fn reads_beyond_rate() {
    let cfg = MemoryStoreConfig {
        reads_per_s: Some(2),
        ..MemoryStoreConfig::default()
    };
    let store = MemoryStore::open(cfg);
    assert_eq!(store.get("k").await, Ok(None));
    assert_eq!(store.get("k").await, Ok(None));
    assert_eq!(store.get("k").await, Err(StoreError::RateLimited));
    advance(Duration::from_secs(1)).await;
    assert_eq!(store.get("k").await, Ok(None));
    assert_eq!(store.counts().reads, 4);
    assert_eq!(store.counts().refused, 1);
}
