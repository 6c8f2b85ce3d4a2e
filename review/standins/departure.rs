//! The store is silent for a while. Three seconds after it is back, a worker is replaced: the new one
//! registers, then the entry of the old one is removed without a report that it drains.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::cluster::{Folder, Gateway, Net, Record, wait_until_ready};
use crate::http::{Conn, exchange};
use crate::store::Store;
use crate::worker::Worker;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","hostname":"a.example","prefix":"/look/","route_type":"idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":1,"backend":"ledger","max_attempts":2,"public":false}],"services":[{"name":"ledger","health_path":"/healthz","max_connections":234,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}"#;

const GATEWAYS: u8 = 14;
const CLIENTS_PER_GATEWAY: usize = 4;
/// Time between two requests of a client.
const CLIENT_PAUSE: Duration = Duration::from_millis(40);
const SERVICE_TIME: Duration = Duration::from_millis(15);

const OUTAGE_S: f64 = 4.5;
const CONTACT_S: f64 = 3.0;
const DRAIN_S: f64 = 2.0;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let (net, folder) = (Net::unused(), Folder::create());
    let store = Store::start(net.listen(2));
    store.put("op/config", CONFIG);
    let worker = |i: u8| {
        let instance = format!("i-{i}");
        Worker::start(net.listen(5 + i), &instance, 0, SERVICE_TIME, record)
    };
    let workers: Vec<Worker> = (0..4).map(worker).collect();
    for worker in &workers[..3] {
        store.put(
            &format!("servers/{}", worker.instance),
            &worker.entry("ledger"),
        );
    }
    let gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|i| Gateway::start(net, &folder.0, i, store.address))
        .collect();
    if !wait_until_ready(&gateways) {
        record.line("the machines did not become ready");
        return Verdict::NotRun;
    }
    let is_over = Arc::new(AtomicBool::new(false));
    let clients: Vec<_> = (0..CLIENTS_PER_GATEWAY * gateways.len())
        .map(|i| {
            let to = gateways[i % gateways.len()].callers;
            let (record, is_over) = (record.clone(), is_over.clone());
            std::thread::spawn(move || client(&record, i, to, &is_over))
        })
        .collect();
    std::thread::sleep(Duration::from_secs(4));
    if has_trouble {
        store.set_silent(true);
        record.line("the store is silent");
    }
    let returns_at = record.now() + OUTAGE_S;
    record.sleep_until(returns_at);
    store.set_silent(false);
    let returned_at = record.now();
    record.line("the store answers");
    // All machines are in touch again.
    record.sleep_until(returned_at + CONTACT_S + 0.02);
    let (old, new) = (&workers[0], &workers[3]);
    store.put(&format!("servers/{}", new.instance), &new.entry("ledger"));
    record.line(&format!("store acknowledges the entry of {}", new.instance));
    std::thread::sleep(Duration::from_millis(8));
    store.delete(&format!("servers/{}", old.instance));
    let left_at = record.now();
    record.line(&format!("store acknowledges that {} is gone", old.instance));
    // It serves for the time in which it drains, and a little longer.
    record.sleep_until(left_at + DRAIN_S + 1.0);
    is_over.store(true, Ordering::Relaxed);
    let answered: usize = clients.into_iter().map(|c| c.join().unwrap()).sum();
    let runs = old.runs.lock().unwrap().clone();
    let late: Vec<_> = runs
        .iter()
        .filter(|r| r.began_at > left_at + DRAIN_S)
        .collect();
    let last = runs.last().map_or(0.0, |r| r.began_at - left_at);
    record.line(&format!(
        "{answered} requests were answered; the last request reached {} {last:.3} s after it was gone, \
         {} requests later than {DRAIN_S} s",
        old.instance,
        late.len()
    ));
    for run in &late {
        let after = run.began_at - left_at;
        record.line(&format!(
            "DRAIN: {} reached {} after {after:.3} s",
            run.attempt, old.instance
        ));
    }
    if late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// Sends requests on a kept connection; returns how many were answered with success.
fn client(record: &Record, index: usize, to: std::net::SocketAddr, is_over: &AtomicBool) -> usize {
    let mut conn = None;
    let mut answered = 0;
    for number in 0.. {
        if is_over.load(Ordering::Relaxed) {
            break;
        }
        let attempt = format!("c{index}-{number}");
        let request = format!(
            "GET /look/{index}/{number} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\n\
             Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\n\r\n"
        );
        let Some(mut open) = conn.take().or_else(|| Conn::connect(to).ok()) else {
            std::thread::sleep(CLIENT_PAUSE);
            continue;
        };
        let answer = exchange(&mut open, request.as_bytes(), Duration::from_millis(1500));
        let line = format!(
            "client: {attempt} sent to {to}, status {}, took {:?}",
            answer.status(),
            answer.took
        );
        record.line(&line);
        if answer.is_complete {
            answered += usize::from(answer.status() == 200);
            conn = Some(open);
        }
        std::thread::sleep(CLIENT_PAUSE);
    }
    answered
}
