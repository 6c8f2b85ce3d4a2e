//! Tests the tasks of a complete group over in-memory channels, with paused time.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use oriole_placement::map::{ExpertMap, MapId};
use oriole_placement::shape::GroupShape;
use oriole_rollout::driver::{
    CoordinatorHandle, CoordinatorSettings, Engine, EngineError, GroupTransport, RankHandle,
    spawn_coordinator, spawn_rank,
};
use oriole_rollout::prelude::*;
use oriole_rollout::standin::{StandinConfig, StandinEngine};
use oriole_store::prelude::{LeaseId, Precondition, Store, StoreError, StoreVersion, Versioned};
use oriole_types::ids::{GroupName, Incarnation};

const RANKS: usize = 3;

#[derive(Clone)]
struct SharedEngine(Arc<Mutex<StandinEngine>>);

#[async_trait]
impl Engine for SharedEngine {
    async fn order(&self, order: EngineOrder) -> Result<EngineState, EngineError> {
        let mut engine = self.0.lock().unwrap();
        engine.order(&order);
        engine.finish_load(true);
        Ok(engine.state().clone())
    }

    async fn state(&self) -> Result<EngineState, EngineError> {
        Ok(self.0.lock().unwrap().state().clone())
    }

    async fn read_map(&self, id: MapId) -> Result<Option<Arc<ExpertMap>>, EngineError> {
        Ok(self.0.lock().unwrap().map(id).cloned())
    }
}

/// Delivers messages immediately; there is only one coordinator.
#[derive(Default)]
struct LocalTransport {
    ranks: OnceLock<Vec<RankHandle>>,
    coordinator: OnceLock<CoordinatorHandle>,
}

impl GroupTransport for LocalTransport {
    fn send(&self, to: Party, envelope: Envelope) {
        match to {
            Party::Rank(r) => {
                if let Some(ranks) = self.ranks.get() {
                    ranks[usize::from(r)].deliver(envelope);
                }
            }
            Party::Coordinator(_) => {
                if let Some(c) = self.coordinator.get() {
                    c.deliver(envelope);
                }
            }
        }
    }
}

/// An in-memory store without faults whose leases never lapse.
#[derive(Default)]
struct MemoryStore(Mutex<BTreeMap<String, Versioned>>);

#[async_trait]
impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        Ok(self.0.lock().unwrap().get(key).cloned())
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
    ) -> Result<StoreVersion, StoreError> {
        let mut values = self.0.lock().unwrap();
        let found = values.get(key).map(|v| v.version);
        let holds = match expect {
            Precondition::Absent => found.is_none(),
            Precondition::Version(v) => found == Some(v),
            Precondition::Any => true,
        };
        if !holds {
            return Err(StoreError::Conflict);
        }
        let version = StoreVersion(found.map_or(1, |v| v.0 + 1));
        values.insert(key.to_owned(), Versioned { value, version });
        Ok(version)
    }

    async fn put_leased(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
        _: LeaseId,
    ) -> Result<StoreVersion, StoreError> {
        self.put(key, value, expect).await
    }

    async fn delete(&self, key: &str, _: Precondition) -> Result<(), StoreError> {
        self.0.lock().unwrap().remove(key);
        Ok(())
    }

    async fn watch(
        &self,
        _: &str,
        _: StoreVersion,
        _: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        Ok(None)
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId, StoreError> {
        Ok(LeaseId(1))
    }

    async fn renew_lease(&self, _: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }
}

fn settings() -> CoordinatorSettings {
    CoordinatorSettings {
        coordinator: CoordinatorConfig::default(),
        election: ElectionConfig::default(),
        group: GroupName::new("g"),
        shape: GroupShape {
            ranks: RANKS,
            experts: 6,
            layers: 2,
            slots_per_rank: 4,
            expert_bytes: 1,
            weight_bytes_per_s: 1_000,
            domains: vec![0; RANKS],
        },
        incarnation: Incarnation(100),
    }
}

/// Tokens of each slot of a rank when one expert gets ten times the load of the others.
fn slot_tokens(engine: &StandinEngine, rank: usize, hot_expert: u16) -> Vec<Vec<f32>> {
    let body = engine.state().active.and_then(|id| engine.map(id).cloned());
    let Some(map) = body else { return Vec::new() };
    let slots = map.slots_per_rank;
    let layer = |l: &oriole_placement::map::LayerMap| {
        let load = |s: usize| {
            let share = f32::from(l.shares[s]) / 10_000.0;
            share
                * if l.experts[s] == hot_expert {
                    1_000.0
                } else {
                    100.0
                }
        };
        (rank * slots..(rank + 1) * slots).map(load).collect()
    };
    map.layers.iter().map(layer).collect()
}

/// Runs the group for some seconds: each rank reports its load once a second, and all ranks step
/// together 20 times a second.
async fn run_group(
    transport: &LocalTransport,
    engines: &[SharedEngine],
    seconds: u64,
    hot_expert: u16,
) {
    for _ in 0..seconds {
        for (rank, engine) in engines.iter().enumerate() {
            let tokens = slot_tokens(&engine.0.lock().unwrap(), rank, hot_expert);
            transport.ranks.get().unwrap()[rank].observe_load(tokens, Some(1.0));
        }
        for _ in 0..20 {
            tokio::time::sleep(Duration::from_millis(50)).await;
            step_group(engines);
        }
    }
}

/// Starts a step on all engines if all may start it; checks that they use the same map.
fn step_group(engines: &[SharedEngine]) {
    let mut engines: Vec<_> = engines.iter().map(|e| e.0.lock().unwrap()).collect();
    let maps: Option<Vec<MapId>> = engines.iter().map(|e| e.next_step_map()).collect();
    if let Some(maps) = maps {
        assert!(
            maps.iter().all(|m| *m == maps[0]),
            "a step mixes maps: {maps:?}"
        );
        engines.iter_mut().for_each(|e| e.begin_step());
    }
}

#[tokio::test(start_paused = true)]
async fn driver_group_follows_demand() {
    let transport = Arc::new(LocalTransport::default());
    let engine = |r: u64| StandinEngine::new(StandinConfig::default(), Incarnation(r + 1), 0);
    let engines: Vec<SharedEngine> = (0..RANKS as u64)
        .map(|r| SharedEngine(Arc::new(Mutex::new(engine(r)))))
        .collect();
    let spawn = |r: usize| {
        let mut run = r as u64 * 1_000;
        let incarnations = move || {
            run += 1;
            Incarnation(run)
        };
        let engine = Arc::new(engines[r].clone());
        let cfg = RankConfig::default();
        spawn_rank(
            cfg,
            r as RankId,
            RANKS,
            engine,
            transport.clone(),
            incarnations,
        )
    };
    let ranks = (0..RANKS).map(spawn).collect();
    assert!(transport.ranks.set(ranks).is_ok());
    let store = Arc::new(MemoryStore::default());
    let handle = spawn_coordinator(settings(), store, transport.clone()).unwrap();
    assert!(transport.coordinator.set(handle).is_ok());

    run_group(&transport, &engines, 300, 2).await;

    let status = transport.coordinator.get().unwrap().status().unwrap();
    assert!(status.silent.is_empty(), "{status:?}");
    assert!(status.skew < 1.1, "{status:?}");
    let version = status.map.unwrap().version.0;
    assert!(version > 1, "the map followed the load: {status:?}");
    assert!(status.last_switch.unwrap().committed);
    assert!(engines[0].0.lock().unwrap().state().next_step > 5_000);
}
