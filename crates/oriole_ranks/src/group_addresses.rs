//! Chooses the address of each rank of a group from the upstreams' entries.

use std::collections::HashMap;
use std::net::SocketAddr;

use oriole_fleet::prelude::Upstream;

/// Addresses of a group's engines, by rank.
///
/// Entries of several runs of a rank may exist at a time, and those of other writers may name the
/// group too: only entries of the group's service count, and the latest start decides.
pub struct GroupAddresses<'a> {
    service: &'a str,
    group: &'a str,
    ranks: HashMap<usize, (Option<u64>, SocketAddr)>,
}

impl<'a> GroupAddresses<'a> {
    /// No address of a group of `service` yet.
    #[must_use]
    pub fn new(service: &'a str, group: &'a str) -> Self {
        Self {
            service,
            group,
            ranks: HashMap::new(),
        }
    }

    /// Adds an upstream's entry.
    pub fn add(&mut self, upstream: &Upstream) {
        let Some(membership) = &upstream.group_membership else {
            return;
        };
        if upstream.service != self.service || membership.group != self.group {
            return;
        }
        let found = (upstream.started_at_ms, upstream.address);
        let known = self.ranks.entry(membership.rank).or_insert(found);
        if found.0 > known.0 {
            *known = found;
        }
    }

    /// The address of each rank that has an entry.
    #[must_use]
    pub fn into_addresses(self) -> HashMap<usize, SocketAddr> {
        let ranks = self.ranks.into_iter();
        ranks.map(|(rank, (_, address))| (rank, address)).collect()
    }
}
