//! This process's view of upstreams and entries.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use oriole_membership::subset::{SERVED_PER_POOL, served_upstreams};
use oriole_types::prelude::*;

/// Number of upstreams that an entry serves, divided equally among the pools; each pool gets at
/// least [`SERVED_PER_POOL`].
const MAX_SERVED_UPSTREAMS: usize = 120;

/// This process's view of upstreams and entries: the VM list, and what each VM last reported.
#[derive(Default)]
pub struct FleetView {
    inner: Mutex<Inner>,
}

#[derive(Default)]
struct Inner {
    vm_list: Arc<VmList>,
    by_name: BTreeMap<VmName, VmRecord>,
    unavailable: BTreeSet<VmName>,
    loads: BTreeMap<VmName, LoadReport>,
    homes: BTreeMap<VmName, Home>,
}

/// The run of an agent, as needed to mint idempotency keys that are bound to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Home {
    /// Incarnation of the agent.
    pub incarnation: Incarnation,
    /// The agent's clock at its last report, in milliseconds since its start.
    pub clock_ms: u64,
}

/// The upstream VMs that an entry serves: a subset of each pool.
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

/// The part of the VM list that an entry's router works with: the upstreams it serves, and as many
/// entries as serve one upstream on average. The router divides warm-up and probe requests by their
/// number.
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
    /// Applies a newer VM list and forgets the reports of VMs that are not in it.
    pub fn set_vm_list(&self, list: Arc<VmList>) {
        let mut inner = self.lock();
        inner.by_name = list
            .vms
            .iter()
            .map(|vm| (vm.name.clone(), vm.clone()))
            .collect();
        let names: BTreeSet<VmName> = inner.by_name.keys().cloned().collect();
        inner.loads.retain(|vm, _| names.contains(vm));
        inner.homes.retain(|vm, _| names.contains(vm));
        inner.vm_list = list;
    }

    /// The VM list in use.
    #[must_use]
    pub fn vm_list(&self) -> Arc<VmList> {
        Arc::clone(&self.lock().vm_list)
    }

    /// Address for peer connections to a VM; `None` if the VM is not in the list.
    #[must_use]
    pub fn peer_address(&self, vm: &VmName) -> Option<SocketAddr> {
        self.lock().by_name.get(vm).map(|r| r.peer_address)
    }

    /// The upstream VMs that this entry serves: a subset of each pool, spread over the failure
    /// domains.
    #[must_use]
    pub fn served_vms(&self, own: &VmName) -> Vec<VmRecord> {
        served_vms(&self.lock().vm_list, own)
    }

    /// The VMs of a pool that are live in the VM list and in service in the catalog.
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

    /// The addresses at which callers reach the other live entries.
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

    /// Entries that are leaving or assumed to have failed.
    #[must_use]
    pub fn unavailable_entries(&self) -> BTreeSet<VmName> {
        self.lock().unavailable.clone()
    }

    /// Replaces the set of entries that are leaving or assumed to have failed.
    pub fn set_unavailable_entries(&self, unavailable: BTreeSet<VmName>) {
        self.lock().unavailable = unavailable;
    }

    /// Records the newest load report of an upstream.
    pub fn set_load(&self, vm: &VmName, load: LoadReport) {
        self.lock().loads.insert(vm.clone(), load);
    }

    /// The newest load report of each upstream.
    #[must_use]
    pub fn loads(&self) -> BTreeMap<VmName, LoadReport> {
        self.lock().loads.clone()
    }

    /// Records the incarnation and clock that an agent reported.
    pub fn set_home(&self, vm: &VmName, home: Home) {
        self.lock().homes.insert(vm.clone(), home);
    }

    /// The newest incarnation and clock that an agent reported.
    #[must_use]
    pub fn home(&self, vm: &VmName) -> Option<Home> {
        self.lock().homes.get(vm).copied()
    }

    /// Those of `vms` that have reported their incarnation and accept new work.
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
