//! Another writer keeps entries for the addresses of the workers, under a service that no configuration
//! names. They are older than the workers' own entries. Then all machines are killed and come back.

use std::time::Duration;

use crate::Verdict;
use crate::cluster::{Folder, Gateway, Net, Record, wait_until_ready};
use crate::http::{Answer, Conn, exchange};
use crate::store::Store;
use crate::worker::Worker;

const CONFIG: &str = r#"{"version":7,"routes":[{"name":"r-1","hostname":"a.example","prefix":"/look/","route_type":"idempotent","timeout_ms":1500,"target_latency_ms":150,"priority":1,"backend":"ledger","max_attempts":2,"public":false}],"services":[{"name":"ledger","health_path":"/healthz","max_connections":234,"protocol":"h1","tls":false,"cold_start_s":0.0,"cold_per_s":0.0}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000},"tenants":[{"name":"tenant-1","api_keys":["key-1"],"priority":1}]}"#;

const GATEWAYS: u8 = 3;
const WORKERS: u8 = 3;
const SERVICE_TIME: Duration = Duration::from_millis(15);
const RECOVERY_S: f64 = 12.0;
const REQUESTS: usize = 20;
const REQUEST_PAUSE: Duration = Duration::from_millis(40);
/// Time from the end of a process to its restart by the platform.
const RESTART_DELAY: Duration = Duration::from_millis(800);

pub fn run(record: &Record, has_trouble: bool) -> Verdict {
    let (net, folder) = (Net::unused(), Folder::create());
    let store = Store::start(net.listen(2));
    store.put("op/config", CONFIG);
    let worker = |i: u8| {
        let instance = format!("i-{i}");
        Worker::start(net.listen(5 + i), &instance, 0, SERVICE_TIME, record)
    };
    let workers: Vec<Worker> = (0..WORKERS).map(worker).collect();
    for (i, worker) in workers.iter().enumerate() {
        let entry = format!(
            "{{\"backend\":\"inventory\",\"address\":\"{}\",\"zone\":\"z1\",\"capacity\":1,\
             \"phase\":\"ready\"}}",
            worker.address
        );
        store.put(&format!("servers/inventory-{i}"), &entry);
        record.line(&format!(
            "another writer writes servers/inventory-{i}: {entry}"
        ));
    }
    let mut gateways: Vec<Gateway> = (0..GATEWAYS)
        .map(|i| Gateway::start(net, &folder.0, i, store.address))
        .collect();
    if !wait_until_ready(&gateways) {
        record.line("the machines did not become ready");
        return Verdict::NotRun;
    }
    for worker in &workers {
        store.put(
            &format!("servers/{}", worker.instance),
            &worker.entry("ledger"),
        );
        record.line(&format!("{} registers", worker.instance));
    }
    std::thread::sleep(Duration::from_secs(4));
    let before = send_all(record, &gateways, "before");
    if has_trouble {
        for gateway in &mut gateways {
            gateway.daemon.kill();
            record.line(&format!("SIGKILL to {}", gateway.name));
        }
        std::thread::sleep(RESTART_DELAY);
        for gateway in &mut gateways {
            gateway.daemon.start();
        }
    }
    if !wait_until_ready(&gateways) {
        record.line("the machines did not become ready");
        return Verdict::NotRun;
    }
    let back_at = record.now();
    record.line("all machines are back and ready");
    record.sleep_until(back_at + RECOVERY_S + 0.1);
    let after = send_all(record, &gateways, "after");
    record.line(&format!(
        "served before the fault: {before} of {REQUESTS}; later than {RECOVERY_S} s after it: \
         {after} of {REQUESTS}"
    ));
    if before * 4 < REQUESTS {
        return Verdict::NotRun;
    }
    if after * 4 < REQUESTS {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

/// Sends requests to the machines in turn, each with one retry as clients make it; returns how many
/// were served.
fn send_all(record: &Record, gateways: &[Gateway], phase: &str) -> usize {
    let mut served = 0;
    for number in 0..REQUESTS {
        let mut is_served = false;
        for retry in 0..2 {
            let gateway = &gateways[(number + retry) % gateways.len()];
            let attempt = format!("{phase}-{number}-{retry}");
            let answer = send(gateway, number, &attempt);
            record.line(&format!(
                "client: {attempt} sent to {}, status {}, body {:?}",
                gateway.name,
                answer.status(),
                String::from_utf8_lossy(&answer.body)
                    .chars()
                    .take(24)
                    .collect::<String>()
            ));
            is_served = answer.is_complete && answer.status() == 200;
            if is_served {
                break;
            }
            let head = answer.head.as_ref();
            let pause = head.and_then(|h| h.get("Retry-After")?.parse::<f64>().ok());
            // At most a third of the time that is left.
            std::thread::sleep(Duration::from_secs_f64(
                pause.unwrap_or(0.0).clamp(0.0, 0.5),
            ));
        }
        served += usize::from(is_served);
        std::thread::sleep(REQUEST_PAUSE);
    }
    served
}

fn send(gateway: &Gateway, number: usize, attempt: &str) -> Answer {
    let request = format!(
        "GET /look/{number} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\n\
         Deadline-Ms: 1500\r\nAuthorization: Token key-1\r\nConnection: close\r\n\r\n"
    );
    match Conn::connect(gateway.callers) {
        Ok(mut conn) => exchange(&mut conn, request.as_bytes(), Duration::from_millis(1500)),
        Err(_) => Answer::none(),
    }
}
