//! One of three workers hands out bytes that are no answer.

use std::net::SocketAddr;
use std::time::Duration;

use crate::Verdict;
use crate::cluster::{Folder, Gateway, Net, Record, wait_until_ready};
use crate::http::{Answer, Conn, exchange};
use crate::store::Store;
use crate::worker::Worker;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","hostname":"a.example","prefix":"/look/","route_type":"idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":1,"backend":"ledger","max_attempts":2,"public":false}],"services":[{"name":"ledger","health_path":"/healthz","max_connections":234,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}"#;
const GATEWAYS: u8 = 2;
const WORKERS: u8 = 3;
const SERVICE_TIME: Duration = Duration::from_millis(15);
/// Time between two requests to a machine.
const REQUEST_PAUSE_S: f64 = 0.1;
const TRAFFIC_S: f64 = 8.0;
/// Times after the start of traffic between which the worker garbles its answers.
const TROUBLE_S: (f64, f64) = (2.0, 7.5);
const DEADLINE: Duration = Duration::from_millis(1500);

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
    for number in 0.. {
        let at = f64::from(number) * REQUEST_PAUSE_S;
        if at > TRAFFIC_S {
            break;
        }
        record.sleep_until(started_at + at);
        let is_bad = has_trouble && (TROUBLE_S.0..TROUBLE_S.1).contains(&at);
        workers[0].set_garbled(is_bad);
        for gateway in &gateways {
            let (to, record) = (gateway.callers, record.clone());
            let attempt = format!("{}-{number}", gateway.name);
            clients.push(std::thread::spawn(move || send(&record, to, attempt)));
        }
    }
    let answers: Vec<(String, Answer)> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    // A 1xx head is no answer: the client waits for one, and the connection ends.
    let is_garbled = |a: &Answer| a.head.is_some() && a.status() < 200;
    let garbled: Vec<&(String, Answer)> = answers.iter().filter(|(_, a)| is_garbled(a)).collect();
    for (attempt, answer) in &garbled {
        let head = answer.head.as_ref();
        record.line(&format!(
            "MIXED: the client of {attempt} got {:?} and no answer",
            head.map_or("", |h| h.first_line.as_str())
        ));
    }
    record.line(&format!(
        "{} requests, {} of them got bytes that are no answer",
        answers.len(),
        garbled.len()
    ));
    if garbled.is_empty() {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

fn send(record: &Record, to: SocketAddr, attempt: String) -> (String, Answer) {
    let request = format!(
        "GET /look/{attempt} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: {}\r\nAuthorization: Token key-1\r\nConnection: close\r\n\r\n",
        DEADLINE.as_millis()
    );
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
    (attempt, answer)
}
