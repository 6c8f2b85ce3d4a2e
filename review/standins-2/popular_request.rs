//! Case 7: a popular request that runs while others crash its workers.

#[path = "standins.rs"]
mod standins;

use std::collections::BTreeSet;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use standins::*;

/// Workers of the service, and requests that each runs at once.
const WORKERS: usize = 6;
const CAPACITY: u32 = 32;

/// Requests with the part that crashes workers which come at first, and the time between two of them.
const BURST: usize = 40;
const BURST_INTERVAL: Duration = Duration::from_millis(5);

/// Time between two further ones.
const POISON_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two sound requests of any caller, of which every fourth is one of the first account.
const SOUND_INTERVAL: Duration = Duration::from_millis(10);
const FIRST_ACCOUNT_TURN: usize = 4;

/// Time from the start of the sound requests to the burst.
const CALM: Duration = Duration::from_secs(8);

/// Time until a worker begins to write an answer.
const READING: Duration = Duration::from_millis(250);

/// `contact_ms` of the deployment.
const CONTACT: Duration = Duration::from_secs(3);

/// Time for which sound requests are counted, from twice [`CONTACT`] after the fifth crash.
const COUNTED: Duration = Duration::from_secs(15);

/// Fewest sound requests before and after for the rule to apply.
const MIN_COUNTED: usize = 20;

/// Shared parts: that of the first account's prompts, that of the others, and the one that crashes
/// workers.
const FIRST_PART: &str = "a1f0:40";
const OTHER_PART: &str = "b7c2:40";
const POISON_PART: &str = "dead:120";

const CONFIG: &str = r#"{"version":3,"routes":[
{"name":"draft","hostname":"a.example","prefix":"/draft/","route_type":"streaming","stream_resume":true,"timeout_ms":8000,"target_latency_ms":400,"target_gap_ms":120,"backend":"reader","max_attempts":2,"session_affinity":true}],
"services":[{"name":"reader","health_path":"/healthz","max_connections":888}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},
"tenants":[{"name":"t1","api_keys":["key-1"]},{"name":"t2","api_keys":["key-2"]}]}"#;

/// What callers sent and workers ran.
#[derive(Default)]
struct Seen {
    /// Time of each crash.
    crashes: Vec<Instant>,
    /// Ids of sound requests that a worker began to answer.
    begun: BTreeSet<String>,
    /// Sound requests of the first account: time and id.
    sent: Vec<(Instant, String)>,
}

fn answer(
    worker: &Worker,
    rec: &Record,
    seen: &Mutex<Seen>,
    req: &Req,
    stream: &mut TcpStream,
) -> io::Result<()> {
    thread::sleep(READING);
    worker.check_up()?;
    if req
        .header("prompt-prefix")
        .is_some_and(|parts| parts.contains(POISON_PART))
    {
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
/// A caller's request, and how it is recorded.
struct Call {
    id: String,
    key: &'static str,
    parts: String,
    body: String,
}

impl Call {
    fn send(self, rec: &Record, daemon: SocketAddr) {
        let rec = rec.clone();
        thread::spawn(move || {
            let req = format!(
                "POST /draft/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {}\r\nDeadline-Ms: 8000\r\nAuthorization: Token {}\r\nModel: m\r\nToken-Usage: 600,100\r\nPrompt-Prefix: {}\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{}",
                self.id,
                self.key,
                self.parts,
                self.body.len(),
                self.body
            );
            match exchange(daemon, req.as_bytes(), Duration::from_secs(9)) {
                Ok(answer) => {
                    let reason = if answer.status == 200 {
                        ""
                    } else {
                        std::str::from_utf8(&answer.body).unwrap_or("")
                    };
                    let after = answer.header("retry-after").unwrap_or("none");
                    rec.line(format!(
                        "caller {}: status {}, complete: {}, Retry-After: {after} {reason}",
                        self.id, answer.status, answer.complete
                    ));
                }
                Err(e) => rec.line(format!("caller {}: {e}", self.id)),
            }
        });
    }
}

/// Sends sound requests until `until`. Callers of the first account all ask the same, unless
/// `is_varied`; each of the others asks something of its own.
fn send_sound(
    rec: &Record,
    daemons: &[SocketAddr],
    seen: &Mutex<Seen>,
    until: Instant,
    is_varied: bool,
) {
    for number in 0.. {
        if Instant::now() >= until {
            return;
        }
        let own_part = format!("{:x}:500", 0x10_0000 + number);
        let call = if number % FIRST_ACCOUNT_TURN == 0 {
            let id = format!("sound-{number}");
            seen.lock().unwrap().sent.push((Instant::now(), id.clone()));
            let (body, last) = if is_varied {
                (format!("question {number}"), own_part)
            } else {
                ("what shall I restock today".to_owned(), "b2:500".to_owned())
            };
            Call {
                id,
                key: "key-1",
                parts: format!("{FIRST_PART},{last}"),
                body,
            }
        } else {
            let (id, body) = (format!("other-{number}"), format!("question {number}"));
            Call {
                id,
                key: "key-2",
                parts: format!("{OTHER_PART},{own_part}"),
                body,
            }
        };
        call.send(rec, daemons[number % daemons.len()]);
        thread::sleep(SOUND_INTERVAL);
    }
}

fn run(rec: &Record, folder: &Path, has_trouble: bool, is_varied: bool) -> Verdict {
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
    let daemons: Vec<SocketAddr> = gateways.iter().map(|g| g.callers).collect();
    let started = Instant::now();
    let until = started + CALM + READING + CONTACT * 2 + COUNTED + Duration::from_secs(2);
    let sound = {
        let (rec, daemons, seen) = (rec.clone(), daemons.clone(), seen.clone());
        thread::spawn(move || send_sound(&rec, &daemons, &seen, until, is_varied))
    };
    thread::sleep(CALM);
    let burst_at = Instant::now();
    let next = AtomicUsize::new(0);
    let send_poison = || {
        let number = next.fetch_add(1, Ordering::Relaxed);
        let parts = format!("{FIRST_PART},{POISON_PART},{:x}:400", 0x1000 + number);
        let (id, body) = (format!("poison-{number}"), format!("document {number}"));
        Call {
            id,
            key: "key-1",
            parts,
            body,
        }
        .send(rec, daemons[number % daemons.len()]);
    };
    if has_trouble {
        rec.line(format!(
            "{BURST} requests with the part that crashes workers"
        ));
        for _ in 0..BURST {
            send_poison();
            thread::sleep(BURST_INTERVAL);
        }
        while Instant::now() + POISON_INTERVAL < until {
            thread::sleep(POISON_INTERVAL);
            send_poison();
        }
    }
    let _ = sound.join();
    thread::sleep(Duration::from_secs(2));
    judge(rec, &seen.lock().unwrap(), started, burst_at)
}

/// Compares how many sound requests of the first account began before the burst and from twice
/// `contact_ms` after the fifth crash.
fn judge(rec: &Record, seen: &Seen, started: Instant, burst_at: Instant) -> Verdict {
    let last = seen
        .crashes
        .get(4)
        .or(seen.crashes.last())
        .copied()
        .unwrap_or(burst_at);
    let count = |from: Instant, to: Instant| {
        let sent: Vec<_> = seen
            .sent
            .iter()
            .filter(|(at, _)| (from..to).contains(at))
            .collect();
        let begun = sent
            .iter()
            .filter(|(_, id)| seen.begun.contains(id))
            .count();
        (begun, sent.len())
    };
    let from = last + CONTACT * 2;
    let (before, after) = (count(started, burst_at), count(from, from + COUNTED));
    rec.line(format!(
        "{} crashes; of the first account's sound requests began {} of {} before and {} of {} from 6 s after the fifth crash",
        seen.crashes.len(),
        before.0,
        before.1,
        after.0,
        after.1
    ));
    if before.1 < MIN_COUNTED || after.1 < MIN_COUNTED {
        return Verdict::NotRun;
    }
    let share = |(begun, sent): (usize, usize)| begun as f64 / sent as f64;
    if share(after) < share(before) / 2.0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn main() {
    let record = PathBuf::from(std::env::args().nth(1).expect("path of the record"));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let is_varied = std::env::var("VARIED").as_deref() == Ok("1");
    let rec = Record::create(&record);
    let folder = std::env::temp_dir().join(format!("oriole-review-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a temporary folder");
    let verdict = run(&rec, &folder, has_trouble, is_varied);
    let _ = std::fs::remove_dir_all(&folder);
    verdict.exit()
}
