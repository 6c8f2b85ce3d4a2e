//! Builders of a small fleet and its catalog.
#![allow(dead_code, reason = "each test file uses only some of the helpers")]

use std::time::Duration;

use oriole_types::prelude::*;
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

pub const POOL: &str = "models";

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn secs(s: u64) -> Duration {
    Duration::from_secs(s)
}

pub fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

pub fn vm(name: &str, domain: &str, role: VmRole) -> VmRecord {
    let address = "127.0.0.1:1000".parse().unwrap();
    VmRecord {
        name: name.into(),
        domain: domain.into(),
        role,
        address,
        peer_address: address,
        state: VmState::Live,
    }
}

pub fn upstream(name: &str, domain: &str) -> VmRecord {
    vm(name, domain, VmRole::Upstream { pool: POOL.into() })
}

/// A fleet of `entries` entries and `upstreams` upstreams over three failure domains.
pub fn fleet(entries: usize, upstreams: usize) -> VmList {
    let domain = |i: usize| format!("d{}", i % 3);
    let entries = (0..entries).map(|i| vm(&format!("e{i:02}"), &domain(i), VmRole::Entry));
    let upstreams = (0..upstreams).map(|i| upstream(&format!("u{i:02}"), &domain(i)));
    VmList {
        version: 1,
        vms: entries.chain(upstreams).collect(),
    }
}

pub fn catalog() -> Catalog {
    let pool = Pool {
        kind: PoolKind::Engine,
        cold_concurrency: 2,
        warm_concurrency: 8,
        checks_fencing: false,
        claim_partitions: 8,
    };
    let class = RequestClass {
        idempotent: true,
        priority: Priority::Normal,
        stream: false,
    };
    let entry = CatalogEntry {
        owner: "team".to_owned(),
        class,
        pool: POOL.into(),
        model: None,
        max_body_bytes: 1000,
        requests_per_s: 100,
        default_timeout_ms: 1000,
        max_timeout_ms: 1000,
    };
    let mut catalog = Catalog::default();
    catalog.pools.insert(POOL.into(), pool);
    catalog.entries.insert("draft".into(), entry);
    for name in ["small", "large"] {
        catalog.accounts.insert(name.into(), account(40, 100));
    }
    catalog
}

pub fn account(requests_per_s: u32, max_in_flight: u32) -> ClientAccount {
    let key_digests = vec![];
    ClientAccount {
        key_digests,
        requests_per_s,
        burst: 10,
        max_in_flight,
        weight: 1,
    }
}

pub fn drain_domain(catalog: &mut Catalog, domain: &str, state: ServiceState) {
    let region = String::new();
    catalog
        .domains
        .insert(domain.into(), FailureDomain { region, state });
}

pub fn load(in_flight: u32, limit: u32) -> LoadReport {
    LoadReport {
        in_flight,
        limit,
        service_ms: 100,
        ..LoadReport::default()
    }
}
