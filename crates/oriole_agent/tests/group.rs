//! Tests which rank of which group an agent runs.

use std::net::SocketAddr;

use oriole_agent::group::RankAssignment;
use oriole_types::prelude::*;
use rstest::rstest;

fn vm(name: &str, pool: &str, port: u16) -> VmRecord {
    let address = SocketAddr::from(([127, 0, 0, 1], port));
    VmRecord {
        name: name.into(),
        domain: if port.is_multiple_of(2) {
            "gela"
        } else {
            "enna"
        }
        .into(),
        role: VmRole::Upstream { pool: pool.into() },
        address,
        peer_address: address,
        state: VmState::Live,
    }
}

fn catalog(ranks: u32) -> Catalog {
    let group = Group {
        pool: "sorter".into(),
        ranks,
        experts: 8,
        layers: 1,
        slots_per_rank: 8,
        expert_bytes: 1,
        weight_bytes_per_s: 1,
    };
    let mut catalog = Catalog::default();
    catalog.groups.insert("sorters".into(), group);
    let domain = FailureDomain {
        region: "sicily".into(),
        state: ServiceState::InService,
    };
    for name in ["enna", "gela"] {
        catalog.domains.insert(name.into(), domain.clone());
    }
    catalog
}

fn list() -> VmList {
    let mut leaving = vm("sorter-2", "sorter", 3);
    leaving.state = VmState::Leaving;
    VmList {
        version: 1,
        vms: vec![
            vm("ledger-1", "ledger", 1),
            leaving,
            vm("sorter-1", "sorter", 2),
            vm("sorter-10", "sorter", 4),
        ],
    }
}

#[rstest]
#[case::first("sorter-1", Some(0))]
#[case::by_name("sorter-10", Some(1))]
#[case::leaving_keeps_its_rank("sorter-2", Some(2))]
#[case::not_listed("sorter-3", None)]
fn find_ranks_by_name(#[case] name: &str, #[case] rank: Option<u16>) {
    let pool = PoolName::new("sorter");
    let assignment = RankAssignment::find(&catalog(3), &list(), &pool, &VmName::new(name));
    assert_eq!(assignment.as_ref().map(|a| a.rank), rank);
    if let Some(assignment) = assignment {
        let ports: Vec<u16> = assignment.addresses.iter().map(SocketAddr::port).collect();
        assert_eq!(ports, [2, 4, 3]);
        assert_eq!(assignment.domains, [1, 1, 0]);
        assert_eq!(assignment.rank_of(&VmName::new("sorter-2")), Some(2));
        assert_eq!(assignment.rank_of(&VmName::new("ledger-1")), None);
    }
}

#[rstest]
#[case::too_few_vms(4, "sorter")]
#[case::too_many_vms(2, "sorter")]
#[case::no_group_of_the_pool(1, "ledger")]
fn find_none(#[case] ranks: u32, #[case] pool: &str) {
    let vm = VmName::new(&format!("{pool}-1"));
    let assignment = RankAssignment::find(&catalog(ranks), &list(), &PoolName::new(pool), &vm);
    assert_eq!(assignment, None);
}
