//! A machine gets SIGTERM; clients that still hold the directory's last answer send it streams between
//! the third second and the end of the time in which it accepts requests.

use std::time::Duration;

use crate::Verdict;
use crate::cluster::{Folder, Gateway, Net, Record, SIGKILL, SIGTERM, wait_until_ready};
use crate::http::{Answer, Conn, exchange};
use crate::store::Store;
use crate::worker::Worker;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","hostname":"a.example","prefix":"/note/","route_type":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":1,"backend":"writer","max_attempts":2,"public":false,"session_affinity":true,"stream_resume":true,"target_gap_ms":120}],"services":[{"name":"writer","health_path":"/healthz","max_connections":888,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":36.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}"#;

/// Events of a stream and the time between two: the longest answer, written by a full batch.
const EVENTS: u64 = 66;
const PAUSE: Duration = Duration::from_millis(75);

const GRACE_S: f64 = 8.0;
const DEADLINE_S: f64 = 8.0;

/// Times after SIGTERM at which requests are sent.
const SENT_AFTER_S: [f64; 5] = [0.5, 2.0, 3.1, 3.2, 3.3];

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let (net, folder) = (Net::unused(), Folder::create());
    let store = Store::start(net.listen(2));
    store.put("op/config", CONFIG);
    let workers: Vec<Worker> = (0..2)
        .map(|i| {
            let instance = format!("i-{i}");
            Worker::start(net.listen(5 + i), &instance, EVENTS, PAUSE, record)
        })
        .collect();
    for worker in &workers {
        store.put(
            &format!("servers/{}", worker.instance),
            &worker.entry("writer"),
        );
    }
    let mut gateways: Vec<Gateway> = (0..2)
        .map(|i| Gateway::start(net, &folder.0, i, store.address))
        .collect();
    if !wait_until_ready(&gateways) {
        record.line("the machines did not become ready");
        return Verdict::NotRun;
    }
    // Long enough for all machines to be in touch.
    std::thread::sleep(Duration::from_secs(4));
    let addresses = gateways[1].resolve();
    let target = gateways[0].callers;
    record.line(&format!(
        "directory: {addresses:?}; the client keeps this answer for 3 x 2 s"
    ));
    if !addresses.contains(&target) {
        return Verdict::NotRun;
    }
    let stopped_at = record.now();
    if has_trouble {
        gateways[0].daemon.signal(SIGTERM);
        record.line("SIGTERM to edge-1");
    }
    let senders: Vec<_> = SENT_AFTER_S
        .iter()
        .enumerate()
        .map(|(i, after)| {
            let (record, after) = (record.clone(), *after);
            std::thread::spawn(move || {
                record.sleep_until(stopped_at + after);
                send(&record, target, &format!("attempt-{i}"))
            })
        })
        .collect();
    if has_trouble {
        record.sleep_until(stopped_at + GRACE_S);
        if !gateways[0].daemon.has_exited() {
            gateways[0].daemon.signal(SIGKILL);
            record.line("SIGKILL to edge-1");
        }
    }
    let answers: Vec<(f64, f64, Answer)> = senders.into_iter().map(|s| s.join().unwrap()).collect();
    let mut lost = 0;
    for (i, (sent_at, ended_at, answer)) in answers.iter().enumerate() {
        let attempt = format!("attempt-{i}");
        let run = workers.iter().find_map(|w| w.run_of(&attempt));
        let is_cut = !answer.is_complete && answer.status() != 503;
        // What the rule does not count.
        let was_sent_late = *sent_at > stopped_at + 3.0;
        let was_at_work_late = *ended_at > stopped_at + GRACE_S * 5.0 / 6.0;
        let is_excused = was_at_work_late && !was_sent_late
            || *ended_at >= sent_at + DEADLINE_S
            || *ended_at > stopped_at + GRACE_S + 1.0;
        let is_lost = run.is_some() && is_cut && !is_excused;
        lost += usize::from(is_lost);
        record.line(&format!(
            "{attempt}: sent {:.2} s after the signal, passed on: {}, status {}, complete: {}, \
             connection ended {:.2} s after the signal{}",
            sent_at - stopped_at,
            run.is_some(),
            answer.status(),
            answer.is_complete,
            ended_at - stopped_at,
            if is_lost { ": LOST" } else { "" },
        ));
    }
    if lost > 0 {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends a stream's request; returns when it was sent and when its connection or answer ended.
pub fn send(record: &Record, to: std::net::SocketAddr, attempt: &str) -> (f64, f64, Answer) {
    let request = format!(
        "POST /note/x HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\nModel: m\r\n\
         Token-Usage: 674,396\r\nPrompt-Prefix: 5c1e07a2:40,{:08x}:634\r\nDeadline-Ms: 8000\r\n\
         Authorization: Token key-1\r\nContent-Length: 5\r\n\r\nhello",
        attempt
            .bytes()
            .fold(7_u32, |n, b| n.wrapping_mul(31) + u32::from(b))
    );
    record.line(&format!("client sends {attempt} to {to}"));
    let sent_at = record.now();
    let answer = match Conn::connect(to) {
        Ok(mut conn) => exchange(
            &mut conn,
            request.as_bytes(),
            Duration::from_secs_f64(DEADLINE_S),
        ),
        Err(_) => Answer::none(),
    };
    record.line(&format!(
        "client: {attempt} has status {}, {} body bytes, complete: {}",
        answer.status(),
        answer.body.len(),
        answer.is_complete
    ));
    (sent_at, record.now(), answer)
}
