//! Case 9: the workers of a zone leave together, and their entries are removed.

#[path = "standins.rs"]
mod standins;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standins::*;

/// Workers of the service, those of the zone that is emptied first, and requests that each runs at once.
const WORKERS: usize = 11;
const LEAVING: usize = 4;
const CAPACITY: u32 = 6;

/// Entry daemons.
const DAEMONS: usize = 16;

/// Time between two requests, and their work.
const INTERVAL: Duration = Duration::from_millis(12);
const WORK: Duration = Duration::from_millis(30);

/// Time between the removals of two workers' entries.
const REMOVAL_GAP: Duration = Duration::from_millis(5);

/// `drain_ms` of the deployment, and the time beyond it that a leaving worker goes on serving.
const DRAIN: Duration = Duration::from_millis(2000);
const LITTLE_LONGER: Duration = Duration::from_millis(70);

/// Times that the zone is emptied and filled again.
const ROUNDS: usize = 8;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"post","hostname":"a.example","prefix":"/post/","route_type":"non_idempotent","timeout_ms":1500,"target_latency_ms":150,"backend":"ledger","max_attempts":1}],
"services":[{"name":"ledger","health_path":"/healthz","max_connections":888}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["key-1"]}]}"#;

/// What the store acknowledged, workers ran and callers got.
#[derive(Default)]
struct Seen {
    /// When the store removed the entry of each worker that leaves.
    removed: BTreeMap<String, Instant>,
    /// Requests that reached a worker later than `drain_ms` after that, and how late.
    late: BTreeMap<String, Duration>,
    sent: usize,
    /// Requests that ended with 502 though they had reached a worker late.
    lost: Vec<String>,
}

fn post(rec: &Record, daemon: std::net::SocketAddr, id: String, seen: &Arc<Mutex<Seen>>) {
    let (rec, seen) = (rec.clone(), seen.clone());
    thread::spawn(move || {
        let req = format!(
            "POST /post/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\nAuthorization: Token key-1\r\nContent-Length: {}\r\nConnection: close\r\n\r\nentry {id}",
            id.len() + 6
        );
        let answer = exchange(daemon, req.as_bytes(), Duration::from_secs(3));
        let mut seen = seen.lock().unwrap();
        seen.sent += 1;
        let end = match answer {
            Ok(answer) if answer.status == 200 && answer.complete => return,
            Ok(answer) => format!("status {}", answer.status),
            Err(e) => e.to_string(),
        };
        rec.line(format!("caller {id}: {end}"));
        if seen.late.contains_key(&id) && end != "status 503" {
            seen.lost.push(id);
        }
    });
}

fn run(rec: &Record, folder: &Path, leaving: usize) -> Verdict {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let seen = Arc::new(Mutex::new(Seen::default()));
    let mut workers = Vec::new();
    for i in 1..=WORKERS {
        let (rec_worker, seen) = (rec.clone(), seen.clone());
        let handler = move |worker: &Worker, req: &Req, stream: &mut std::net::TcpStream| {
            let now = Instant::now();
            {
                let mut seen = seen.lock().unwrap();
                let removed = seen.removed.get(&worker.name).copied();
                if let Some(after) = removed
                    .map(|at| now.saturating_duration_since(at))
                    .filter(|after| *after > DRAIN)
                {
                    seen.late.insert(req.id().to_owned(), after);
                    rec_worker.line(format!(
                        "{} reaches worker {} {} ms after its entry was removed",
                        req.id(),
                        worker.name,
                        after.as_millis()
                    ));
                }
            }
            thread::sleep(WORK);
            worker.check_up()?;
            let mut headers = vec![("Attempt-Id", req.id()), ("Server-Signature", "s")];
            if seen.lock().unwrap().removed.contains_key(&worker.name) {
                // A worker that leaves says so in all its answers.
                headers.push(("Server-Leaving", "1"));
            }
            respond(stream, 200, &headers, &[b'x'; 800])?;
            Ok(())
        };
        workers.push(Worker::start(
            rec,
            &store,
            format!("w{i}"),
            "ledger",
            CAPACITY,
            Arc::new(handler),
        ));
    }
    let ips: Vec<String> = (1..=DAEMONS).map(own_ip).collect();
    let gateways: Vec<Gateway> = ips
        .iter()
        .map(|ip| {
            let options = GatewayOptions {
                ip,
                seeds: &ips[..3],
                memory_mb: 182,
            };
            Gateway::start(&format!("edge-{ip}"), store.address, folder, &options)
        })
        .collect();
    if !gateways
        .iter()
        .all(|g| g.wait_ready(Duration::from_secs(15)))
    {
        rec.line("a daemon did not become ready");
        return Verdict::NotRun;
    }
    let stop = Arc::new(AtomicBool::new(false));
    let callers = {
        let daemons: Vec<_> = gateways.iter().map(|g| g.callers).collect();
        let (rec, seen, stop) = (rec.clone(), seen.clone(), stop.clone());
        thread::spawn(move || {
            for number in 0.. {
                if stop.load(Ordering::SeqCst) {
                    return;
                }
                post(
                    &rec,
                    daemons[number % daemons.len()],
                    format!("post-{number}"),
                    &seen,
                );
                thread::sleep(INTERVAL);
            }
        })
    };
    thread::sleep(Duration::from_secs(5));
    for _ in 0..ROUNDS {
        for worker in workers.iter().take(leaving) {
            store.remove(&format!("servers/{}", worker.name));
            rec.line(format!(
                "the store has removed the entry of worker {}",
                worker.name
            ));
            seen.lock()
                .unwrap()
                .removed
                .insert(worker.name.clone(), Instant::now());
            let leaves = worker.clone();
            thread::spawn(move || {
                thread::sleep(DRAIN + LITTLE_LONGER);
                leaves.crash();
            });
            thread::sleep(REMOVAL_GAP);
        }
        // Other workers come in the place of those that have left.
        thread::sleep(DRAIN + LITTLE_LONGER + Duration::from_millis(500));
        seen.lock().unwrap().removed.clear();
        thread::sleep(WORKER_RESTART + Duration::from_secs(2));
    }
    stop.store(true, Ordering::SeqCst);
    let _ = callers.join();
    thread::sleep(Duration::from_secs(2));
    let seen = seen.lock().unwrap();
    let latest = seen.late.values().max().copied().unwrap_or_default();
    rec.line(format!(
        "DRAIN: of {} requests {} reached a worker later than {} ms after its entry was removed, at most {} ms; none is allowed; {} of them were lost",
        seen.sent,
        seen.late.len(),
        DRAIN.as_millis(),
        latest.as_millis(),
        seen.lost.len()
    ));
    if seen.late.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

fn main() {
    let record = PathBuf::from(std::env::args().nth(1).expect("path of the record"));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let leaving = std::env::var("LEAVING").ok().and_then(|v| v.parse().ok());
    let rec = Record::create(&record);
    let folder = std::env::temp_dir().join(format!("oriole-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let leaving = if has_trouble {
        leaving.unwrap_or(LEAVING)
    } else {
        0
    };
    let verdict = run(&rec, &folder, leaving);
    let _ = std::fs::remove_dir_all(&folder);
    verdict.exit()
}
