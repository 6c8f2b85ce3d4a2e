//! Joins and leaves groups as the catalog and the VM list say.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use oriole_peers::pool::ChannelPool;
use oriole_placement::shape::{GroupShape, ShapeError};
use oriole_rollout::coordinator::CoordinatorConfig;
use oriole_rollout::driver::{
    CoordinatorSettings, Engine, GroupTransport, spawn_coordinator, spawn_rank,
};
use oriole_rollout::election::ElectionConfig;
use oriole_rollout::rank::RankConfig;
use oriole_store::store::Store;
use oriole_types::fleet::VmList;
use oriole_types::ids::Incarnation;
use slog::{info, warn};
use tokio::sync::watch;
use tokio::time::MissedTickBehavior;
use tokio_util::task::AbortOnDropHandle;

use super::engine::HttpEngine;
use super::place::Member;
use super::post::{Coordinators, outbox, send_all};
use super::seat::GroupSeat;
use crate::core::AgentCore;

/// Time between two reports of the load.
const LOAD_PERIOD: Duration = Duration::from_secs(1);

/// How a member of a group reaches the store, other agents and its engine.
pub struct GroupWays {
    /// Key-value store.
    pub store: Arc<dyn Store>,
    /// Channels to other agents.
    pub channels: Arc<ChannelPool>,
    /// Address of the engine.
    pub upstream: SocketAddr,
}

/// The tasks of a member, besides those of its rank and candidate; they end when this is dropped.
type Tasks = [AbortOnDropHandle<()>; 2];

/// Runs the agent's part in the group of its pool, as long as there is one.
pub async fn follow_groups(
    core: Arc<AgentCore>,
    ways: GroupWays,
    mut vm_list: watch::Receiver<Arc<VmList>>,
) {
    let mut config = core.catalog.clone();
    let mut seat = None;
    let mut tasks: Option<Tasks> = None;
    loop {
        let list = vm_list.borrow_and_update().clone();
        let catalog = config.borrow_and_update().clone();
        let found = catalog
            .as_deref()
            .and_then(|c| GroupSeat::find(c, &list, &core.pool, &core.name));
        if found != seat {
            core.group.set(None);
            drop(tasks.take());
            tasks = found.clone().and_then(|s| join(&core, &ways, s));
            seat = found;
        }
        let changed = tokio::select! {
            changed = vm_list.changed() => changed,
            changed = config.changed() => changed,
        };
        if changed.is_err() {
            core.group.set(None);
            return;
        }
    }
}

fn join(core: &AgentCore, ways: &GroupWays, seat: GroupSeat) -> Option<Tasks> {
    let name = seat.name.clone();
    let rank = seat.me;
    match spawn(core, ways, seat) {
        Ok(tasks) => {
            info!(core.log, "joined a group"; "step" => "group", "group" => %name, "rank" => rank);
            Some(tasks)
        }
        Err(e) => {
            warn!(core.log, "cannot join a group"; "step" => "group", "group" => %name, "error" => %e);
            None
        }
    }
}

fn spawn(core: &AgentCore, ways: &GroupWays, seat: GroupSeat) -> Result<Tasks, ShapeError> {
    let shape = GroupShape::new(&seat.group, &seat.domains)?;
    let (outbox, outgoing) = outbox();
    let transport: Arc<dyn GroupTransport> = Arc::new(outbox);
    let engine = Arc::new(HttpEngine::open(ways.upstream));
    let own: Arc<dyn Engine> = engine.clone();
    let rank = spawn_rank(
        RankConfig::default(),
        seat.me,
        shape.ranks,
        own,
        Arc::clone(&transport),
        fresh_incarnation,
    );
    let settings = CoordinatorSettings {
        coordinator: CoordinatorConfig::default(),
        election: ElectionConfig::default(),
        group: seat.name.clone(),
        shape,
        incarnation: fresh_incarnation(),
    };
    let candidate = spawn_coordinator(settings, Arc::clone(&ways.store), transport)?;
    let member = Arc::new(Member {
        seat,
        rank,
        candidate,
        coordinators: Coordinators::default(),
    });
    core.group.set(Some(Arc::clone(&member)));
    let send = send_all(Arc::clone(&member), Arc::clone(&ways.channels), outgoing);
    let tasks = [
        tokio::spawn(send),
        tokio::spawn(report_load(member, engine)),
    ];
    Ok(tasks.map(AbortOnDropHandle::new))
}

/// A number that no run had before.
fn fresh_incarnation() -> Incarnation {
    Incarnation(rand::random::<u64>() | 1)
}

/// Tells the rank what its engine's slots took.
async fn report_load(member: Arc<Member>, engine: Arc<HttpEngine>) {
    let mut ticks = tokio::time::interval(LOAD_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match engine.load().await {
            Ok(load) => member.rank.observe_load(load.tokens, load.speed),
            Err(_) => metrics::counter!("oriole_group_engine_failures_total").increment(1),
        }
    }
}
