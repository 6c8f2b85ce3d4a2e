//! Sends a small workload and prints a table of outcomes.

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

/// Maximum number of requests in flight.
const MAX_IN_FLIGHT: usize = 12;

/// Maximum number of times that a request is sent again after the outcome `not_run`.
const MAX_RESENDS: usize = 5;

/// Delay before a request is sent again.
const RESEND_DELAY: Duration = Duration::from_millis(300);

/// Significant digits of recorded latencies.
const LATENCY_SIGNIFICANT_DIGITS: u8 = 2;

/// A line of a workload file.
#[derive(Deserialize)]
struct WorkloadLine {
    entry: String,
    body: Box<RawValue>,
}

/// Number of requests of a catalog entry by outcome, and their latencies.
struct Tally {
    complete: u64,
    not_run: u64,
    unknown: u64,
    latency_us: Histogram<u64>,
}

/// A row of the printed table.
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

/// A request of the workload, with what is needed to send it.
struct WorkloadRequest {
    entry: String,
    body: Bytes,
    idempotency_key: Option<String>,
    idempotent: bool,
    account_key: String,
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
    let requests = workload_requests(deployment, name, rounds)?;
    let total = requests.len();
    let mut tallies: BTreeMap<String, Tally> = BTreeMap::new();
    let mut running = JoinSet::new();
    let addresses = fetch_addresses(deployment).await?;
    let mut done = 0;
    for (i, req) in requests.into_iter().enumerate() {
        if running.len() >= MAX_IN_FLIGHT
            && let Some(finished) = running.join_next().await
        {
            record_outcome(&mut tallies, finished?);
            done += 1;
            print_progress(done, total);
        }
        let address = addresses[i % addresses.len()];
        running.spawn(async move {
            let answer = send_with_resends(address, &req).await;
            (req.entry, answer)
        });
    }
    while let Some(finished) = running.join_next().await {
        record_outcome(&mut tallies, finished?);
        done += 1;
        print_progress(done, total);
    }
    Ok(render_table(&tallies))
}

/// Requests the addresses that callers of the first account may use.
async fn fetch_addresses(deployment: &Deployment) -> eyre::Result<Vec<SocketAddr>> {
    let ready = deployment.ready();
    let key = ready.accounts.values().next();
    let entry = ready.caller_addresses.first();
    let (Some(key), Some(entry)) = (key, entry) else {
        return Err(eyre!("the deployment has no account or no entry"));
    };
    let answer = Caller::open(key).endpoints(*entry).await?;
    let addresses: Vec<SocketAddr> = answer.endpoints.iter().map(|e| e.address).collect();
    if addresses.is_empty() {
        return Err(eyre!("no entry is in service"));
    }
    Ok(addresses)
}

/// The requests of all rounds, dealt to the accounts in turn.
fn workload_requests(
    deployment: &Deployment,
    name: DeploymentName,
    rounds: usize,
) -> eyre::Result<Vec<WorkloadRequest>> {
    let ready = deployment.ready();
    let mut account_keys = ready.accounts.values().cycle();
    let mut requests = Vec::new();
    for round in 0..rounds {
        for (i, line) in name.workload().lines().enumerate() {
            let line: WorkloadLine = serde_json::from_str(line)?;
            let entry = ready.entries.iter().find(|e| e.name.as_str() == line.entry);
            let idempotent = entry.is_none_or(|e| e.idempotent);
            let idempotency_key = format!("demo-{round}-{i}-{:08x}", rand::random::<u32>());
            requests.push(WorkloadRequest {
                body: Bytes::copy_from_slice(line.body.get().as_bytes()),
                entry: line.entry,
                idempotency_key: (!idempotent).then_some(idempotency_key),
                idempotent,
                account_key: account_keys.next().cloned().unwrap_or_default(),
            });
        }
    }
    Ok(requests)
}

/// Sends a request, and again after a delay while the outcome is `not_run`.
async fn send_with_resends(
    address: SocketAddr,
    workload_req: &WorkloadRequest,
) -> eyre::Result<CallerAnswer> {
    let caller = Caller::open(&workload_req.account_key);
    let req = CallerRequest {
        entry: &workload_req.entry,
        body: workload_req.body.clone(),
        key: workload_req.idempotency_key.as_deref(),
        timeout_ms: None,
        stream: workload_req.idempotent,
    };
    let mut answer = caller.send(address, &req).await?;
    for _ in 0..MAX_RESENDS {
        if answer.outcome != "not_run" {
            break;
        }
        // The request did not run, so sending it again is safe.
        tokio::time::sleep(RESEND_DELAY).await;
        answer = caller.send(address, &req).await?;
    }
    Ok(answer)
}

fn record_outcome(
    tallies: &mut BTreeMap<String, Tally>,
    (entry, answer): (String, eyre::Result<CallerAnswer>),
) {
    let tally = tallies.entry(entry).or_insert_with(Tally::new);
    match answer {
        Ok(answer) => tally.record(&answer),
        Err(_) => tally.unknown += 1,
    }
}

fn print_progress(done: usize, total: usize) {
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
            latency_us: Histogram::new(LATENCY_SIGNIFICANT_DIGITS).expect("2 digits are allowed"),
        }
    }

    fn record(&mut self, answer: &CallerAnswer) {
        match answer.outcome.as_str() {
            "complete" => self.complete += 1,
            "not_run" => self.not_run += 1,
            _ => self.unknown += 1,
        }
        let us = u64::try_from(answer.total.as_micros()).unwrap_or(u64::MAX);
        // The histogram resizes itself, so recording cannot fail.
        let _ = self.latency_us.record(us);
    }
}

fn render_table(tallies: &BTreeMap<String, Tally>) -> String {
    let rows = tallies.iter().map(|(entry, tally)| Row {
        entry: entry.clone(),
        complete: tally.complete,
        not_run: tally.not_run,
        unknown: tally.unknown,
        p50: format_ms(tally.latency_us.value_at_quantile(0.5)),
        p95: format_ms(tally.latency_us.value_at_quantile(0.95)),
        max: format_ms(tally.latency_us.max()),
    });
    let mut table = Table::new(rows);
    table.with(Style::markdown());
    table.to_string()
}

fn format_ms(us: u64) -> String {
    format!("{:.1}", Duration::from_micros(us).as_secs_f64() * 1e3)
}
