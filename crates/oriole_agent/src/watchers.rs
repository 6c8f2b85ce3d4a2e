//! Tasks that keep the gate up to date with the upstream, the configuration and the clock.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use oriole_admission::confirmation::Confirmation;
use oriole_types::prelude::*;
use tokio::sync::watch;
use tokio_util::task::AbortOnDropHandle;

use crate::core::AgentCore;
use crate::upstream::UpstreamError;

/// Interval between probes of the upstream.
const PROBE_INTERVAL: Duration = Duration::from_millis(250);

/// Interval between probes of an upstream that is lost.
const LOST_PROBE_INTERVAL: Duration = Duration::from_millis(50);

/// Interval between ticks of the gate.
const GATE_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// The watcher tasks of one agent; dropping it stops them.
pub struct Watchers {
    _tasks: Vec<AbortOnDropHandle<()>>,
}

impl Watchers {
    /// Starts all watchers.
    #[must_use]
    pub fn spawn(core: &Arc<AgentCore>, vm_list: watch::Receiver<Arc<VmList>>) -> Self {
        let tasks = vec![
            tokio::spawn(watch_upstream(Arc::clone(core))),
            tokio::spawn(follow_fleet(Arc::clone(core), vm_list)),
            tokio::spawn(tick_gate(Arc::clone(core))),
        ];
        Self {
            _tasks: tasks.into_iter().map(AbortOnDropHandle::new).collect(),
        }
    }
}

/// Probes the upstream and reports its load and its losses to the gate.
async fn watch_upstream(core: Arc<AgentCore>) {
    loop {
        let requested_at = core.clock.now();
        match core.upstream.load().await {
            Ok(load) => {
                let age = Duration::from_millis(u64::from(load.age_ms));
                if core.gate.is_report_after_loss(requested_at, age) {
                    core.upstream_connected(load.in_flight);
                }
                core.gate.set_limit(load.limit_per_s);
                core.gate
                    .upstream_report(requested_at, age, load.in_flight, load.cold);
            }
            Err(UpstreamError::NotSent(_)) => core.upstream_lost(),
            // The upstream is reachable but slow. If its work stalls, the gate detects that itself.
            Err(_) => metrics::counter!("oriole_upstream_look_failed_total").increment(1),
        }
        let pause = if core.is_upstream_lost.load(Ordering::Acquire) {
            LOST_PROBE_INTERVAL
        } else {
            PROBE_INTERVAL
        };
        tokio::select! {
            () = tokio::time::sleep(pause) => {}
            () = core.probe_now.notified() => tokio::time::sleep(LOST_PROBE_INTERVAL).await,
        }
    }
}

/// Applies each newer catalog and VM list to the gate and the claims.
async fn follow_fleet(core: Arc<AgentCore>, mut vm_list: watch::Receiver<Arc<VmList>>) {
    let mut config = core.catalog.clone();
    loop {
        let list = vm_list.borrow_and_update().clone();
        if let Some(catalog) = config.borrow_and_update().clone() {
            apply_configuration(&core, &catalog, &list);
        }
        let changed = tokio::select! {
            changed = vm_list.changed() => changed,
            changed = config.changed() => changed,
        };
        if changed.is_err() {
            return;
        }
    }
}

fn apply_configuration(core: &AgentCore, catalog: &Catalog, list: &VmList) {
    let service_state = if catalog.is_in_service(&core.name, &core.domain) {
        ServiceState::InService
    } else {
        ServiceState::Drained
    };
    let members = pool_members(core, catalog, list);
    core.gate.update(|gate, now| {
        if let Some(pool) = catalog.pools.get(&core.pool) {
            gate.configure(pool);
        }
        gate.set_domains(catalog.domains.keys());
        gate.set_pool(&members);
        gate.poison_mut().set_released(&catalog.released_digests);
        gate.set_service_state(now, service_state)
    });
    core.claims.set_live_agents(members);
}

/// The pool's VMs that are live in the VM list and in service in the catalog.
fn pool_members(core: &AgentCore, catalog: &Catalog, list: &VmList) -> Vec<VmName> {
    list.vms
        .iter()
        .filter(|vm| matches!(&vm.role, VmRole::Upstream { pool } if *pool == core.pool))
        .filter(|vm| vm.state == VmState::Live && catalog.is_in_service(&vm.name, &vm.domain))
        .map(|vm| vm.name.clone())
        .collect()
}

/// Confirms the configuration at the gate and ticks it.
async fn tick_gate(core: Arc<AgentCore>) {
    let mut interval = tokio::time::interval(GATE_TICK_INTERVAL);
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        let age = core.config.status().confirmed_age;
        core.gate.update(|gate, now| {
            let domain = core.domain.clone();
            gate.confirm_configuration(now, &Confirmation { domain, age });
            gate.tick(now)
        });
    }
}
