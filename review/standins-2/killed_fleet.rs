//! Case 10: a request that crashes workers, and a fleet that is killed meanwhile.

#[path = "standins.rs"]
mod standins;

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standins::*;

/// Workers of the service, and requests that each runs at once.
const WORKERS: usize = 4;
const CAPACITY: u32 = 6;

/// Time between two times that the request comes, and between two sound ones.
const POISON_INTERVAL: Duration = Duration::from_secs(4);
const SOUND_INTERVAL: Duration = Duration::from_millis(100);

/// Work of a request.
const WORK: Duration = Duration::from_millis(200);

/// Time after which a killed daemon starts again.
const DAEMON_RESTART: Duration = Duration::from_secs(1);

/// `contact_ms` of the deployment.
const CONTACT: Duration = Duration::from_secs(3);

/// Time from the start of the daemons to the request's return, when they are in touch again.
const RETURN: Duration = Duration::from_millis(4500);

/// Times that all daemons are killed, each after this many returns of the request.
const KILLS: usize = 2;
const RETURNS_BETWEEN: usize = 3;

/// Longest time until the request has crashed the third worker.
const LEARNING: Duration = Duration::from_secs(50);

/// Retries that may reach workers from [`CONTACT`] after the third crash.
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"post","hostname":"a.example","prefix":"/post/","route_type":"non_idempotent","timeout_ms":1500,"target_latency_ms":150,"backend":"ledger","max_attempts":1}],
"services":[{"name":"ledger","health_path":"/healthz","max_connections":234}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["key-1"]}]}"#;

/// What workers ran and callers got.
#[derive(Default)]
struct Seen {
    /// Time of each crash.
    crashes: Vec<Instant>,
    /// Id of each time that the request came and reached a worker, and when.
    reached: Vec<(Instant, String)>,
    /// Sound requests that were sent, answered with success, and ended with a failure after they had run.
    sent: usize,
    served: usize,
    failed: usize,
}

fn answer(
    worker: &Worker,
    rec: &Record,
    seen: &Mutex<Seen>,
    req: &Req,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let is_poison = req.body == b"crash";
    if is_poison {
        rec.line(format!("{} reaches worker {}", req.id(), worker.name));
        let mut seen = seen.lock().unwrap();
        seen.reached.push((Instant::now(), req.id().to_owned()));
    }
    thread::sleep(WORK);
    worker.check_up()?;
    if is_poison {
        if worker.crash() {
            let mut seen = seen.lock().unwrap();
            seen.crashes.push(Instant::now());
            let number = seen.crashes.len();
            rec.line(format!(
                "worker {} crashes as it runs {} (crash {number})",
                worker.name,
                req.id()
            ));
        }
        return worker.check_up();
    }
    respond(
        stream,
        200,
        &[("Attempt-Id", req.id()), ("Server-Signature", "s")],
        &[b'x'; 800],
    )?;
    Ok(())
}
fn post(daemon: SocketAddr, id: &str, body: &str) -> io::Result<Answer> {
    let req = format!(
        "POST /post/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 1500\r\nAuthorization: Token key-1\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    exchange(daemon, req.as_bytes(), Duration::from_secs(2))
}

/// Sends sound requests, no two alike, until told to stop.
fn send_sound(rec: &Record, daemons: &[SocketAddr], seen: &Arc<Mutex<Seen>>, stop: &AtomicBool) {
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        let (rec, seen, daemon) = (rec.clone(), seen.clone(), daemons[number % daemons.len()]);
        thread::spawn(move || {
            let id = format!("sound-{number}");
            let answer = post(daemon, &id, &format!("entry {number}"));
            let mut seen = seen.lock().unwrap();
            seen.sent += 1;
            match answer {
                Ok(answer) if answer.status == 200 => seen.served += 1,
                Ok(answer) => {
                    seen.failed += usize::from(answer.status != 503);
                    rec.line(format!("caller {id}: status {}", answer.status));
                }
                // Also while the daemons are down.
                Err(e) => rec.line(format!("caller {id}: {e}")),
            }
        });
        thread::sleep(SOUND_INTERVAL);
    }
}

fn run(rec: &Record, folder: &Path, has_poison: bool, kills: usize) -> Verdict {
    let store = Store::start();
    store.put("op/config", CONFIG);
    let seen = Arc::new(Mutex::new(Seen::default()));
    for i in 1..=WORKERS {
        let (worker_rec, seen) = (rec.clone(), seen.clone());
        let handler = move |worker: &Worker, req: &Req, stream: &mut TcpStream| {
            answer(worker, &worker_rec, &seen, req, stream)
        };
        Worker::start(
            rec,
            &store,
            format!("w{i}"),
            "ledger",
            CAPACITY,
            Arc::new(handler),
        );
    }
    let ips = [own_ip(1), own_ip(2)];
    let mut gateways: Vec<Gateway> = ips
        .iter()
        .map(|ip| {
            let options = GatewayOptions {
                ip,
                seeds: &ips,
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
    let daemons: Vec<SocketAddr> = gateways.iter().map(|g| g.callers).collect();
    let stop = Arc::new(AtomicBool::new(false));
    let sound = {
        let (rec, daemons, seen, stop) = (rec.clone(), daemons.clone(), seen.clone(), stop.clone());
        thread::spawn(move || send_sound(&rec, &daemons, &seen, &stop))
    };
    thread::sleep(RETURN);
    let mut number = 0;
    let mut come_again = |rec: &Record| {
        number += 1;
        let id = format!("poison-{number}");
        if has_poison {
            let answer = post(daemons[number % daemons.len()], &id, "crash");
            rec.line(format!(
                "caller {id}: {}",
                answer.map_or_else(|e| e.to_string(), |a| format!("status {}", a.status))
            ));
        }
        thread::sleep(POISON_INTERVAL);
    };
    let learned_by = Instant::now() + LEARNING;
    while has_poison && seen.lock().unwrap().crashes.len() < 3 && Instant::now() < learned_by {
        come_again(rec);
    }
    for _ in 0..kills {
        rec.line("all daemons are killed");
        gateways.iter().for_each(|g| g.signal(SIGKILL));
        thread::sleep(DAEMON_RESTART);
        gateways.iter_mut().for_each(Gateway::restart);
        thread::sleep(RETURN);
        for _ in 0..RETURNS_BETWEEN {
            come_again(rec);
        }
    }
    if kills == 0 {
        (0..RETURNS_BETWEEN).for_each(|_| come_again(rec));
    }
    stop.store(true, Ordering::SeqCst);
    let _ = sound.join();
    thread::sleep(Duration::from_secs(2));
    judge(rec, &seen.lock().unwrap())
}

fn judge(rec: &Record, seen: &Seen) -> Verdict {
    rec.line(format!(
        "of {} sound requests {} were served, {} failed that may have run",
        seen.sent, seen.served, seen.failed
    ));
    let Some(third) = seen.crashes.get(2) else {
        rec.line(format!(
            "{} crashes, so the rule is not broken",
            seen.crashes.len()
        ));
        return Verdict::Held;
    };
    let late = seen
        .reached
        .iter()
        .filter(|(at, _)| *at > *third + CONTACT)
        .count();
    rec.line(format!(
        "BUDGET: {} crashes; the request reached workers in {late} retries later than 3 s after the third; {ALLOWED} are allowed",
        seen.crashes.len()
    ));
    if late > ALLOWED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn main() {
    let record = PathBuf::from(std::env::args().nth(1).expect("path of the record"));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let kills = std::env::var("KILLS").ok().and_then(|v| v.parse().ok());
    let rec = Record::create(&record);
    let folder = std::env::temp_dir().join(format!("oriole-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let kills = if has_trouble {
        kills.unwrap_or(KILLS)
    } else {
        0
    };
    let verdict = run(&rec, &folder, has_trouble, kills);
    let _ = std::fs::remove_dir_all(&folder);
    verdict.exit()
}
