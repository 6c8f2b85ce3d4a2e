//! Tasks that keep the entry's view of the fleet and its routing state up to date.

use std::sync::Arc;
use std::time::Duration;

use oriole_peers::status::{AgentStatus, LOAD_SERVICE, PeerStatus};
use oriole_routing::endpoints::EndpointInputs;
use oriole_routing::limits::LimitDigest;
use oriole_types::prelude::*;
use oriole_wire::error::WireError;
use prost::Message;
use rand::RngExt;
use tokio::task::JoinSet;
use tokio_util::task::AbortOnDropHandle;

use crate::fleet::Home;
use crate::liveness;
use crate::state::EntryState;

/// Shortest interval at which an upstream's load is queried.
const MIN_LOAD_QUERY_INTERVAL: Duration = Duration::from_secs(1);

/// Limit of load queries per second. An entry that serves many upstreams queries each of them less
/// often, which is enough since answers carry load reports too.
const MAX_LOAD_QUERIES_PER_S: f64 = 40.0;

/// Timeout of a call that exchanges status or sends a limit digest.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Interval at which the wait queues are processed.
const QUEUE_TICK_INTERVAL: Duration = Duration::from_millis(20);

/// Mean interval at which limit digests are sent.
const LIMITS_EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);

/// Name of the peer service that receives limit digests.
pub const LIMITS_SERVICE: &str = "limits";

/// The watcher tasks of one entry; dropping it stops them.
pub struct Watchers {
    _tasks: Vec<AbortOnDropHandle<()>>,
}

impl Watchers {
    /// Starts all watchers.
    #[must_use]
    pub fn spawn(state: &Arc<EntryState>) -> Self {
        let tasks = vec![
            tokio::spawn(follow_fleet(Arc::clone(state))),
            tokio::spawn(liveness::run_detector(Arc::clone(state))),
            tokio::spawn(poll_loads(Arc::clone(state))),
            tokio::spawn(tick_queues(Arc::clone(state))),
            tokio::spawn(exchange_limits(Arc::clone(state))),
        ];
        Self {
            _tasks: tasks.into_iter().map(AbortOnDropHandle::new).collect(),
        }
    }
}

/// Applies each newer VM list and catalog.
async fn follow_fleet(state: Arc<EntryState>) {
    let mut vm_list = state.vm_list.subscribe();
    let mut config = state.catalog.clone();
    loop {
        let list = vm_list.borrow_and_update().clone();
        let catalog = config.borrow_and_update().clone();
        state.fleet.set_vm_list(Arc::clone(&list));
        state.liveness.set_vm_list(&list);
        if let Some(catalog) = catalog {
            let routed = crate::fleet::routing_list(&list, &state.name);
            state.routing.on_fleet_change(&routed, &catalog);
            state.poison.apply_released(&catalog.released_digests);
            update_limit_sharers(&state, &list, &catalog);
        }
        state.channels.retain(|addr| {
            let mut vms = list.vms.iter();
            vms.any(|vm| vm.peer_address == *addr)
        });
        let changed = tokio::select! {
            changed = vm_list.changed() => changed,
            changed = config.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

/// Sets the number of entries that share each account's limits: those that its endpoint answers
/// name.
fn update_limit_sharers(state: &EntryState, list: &VmList, catalog: &Catalog) {
    let (unavailable, headroom) = (state.fleet.unavailable_entries(), state.headroom());
    let inputs = EndpointInputs {
        list,
        catalog,
        unavailable: &unavailable,
        headroom: &headroom,
    };
    let entries = list
        .vms
        .iter()
        .filter(|vm| vm.role == VmRole::Entry)
        .count();
    let sharers: Vec<(AccountName, Vec<VmName>)> = catalog
        .accounts
        .keys()
        .map(|account| {
            let subset = state.endpoints.subset(&inputs, account);
            let vms = subset.into_iter().map(|vm| vm.name.clone()).collect();
            (account.clone(), vms)
        })
        .collect();
    state.sharers.set(&state.name, &sharers);
    let counts: Vec<(AccountName, usize)> = sharers
        .into_iter()
        .map(|(account, vms)| (account, vms.len().max(1)))
        .collect();
    state.routing.set_sharers(&counts, entries.max(1));
}

/// Queries the load of the served upstreams.
async fn poll_loads(state: Arc<EntryState>) {
    loop {
        let mut queries = JoinSet::new();
        let served = state.fleet.served_vms(&state.name);
        let rate_limited_period =
            Duration::from_secs_f64(served.len() as f64 / MAX_LOAD_QUERIES_PER_S);
        let interval = MIN_LOAD_QUERY_INTERVAL.max(rate_limited_period);
        for record in served {
            let state = Arc::clone(&state);
            queries.spawn(async move { query_load(&state, &record).await });
        }
        while queries.join_next().await.is_some() {}
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(interval.mul_f64(jitter)).await;
    }
}

async fn query_load(state: &EntryState, record: &VmRecord) {
    match exchange_status(state, record).await {
        Ok(answer) => record_status(state, record, answer),
        Err(_) => {
            state.poison.delivery_failed(&record.name);
            metrics::counter!("oriole_load_ask_failed_total").increment(1);
        }
    }
}

/// Sends the configuration revision and news of suspect content to an agent, and returns its
/// status.
async fn exchange_status(state: &EntryState, record: &VmRecord) -> Result<AgentStatus, WireError> {
    let channel = state.channels.get(record.peer_address).await?;
    let config_status = state.config.status();
    let mut status = PeerStatus::new(config_status.revision, config_status.confirmed_age);
    status.poison = state
        .poison
        .encode_for_peer(&record.name, Incarnation(channel.peer().incarnation));
    let payload = status.encode_to_vec().into();
    let answer = channel.call(LOAD_SERVICE, payload, CALL_TIMEOUT).await?;
    AgentStatus::decode(answer).map_err(|_| WireError::Malformed("agent status"))
}

fn record_status(state: &EntryState, record: &VmRecord, answer: AgentStatus) {
    let home = Home {
        incarnation: answer.incarnation(),
        clock_ms: answer.clock_ms,
    };
    state.fleet.set_home(&record.name, home);
    state.groups.record_status(&record.name, &answer.group);
    if let Some(load) = answer.load {
        let load = LoadReport::from(load);
        state.fleet.set_load(&record.name, load);
        state.routing.on_load_report(&record.name, &load);
    }
    if let Some(status) = answer.status {
        state.config.hint(Revision(status.revision), &record.name);
        state.poison.merge(&status.poison);
    }
}

async fn tick_queues(state: Arc<EntryState>) {
    let mut interval = tokio::time::interval(QUEUE_TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        state.routing.tick();
    }
}

/// Sends this entry's use of the limits to the entries that share them.
async fn exchange_limits(state: Arc<EntryState>) {
    loop {
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(LIMITS_EXCHANGE_INTERVAL.mul_f64(jitter)).await;
        let digest = state.routing.limit_digest();
        let mut sends = JoinSet::new();
        for (peer, digest_part) in state.sharers.split_by_peer(&digest) {
            let state = Arc::clone(&state);
            sends.spawn(async move { send_limits(&state, &peer, &digest_part).await });
        }
        while sends.join_next().await.is_some() {}
    }
}

/// Sends a digest without retries, because the next digest replaces it.
async fn send_limits(state: &EntryState, peer: &VmName, digest: &LimitDigest) {
    let Some(addr) = state.fleet.peer_address(peer) else {
        return;
    };
    let Ok(payload) = serde_json::to_vec(digest) else {
        return;
    };
    let sent = async {
        let channel = state.channels.get(addr).await?;
        channel
            .call(LIMITS_SERVICE, payload.into(), CALL_TIMEOUT)
            .await
    };
    if sent.await.is_err() {
        metrics::counter!("oriole_limits_lost_total").increment(1);
    }
}
