//! A claim home that holds a full retention period of claims: its memory, and the store reads of a
//! takeover.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eyre::eyre;
use oriole_claims::home::{Action, Event};
use oriole_claims::partition::{Partition, StoreCall, StoreOutcome};
use oriole_claims::prelude::*;
use oriole_store::prelude::*;
use oriole_types::prelude::*;

use crate::report::Report;

/// Claims per second of the full-size fleet.
const CLAIMS_PER_S: f64 = 280.0;
/// Homes that share the claims: the VMs in the pool of plain services.
const HOMES: f64 = 3.0;
/// Partitions of the measured home: its share of the default 16.
const PARTITIONS: u32 = 5;
/// Size of an answer in bytes.
const ANSWER_BYTES: usize = 200;

/// An in-memory store that answers synchronously and never fails.
#[derive(Default)]
struct PlainStore {
    values: HashMap<String, Versioned>,
    version: u64,
    reads: u64,
}

impl PlainStore {
    fn call(&mut self, call: StoreCall) -> StoreOutcome {
        match call {
            StoreCall::Read { key } => {
                self.reads += 1;
                StoreOutcome::Read(Ok(self.values.get(&key).cloned()))
            }
            StoreCall::Delete { key } => {
                self.values.remove(&key);
                StoreOutcome::Delete(Ok(()))
            }
            StoreCall::Write {
                key,
                value,
                precondition,
            } => {
                let found = self.values.get(&key).map(|f| f.version);
                let holds = match precondition {
                    Precondition::Absent => found.is_none(),
                    Precondition::Version(version) => found == Some(version),
                    Precondition::Any => true,
                };
                StoreOutcome::Write(if holds {
                    Ok(self.write(key, value))
                } else {
                    Err(StoreError::Conflict)
                })
            }
        }
    }

    fn write(&mut self, key: String, value: Bytes) -> StoreVersion {
        self.version += 1;
        let version = StoreVersion(self.version);
        self.values.insert(key, Versioned { value, version });
        version
    }

    fn value_bytes(&self) -> usize {
        self.values.values().map(|v| v.value.len()).sum()
    }

    fn largest_value_bytes(&self) -> usize {
        let sizes = self.values.values().map(|v| v.value.len());
        sizes.max().unwrap_or_default()
    }
}

fn config(incarnation: u64) -> ClaimsConfig {
    let secret = TicketSecret::new(b"experiment");
    let mut cfg = ClaimsConfig::new(
        "deposits".into(),
        "vm".into(),
        Incarnation(incarnation),
        secret,
    );
    cfg.partitions = PARTITIONS;
    cfg
}

/// Handles an event and all actions that follow from it; returns the number of runs.
fn run_to_completion(
    home: &mut ClaimHome,
    store: &mut PlainStore,
    now: Duration,
    event: Event,
) -> u64 {
    let mut runs = 0;
    let mut events = vec![event];
    while let Some(event) = events.pop() {
        for action in home.handle(now, event) {
            match action {
                Action::Store(target, call) => events.push(Event::Store(target, store.call(call))),
                Action::Run(_, key) => {
                    runs += 1;
                    let answer = Bytes::from(vec![b'a'; ANSWER_BYTES]);
                    events.push(Event::RunEnded(key, RunOutcome::Answer(answer)));
                }
                Action::Reply(..) => {}
            }
        }
    }
    runs
}

/// Adds the figures of a home after a full retention period at the full-size fleet's rate, and
/// those of a takeover by a new home.
pub fn measure(report: &mut Report) -> eyre::Result<()> {
    let cfg = config(1);
    let claims = (CLAIMS_PER_S / HOMES * cfg.limits.retention.as_secs_f64()) as u64;
    let claim_interval = cfg.limits.retention.div_f64(claims as f64);
    let mut store = PlainStore::default();
    let resident_before = resident_bytes()?;
    let mut home = ClaimHome::new(cfg);
    let live = vec![VmName::new("vm")];
    run_to_completion(
        &mut home,
        &mut store,
        Duration::ZERO,
        Event::LiveAgents(live.clone()),
    );
    let mut runs = 0;
    let mut now = Duration::ZERO;
    let start = Instant::now();
    for n in 0..claims {
        now = claim_interval.mul_f64(n as f64);
        runs += run_to_completion(
            &mut home,
            &mut store,
            now,
            Event::Request(CallId(n), request(n)),
        );
    }
    now += Duration::from_secs(1);
    runs += run_to_completion(&mut home, &mut store, now, Event::Tick);
    let secs_per_claim = start.elapsed().as_secs_f64() / claims as f64;
    let home_bytes =
        resident_bytes()?.saturating_sub(resident_before) as f64 - store.value_bytes() as f64;
    report
        .figure("history_claims", claims as f64)
        .figure("history_runs", runs as f64)
        .figure("history_us_per_claim", secs_per_claim * 1e6)
        .figure("history_core_share", secs_per_claim * CLAIMS_PER_S / HOMES)
        .figure("history_home_bytes", home_bytes)
        .figure("history_home_bytes_per_claim", home_bytes / claims as f64)
        .figure(
            "history_store_bytes_per_claim",
            store.value_bytes() as f64 / claims as f64,
        )
        .figure(
            "history_largest_value_bytes",
            store.largest_value_bytes() as f64,
        );
    measure_takeover(report, &mut store, &live);
    Ok(())
}

fn measure_takeover(report: &mut Report, store: &mut PlainStore, live: &[VmName]) {
    store.reads = 0;
    let mut successor = ClaimHome::new(config(2));
    run_to_completion(
        &mut successor,
        store,
        Duration::ZERO,
        Event::LiveAgents(live.to_vec()),
    );
    let claim_count: usize = successor
        .partitions()
        .iter()
        .map(Partition::claim_count)
        .sum();
    report.figure("takeover_claims", claim_count as f64).figure(
        "takeover_reads_per_partition",
        store.reads as f64 / f64::from(PARTITIONS),
    );
}

fn request(n: u64) -> ClaimRequest {
    ClaimRequest {
        account: "account".into(),
        entry: "capture".into(),
        key: IdempotencyKey::new(&format!("order-{n}")),
        content: Digest::of(b"body"),
        timeout: Duration::from_secs(5),
        recall: None,
    }
}

fn resident_bytes() -> eyre::Result<u64> {
    const PAGE_BYTES: u64 = 4096;
    let statm = std::fs::read_to_string("/proc/self/statm")?;
    let pages = statm
        .split_whitespace()
        .nth(1)
        .ok_or_else(|| eyre!("no resident pages"))?;
    Ok(pages.parse::<u64>()? * PAGE_BYTES)
}
