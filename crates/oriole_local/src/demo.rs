//! A small workload with a table of outcomes.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use eyre::eyre;
use hdrhistogram::Histogram;
use serde::Deserialize;
use serde_json::value::RawValue;
use tabled::settings::Style;
use tabled::{Table, Tabled};
use tokio::task::JoinSet;

use crate::caller::{Caller, CallerAnswer, CallerRequest};
use crate::deployment::Deployment;
use crate::spec::DeploymentName;

/// Requests in flight at once.
const CONCURRENCY: usize = 12;

/// Times that a request which did not run is sent again.
const MAX_RESENDS: usize = 5;

/// Pause before it is sent again.
const RESEND_PAUSE: Duration = Duration::from_millis(300);

/// Significant digits of latencies.
const LATENCY_DIGITS: u8 = 2;

/// One line of a workload.
#[derive(Deserialize)]
struct WorkloadLine {
    entry: String,
    body: Box<RawValue>,
}

/// What became of the requests of one entry.
struct Tally {
    complete: u64,
    not_run: u64,
    unknown: u64,
    latency_us: Histogram<u64>,
}

/// One row of the table.
#[derive(Tabled)]
struct Row {
    entry: String,
    complete: u64,
    not_run: u64,
    unknown: u64,
    #[tabled(rename = "p50 ms")]
    p50: String,
    #[tabled(rename = "p95 ms")]
    p95: String,
    #[tabled(rename = "max ms")]
    max: String,
}

/// A request to be sent.
struct Send {
    entry: String,
    body: Bytes,
    key: Option<String>,
    idempotent: bool,
    key_of_account: String,
}

/// Sends the workload of a deployment `rounds` times and returns the table of outcomes.
///
/// # Errors
///
/// Fails if no entry answers.
pub async fn run(
    deployment: &Deployment,
    name: DeploymentName,
    rounds: usize,
) -> eyre::Result<String> {
    let sends = sends(deployment, name, rounds)?;
    let total = sends.len();
    let mut tallies: BTreeMap<String, Tally> = BTreeMap::new();
    let mut running = JoinSet::new();
    let addresses = addresses(deployment).await?;
    let mut done = 0;
    for (i, send) in sends.into_iter().enumerate() {
        if running.len() >= CONCURRENCY
            && let Some(ended) = running.join_next().await
        {
            note(&mut tallies, ended?);
            done += 1;
            progress(done, total);
        }
        let address = addresses[i % addresses.len()];
        running.spawn(async move {
            let answer = send_one(address, &send).await;
            (send.entry, answer)
        });
    }
    while let Some(ended) = running.join_next().await {
        note(&mut tallies, ended?);
        done += 1;
        progress(done, total);
    }
    Ok(table(&tallies))
}

/// The addresses that the first account's callers may use.
async fn addresses(deployment: &Deployment) -> eyre::Result<Vec<SocketAddr>> {
    let ready = deployment.ready();
    let key = ready.accounts.values().next();
    let first = ready.caller_addresses.first();
    let (Some(key), Some(first)) = (key, first) else {
        return Err(eyre!("the deployment has no account or no entry"));
    };
    let answer = Caller::open(key).endpoints(*first).await?;
    let addresses: Vec<SocketAddr> = answer.endpoints.iter().map(|e| e.address).collect();
    if addresses.is_empty() {
        return Err(eyre!("no entry is in service"));
    }
    Ok(addresses)
}

fn sends(deployment: &Deployment, name: DeploymentName, rounds: usize) -> eyre::Result<Vec<Send>> {
    let ready = deployment.ready();
    let mut keys = ready.accounts.values().cycle();
    let mut sends = Vec::new();
    for round in 0..rounds {
        for (i, line) in name.workload().lines().enumerate() {
            let line: WorkloadLine = serde_json::from_str(line)?;
            let entry = ready.entries.iter().find(|e| e.name.as_str() == line.entry);
            let idempotent = entry.is_none_or(|e| e.idempotent);
            let key = format!("demo-{round}-{i}-{:08x}", rand::random::<u32>());
            sends.push(Send {
                body: Bytes::copy_from_slice(line.body.get().as_bytes()),
                entry: line.entry,
                key: (!idempotent).then_some(key),
                idempotent,
                key_of_account: keys.next().cloned().unwrap_or_default(),
            });
        }
    }
    Ok(sends)
}

async fn send_one(address: SocketAddr, send: &Send) -> eyre::Result<CallerAnswer> {
    let caller = Caller::open(&send.key_of_account);
    let req = CallerRequest {
        entry: &send.entry,
        body: send.body.clone(),
        key: send.key.as_deref(),
        timeout_ms: None,
        stream: send.idempotent,
    };
    let mut answer = caller.send(address, &req).await?;
    for _ in 0..MAX_RESENDS {
        if answer.outcome != "not_run" {
            break;
        }
        // It did not run, so that it is safe to send again.
        tokio::time::sleep(RESEND_PAUSE).await;
        answer = caller.send(address, &req).await?;
    }
    Ok(answer)
}

fn note(
    tallies: &mut BTreeMap<String, Tally>,
    (entry, answer): (String, eyre::Result<CallerAnswer>),
) {
    let tally = tallies.entry(entry).or_insert_with(Tally::new);
    match answer {
        Ok(answer) => tally.add(&answer),
        Err(_) => tally.unknown += 1,
    }
}

fn progress(done: usize, total: usize) {
    eprint!("\r{done}/{total} requests answered");
    if done == total {
        eprintln!();
    }
}

impl Tally {
    fn new() -> Self {
        Self {
            complete: 0,
            not_run: 0,
            unknown: 0,
            latency_us: Histogram::new(LATENCY_DIGITS).expect("2 digits are allowed"),
        }
    }

    fn add(&mut self, answer: &CallerAnswer) {
        match answer.outcome.as_str() {
            "complete" => self.complete += 1,
            "not_run" => self.not_run += 1,
            _ => self.unknown += 1,
        }
        let us = u64::try_from(answer.total.as_micros()).unwrap_or(u64::MAX);
        // The histogram grows with its values.
        let _ = self.latency_us.record(us);
    }
}

fn table(tallies: &BTreeMap<String, Tally>) -> String {
    let rows = tallies.iter().map(|(entry, tally)| Row {
        entry: entry.clone(),
        complete: tally.complete,
        not_run: tally.not_run,
        unknown: tally.unknown,
        p50: milliseconds(tally.latency_us.value_at_quantile(0.5)),
        p95: milliseconds(tally.latency_us.value_at_quantile(0.95)),
        max: milliseconds(tally.latency_us.max()),
    });
    let mut table = Table::new(rows);
    table.with(Style::markdown());
    table.to_string()
}

fn milliseconds(us: u64) -> String {
    format!("{:.1}", Duration::from_micros(us).as_secs_f64() * 1e3)
}
