//! Case 8: a part that crashes workers, far back in a long prompt.

#[path = "standins.rs"]
mod standins;

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standins::*;

/// Workers of the service, and requests that each runs at once.
const WORKERS: usize = 6;
const CAPACITY: u32 = 12;

/// Shared parts of each prompt. The last part, the request's own, follows.
const SHARED_PARTS: usize = 40;

/// Place of the part that crashes workers among the shared parts, from 1; `POSITION` sets another.
const POISON_POSITION: usize = 36;

/// Time between two requests with that part, and between two sound ones.
const POISON_INTERVAL: Duration = Duration::from_secs(1);
const SOUND_INTERVAL: Duration = Duration::from_millis(50);

/// Time for which requests come, and time without the part at the start.
const RUN_TIME: Duration = Duration::from_secs(40);
const CALM: Duration = Duration::from_secs(5);

/// Time until a worker begins to write an answer.
const READING: Duration = Duration::from_millis(100);

/// `contact_ms` of the deployment.
const CONTACT: Duration = Duration::from_secs(3);

/// Requests with the part that may reach workers from [`CONTACT`] after the fifth crash.
const ALLOWED: usize = 3;

/// Fewest sound requests before and after for the rule on them to apply.
const MIN_COUNTED: usize = 20;

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"draft","hostname":"a.example","prefix":"/draft/","route_type":"streaming","stream_resume":true,"timeout_ms":8000,"target_latency_ms":400,"target_gap_ms":120,"backend":"reader","max_attempts":2,"session_affinity":true}],
"services":[{"name":"reader","health_path":"/healthz","max_connections":888}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["key-1"]}]}"#;

/// What workers ran and callers got.
#[derive(Default)]
struct Seen {
    /// Time of each crash.
    crashes: Vec<Instant>,
    /// When each request with the part first reached a worker, and when it last did.
    reached: BTreeMap<String, (Instant, Instant)>,
    /// Sound requests that were sent, with the time, that began at a worker, and that were answered whole.
    sent: Vec<(Instant, String)>,
    begun: BTreeSet<String>,
    whole: BTreeSet<String>,
}

fn answer(
    worker: &Worker,
    rec: &Record,
    seen: &Mutex<Seen>,
    req: &Req,
    stream: &mut TcpStream,
) -> io::Result<()> {
    let is_poison = req
        .header("prompt-prefix")
        .is_some_and(|parts| parts.contains("dead:"));
    if is_poison {
        let now = Instant::now();
        let mut seen = seen.lock().unwrap();
        seen.reached
            .entry(req.id().to_owned())
            .or_insert((now, now))
            .1 = now;
        rec.line(format!("{} reaches worker {}", req.id(), worker.name));
    }
    thread::sleep(READING);
    worker.check_up()?;
    if is_poison {
        if worker.crash() {
            let mut seen = seen.lock().unwrap();
            seen.crashes.push(Instant::now());
            let number = seen.crashes.len();
            rec.line(format!(
                "worker {} crashes as it begins to answer {} (crash {number})",
                worker.name,
                req.id()
            ));
        }
        return worker.check_up();
    }
    seen.lock().unwrap().begun.insert(req.id().to_owned());
    write!(
        stream,
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nAttempt-Id: {}\r\nServer-Signature: s\r\n\r\n",
        req.id()
    )?;
    let first = 1 + req
        .header("last-event-id")
        .and_then(|v| v.parse().ok())
        .unwrap_or(0);
    for id in first..=16 {
        let event = format!("id: {id}\ndata: {}\n\n", "x".repeat(65));
        write!(stream, "{:x}\r\n{event}\r\n", event.len())?;
        thread::sleep(Duration::from_millis(30));
    }
    write!(stream, "0\r\n\r\n")
}
/// The parts of a prompt, with the one that crashes workers at a place from 1, if any.
fn prompt(poison_position: Option<usize>, own: usize) -> String {
    let mut parts: Vec<String> = (1..=SHARED_PARTS)
        .map(|i| format!("{:x}:20", 0xa000 + i))
        .collect();
    if let Some(position) = poison_position {
        parts[position - 1] = "dead:20".to_owned();
    }
    parts.push(format!("{:x}:300", 0x10_0000 + own));
    parts.join(",")
}

fn send(rec: &Record, daemon: SocketAddr, id: String, parts: String, seen: &Arc<Mutex<Seen>>) {
    let (rec, seen) = (rec.clone(), seen.clone());
    thread::spawn(move || {
        let body = format!("document of {id}");
        let req = format!(
            "POST /draft/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {id}\r\nDeadline-Ms: 8000\r\nAuthorization: Token key-1\r\nModel: m\r\nToken-Usage: 1100,100\r\nPrompt-Prefix: {parts}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
            body.len()
        );
        match exchange(daemon, req.as_bytes(), Duration::from_secs(9)) {
            Ok(answer) => {
                rec.line(format!(
                    "caller {id}: status {}, complete: {}",
                    answer.status, answer.complete
                ));
                if answer.status == 200 && answer.complete {
                    seen.lock().unwrap().whole.insert(id);
                }
            }
            Err(e) => rec.line(format!("caller {id}: {e}")),
        }
    });
}

fn run(rec: &Record, folder: &Path, poison_position: Option<usize>) -> Verdict {
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
            "reader",
            CAPACITY,
            Arc::new(handler),
        );
    }
    let ips = [own_ip(1), own_ip(2)];
    let gateways: Vec<Gateway> = ips
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
    let started = Instant::now();
    let mut next_poison = started + CALM;
    for number in 0.. {
        let now = Instant::now();
        if now >= started + RUN_TIME {
            break;
        }
        let daemon = gateways[number % gateways.len()].callers;
        let id = format!("sound-{number}");
        seen.lock().unwrap().sent.push((now, id.clone()));
        send(rec, daemon, id, prompt(None, number), &seen);
        if poison_position.is_some() && now >= next_poison {
            next_poison += POISON_INTERVAL;
            let parts = prompt(poison_position, number);
            send(rec, daemon, format!("poison-{number}"), parts, &seen);
        }
        thread::sleep(SOUND_INTERVAL);
    }
    thread::sleep(Duration::from_secs(5));
    judge(rec, &seen.lock().unwrap())
}

/// Applies both rules about parts that crash workers.
fn judge(rec: &Record, seen: &Seen) -> Verdict {
    let sound = seen
        .sent
        .iter()
        .filter(|(_, id)| seen.whole.contains(id))
        .count();
    rec.line(format!(
        "{sound} of {} sound requests were answered whole",
        seen.sent.len()
    ));
    let Some(fifth) = seen.crashes.get(4) else {
        rec.line(format!(
            "{} crashes, so neither rule is broken",
            seen.crashes.len()
        ));
        return Verdict::Held;
    };
    let late = seen
        .reached
        .values()
        .filter(|(_, last)| *last > *fifth + CONTACT)
        .count();
    rec.line(format!(
        "BUDGET: {} crashes; {late} requests with the part reached workers later than 3 s after the fifth; {ALLOWED} are allowed",
        seen.crashes.len()
    ));
    let begun = |is_counted: &dyn Fn(Instant) -> bool| {
        let sent: Vec<_> = seen.sent.iter().filter(|(at, _)| is_counted(*at)).collect();
        let begun = sent
            .iter()
            .filter(|(_, id)| seen.begun.contains(id))
            .count();
        (begun, sent.len())
    };
    let first = seen.crashes[0];
    let before = begun(&|at| at + Duration::from_secs(1) < first);
    let after = begun(&|at| at > *fifth + CONTACT * 2);
    rec.line(format!(
        "LOST: of the sound requests began {} of {} before the first crash and {} of {} from 6 s after the fifth; half is allowed",
        before.0, before.1, after.0, after.1
    ));
    let share = |(begun, sent): (usize, usize)| begun as f64 / sent.max(1) as f64;
    let counts = before.1 >= MIN_COUNTED && after.1 >= MIN_COUNTED;
    let is_lost = counts && share(after) < share(before) / 2.0;
    if late > ALLOWED || is_lost {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn main() {
    let record = PathBuf::from(std::env::args().nth(1).expect("path of the record"));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let position = std::env::var("POSITION").ok().and_then(|v| v.parse().ok());
    let position = position
        .filter(|p| (1..=SHARED_PARTS).contains(p))
        .unwrap_or(POISON_POSITION);
    let rec = Record::create(&record);
    let folder = std::env::temp_dir().join(format!("oriole-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let verdict = run(&rec, &folder, has_trouble.then_some(position));
    let _ = std::fs::remove_dir_all(&folder);
    verdict.exit()
}
