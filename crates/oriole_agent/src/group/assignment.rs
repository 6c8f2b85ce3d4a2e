//! Determines which rank of which group an agent runs.

use std::net::SocketAddr;

use oriole_rollout::messages::RankId;
use oriole_types::prelude::*;

/// The rank that an agent runs in a group, and the other ranks' agents.
#[derive(Clone, Debug, PartialEq)]
pub struct RankAssignment {
    /// Name of the group.
    pub name: GroupName,
    /// The group as the catalog defines it.
    pub group: Group,
    /// Rank that the agent runs.
    pub rank: RankId,
    /// VM of each rank.
    pub vms: Vec<VmName>,
    /// Peer address of each rank's agent.
    pub addresses: Vec<SocketAddr>,
    /// Failure domain of each rank, as an index into the catalog's domains.
    pub domains: Vec<u16>,
}

impl RankAssignment {
    /// Finds the rank of a VM in the first group of its pool. `None` if the pool has no group, the
    /// VM is not in the pool, or the pool's number of VMs differs from the group's number of ranks.
    ///
    /// Ranks are the pool's VMs ordered by name, including those that are leaving.
    #[must_use]
    pub fn find(catalog: &Catalog, list: &VmList, pool: &PoolName, vm: &VmName) -> Option<Self> {
        let (name, group) = catalog.groups.iter().find(|(_, g)| g.pool == *pool)?;
        let mut vms: Vec<&VmRecord> = list.vms.iter().filter(|v| serves(v, pool)).collect();
        vms.sort_by(|a, b| a.name.cmp(&b.name));
        if vms.len() != group.ranks as usize {
            return None;
        }
        let rank = vms.iter().position(|v| v.name == *vm)?;
        let domain = |v: &&VmRecord| catalog.domains.keys().position(|d| *d == v.domain);
        Some(Self {
            name: name.clone(),
            group: group.clone(),
            rank: RankId::try_from(rank).ok()?,
            vms: vms.iter().map(|v| v.name.clone()).collect(),
            addresses: vms.iter().map(|v| v.address).collect(),
            domains: vms.iter().map(|v| domain(v).unwrap_or(0) as u16).collect(),
        })
    }

    /// The rank of a VM; `None` if it has none in this group.
    #[must_use]
    pub fn rank_of(&self, vm: &VmName) -> Option<RankId> {
        let rank = self.vms.iter().position(|v| v == vm)?;
        RankId::try_from(rank).ok()
    }
}

fn serves(vm: &VmRecord, pool: &PoolName) -> bool {
    matches!(&vm.role, VmRole::Upstream { pool: p } if p == pool)
}
