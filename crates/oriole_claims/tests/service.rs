//! The task of a home against the in-process store, under a paused clock.

use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use oriole_claims::prelude::*;
use oriole_store::counters::CallCounts;
use oriole_store::memory::{StoreFault, WriteFault};
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use rstest::rstest;

const TIMEOUT: Duration = Duration::from_secs(5);

fn request(key: &str) -> ClaimRequest {
    ClaimRequest {
        account: "acme".into(),
        entry: "book".into(),
        key: key.into(),
        content: Digest::of(b"body"),
        timeout: TIMEOUT,
        recall: None,
    }
}

fn home(vm: &str, incarnation: u64, store: &MemoryStore) -> ClaimHandle {
    let secret = TicketSecret::new(b"secret");
    let cfg = ClaimsConfig::new("pool".into(), vm.into(), Incarnation(incarnation), secret);
    ClaimService::spawn(cfg, Arc::new(store.clone()))
}

/// A pool with one agent.
fn only_home(store: &MemoryStore) -> ClaimHandle {
    let home = home("a", 1, store);
    home.set_live(vec!["a".into()]);
    home
}

async fn execute(home: &ClaimHandle, req: ClaimRequest, runs: &Arc<AtomicU32>) -> ClaimEnd {
    let runs = runs.clone();
    home.execute(req, move || async move {
        let n = runs.fetch_add(1, Ordering::SeqCst) + 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
        RunEnd::Answer(format!("answer {n}").into())
    })
    .await
}

#[rstest]
#[case::plain("order-1")]
#[case::stamped("0000000001000-order-1")]
#[tokio::test(start_paused = true)]
async fn execute_twins_run_once(#[case] key: &str) {
    let (store, runs) = (MemoryStore::new(), Arc::default());
    let home = only_home(&store);
    let (a, b) = tokio::join!(
        execute(&home, request(key), &runs),
        execute(&home, request(key), &runs)
    );
    assert_eq!(a, ClaimEnd::FirstRun("answer 1".into()));
    assert_eq!(b, ClaimEnd::Replay("answer 1".into()));
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

#[tokio::test(start_paused = true)]
async fn execute_goes_on_after_its_caller_left() {
    let (store, runs) = (MemoryStore::new(), Arc::default());
    let home = only_home(&store);
    let left = tokio::time::timeout(
        Duration::from_millis(5),
        execute(&home, request("k"), &runs),
    );
    assert!(left.await.is_err());
    let end = execute(&home, request("k"), &runs).await;
    assert_eq!(end, ClaimEnd::Replay("answer 1".into()));
}

#[rstest]
#[case::answer_lost(WriteFault::LoseAnswer)]
#[case::request_lost(WriteFault::LoseRequest)]
#[tokio::test(start_paused = true)]
async fn execute_settles_a_write_without_answer(#[case] fault: WriteFault) {
    let (store, runs) = (MemoryStore::new(), Arc::default());
    let home = only_home(&store);
    execute(&home, request("first"), &runs).await;
    store.queue_write_fault(fault);
    let end = execute(&home, request("second"), &runs).await;
    assert_eq!(end, ClaimEnd::FirstRun("answer 2".into()));
}

#[tokio::test(start_paused = true)]
async fn execute_in_an_outage_serves_tickets_and_replays_only() {
    let (store, runs) = (MemoryStore::new(), Arc::default());
    let home = only_home(&store);
    execute(&home, request("old"), &runs).await;
    store.set_fault(StoreFault::Down);
    let old = execute(&home, request("old"), &runs).await;
    assert_eq!(old, ClaimEnd::Replay("answer 1".into()));
    let new = execute(&home, request("new"), &runs).await;
    assert_eq!(new, ClaimEnd::not_run(RefusalReason::StoreUnavailable));
    let key = home.mint(&"acme".into(), &"book".into(), "k1").key();
    let ticket = execute(&home, request(key.as_str()), &runs).await;
    assert_eq!(ticket, ClaimEnd::FirstRun("answer 2".into()));
    store.set_fault(StoreFault::Up);
    let new = execute(&home, request("new"), &runs).await;
    assert_eq!(new, ClaimEnd::FirstRun("answer 3".into()));
}

/// The refusal must reach the entry before the entry gives the request up as unknown.
#[tokio::test(start_paused = true)]
async fn execute_refuses_before_the_deadline() {
    let (store, runs) = (MemoryStore::new(), Arc::default());
    let home = only_home(&store);
    store.set_fault(StoreFault::Down);
    let req = ClaimRequest {
        timeout: Duration::from_secs(1),
        ..request("k")
    };
    let asked = tokio::time::Instant::now();
    let end = execute(&home, req, &runs).await;
    assert_eq!(end, ClaimEnd::not_run(RefusalReason::Deadline));
    assert!(asked.elapsed() < Duration::from_millis(960));
}

#[tokio::test(start_paused = true)]
async fn execute_after_a_death_is_unknown() {
    let (store, runs) = (MemoryStore::new(), Arc::default());
    let first = only_home(&store);
    let key = first.mint(&"acme".into(), &"book".into(), "k1").key();
    execute(&first, request("k"), &runs).await;
    first.abort();
    let next = home("a", 2, &store);
    next.set_live(vec!["a".into()]);
    for key in ["k", key.as_str()] {
        let end = execute(&next, request(key), &runs).await;
        assert_eq!(end, ClaimEnd::Unknown(UnknownReason::HomeLost));
    }
    assert_eq!(runs.load(Ordering::SeqCst), 1);
}

#[tokio::test(start_paused = true)]
async fn execute_after_a_handover_recalls_from_the_first_home() {
    let (store, runs) = (MemoryStore::new(), Arc::default());
    let first = only_home(&store);
    execute(&first, request("k"), &runs).await;
    let next = home("b", 2, &store);
    first.set_live(vec!["b".into()]);
    next.set_live(vec!["b".into()]);
    let end = execute(&next, request("k"), &runs).await;
    assert_eq!(end, ClaimEnd::Elsewhere(first.home()));
    let recall = ClaimRequest {
        recall: Some(first.home().incarnation),
        ..request("k")
    };
    let end = execute(&first, recall, &runs).await;
    assert_eq!(end, ClaimEnd::Replay("answer 1".into()));
    let refused = execute(&first, request("new"), &runs).await;
    assert_eq!(refused, ClaimEnd::not_run(RefusalReason::Draining));
}

#[tokio::test(start_paused = true)]
async fn execute_panic_of_the_run_is_unknown() {
    let store = MemoryStore::new();
    let home = only_home(&store);
    let end = home
        .execute(request("k"), || async { panic!("upstream client failed") })
        .await;
    assert_eq!(end, ClaimEnd::Unknown(UnknownReason::UpstreamFailed));
}

#[tokio::test(start_paused = true)]
async fn execute_before_the_first_view_is_refused() {
    let (store, runs) = (MemoryStore::new(), Arc::default());
    let home = home("a", 1, &store);
    let key = home.mint(&"acme".into(), &"book".into(), "k1").key();
    for key in ["k", key.as_str()] {
        let end = execute(&home, request(key), &runs).await;
        assert_eq!(end, ClaimEnd::not_run(RefusalReason::AgentStarting));
    }
}

#[tokio::test(start_paused = true)]
async fn spawn_without_eagerness_calls_the_store_on_demand() {
    let (store, runs) = (MemoryStore::new(), Arc::default());
    let secret = TicketSecret::new(b"secret");
    let mut cfg = ClaimsConfig::new("pool".into(), "a".into(), Incarnation(1), secret);
    cfg.eager = false;
    let home = ClaimService::spawn(cfg, Arc::new(store.clone()));
    home.set_live(vec!["a".into()]);
    tokio::time::sleep(Duration::from_secs(60)).await;
    assert_eq!(store.counts(), CallCounts::default());
    let end = execute(&home, request("k"), &runs).await;
    assert_eq!(end, ClaimEnd::FirstRun("answer 1".into()));
}

/// Follows a call over homes as an entry does, without losses.
async fn follow(homes: &[ClaimHandle], first: usize, key: &str, runs: &Arc<AtomicU32>) -> CallStep {
    let mut way = ClaimCall::new(vec![homes[first].home().vm]);
    loop {
        match way.step() {
            CallStep::Ask { vm, recall } => {
                let home = homes.iter().find(|h| h.home().vm == vm).expect("a home");
                let req = ClaimRequest {
                    recall,
                    ..request(key)
                };
                way.on_end(execute(home, req, runs).await);
            }
            end => return end,
        }
    }
}

/// Views of the pool that never agree cost a bounded number of writes and no request.
#[tokio::test(start_paused = true)]
async fn execute_under_views_that_never_agree() {
    const REQUESTS: u32 = 3_000;
    const PERIOD: Duration = Duration::from_secs(300);
    let hold_off = ClaimsLimits::default().hold_off;
    let (store, runs) = (MemoryStore::new(), Arc::default());
    let homes = [home("a", 1, &store), home("b", 2, &store)];
    homes.iter().for_each(|h| h.set_live(vec![h.home().vm]));
    tokio::time::sleep(Duration::from_secs(1)).await;
    let before = store.counts().writes;
    let start = tokio::time::Instant::now();
    let mut answered = 0;
    for n in 0..REQUESTS {
        let end = follow(&homes, n as usize % 2, &format!("order-{n}"), &runs).await;
        answered += u32::from(matches!(end, CallStep::Answer(_)));
        tokio::time::sleep_until(start + PERIOD * (n + 1) / REQUESTS).await;
    }
    let writes = store.counts().writes - before;
    assert_eq!(answered, REQUESTS);
    assert_eq!(runs.load(Ordering::SeqCst), REQUESTS);
    // Besides one commit a request at this rate, a partition moves once in a hold-off at most.
    let moves = 16 * PERIOD.as_millis() / hold_off.as_millis();
    assert!(
        u128::from(writes) <= u128::from(REQUESTS) + moves,
        "{writes} writes"
    );
}
