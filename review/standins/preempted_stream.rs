//! A machine gets SIGTERM while it relays streams that may not be resumed. The worker preempts each of
//! them once, for less time than clients wait.

use std::time::Duration;

use crate::Verdict;
use crate::cluster::{Folder, Gateway, Net, Record, SIGKILL, SIGTERM, wait_until_ready};
use crate::http::Answer;
use crate::late_stream::send;
use crate::store::Store;
use crate::worker::Worker;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","hostname":"a.example","prefix":"/note/","route_type":"streaming","timeout_ms":8000,"target_latency_ms":400,"priority":1,"backend":"writer","max_attempts":1,"public":false,"session_affinity":true,"stream_resume":false,"target_gap_ms":120}],"services":[{"name":"writer","health_path":"/healthz","max_connections":888,"protocol":"h1","tls":false,"cold_start_s":3.0,"cold_per_s":36.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}"#;

const EVENTS: u64 = 26;
const PAUSE: Duration = Duration::from_millis(60);
/// Event after which a stream is preempted, and for how long. Clients leave after a gap of two seconds.
const PREEMPTED_AFTER: u64 = 10;
const PREEMPTION: Duration = Duration::from_millis(1700);

const STREAMS: usize = 4;
const GRACE_S: f64 = 8.0;
const DEADLINE_S: f64 = 8.0;

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let (net, folder) = (Net::unused(), Folder::create());
    let store = Store::start(net.listen(2));
    store.put("op/config", CONFIG);
    let worker = |i: u8| {
        let instance = format!("i-{i}");
        Worker::start(net.listen(5 + i), &instance, EVENTS, PAUSE, record)
    };
    let workers: Vec<Worker> = (0..2).map(worker).collect();
    for worker in &workers {
        if has_trouble {
            worker.set_preemption(PREEMPTED_AFTER, PREEMPTION);
        }
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
    let target = gateways[0].callers;
    let started_at = record.now();
    let senders: Vec<_> = (0..STREAMS)
        .map(|i| {
            let record = record.clone();
            std::thread::spawn(move || send(&record, target, &format!("attempt-{i}")))
        })
        .collect();
    record.sleep_until(started_at + 0.2);
    let stopped_at = record.now();
    gateways[0].daemon.signal(SIGTERM);
    record.line("SIGTERM to edge-1");
    record.sleep_until(stopped_at + GRACE_S);
    if !gateways[0].daemon.has_exited() {
        gateways[0].daemon.signal(SIGKILL);
        record.line("SIGKILL to edge-1");
    }
    let answers: Vec<(f64, f64, Answer)> = senders.into_iter().map(|s| s.join().unwrap()).collect();
    let mut lost = 0;
    for (i, (sent_at, ended_at, answer)) in answers.iter().enumerate() {
        let attempt = format!("attempt-{i}");
        let run = workers.iter().find_map(|w| w.run_of(&attempt));
        let was_at_work_late = *ended_at > stopped_at + GRACE_S * 5.0 / 6.0;
        let is_excused = was_at_work_late || *ended_at >= sent_at + DEADLINE_S;
        let is_lost = run.is_some() && !answer.is_complete && !is_excused;
        lost += usize::from(is_lost);
        record.line(&format!(
            "{attempt}: passed on: {}, status {}, complete: {}, connection ended {:.2} s after the \
             signal{}",
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
