//! Bytes per second that membership costs one daemon, from the encoded sizes of its messages, for
//! today's fleet and for the size that it is designed to grow to.

use oriole_membership::config::MembershipConfig;
use oriole_membership::load_feed::{LoadMessage, MAX_LOAD_REPORT_INTERVAL};
use oriole_membership::message::{Message, MessageKind, Update, UpdateState, VmId};
use oriole_membership::subset::{SERVED_PER_POOL, served_upstreams};
use oriole_membership::summary::{
    DomainSummary, EntryHeadroom, PoolSummary, SUMMARY_PERIOD, TREE_FANOUT,
};
use oriole_types::prelude::*;
use prost::Message as _;
use rstest::rstest;

/// Limit on a daemon's control traffic, sent and received together.
const TARGET_BYTES_PER_S: f64 = 15_000.0;

/// Bytes that the frame, TCP and IP add to each message.
const OVERHEAD_BYTES: f64 = 60.0;

/// Numbers of processes, pools and failure domains of a fleet.
#[derive(Clone, Copy)]
struct Size {
    entries: usize,
    upstreams: usize,
    pools: usize,
    domains: usize,
}

const TODAY: Size = Size {
    entries: 18,
    upstreams: 19,
    pools: 2,
    domains: 3,
};
const TARGET: Size = Size {
    entries: 340,
    upstreams: 820,
    pools: 19,
    domains: 8,
};

/// Size on the network of a message with so many encoded bytes.
fn wire_bytes(encoded: usize) -> f64 {
    encoded as f64 + OVERHEAD_BYTES
}

fn probe_bytes(updates: usize) -> f64 {
    let vm = VmId::from(&VmName::new("some-vm")).0;
    let update = Update {
        vm,
        run: u64::MAX,
        counter: 300,
        state: UpdateState::Suspect.into(),
    };
    let message = Message {
        kind: MessageKind::Probe.into(),
        seq: u32::MAX,
        target: vm,
        run: u64::MAX,
        counter: 300,
        updates: vec![update; updates],
    };
    wire_bytes(message.encoded_len())
}

fn load_bytes() -> f64 {
    let load = LoadReport {
        in_flight: 300,
        queued: 300,
        limit: 300,
        service_ms: 30_000,
        cold: true,
        leaving: true,
        age_ms: 300,
    };
    wire_bytes(LoadMessage::from(&load).encoded_len())
}

fn summary_bytes(size: Size) -> f64 {
    let entry = EntryHeadroom {
        vm: u32::MAX,
        headroom_percent: 100,
    };
    let pool = PoolSummary {
        pool: u32::MAX,
        upstreams: 200,
        limit: 20_000,
        in_flight: 20_000,
    };
    let summary = DomainSummary {
        domain: "some-failure-domain".to_owned(),
        seq: 1 << 40,
        entries: vec![entry; size.entries.div_ceil(size.domains)],
        pools: vec![pool; size.pools],
    };
    wire_bytes(summary.encoded_len())
}

fn vm_list(size: Size) -> VmList {
    let record = |name: String, i: usize, role: VmRole| {
        let address = "127.0.0.1:1000".parse().unwrap();
        VmRecord {
            name: VmName::new(&name),
            domain: DomainName::new(&format!("d{}", i % size.domains)),
            role,
            address,
            peer_address: address,
            state: VmState::Live,
        }
    };
    let pool = |i: usize| PoolName::new(&format!("p{}", i % size.pools));
    let entries = (0..size.entries).map(|i| record(format!("e{i}"), i, VmRole::Entry));
    let upstreams = (0..size.upstreams).map(|i| {
        record(
            format!("u{i}"),
            i / size.pools,
            VmRole::Upstream { pool: pool(i) },
        )
    });
    VmList {
        version: 1,
        vms: entries.chain(upstreams).collect(),
    }
}

/// Maximum number of upstreams that an entry serves, and of entries that serve an upstream.
fn max_served(size: Size) -> (usize, usize) {
    let list = vm_list(size);
    let mut by_upstream = std::collections::BTreeMap::<&VmName, usize>::new();
    let mut max_of_entry = 0;
    for i in 0..size.entries {
        let entry = VmName::new(&format!("e{i}"));
        let mut of_entry = 0;
        for p in 0..size.pools {
            let pool = PoolName::new(&format!("p{p}"));
            for record in served_upstreams(&list, &entry, &pool, SERVED_PER_POOL) {
                *by_upstream.entry(&record.name).or_default() += 1;
                of_entry += 1;
            }
        }
        max_of_entry = max_of_entry.max(of_entry);
    }
    (
        max_of_entry,
        by_upstream.values().copied().max().unwrap_or(0),
    )
}

fn probes_per_s() -> f64 {
    let cfg = MembershipConfig::default();
    let sent_and_received = 4.0;
    sent_and_received * probe_bytes(cfg.updates_per_message) / cfg.probe_period.as_secs_f64()
}

fn entry_bytes_per_s(size: Size) -> f64 {
    let loads = max_served(size).0 as f64 * load_bytes() / MAX_LOAD_REPORT_INTERVAL.as_secs_f64();
    let in_and_out = (1 + TREE_FANOUT) as f64;
    let summaries = in_and_out * size.domains as f64 * summary_bytes(size);
    let as_delegate = 2.0 * size.domains as f64 * summary_bytes(size);
    probes_per_s() + loads + (summaries + as_delegate) / SUMMARY_PERIOD.as_secs_f64()
}

fn agent_bytes_per_s(size: Size) -> f64 {
    probes_per_s()
        + max_served(size).1 as f64 * load_bytes() / MAX_LOAD_REPORT_INTERVAL.as_secs_f64()
}

#[rstest]
#[case::today(TODAY)]
#[case::target(TARGET)]
fn bytes_per_s_within_target(#[case] size: Size) {
    let (entry, agent) = (entry_bytes_per_s(size), agent_bytes_per_s(size));
    println!("entry {entry:.0} B/s, agent {agent:.0} B/s");
    assert!(entry <= TARGET_BYTES_PER_S, "entry: {entry:.0} B/s");
    assert!(agent <= TARGET_BYTES_PER_S, "agent: {agent:.0} B/s");
}

#[test]
fn served_upstreams_cover_all() {
    let list = vm_list(TARGET);
    let mut covered = std::collections::BTreeSet::new();
    for i in 0..TARGET.entries {
        let entry = VmName::new(&format!("e{i}"));
        for p in 0..TARGET.pools {
            let pool = PoolName::new(&format!("p{p}"));
            let served = served_upstreams(&list, &entry, &pool, SERVED_PER_POOL);
            let domains: std::collections::BTreeSet<_> = served.iter().map(|r| &r.domain).collect();
            assert_eq!(domains.len(), SERVED_PER_POOL.min(TARGET.domains));
            covered.extend(served.iter().map(|r| r.name.clone()));
        }
    }
    assert_eq!(covered.len(), TARGET.upstreams);
}
