//! The newest VM list that a process has received.

use oriole_types::prelude::*;

/// Keeps the newest VM list, since the platform's answers lag and may return to an older version.
#[derive(Clone, Debug, Default)]
pub struct VmListView {
    list: VmList,
}

impl VmListView {
    /// Stores a list if it is newer than the held one; returns whether it is.
    pub fn update(&mut self, list: VmList) -> bool {
        let newer = list.version > self.list.version;
        if newer {
            self.list = list;
        }
        newer
    }

    /// The newest list.
    #[must_use]
    pub fn list(&self) -> &VmList {
        &self.list
    }

    /// VMs of a failure domain.
    pub fn in_domain<'a>(&'a self, domain: &'a DomainName) -> impl Iterator<Item = &'a VmRecord> {
        self.list.vms.iter().filter(move |r| r.domain == *domain)
    }

    /// Live VMs that run entries.
    pub fn live_entries(&self) -> impl Iterator<Item = &VmRecord> {
        let is_live_entry = |r: &&VmRecord| r.role == VmRole::Entry && r.state == VmState::Live;
        self.list.vms.iter().filter(is_live_entry)
    }

    /// A VM by name.
    #[must_use]
    pub fn get(&self, vm: &VmName) -> Option<&VmRecord> {
        self.list.vms.iter().find(|r| r.name == *vm)
    }
}
