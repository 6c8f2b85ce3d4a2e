//! The newest VM list seen.

use oriole_types::prelude::*;

/// The newest VM list that a process has seen; the platform's answers lag and may go back.
#[derive(Clone, Debug, Default)]
pub struct VmListView {
    list: VmList,
}

impl VmListView {
    /// Takes in a list; returns whether it was newer than the held one.
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

    /// VMs that run entries and stay.
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
