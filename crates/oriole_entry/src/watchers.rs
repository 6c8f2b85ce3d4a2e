//! Tasks that keep the entry's view of the fleet and its routing machines up to date.

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

/// Shortest time between two looks at an upstream.
const LOAD_PERIOD: Duration = Duration::from_secs(1);

/// Most looks at upstreams a second; an entry that serves more looks at each less often, and knows
/// the loads that come with answers anyway.
const MAX_LOOKS_PER_S: f64 = 40.0;

/// Longest time to wait for a load report.
const LOAD_TIMEOUT: Duration = Duration::from_secs(1);

/// Time between two looks at the queues.
const QUEUE_PERIOD: Duration = Duration::from_millis(20);

/// Time between two exchanges of limit digests.
const LIMITS_PERIOD: Duration = Duration::from_secs(1);

/// Name of the entries' service that takes in limit digests.
pub const LIMITS_SERVICE: &str = "limits";

/// The watchers of one entry; they end when this is dropped.
pub struct Watchers {
    _tasks: Vec<AbortOnDropHandle<()>>,
}

impl Watchers {
    /// Starts all watchers.
    #[must_use]
    pub fn spawn(state: &Arc<EntryState>) -> Self {
        let tasks = vec![
            tokio::spawn(follow_fleet(Arc::clone(state))),
            tokio::spawn(liveness::watch(Arc::clone(state))),
            tokio::spawn(follow_loads(Arc::clone(state))),
            tokio::spawn(tick_queues(Arc::clone(state))),
            tokio::spawn(exchange_limits(Arc::clone(state))),
        ];
        Self {
            _tasks: tasks.into_iter().map(AbortOnDropHandle::new).collect(),
        }
    }
}

/// Feeds each newer VM list and catalog to the routing machines.
async fn follow_fleet(state: Arc<EntryState>) {
    let mut vm_list = state.vm_list.subscribe();
    let mut config = state.catalog.clone();
    loop {
        let list = vm_list.borrow_and_update().clone();
        let catalog = config.borrow_and_update().clone();
        state.fleet.set_list(Arc::clone(&list));
        state.liveness.set_list(&list);
        if let Some(catalog) = catalog {
            let near = crate::fleet::near_list(&list, &state.name);
            state.traffic.fleet_changed(&near, &catalog);
            state.poison.configure(&catalog.released_digests);
            share_limits(&state, &list, &catalog);
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

/// Tells the limiter between how many entries each account's limit is shared.
fn share_limits(state: &EntryState, list: &VmList, catalog: &Catalog) {
    let (away, room) = (state.fleet.away(), state.room());
    let view = EndpointInputs {
        list,
        catalog,
        unavailable: &away,
        headroom: &room,
    };
    let entries = list
        .vms
        .iter()
        .filter(|vm| vm.role == VmRole::Entry)
        .count();
    let holders: Vec<(AccountName, Vec<VmName>)> = catalog
        .accounts
        .keys()
        .map(|account| {
            let subset = state.endpoints.subset(&view, account);
            let vms = subset.into_iter().map(|vm| vm.name.clone()).collect();
            (account.clone(), vms)
        })
        .collect();
    state.sharers.set(&state.name, &holders);
    let counts: Vec<(AccountName, usize)> = holders
        .into_iter()
        .map(|(account, vms)| (account, vms.len().max(1)))
        .collect();
    state.traffic.set_holders(&counts, entries.max(1));
}

/// Asks upstreams for their load from time to time.
async fn follow_loads(state: Arc<EntryState>) {
    loop {
        let mut asks = JoinSet::new();
        let served = state.fleet.served_vms(&state.name);
        let spread = Duration::from_secs_f64(served.len() as f64 / MAX_LOOKS_PER_S);
        let period = LOAD_PERIOD.max(spread);
        for record in served {
            let state = Arc::clone(&state);
            asks.spawn(async move { ask_load(&state, &record).await });
        }
        while asks.join_next().await.is_some() {}
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(period.mul_f64(jitter)).await;
    }
}

async fn ask_load(state: &EntryState, record: &VmRecord) {
    match trade_notes(state, record).await {
        Ok(answer) => take_notes(state, record, answer),
        Err(_) => {
            state.poison.lost(&record.name);
            metrics::counter!("oriole_load_ask_failed_total").increment(1);
        }
    }
}

async fn trade_notes(state: &EntryState, record: &VmRecord) -> Result<AgentStatus, WireError> {
    let channel = state.channels.get(record.peer_address).await?;
    let status = state.config.status();
    let mut note = PeerStatus::new(status.revision, status.confirmed_age);
    note.poison = state
        .poison
        .for_peer(&record.name, Incarnation(channel.peer().incarnation));
    let payload = note.encode_to_vec().into();
    let answer = channel.call(LOAD_SERVICE, payload, LOAD_TIMEOUT).await?;
    AgentStatus::decode(answer).map_err(|_| WireError::Malformed("load note"))
}

fn take_notes(state: &EntryState, record: &VmRecord, answer: AgentStatus) {
    let home = Home {
        incarnation: answer.incarnation(),
        clock_ms: answer.clock_ms,
    };
    state.fleet.set_home(&record.name, home);
    state.groups.heard(&record.name, &answer.group);
    if let Some(load) = answer.load {
        let load = LoadReport::from(load);
        state.fleet.set_load(&record.name, load);
        state.traffic.report(&record.name, &load);
    }
    if let Some(note) = answer.status {
        state.config.hint(Revision(note.revision), &record.name);
        state.poison.merge(&note.poison);
    }
}

async fn tick_queues(state: Arc<EntryState>) {
    let mut interval = tokio::time::interval(QUEUE_PERIOD);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        state.traffic.tick();
    }
}

/// Tells the other entries how much of the limits this one uses.
async fn exchange_limits(state: Arc<EntryState>) {
    loop {
        let jitter = rand::rng().random_range(0.8..1.2);
        tokio::time::sleep(LIMITS_PERIOD.mul_f64(jitter)).await;
        let digest = state.traffic.limit_digest();
        let mut sends = JoinSet::new();
        for (peer, part) in state.sharers.split(&digest) {
            let state = Arc::clone(&state);
            sends.spawn(async move { send_limits(&state, &peer, &part).await });
        }
        while sends.join_next().await.is_some() {}
    }
}

/// Sends a digest; one that is lost is made good by the next.
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
            .call(LIMITS_SERVICE, payload.into(), LOAD_TIMEOUT)
            .await
    };
    if sent.await.is_err() {
        metrics::counter!("oriole_limits_lost_total").increment(1);
    }
}
