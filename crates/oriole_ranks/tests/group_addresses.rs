//! Addresses of a group's engines when other writers' entries name the group too.
//!
//! Whichever entry came last in the listing had the orders of its rank.

use std::net::SocketAddr;
use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_ranks::prelude::GroupAddresses;
use rstest::rstest;

fn address(host: u8) -> SocketAddr {
    ([10, 0, 0, host], 80).into()
}

fn entry(service: &str, host: u8, started_at_ms: Option<u64>) -> Upstream {
    Upstream {
        instance: format!("i-{host}"),
        service: service.to_owned(),
        address: address(host),
        domain: "north".to_owned(),
        capacity: 1,
        state: UpstreamState::Ready,
        cold_remaining: Duration::ZERO,
        started_at_ms,
        group_membership: Some(GroupMembership {
            group: "g".to_owned(),
            rank: 3,
            epoch: 0,
            group_running: true,
        }),
    }
}

#[rstest]
#[case::other_service(entry("inventory", 9, None))]
#[case::other_service_started_later(entry("inventory", 9, Some(2000)))]
#[case::without_start(entry("llm", 9, None))]
#[case::earlier_run(entry("llm", 9, Some(500)))]
fn add_odd_entry_of_rank_keeps_engine(#[case] odd: Upstream, #[values(true, false)] is_last: bool) {
    let engine = entry("llm", 1, Some(1000));
    let mut entries = [&engine, &odd];
    if !is_last {
        entries.reverse();
    }
    let mut addresses = GroupAddresses::new("llm", "g");
    for entry in entries {
        addresses.add(entry);
    }
    assert_eq!(addresses.into_addresses()[&3], address(1));
}

#[test]
fn add_other_group_is_left_out() {
    let mut addresses = GroupAddresses::new("llm", "other");
    addresses.add(&entry("llm", 1, Some(1000)));
    assert!(addresses.into_addresses().is_empty());
}
