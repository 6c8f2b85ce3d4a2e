//! Joins and leaves groups according to the catalog and the VM list.

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

use super::assignment::RankAssignment;
use super::engine::HttpEngine;
use super::member::Member;
use super::transport::{CoordinatorRanks, new_outbox, send_all};
use crate::core::AgentCore;

/// Interval at which the engine's load is reported to the rank.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// Connections of a group member to the store, other agents and its engine.
pub struct GroupConnections {
    /// Key-value store.
    pub store: Arc<dyn Store>,
    /// Channels to other agents.
    pub channels: Arc<ChannelPool>,
    /// Address of the engine.
    pub upstream: SocketAddr,
}

/// Handles of the tasks that send messages and report the load; dropping them stops the tasks. The
/// rank and the candidate coordinator have tasks of their own.
type MemberTasks = [AbortOnDropHandle<()>; 2];

/// Keeps the agent a member of its pool's group, as long as there is one.
pub async fn follow_groups(
    core: Arc<AgentCore>,
    connections: GroupConnections,
    mut vm_list: watch::Receiver<Arc<VmList>>,
) {
    let mut config = core.catalog.clone();
    let mut assignment = None;
    let mut tasks: Option<MemberTasks> = None;
    loop {
        let list = vm_list.borrow_and_update().clone();
        let catalog = config.borrow_and_update().clone();
        let new_assignment = catalog
            .as_deref()
            .and_then(|c| RankAssignment::find(c, &list, &core.pool, &core.name));
        if new_assignment != assignment {
            core.group.set(None);
            drop(tasks.take());
            tasks = new_assignment
                .clone()
                .and_then(|a| join_group(&core, &connections, a));
            assignment = new_assignment;
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

fn join_group(
    core: &AgentCore,
    connections: &GroupConnections,
    assignment: RankAssignment,
) -> Option<MemberTasks> {
    let name = assignment.name.clone();
    let rank = assignment.rank;
    match spawn_member(core, connections, assignment) {
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

fn spawn_member(
    core: &AgentCore,
    connections: &GroupConnections,
    assignment: RankAssignment,
) -> Result<MemberTasks, ShapeError> {
    let shape = GroupShape::new(&assignment.group, &assignment.domains)?;
    let (outbox, outgoing) = new_outbox();
    let transport: Arc<dyn GroupTransport> = Arc::new(outbox);
    let engine = Arc::new(HttpEngine::new(connections.upstream));
    let own: Arc<dyn Engine> = engine.clone();
    let rank = spawn_rank(
        RankConfig::default(),
        assignment.rank,
        shape.ranks,
        own,
        Arc::clone(&transport),
        random_incarnation,
    );
    let settings = CoordinatorSettings {
        coordinator: CoordinatorConfig::default(),
        election: ElectionConfig::default(),
        group: assignment.name.clone(),
        shape,
        incarnation: random_incarnation(),
    };
    let candidate = spawn_coordinator(settings, Arc::clone(&connections.store), transport)?;
    let member = Arc::new(Member {
        assignment,
        rank,
        candidate,
        coordinator_ranks: CoordinatorRanks::default(),
    });
    core.group.set(Some(Arc::clone(&member)));
    let send = send_all(
        Arc::clone(&member),
        Arc::clone(&connections.channels),
        outgoing,
    );
    let tasks = [
        tokio::spawn(send),
        tokio::spawn(report_load(member, engine)),
    ];
    Ok(tasks.map(AbortOnDropHandle::new))
}

/// A random incarnation that no earlier run had.
fn random_incarnation() -> Incarnation {
    Incarnation(rand::random::<u64>() | 1)
}

/// Reports the load of the engine's slots to the rank.
async fn report_load(member: Arc<Member>, engine: Arc<HttpEngine>) {
    let mut ticks = tokio::time::interval(LOAD_REPORT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        match engine.load().await {
            Ok(load) => member.rank.observe_load(load.tokens, load.speed),
            Err(_) => metrics::counter!("oriole_group_engine_failures_total").increment(1),
        }
    }
}
