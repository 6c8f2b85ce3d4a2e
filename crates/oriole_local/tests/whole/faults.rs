//! Requests during kills, pauses, drains and graceful shutdown.

use std::time::Duration;

use crate::common::{Session, change_catalog, eventually, keyed, request, start, streamed};
use oriole_local::prelude::*;
use oriole_standins::faults::{AgentFault, EntryFault, FaultInjector};
use oriole_types::prelude::*;

const CREDIT: &str = r#"{"slip":4471,"amount_cents":18460}"#;
const SHORT_SLIP: &str = r#"{"prompt":"slip","max_tokens":2}"#;
const LONG_NOTE: &str = r#"{"prompt":"long","max_tokens":150}"#;

/// Maximum time after an accepted drain in which new work may still reach the domain.
const MAX_DRAIN_DELAY: Duration = Duration::from_secs(3);

fn set_domain(catalog: &mut Catalog, name: &str, state: ServiceState) {
    let domain = catalog.domains.get_mut(name).expect("domain");
    domain.state = state;
}

/// Number of requests that the upstreams of a domain have started so far.
fn started_in_domain(deployment: &Deployment, domain: &str) -> u64 {
    let upstreams = deployment.platform().upstreams.iter();
    upstreams
        .filter(|u| u.domain.as_str() == domain)
        .map(|u| u.upstream.view().started)
        .sum()
}

#[tokio::test(flavor = "multi_thread")]
async fn drain_sends_no_new_work_and_cuts_nothing() {
    let deployment = start(DeploymentName::Grucce).await;
    let s = Session::open(&deployment);
    let streams: Vec<_> = (0..6)
        .map(|_| {
            let (caller, entry) = (s.caller.clone(), s.entry);
            tokio::spawn(async move {
                caller
                    .send(entry, &streamed("pickup-notes", LONG_NOTE))
                    .await
            })
        })
        .collect();
    eventually("streams run in the domain", || {
        started_in_domain(&deployment, "gela") > 0
    })
    .await;
    change_catalog(&deployment, |c| {
        set_domain(c, "gela", ServiceState::Drained);
    })
    .await;
    tokio::time::sleep(MAX_DRAIN_DELAY).await;
    let before = started_in_domain(&deployment, "gela");
    for _ in 0..30 {
        let answer = s
            .caller
            .send(s.entry, &request("sorting-slips", SHORT_SLIP))
            .await;
        assert_eq!(answer.expect("answer").outcome, "complete");
    }
    assert_eq!(started_in_domain(&deployment, "gela"), before);
    let endpoints = s.caller.endpoints(s.entry).await.expect("endpoints");
    assert!(endpoints.endpoints.iter().all(|e| e.domain != "gela"));
    for stream in streams {
        let answer = stream.await.expect("task").expect("answer");
        assert_eq!(answer.outcome, "complete");
        assert_eq!(answer.tokens, 150);
    }
    change_catalog(&deployment, |c| {
        set_domain(c, "gela", ServiceState::InService);
    })
    .await;
    // The prompts differ: equal ones would all go to the upstream that caches their prefix.
    let returned = async {
        for n in 0_u64.. {
            if started_in_domain(&deployment, "gela") > before {
                return;
            }
            let body = format!(r#"{{"prompt":"slip {n}","max_tokens":2}}"#);
            let req = request("sorting-slips", &body);
            let answer = s.caller.send(s.entry, &req).await;
            assert_eq!(answer.expect("answer").outcome, "complete");
        }
    };
    tokio::time::timeout(Duration::from_secs(20), returned)
        .await
        .expect("the domain gets work again");
    deployment.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_of_entry_cuts_nothing() {
    let deployment = start(DeploymentName::Grucce).await;
    let s = Session::open(&deployment);
    let entry = s.entry;
    let streams: Vec<_> = (0..6)
        .map(|_| {
            let caller = s.caller.clone();
            tokio::spawn(async move {
                caller
                    .send(entry, &streamed("pickup-notes", LONG_NOTE))
                    .await
            })
        })
        .collect();
    eventually("streams run", || {
        deployment
            .map_entries(running_requests)
            .iter()
            .sum::<usize>()
            == 6
    })
    .await;
    assert!(deployment.shutdown_entry(entry).await);
    for stream in streams {
        let answer = stream.await.expect("task").expect("answer");
        assert_eq!(answer.outcome, "complete");
        assert_eq!(answer.tokens, 150);
    }
    let after = s
        .caller
        .send(entry, &request("sorting-slips", SHORT_SLIP))
        .await;
    assert!(after.is_err(), "the entry has ended");
    let other = deployment.ready().caller_addresses[1];
    let answer = s
        .caller
        .send(other, &request("sorting-slips", SHORT_SLIP))
        .await;
    assert_eq!(answer.expect("answer").outcome, "complete");
    deployment.shutdown().await;
}

fn running_requests(entry: &oriole_entry::daemon::EntryDaemon) -> usize {
    let running = &entry.state().running_requests;
    running.load(std::sync::atomic::Ordering::Relaxed)
}

/// A claimed key must not run twice if its agent is killed during the request, and the caller sends
/// it again before and after the restart.
#[tokio::test(flavor = "multi_thread")]
async fn killed_agents_never_double_a_key() {
    let deployment = start(DeploymentName::Grucce).await;
    let s = Session::open(&deployment);
    let faults = deployment.faults();
    for round in 0..6 {
        let key = format!("round-{round}");
        let killed_vm = VmName::new(&format!("ledger-{}", round % 3 + 1));
        let req = keyed("credits", CREDIT, &key);
        let kill = faults.agent(&killed_vm, AgentFault::Kill);
        let (first, killed) = tokio::join!(s.caller.send(s.entry, &req), kill);
        killed.expect("kill");
        let second = s.caller.send(s.entry, &req).await.expect("answer");
        faults
            .agent(&killed_vm, AgentFault::Restart)
            .await
            .expect("restart");
        let third = s.caller.send(s.entry, &req).await.expect("answer");
        let first = first.expect("answer");
        let runs = deployment.platform().ledger.runs();
        let run_count = runs.get(&key).copied().unwrap_or(0);
        assert!(run_count <= 1, "round {round}: {run_count} runs");
        for answer in [&first, &second, &third] {
            if answer.outcome == "complete" {
                assert_eq!(
                    run_count, 1,
                    "round {round}: a complete answer without a run"
                );
            }
        }
    }
    deployment.shutdown().await;
}

/// A request that times out at paused agents may still run once they resume. Sent again, it must
/// not run a second time.
#[tokio::test(flavor = "multi_thread")]
async fn paused_agent_never_doubles_a_key() {
    let deployment = start(DeploymentName::Grucce).await;
    let s = Session::open(&deployment);
    let faults = deployment.faults();
    for i in 1..=3 {
        let vm = VmName::new(&format!("ledger-{i}"));
        faults.agent(&vm, AgentFault::Pause).await.expect("pause");
    }
    let req = CallerRequest {
        timeout_ms: Some(1_000),
        ..keyed("credits", CREDIT, "paused")
    };
    let first = s.caller.send(s.entry, &req).await.expect("answer");
    assert_ne!(first.outcome, "complete");
    let without_timeout = keyed("credits", CREDIT, "paused");
    let second = s
        .caller
        .send(s.entry, &without_timeout)
        .await
        .expect("answer");
    let runs = deployment.platform().ledger.runs();
    let run_count = runs.get("paused").copied().unwrap_or(0);
    assert!(run_count <= 1, "{run_count} runs");
    if second.outcome == "complete" {
        assert_eq!(run_count, 1);
    }
    deployment.shutdown().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn killed_entry_others_serve() {
    let deployment = start(DeploymentName::Grucce).await;
    let s = Session::open(&deployment);
    let faults = deployment.faults();
    faults.entry(s.entry, EntryFault::Kill).await.expect("kill");
    let other = deployment.ready().caller_addresses[1];
    let answer = s
        .caller
        .send(other, &request("sorting-slips", SHORT_SLIP))
        .await;
    assert_eq!(answer.expect("answer").outcome, "complete");
    faults
        .entry(s.entry, EntryFault::Restart)
        .await
        .expect("restart");
    let served = async {
        loop {
            let answer = s
                .caller
                .send(s.entry, &request("sorting-slips", SHORT_SLIP))
                .await;
            if answer.is_ok_and(|a| a.outcome == "complete") {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(10), served)
        .await
        .expect("the restarted entry serves");
    deployment.shutdown().await;
}
