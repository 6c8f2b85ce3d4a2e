//! One of three workers answers with bytes that never end. The clients of all requests watch whether
//! they are answered in their route's time.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Verdict;
use crate::cluster::{Folder, Gateway, Net, Record, wait_until_ready};
use crate::http::{Answer, Conn, exchange};
use crate::store::Store;
use crate::worker::Worker;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","hostname":"a.example","prefix":"/look/","route_type":"idempotent","timeout_ms":1000,"target_latency_ms":150,"priority":1,"backend":"ledger","max_attempts":2,"public":false}],"services":[{"name":"ledger","health_path":"/healthz","max_connections":234,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}"#;

const GATEWAYS: u8 = 2;
const WORKERS: u8 = 3;
const SERVICE_TIME: Duration = Duration::from_millis(15);
/// Time between two requests to a machine.
const REQUEST_PAUSE_S: f64 = 0.08;
const TRAFFIC_S: f64 = 8.0;
/// Time after the start of traffic at which the worker turns bad.
const TROUBLE_AT_S: f64 = 2.0;

const TIMEOUT_S: f64 = 1.0;
const SLACK_S: f64 = 0.5;
const DEADLINE: Duration = Duration::from_secs(4);

struct Outcome {
    attempt: String,
    sent_at: f64,
    answer: Answer,
}

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let (net, folder) = (Net::unused(), Folder::create());
    let store = Store::start(net.listen(2));
    store.put("op/config", CONFIG);
    let worker = |i: u8| {
        let instance = format!("i-{i}");
        Worker::start(net.listen(5 + i), &instance, 0, SERVICE_TIME, record)
    };
    let workers: Vec<Worker> = (0..WORKERS).map(worker).collect();
    for worker in &workers {
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
    // Long enough for all machines to be in touch.
    std::thread::sleep(Duration::from_secs(4));
    let started_at = record.now();
    let mut clients = Vec::new();
    let mut is_bad = false;
    for number in 0.. {
        let at = f64::from(number) * REQUEST_PAUSE_S;
        if at > TRAFFIC_S {
            break;
        }
        record.sleep_until(started_at + at);
        if has_trouble && !is_bad && at >= TROUBLE_AT_S {
            is_bad = true;
            workers[0].set_endless(true);
            record.line("from now on, the bodies of i-0 have no end");
        }
        for gateway in &gateways {
            let (to, record) = (gateway.callers, record.clone());
            let attempt = format!("{}-{number}", gateway.name);
            clients.push(std::thread::spawn(move || send(&record, to, attempt)));
        }
    }
    let outcomes: Vec<Outcome> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let is_unanswered =
        |o: &Outcome, after: f64| !o.answer.is_complete || o.answer.took.as_secs_f64() > after;
    let unanswered: Vec<&Outcome> = outcomes
        .iter()
        .filter(|o| is_unanswered(o, TIMEOUT_S))
        .collect();
    let late: Vec<&&Outcome> = unanswered
        .iter()
        .filter(|o| is_unanswered(o, TIMEOUT_S + SLACK_S))
        .collect();
    for o in &late {
        let has_run_well = workers[1..]
            .iter()
            .any(|w| w.run_of(&o.attempt).is_some_and(|r| r.ended_at.is_some()));
        record.line(&format!(
            "CONFIG: {} sent at {:.3}, status {}, complete: {}, after {:.2?}; answered by a sound worker: \
             {has_run_well}",
            o.attempt,
            o.sent_at,
            o.answer.status(),
            o.answer.is_complete,
            o.answer.took
        ));
    }
    record.line(&format!(
        "{} requests; {} had no answer after {TIMEOUT_S} s, and {} of them none {SLACK_S} s later",
        outcomes.len(),
        unanswered.len(),
        late.len()
    ));
    if late.len() * 2 > unanswered.len() {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn send(record: &Record, to: SocketAddr, attempt: String) -> Outcome {
    let request = format!(
        "GET /look/{attempt} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: {}\r\nAuthorization: Token key-1\r\nConnection: close\r\n\r\n",
        DEADLINE.as_millis()
    );
    let sent_at = record.now();
    record.line(&format!("client sends {attempt} to {to}"));
    let answer = match Conn::connect(to) {
        Ok(mut conn) => exchange(&mut conn, request.as_bytes(), DEADLINE),
        Err(_) => Answer::none(),
    };
    record.line(&format!(
        "client: {attempt} has status {}, complete: {}, after {:.3?}",
        answer.status(),
        answer.is_complete,
        answer.took
    ));
    Outcome {
        attempt,
        sent_at,
        answer,
    }
}
