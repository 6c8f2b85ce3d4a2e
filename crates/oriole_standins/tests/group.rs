//! The engines of a group over real loopback connections: they run steps in lockstep and record the
//! maps that each step used.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use oriole_placement::map::{ExpertMap, FULL_SHARE, LayerMap, MapVersion};
use oriole_rollout::engine::{EngineOp, EngineOrder, EngineState};
use oriole_rollout::messages::{Proposal, SwitchId};
use oriole_standins::engine::{Engine, EngineConfig};
use oriole_standins::group::{GroupConfig, GroupLoad, LockStep};
use oriole_types::ids::Fence;
use rstest::rstest;
use serde::de::DeserializeOwned;

/// Maximum wait for a condition that must become true.
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);

async fn request<T: DeserializeOwned>(
    engine: &Engine,
    path: &str,
    body: Option<&EngineOrder>,
) -> T {
    let uri = format!("http://{}/v1/group/{path}", engine.addr());
    let req = match body {
        Some(order) => Request::post(uri).body(Full::from(serde_json::to_vec(order).unwrap())),
        None => Request::get(uri).body(Full::<Bytes>::default()),
    };
    let client = Client::builder(TokioExecutor::new()).build_http();
    let res = client.request(req.unwrap()).await.unwrap();
    assert_eq!(res.status(), StatusCode::OK, "{path}");
    let body = res.into_body().collect().await.unwrap().to_bytes();
    serde_json::from_slice(&body).unwrap()
}

async fn wait_until(mut condition: impl AsyncFnMut() -> bool) {
    let condition = async {
        while !condition().await {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let in_time = tokio::time::timeout(WAIT_TIMEOUT, condition).await;
    in_time.expect("the condition never held");
}

/// A map for two ranks with one expert each.
fn map(version: u64) -> Arc<ExpertMap> {
    let layer = LayerMap {
        experts: vec![0, 1],
        shares: vec![FULL_SHARE; 2],
    };
    Arc::new(ExpertMap {
        version: MapVersion(version),
        slots_per_rank: 1,
        layers: vec![layer],
    })
}

/// Orders an engine to load a map and to start using it.
async fn load_and_start(engine: &Engine, map: &Arc<ExpertMap>) {
    let state: EngineState = request(engine, "state", None).await;
    let order = |op| EngineOrder {
        run: state.run,
        expect: state.sequence,
        fence: Fence(1),
        op,
    };
    let stage = order(EngineOp::Stage(Arc::clone(map)));
    let _: EngineState = request(engine, "order", Some(&stage)).await;
    wait_until(async || {
        let state: EngineState = request(engine, "state", None).await;
        state.staged.contains(&map.id())
    })
    .await;
    let decided = Proposal {
        switch: SwitchId::default(),
        base: None,
        next: map.id(),
        at_step: 0,
        closer: 0,
    };
    let start = order(EngineOp::Start {
        map: map.id(),
        decided,
    });
    let state: EngineState = request(engine, "order", Some(&start)).await;
    assert_eq!(state.active, Some(map.id()));
}

#[rstest]
#[case::same_map(1, 1)]
#[case::mixed_maps(2, 2)]
#[tokio::test]
async fn steps_record_each_map_in_use(#[case] version: u64, #[case] maps: usize) {
    let group = LockStep::spawn(GroupConfig {
        ranks: 2,
        experts: 2,
        layers: 1,
        load_time: Duration::from_millis(5),
        ..GroupConfig::default()
    });
    let engine = async |rank| {
        let cfg = EngineConfig {
            group: Some(group.rank(rank)),
            ..EngineConfig::default()
        };
        Engine::bind(cfg).await.unwrap()
    };
    let (first, second) = (engine(0).await, engine(1).await);
    load_and_start(&first, &map(1)).await;
    let has_begun = async || group.states()[0].next_step == 1;
    wait_until(has_begun).await;
    assert_eq!(group.steps(), [], "a step waits for all ranks");
    let other = map(version);
    load_and_start(&second, &other).await;
    wait_until(async || group.steps().iter().any(|s| s.steps > 3)).await;
    let steps = group.steps();
    assert_eq!(steps.len(), 1);
    assert_eq!(steps[0].first, 0);
    assert_eq!(steps[0].maps.len(), maps);
    let served: ExpertMap = request(
        &second,
        &format!("map/{}-{}", other.version, other.digest()),
        None,
    )
    .await;
    assert_eq!(served, *other);
    let load: GroupLoad = request(&first, "load", None).await;
    assert!(load.tokens[0][0] > 0.0);
}
