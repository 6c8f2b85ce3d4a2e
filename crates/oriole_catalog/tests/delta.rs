//! Updates sent between processes: deltas, or the complete catalog.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{meta, repository};
use oriole_catalog::prelude::*;
use oriole_catalog::stored::{Delta, SnapshotError};
use oriole_store::prelude::*;
use oriole_types::prelude::*;

/// Number of client accounts in a fleet of the design size.
const ACCOUNT_COUNT: usize = 2_700;
/// Bytes per second that a daemon may send for control traffic.
const CONTROL_BUDGET_BYTES_PER_S: usize = 15_000;
/// Number of processes that poll one relay at that size.
const POLLERS_PER_RELAY: usize = 72;
/// Seconds between two changes of the catalog at that size.
const CHANGE_INTERVAL_S: usize = 86_400 / 1_700;

fn account(i: usize) -> ClientAccount {
    ClientAccount {
        key_digests: vec![Digest::of(&i.to_be_bytes())],
        requests_per_s: 10,
        burst: 20,
        max_in_flight: 8,
        weight: 1,
    }
}

/// Creates a revision with many accounts, and the one that results from `change`.
async fn revisions(change: impl FnOnce(&mut Catalog)) -> (Snapshot, Snapshot) {
    let repository = repository(&MemoryStore::new(), 1);
    let first = Edit::from_fn(&Catalog::default(), |c| {
        let accounts = (0..ACCOUNT_COUNT).map(|i| (format!("a-{i}").as_str().into(), account(i)));
        c.accounts.extend(accounts);
        c.released_digests = (0..3u8).map(|i| Digest::of(&[i])).collect();
    });
    repository.change(&first, &meta("ada")).await.unwrap();
    let old = repository.read().await.unwrap();
    let second = Edit::from_fn(old.catalog(), change);
    repository.change(&second, &meta("ada")).await.unwrap();
    (old, repository.read().await.unwrap())
}

#[tokio::test]
async fn delta_leads_to_the_same_revision() {
    let (old, new) = revisions(|c| {
        c.accounts.insert("new".into(), account(ACCOUNT_COUNT));
        c.accounts.remove("a-1");
        c.accounts.get_mut("a-2").unwrap().weight = 7;
        c.released_digests.clear();
        c.vms.insert("vm".into(), ServiceState::Drained);
    })
    .await;
    let delta = Delta::between(&old, &new).unwrap();
    let text = serde_json::to_string(&delta).unwrap();
    let delta: Delta = serde_json::from_str(&text).unwrap();
    assert_eq!(delta.apply(&old).unwrap(), new);
}

#[tokio::test]
async fn delta_from_another_revision() {
    let (old, new) = revisions(|c| drop(c.accounts.remove("a-1"))).await;
    let delta = Delta::between(&old, &new).unwrap();
    assert_eq!(
        delta.apply(&new),
        Err(SnapshotError::BaseMismatch(Revision(1)))
    );
}

#[tokio::test]
async fn delta_that_was_altered() {
    let (old, new) = revisions(|c| c.accounts.get_mut("a-2").unwrap().weight = 7).await;
    let delta = Delta::between(&old, &new).unwrap();
    let text = serde_json::to_string(&delta).unwrap();
    let altered = text.replace("\"weight\":7", "\"weight\":9");
    assert_ne!(altered, text);
    let delta: Delta = serde_json::from_str(&altered).unwrap();
    assert!(matches!(
        delta.apply(&old),
        Err(SnapshotError::DigestMismatch(_))
    ));
}

#[tokio::test(start_paused = true)]
async fn change_of_one_item_fits_control_budget() {
    let store = MemoryStore::new();
    let operator = repository(&store, 1);
    let member = Member {
        name: "vm".into(),
        domain: "gela".into(),
    };
    let cfg = FollowerConfig::default();
    let follower = ConfigFollower::spawn(cfg, member, Arc::new(store.clone()), Arc::new(NoPeers));
    let mut answers = Vec::new();
    for round in 1..3 {
        let catalog = Arc::clone(operator.read().await.unwrap().catalog());
        let edit = Edit::from_fn(&catalog, |c| {
            let accounts =
                (0..ACCOUNT_COUNT).map(|i| (format!("a-{i}").as_str().into(), account(i)));
            c.accounts.extend(accounts);
            c.accounts.get_mut("a-2").unwrap().weight = round;
        });
        operator.change(&edit, &meta("ada")).await.unwrap();
        tokio::time::sleep(Duration::from_secs(3)).await;
        let answer = follower
            .serve(Revision(u64::from(round) - 1), Duration::ZERO)
            .await;
        answers.push(answer.contents.unwrap());
    }
    // A process without a configuration gets the encoded parts rather than a delta.
    assert_eq!(answers[0][0], b'W');
    let change = answers[1].len();
    assert!(
        change * POLLERS_PER_RELAY / CHANGE_INTERVAL_S < CONTROL_BUDGET_BYTES_PER_S,
        "{change}"
    );
}
