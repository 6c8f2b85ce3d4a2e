//! Which rank of which group an agent is.

use std::net::SocketAddr;

use oriole_rollout::messages::RankId;
use oriole_types::prelude::*;

/// An agent's place in a group.
#[derive(Clone, Debug, PartialEq)]
pub struct RankAssignment {
    /// Name of the group.
    pub name: GroupName,
    /// Sizes of the group.
    pub group: Group,
    /// The agent's rank.
    pub rank: RankId,
    /// VM of each rank.
    pub vms: Vec<VmName>,
    /// Frame address of each rank's agent.
    pub addresses: Vec<SocketAddr>,
    /// Failure domain of each rank, as an index.
    pub domains: Vec<u16>,
}

impl RankAssignment {
    /// The place of a VM in the first group of its pool; `None` if the pool has no group, or not
    /// just as many VMs as the group has ranks.
    ///
    /// Ranks are the pool's VMs in the order of their names, whatever their state.
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

    /// The rank of a VM.
    #[must_use]
    pub fn rank_of(&self, vm: &VmName) -> Option<RankId> {
        let rank = self.vms.iter().position(|v| v == vm)?;
        RankId::try_from(rank).ok()
    }
}

fn serves(vm: &VmRecord, pool: &PoolName) -> bool {
    matches!(&vm.role, VmRole::Upstream { pool: p } if p == pool)
}
