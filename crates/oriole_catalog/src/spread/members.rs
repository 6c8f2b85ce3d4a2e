//! Members of the fleet, and the selection of relays among them.

use oriole_types::prelude::*;

/// A process that takes part in the distribution of the catalog.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Member {
    /// VM that the process runs on.
    pub name: VmName,
    /// Failure domain of the VM.
    pub domain: DomainName,
}

impl From<&VmRecord> for Member {
    fn from(vm: &VmRecord) -> Self {
        Self {
            name: vm.name.clone(),
            domain: vm.domain.clone(),
        }
    }
}

impl Member {
    /// Hash that orders the members of a failure domain. Those with the lowest hashes are relays.
    fn rendezvous_hash(&self) -> u64 {
        let fields = [
            self.domain.as_str().as_bytes(),
            self.name.as_str().as_bytes(),
        ];
        Digest::of_fields(&fields).prefix_u64()
    }
}

/// A process and its peers.
#[derive(Clone, Debug)]
pub(super) struct Fleet {
    pub(super) me: Member,
    my_hash: u64,
    /// Peers with their rendezvous hashes, sorted by hash.
    peers: Vec<(u64, Member)>,
}

impl Fleet {
    pub(super) fn new(me: Member) -> Self {
        let my_hash = me.rendezvous_hash();
        let peers = Vec::new();
        Self { me, my_hash, peers }
    }

    /// Sets the peers. The process itself is removed from the list.
    pub(super) fn set_peers(&mut self, members: Vec<Member>) {
        let peers = members.into_iter().filter(|m| m.name != self.me.name);
        self.peers = peers.map(|m| (m.rendezvous_hash(), m)).collect();
        self.peers.sort();
    }

    pub(super) fn is_alone(&self) -> bool {
        self.peers.is_empty()
    }

    pub(super) fn contains(&self, name: &VmName) -> bool {
        self.peers.iter().any(|(_, m)| m.name == *name)
    }

    pub(super) fn peers(&self) -> impl Iterator<Item = &Member> {
        self.peers.iter().map(|(_, m)| m)
    }

    /// Returns how many usable peers of the own failure domain have a lower hash than the process.
    pub(super) fn rank(&self, usable: impl Fn(&Member) -> bool) -> usize {
        self.peers
            .iter()
            .take_while(|(rendezvous_hash, _)| *rendezvous_hash < self.my_hash)
            .filter(|(_, m)| m.domain == self.me.domain && usable(m))
            .count()
    }

    /// Returns the first `n` usable peers of the own failure domain.
    pub(super) fn local_relays(&self, n: usize, usable: impl Fn(&Member) -> bool) -> Vec<&Member> {
        self.peers()
            .filter(|m| m.domain == self.me.domain && usable(m))
            .take(n)
            .collect()
    }

    /// Returns the first `n` usable peers of each other failure domain.
    pub(super) fn remote_relays(&self, n: usize, usable: impl Fn(&Member) -> bool) -> Vec<&Member> {
        let mut found: Vec<&Member> = Vec::new();
        for m in self.peers().filter(|m| m.domain != self.me.domain) {
            let same = found.iter().filter(|f| f.domain == m.domain).count();
            if same < n && usable(m) {
                found.push(m);
            }
        }
        found
    }

    /// Returns a number that distributes processes evenly over the relays of a failure domain.
    pub(super) fn preference(&self) -> usize {
        (self.my_hash >> 32) as usize
    }
}
