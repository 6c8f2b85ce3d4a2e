//! Poison requests, which crash every engine that runs them.

use std::time::Duration;

use oriole_local::prelude::*;

use crate::common::{POISON, Session, request, start_sized};

/// Maximum number of engine crashes that one poison request may cause in the whole fleet.
const MAX_CRASHES: u64 = 3;

/// Time within which every entry learns of a crash.
const CRASH_SPREAD: Duration = Duration::from_secs(3);

/// Number of crashes that poison caused so far.
fn poison_crashes(deployment: &Deployment) -> u64 {
    let upstreams = deployment.platform().upstreams.iter();
    upstreams.map(|u| u.upstream.view().poison_crashes).sum()
}

fn poison_body() -> String {
    format!(r#"{{"prompt":"{POISON}","max_tokens":4}}"#)
}

#[tokio::test(flavor = "multi_thread")]
async fn poison_asked_again_and_again() {
    let deployment = start_sized(DeploymentName::Grucce, 2, 6).await;
    let s = Session::open(&deployment);
    let body = poison_body();
    let req = request("sorting-slips", &body);
    let mut reasons = Vec::new();
    for _ in 0..10 {
        let answer = s.caller.send(s.entry, &req).await.expect("an answer");
        assert_ne!(answer.outcome, "complete");
        reasons.push(answer.reason.unwrap_or_default());
        tokio::time::sleep(CRASH_SPREAD / 10).await;
    }
    assert!(poison_crashes(&deployment) <= MAX_CRASHES, "{reasons:?}");
    assert_eq!(reasons.last().map(String::as_str), Some("quarantined"));
    let innocent = request("sorting-slips", r#"{"prompt":"slip","max_tokens":1}"#);
    let answer = s.caller.send(s.entry, &innocent).await.expect("an answer");
    assert_eq!(answer.outcome, "complete");
    deployment.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
#[ignore = "listed in KNOWN-RED.txt"]
async fn poison_asked_at_all_entries_at_once() {
    let deployment = start_sized(DeploymentName::Grucce, 6, 9).await;
    let key = deployment.ready().accounts.values().next().expect("key");
    let requests = deployment.ready().caller_addresses.iter().map(|entry| {
        let (caller, entry) = (Caller::open(key), *entry);
        async move {
            let body = poison_body();
            let req = request("sorting-slips", &body);
            caller.send(entry, &req).await.expect("an answer")
        }
    });
    futures::future::join_all(requests).await;
    tokio::time::sleep(CRASH_SPREAD).await;
    let crashes = poison_crashes(&deployment);
    assert!(crashes <= MAX_CRASHES, "{crashes} crashes");
    deployment.shutdown().await;
}
