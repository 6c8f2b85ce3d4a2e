//! Engines, services, the VM list and the control address over real loopback connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use http::{Method, Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use oriole_standins::engine::token;
use oriole_standins::faults::{AgentFault, EntryFault, StoreFault};
use oriole_standins::prelude::*;
use oriole_types::fleet::{VmList, VmRecord, VmRole, VmState};
use oriole_types::ids::VmName;
use rstest::rstest;

type HttpClient = Client<HttpConnector, Full<Bytes>>;

fn client() -> HttpClient {
    Client::builder(TokioExecutor::new()).build_http()
}

async fn call(
    client: &HttpClient,
    method: Method,
    addr: SocketAddr,
    path: &str,
    body: &str,
) -> Option<(StatusCode, String)> {
    let req = Request::builder()
        .method(method)
        .uri(format!("http://{addr}{path}"))
        .header("idempotency-key", "key-1")
        .body(Full::from(body.to_owned()))
        .unwrap();
    let res = client.request(req).await.ok()?;
    let status = res.status();
    let body = res.into_body().collect().await.ok()?.to_bytes();
    Some((status, String::from_utf8(body.to_vec()).unwrap()))
}

async fn post(addr: SocketAddr, path: &str, body: &str) -> Option<(StatusCode, String)> {
    call(&client(), Method::POST, addr, path, body).await
}

async fn get(addr: SocketAddr, path: &str) -> Option<(StatusCode, String)> {
    call(&client(), Method::GET, addr, path, "").await
}

fn fast_restart(initial: HealthState) -> HealthConfig {
    HealthConfig {
        initial,
        restart_delay: Duration::from_millis(20),
        ..HealthConfig::default()
    }
}

async fn start_engine(initial: HealthState) -> Engine {
    let cfg = EngineConfig {
        health: fast_restart(initial),
        prefill_time: Duration::from_millis(2),
        token_time: Duration::from_millis(1),
        report_lag: Duration::ZERO,
        ..EngineConfig::default()
    };
    Engine::bind(cfg).await.unwrap()
}

async fn wait_until(mut condition: impl FnMut() -> bool) {
    for _ in 0..1000 {
        if condition() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    panic!("the condition never held");
}

#[rstest]
#[case::whole(0)]
#[case::resumed(3)]
#[tokio::test]
async fn generate_streams_the_same_tokens(#[case] from: u64) {
    let engine = start_engine(HealthState::Ok).await;
    let body = format!(r#"{{"prompt":"slip 7","max_tokens":5,"resume_from":{from}}}"#);
    let (status, text) = post(engine.addr(), "/v1/generate", &body).await.unwrap();
    let mut expected: Vec<String> = (from..5)
        .map(|n| format!(r#"{{"position":{n},"token":"{}"}}"#, token("slip 7", n)))
        .collect();
    expected.push(r#"{"done":true,"count":5}"#.to_owned());
    assert_eq!(status, StatusCode::OK);
    assert_eq!(text.lines().collect::<Vec<_>>(), expected);
    assert_eq!(engine.view().completed, 1);
    engine.shutdown().await;
}

#[tokio::test]
async fn generate_reader_gone_frees_the_slot() {
    let engine = start_engine(HealthState::Ok).await;
    let addr = engine.addr();
    let body = r#"{"prompt":"p","max_tokens":100000}"#;
    let reader = tokio::spawn(async move { post(addr, "/v1/generate", body).await });
    wait_until(|| engine.view().in_flight == 1).await;
    reader.abort();
    wait_until(|| engine.view().in_flight == 0).await;
    assert_eq!(engine.view().completed, 0);
}

#[tokio::test]
async fn cancel_frees_the_slot_before_it_answers() {
    let engine = start_engine(HealthState::Ok).await;
    let addr = engine.addr();
    let body = r#"{"prompt":"p","max_tokens":100000,"request_id":4,"attempt":1}"#;
    let reader = tokio::spawn(async move { post(addr, "/v1/generate", body).await });
    wait_until(|| engine.view().in_flight == 1).await;
    let cancel = r#"{"request_id":4,"attempt":1}"#;
    let (_, text) = post(addr, "/v1/cancel", cancel).await.unwrap();
    assert_eq!(text, r#"{"cancelled":true}"#);
    assert_eq!(engine.view().in_flight, 0);
    let (_, stream) = reader.await.unwrap().unwrap();
    assert!(!stream.contains("done"));
}

#[tokio::test]
async fn generate_above_the_cold_limit_crashes_all() {
    let engine = start_engine(HealthState::Cold).await;
    let addr = engine.addr();
    let body = r#"{"prompt":"p","max_tokens":10000}"#;
    let calls: Vec<_> = (0..3)
        .map(|_| tokio::spawn(async move { post(addr, "/v1/generate", body).await }))
        .collect();
    for call in calls {
        assert_eq!(call.await.unwrap(), None);
    }
    let view = engine.view();
    assert_eq!(
        (view.cold_overload, view.crashes, view.in_flight),
        (1, 1, 0)
    );
    wait_until(|| engine.view().state == HealthState::Cold).await;
}

#[tokio::test]
async fn generate_warms_up_by_completed_work() {
    let engine = start_engine(HealthState::Cold).await;
    let body = r#"{"prompt":"p","max_tokens":1}"#;
    for _ in 0..4 {
        assert_eq!(engine.view().state, HealthState::Cold);
        post(engine.addr(), "/v1/generate", body).await.unwrap();
    }
    assert_eq!(engine.view().state, HealthState::Ok);
}

#[tokio::test]
async fn generate_poison_resets_other_requests() {
    let engine = start_engine(HealthState::Ok).await;
    let addr = engine.addr();
    let body = r#"{"prompt":"p","max_tokens":100000}"#;
    let other_call = tokio::spawn(async move { post(addr, "/v1/generate", body).await });
    wait_until(|| engine.view().in_flight == 1).await;
    assert_eq!(
        post(addr, "/v1/generate", r#"{"prompt":"a POISON"}"#).await,
        None
    );
    assert_eq!(other_call.await.unwrap(), None);
    assert_eq!(engine.view().poison_crashes, 1);
}

#[tokio::test]
async fn load_reports_cold_and_work_in_flight() {
    let engine = start_engine(HealthState::Cold).await;
    let (_, text) = get(engine.addr(), "/v1/load").await.unwrap();
    assert!(
        text.contains(r#""in_flight":0,"waiting":0,"cold":true"#),
        "{text}"
    );
}

#[rstest]
#[case::checks(true, StatusCode::CONFLICT, 1)]
#[case::ignores(false, StatusCode::OK, 2)]
#[tokio::test]
async fn order_with_an_old_fencing_number(
    #[case] checks_fencing: bool,
    #[case] status: StatusCode,
    #[case] obeyed: usize,
) {
    let cfg = EngineConfig {
        checks_fencing,
        ..EngineConfig::default()
    };
    let engine = Engine::bind(cfg).await.unwrap();
    for (fence, expected) in [(5, StatusCode::OK), (4, status)] {
        let body = format!(r#"{{"fence":{fence},"order":{{"switch_map":{{"map_version":2}}}}}}"#);
        let (got, _) = post(engine.addr(), "/v1/order", &body).await.unwrap();
        assert_eq!(got, expected);
    }
    assert_eq!(engine.orders_obeyed().len(), obeyed);
}

#[tokio::test]
async fn run_counts_executions_even_if_the_caller_left() {
    let ledger = Ledger::default();
    let cfg = ServiceConfig {
        health: fast_restart(HealthState::Stall),
        ..ServiceConfig::default()
    };
    let service = Service::bind(cfg, ledger.clone()).await.unwrap();
    let addr = service.addr();
    let caller = tokio::spawn(async move { post(addr, "/v1/run", "{}").await });
    wait_until(|| service.view().in_flight == 1).await;
    caller.abort();
    service.set_state(HealthState::Ok);
    wait_until(|| service.view().completed == 1).await;
    let (_, text) = post(addr, "/v1/run", "{}").await.unwrap();
    assert!(text.contains(r#""key":"key-1","run":2"#), "{text}");
    assert_eq!(ledger.repeated_keys(), ["key-1"]);
}

#[tokio::test]
async fn run_ends_when_the_service_crashes() {
    let ledger = Ledger::default();
    let cfg = ServiceConfig {
        health: fast_restart(HealthState::Stall),
        ..ServiceConfig::default()
    };
    let service = Service::bind(cfg, ledger.clone()).await.unwrap();
    let addr = service.addr();
    let caller = tokio::spawn(async move { post(addr, "/v1/run", "{}").await });
    wait_until(|| service.view().in_flight == 1).await;
    service.set_state(HealthState::Crash);
    assert_eq!(caller.await.unwrap(), None);
    wait_until(|| service.view().state == HealthState::Cold).await;
    assert!(ledger.runs().is_empty());
}

#[tokio::test]
async fn vms_show_a_change_after_the_lag() {
    let vm = VmRecord {
        name: VmName::new("vm-1"),
        domain: "south".into(),
        role: VmRole::Entry,
        address: "127.0.0.1:1".parse().unwrap(),
        peer_address: "127.0.0.1:2".parse().unwrap(),
        state: VmState::Live,
    };
    let cfg = VmListConfig {
        lag: Duration::from_millis(100),
    };
    let server = VmListServer::bind(cfg, vec![vm]).await.unwrap();
    server.set_vm_state(&VmName::new("vm-1"), VmState::Leaving);
    let list = |text: String| serde_json::from_str::<VmList>(&text).unwrap();
    let (_, text) = get(server.addr(), "/vms").await.unwrap();
    assert_eq!(list(text).version, 1);
    tokio::time::sleep(cfg.lag * 2).await;
    let (_, text) = get(server.addr(), "/vms").await.unwrap();
    assert_eq!(list(text).vms[0].state, VmState::Leaving);
}

/// Injects nothing: every fault succeeds, except that there is no upstream.
struct NoFaults;

#[async_trait]
impl FaultInjector for NoFaults {
    async fn store(&self, _: StoreFault) -> Result<(), FaultError> {
        Ok(())
    }

    async fn upstream(&self, name: &VmName, _: HealthState) -> Result<(), FaultError> {
        Err(FaultError::Unknown {
            kind: "upstream",
            name: name.to_string(),
        })
    }

    async fn entry(&self, _: SocketAddr, _: EntryFault) -> Result<(), FaultError> {
        Ok(())
    }

    async fn agent(&self, _: &VmName, _: AgentFault) -> Result<(), FaultError> {
        Ok(())
    }

    fn upstreams(&self) -> Vec<UpstreamView> {
        Vec::new()
    }
}

#[rstest]
#[case::store(r#"{"store":"lose_answers"}"#, 200, "done")]
#[case::entry(r#"{"entry":"127.0.0.1:9","state":"kill"}"#, 200, "done")]
#[case::agent(r#"{"agent":"a","state":"pause"}"#, 200, "done")]
#[case::unknown_upstream(r#"{"upstream":"x","state":"ok"}"#, 400, "no upstream")]
#[case::unknown_state(r#"{"upstream":"x","state":"odd"}"#, 400, "expected one of")]
#[case::two_targets(r#"{"store":"up","agent":"a"}"#, 400, "expected one of")]
#[case::no_json("store up", 400, "expected one of")]
#[tokio::test]
async fn faults_answer(#[case] body: &str, #[case] status: u16, #[case] text: &str) {
    let ledger = Ledger::default();
    ledger.record("k");
    let control = ControlServer::bind(ledger, Arc::new(NoFaults))
        .await
        .unwrap();
    let (got, answer) = post(control.addr(), "/faults", body).await.unwrap();
    assert_eq!(got.as_u16(), status);
    assert!(answer.contains(text), "{answer}");
    let (_, runs) = get(control.addr(), "/ledger").await.unwrap();
    assert_eq!(runs, r#"{"runs":{"k":1}}"#);
}
