//! Snapshots of caller sessions: the three outcomes, streams, idempotency keys and refusals.

use crate::common::{Session, change_catalog, eventually, keyed, request, start, streamed};
use oriole_local::prelude::*;
use oriole_standins::faults::FaultInjector;
use oriole_standins::health::HealthState;
use oriole_types::prelude::*;

const CREDIT: &str = r#"{"slip":4471,"amount_cents":18460}"#;

#[tokio::test(flavor = "multi_thread")]
async fn complete_whole_and_streamed() {
    let deployment = start(DeploymentName::Grucce).await;
    let mut s = Session::open(&deployment);
    s.send(&request(
        "sorting-slips",
        r#"{"prompt":"slip 4471","max_tokens":3}"#,
    ))
    .await;
    s.send(&streamed(
        "pickup-notes",
        r#"{"prompt":"note 12","max_tokens":3}"#,
    ))
    .await;
    s.send(&keyed("credits", CREDIT, "credit-4471")).await;
    insta::assert_snapshot!(s.transcript());
    deployment.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn not_run_bad_requests() {
    let deployment = start(DeploymentName::Grucce).await;
    let mut s = Session::open(&deployment);
    s.send(&request("no-such-entry", "{}")).await;
    s.send(&request("credits", CREDIT)).await;
    s.send(&request("sorting-slips", "{not json")).await;
    s.send(&request("sorting-slips", r#"{"max_tokens":3}"#))
        .await;
    let large = format!("{{\"prompt\":\"{}\"}}", "x".repeat(300 * 1024));
    s.send(&request("sorting-slips", &large)).await;
    s.send(&keyed("credits", CREDIT, &"k".repeat(300))).await;
    let late = CallerRequest {
        timeout_ms: Some(0),
        ..request("sorting-slips", "{}")
    };
    s.send(&late).await;
    let mut wrong = Session::with_key(&deployment, "no-such-key");
    wrong.send(&request("sorting-slips", "{}")).await;
    insta::assert_snapshot!(s.transcript() + &wrong.transcript());
    deployment.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_runs_once_for_one_key() {
    let deployment = start(DeploymentName::Grucce).await;
    let mut s = Session::open(&deployment);
    s.send(&keyed("credits", CREDIT, "credit-1")).await;
    s.note("the same again, at another entry");
    s.entry = deployment.ready().caller_addresses[1];
    s.send(&keyed("credits", CREDIT, "credit-1")).await;
    s.note("the same key with another body");
    s.send(&keyed("credits", r#"{"slip":1}"#, "credit-1")).await;
    let runs = deployment.platform().ledger.runs();
    s.note(&format!("ledger: {runs:?}"));
    insta::assert_snapshot!(s.transcript());
    deployment.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn claim_unknown_after_upstream_crash() {
    let deployment = start(DeploymentName::Grucce).await;
    let mut s = Session::open(&deployment);
    s.note("every ledger upstream stalls, and crashes under the request");
    set_ledger_state(&deployment, HealthState::Stall).await;
    let crash = async {
        eventually("the request reaches an upstream", || {
            in_flight(&deployment) > 0
        })
        .await;
        set_ledger_state(&deployment, HealthState::Crash).await;
    };
    let req = keyed("credits", CREDIT, "credit-2");
    let (answer, ()) = tokio::join!(s.send(&req), crash);
    assert_eq!(answer.outcome, "unknown");
    s.note("the same again does not run it a second time");
    s.send(&keyed("credits", CREDIT, "credit-2")).await;
    let runs = deployment.platform().ledger.runs();
    assert!(runs.values().all(|n| *n <= 1), "{runs:?}");
    insta::assert_snapshot!(s.transcript());
    deployment.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn store_outage_minted_keys_are_served() {
    let deployment = start(DeploymentName::Grucce).await;
    let mut s = Session::open(&deployment);
    let minted = s.caller.mint_key(s.entry, "credits").await.expect("a key");
    s.note("the store is out");
    deployment
        .faults()
        .store(oriole_standins::faults::StoreFault::Down)
        .await
        .expect("fault");
    s.note("a key that the fleet minted");
    s.send(&keyed("credits", CREDIT, &minted)).await;
    s.send(&keyed("credits", CREDIT, &minted)).await;
    s.note("a key of the caller's own");
    let plain = s.send(&keyed("credits", CREDIT, "credit-3")).await;
    assert_eq!(plain.outcome, "not_run");
    let runs = deployment.platform().ledger.runs();
    assert_eq!(runs.get(&minted), Some(&1));
    assert_eq!(runs.get("credit-3"), None);
    s.note("an idempotent request");
    s.send(&request(
        "sorting-slips",
        r#"{"prompt":"slip","max_tokens":2}"#,
    ))
    .await;
    let transcript = s.transcript().replace(&minted, "MINTED");
    insta::assert_snapshot!(transcript);
    deployment.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn reader_gone_frees_the_engine() {
    let deployment = start(DeploymentName::Grucce).await;
    let s = Session::open(&deployment);
    let req = streamed("pickup-notes", r#"{"prompt":"long","max_tokens":100000}"#);
    let disconnect = async {
        eventually("the stream starts", || in_flight(&deployment) > 0).await;
    };
    tokio::select! {
        _ = s.caller.send(s.entry, &req) => panic!("the stream cannot have ended"),
        () = disconnect => {}
    }
    drop(s);
    eventually("the engine is free again", || in_flight(&deployment) == 0).await;
    deployment.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn stream_resumes_after_engine_crash() {
    let deployment = start(DeploymentName::Grucce).await;
    let mut s = Session::open(&deployment);
    let body = r#"{"prompt":"resume me","max_tokens":200}"#;
    let crash = async {
        eventually("the stream starts", || in_flight(&deployment) > 0).await;
        tokio::time::sleep(std::time::Duration::from_millis(200)).await;
        for u in &deployment.platform().upstreams {
            if u.upstream.view().in_flight > 0 {
                u.upstream.set_state(HealthState::Crash);
            }
        }
    };
    let req = streamed("pickup-notes", body);
    let (answer, ()) = tokio::join!(s.send(&req), crash);
    assert_eq!(answer.outcome, "complete", "{answer:?}");
    assert_eq!(answer.tokens, 200);
    let text = String::from_utf8(answer.body.to_vec()).expect("text");
    for position in 0..200 {
        let id = format!("id: {position}\n");
        assert_eq!(text.matches(&id).count(), 1, "position {position}");
    }
    deployment.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn not_run_blocked_and_over_limit() {
    let deployment = start(DeploymentName::Grucce).await;
    let mut s = Session::open(&deployment);
    let account = deployment.ready().accounts.keys().next().cloned();
    s.note("an operator blocks the account for one entry");
    let block = Block {
        account,
        entry: Some("mill-complaints".into()),
        key: None,
        reason: "sends the same complaint again and again".into(),
    };
    change_catalog(&deployment, |c| {
        c.blocks.insert("loop".into(), block);
    })
    .await;
    let blocked = request("mill-complaints", r#"{"prompt":"bale","max_tokens":1}"#);
    send_until_refused(&s, &blocked).await;
    s.send(&blocked).await;
    s.note("another entry of the same account is served");
    s.send(&request(
        "sorting-slips",
        r#"{"prompt":"slip","max_tokens":1}"#,
    ))
    .await;
    s.note("an operator limits an entry to one request a second");
    change_catalog(&deployment, |c| {
        let entry = c.entries.get_mut("pickup-notes").expect("entry");
        entry.requests_per_s = 1;
    })
    .await;
    let limited = request("pickup-notes", r#"{"prompt":"note","max_tokens":1}"#);
    let reason = send_until_refused(&s, &limited).await;
    s.note(&format!("refused: {reason}"));
    insta::assert_snapshot!(s.transcript());
    deployment.shutdown().await;
}

/// Repeats a request until it is refused; returns the reason.
async fn send_until_refused(s: &Session, req: &CallerRequest<'_>) -> String {
    let refused = async {
        loop {
            let answer = s.caller.send(s.entry, req).await.expect("an answer");
            if answer.outcome == "not_run" {
                return answer.reason.unwrap_or_default();
            }
        }
    };
    let wait = std::time::Duration::from_secs(20);
    tokio::time::timeout(wait, refused)
        .await
        .expect("a refusal")
}

/// Sets the state of all upstreams in the ledger pool.
async fn set_ledger_state(deployment: &Deployment, state: HealthState) {
    for u in &deployment.platform().upstreams {
        if u.pool.as_str() == "ledger" {
            u.upstream.set_state(state);
        }
    }
}

/// Number of requests in flight at all upstreams.
fn in_flight(deployment: &Deployment) -> u32 {
    let upstreams = &deployment.platform().upstreams;
    upstreams.iter().map(|u| u.upstream.view().in_flight).sum()
}
