//! Upstreams and entries as this process sees them.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use oriole_membership::subset::{SERVED_PER_POOL, served_upstreams};
use oriole_types::prelude::*;

/// Upstreams that an entry serves in all, dealt out over the pools.
const MAX_SERVED_UPSTREAMS: usize = 120;

/// Upstreams and entries as this process sees them.
#[derive(Default)]
pub struct FleetView {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    list: Arc<VmList>,
    by_name: BTreeMap<VmName, VmRecord>,
    unavailable: BTreeSet<VmName>,
    loads: BTreeMap<VmName, LoadReport>,
    homes: BTreeMap<VmName, Home>,
}

/// What an entry must know of an agent to mint keys that are bound to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Home {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// The agent's clock when it last told, in milliseconds since its start.
    pub clock_ms: u64,
}

/// The VMs whose upstreams an entry serves.
#[must_use]
pub fn served_vms(list: &VmList, own: &VmName) -> Vec<VmRecord> {
    let pools: BTreeSet<&PoolName> = list
        .vms
        .iter()
        .filter_map(|vm| match &vm.role {
            VmRole::Upstream { pool } => Some(pool),
            VmRole::Entry => None,
        })
        .collect();
    let max_per_pool = (MAX_SERVED_UPSTREAMS / pools.len().max(1)).max(SERVED_PER_POOL);
    pools
        .into_iter()
        .flat_map(|pool| served_upstreams(list, own, pool, max_per_pool))
        .cloned()
        .collect()
}

/// The part of the fleet that an entry's routing works with: the upstreams it serves, and as many
/// entries as on average serve one upstream.
#[must_use]
pub fn routing_list(list: &VmList, own: &VmName) -> VmList {
    let served = served_vms(list, own);
    let (entries, upstreams): (Vec<&VmRecord>, Vec<&VmRecord>) =
        list.vms.iter().partition(|vm| vm.role == VmRole::Entry);
    let entry_count = (entries.len() * served.len()).div_ceil(upstreams.len().max(1));
    let entries = entries.into_iter().take(entry_count).cloned();
    VmList {
        version: list.version,
        vms: served.into_iter().chain(entries).collect(),
    }
}

impl FleetView {
    /// Takes in a newer VM list.
    pub fn set_list(&self, list: Arc<VmList>) {
        let mut inner = self.lock();
        inner.by_name = list
            .vms
            .iter()
            .map(|vm| (vm.name.clone(), vm.clone()))
            .collect();
        let names: BTreeSet<VmName> = inner.by_name.keys().cloned().collect();
        inner.loads.retain(|vm, _| names.contains(vm));
        inner.homes.retain(|vm, _| names.contains(vm));
        inner.list = list;
    }

    /// The VM list in use.
    #[must_use]
    pub fn list(&self) -> Arc<VmList> {
        Arc::clone(&self.lock().list)
    }

    /// Frame address of a VM.
    #[must_use]
    pub fn peer_address(&self, vm: &VmName) -> Option<SocketAddr> {
        self.lock().by_name.get(vm).map(|r| r.peer_address)
    }

    /// The VMs whose upstreams this entry serves: a part of each pool, spread over the failure
    /// domains.
    #[must_use]
    pub fn served_vms(&self, own: &VmName) -> Vec<VmRecord> {
        served_vms(&self.lock().list, own)
    }

    /// The live agents of a pool that take new work, as far as operators and the platform say.
    #[must_use]
    pub fn pool_members(&self, pool: &PoolName, catalog: &Catalog) -> Vec<VmName> {
        self.lock()
            .by_name
            .values()
            .filter(|r| matches!(&r.role, VmRole::Upstream { pool: p } if p == pool))
            .filter(|r| r.state == VmState::Live && catalog.is_in_service(&r.name, &r.domain))
            .map(|r| r.name.clone())
            .collect()
    }

    /// Callers' addresses of the other live entries.
    #[must_use]
    pub fn other_entries(&self, own: &VmName) -> Vec<SocketAddr> {
        let inner = self.lock();
        inner
            .by_name
            .values()
            .filter(|r| r.role == VmRole::Entry && r.state == VmState::Live)
            .filter(|r| r.name != *own && !inner.unavailable.contains(&r.name))
            .map(|r| r.address)
            .collect()
    }

    /// Entries that are leaving or believed dead.
    #[must_use]
    pub fn unavailable_entries(&self) -> BTreeSet<VmName> {
        self.lock().unavailable.clone()
    }

    /// Replaces the entries that are leaving or believed dead.
    pub fn set_unavailable_entries(&self, unavailable: BTreeSet<VmName>) {
        self.lock().unavailable = unavailable;
    }

    /// Notes the load of an upstream.
    pub fn set_load(&self, vm: &VmName, load: LoadReport) {
        self.lock().loads.insert(vm.clone(), load);
    }

    /// The newest load of each upstream.
    #[must_use]
    pub fn loads(&self) -> BTreeMap<VmName, LoadReport> {
        self.lock().loads.clone()
    }

    /// Notes what an agent said of its incarnation and clock.
    pub fn set_home(&self, vm: &VmName, home: Home) {
        self.lock().homes.insert(vm.clone(), home);
    }

    /// The newest incarnation and clock of an agent.
    #[must_use]
    pub fn home(&self, vm: &VmName) -> Option<Home> {
        self.lock().homes.get(vm).copied()
    }

    /// Those of some agents that told of themselves and take new work.
    #[must_use]
    pub fn ready_homes(&self, vms: &[VmName]) -> Vec<(VmName, DomainName, Home)> {
        let inner = self.lock();
        let ready = |vm: &VmName| {
            let load = inner.loads.get(vm)?;
            let home = inner.homes.get(vm)?;
            let domain = inner.by_name.get(vm)?.domain.clone();
            (!load.leaving).then(|| (vm.clone(), domain, *home))
        };
        vms.iter().filter_map(ready).collect()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
