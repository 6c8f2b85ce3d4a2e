//! Latency that the daemons add to a stream, and the rate they sustain.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use async_trait::async_trait;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::Request;
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use oriole_local::prelude::*;
use oriole_standins::health::HealthState;
use tokio::sync::mpsc;

use crate::prelude::*;
use crate::process;

/// Requests per second at the peak.
const REQUESTS_PER_S: u32 = 1_400;

/// Tokens per second at the peak.
const TOKENS_PER_S: u32 = 530_000;

/// Time per token at the engine. Streams have the length and rate of the real peak, but each runs
/// faster, so that fewer run at once.
const TOKEN_TIME: Duration = Duration::from_millis(4);

/// Tokens that an engine sends at once. If it sent them one by one, the loopback device and the
/// stand-ins alone would take more processor time than the machine has.
const TOKENS_PER_CHUNK: u32 = 8;

/// Default length of the measured part of each phase.
const PHASE_DURATION: Duration = Duration::from_secs(6);

/// Ramp-up before the measured part of each phase. Agents let an engine's load grow only on proof
/// that it is warm.
const WARM_UP_DURATION: Duration = Duration::from_secs(6);

/// Requests in flight that an engine can take.
const ENGINE_CONCURRENCY: u32 = 400;

/// Requests in flight that a cold engine can take. At most this many may start between two proofs
/// of warmth, a few tens of milliseconds apart; each engine here gets 70 times the requests of one
/// in the full-size fleet.
const COLD_CONCURRENCY: u32 = 32;

/// Interval at which due requests are sent.
const SEND_INTERVAL: Duration = Duration::from_millis(1);

/// Added latency and highest rate of the whole path.
pub struct Path;

#[async_trait]
impl Experiment for Path {
    fn name(&self) -> &'static str {
        "path"
    }

    fn about(&self) -> &'static str {
        "latency added by the daemons at the peak rate, against the engines asked directly"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        let deployment = Arc::new(Deployment::start(&spec()?).await?);
        let peak = LoadProfile {
            requests_per_s: f64::from(REQUESTS_PER_S),
            warm_up: WARM_UP_DURATION,
            length: options.duration_or(PHASE_DURATION),
        };
        let quarter = LoadProfile {
            requests_per_s: peak.requests_per_s / 4.0,
            warm_up: WARM_UP_DURATION / 2,
            length: peak.length,
        };
        let mut report = Report::default();
        for (name, profile) in [("quarter_", &quarter), ("", &peak)] {
            let direct = measure(&deployment, Route::Direct, profile).await?;
            let through = measure(&deployment, Route::Through, profile).await?;
            add_figures(&mut report, name, &direct, &through, profile);
        }
        Ok(add_bounds(report))
    }
}

/// Rate and length of a phase.
struct LoadProfile {
    requests_per_s: f64,
    warm_up: Duration,
    length: Duration,
}

/// How requests reach the engines: without the daemons or through them.
#[derive(Clone, Copy, PartialEq)]
enum Route {
    Direct,
    Through,
}

/// Result of one request.
struct Sample {
    first_byte: Duration,
    tokens: u64,
    complete: bool,
    measured: bool,
}

/// Results of a phase.
struct Phase {
    first_byte_us: Histogram<u64>,
    complete: u64,
    failed: u64,
    tokens: u64,
    cpu: Duration,
    resident_mb: f64,
}

fn spec() -> eyre::Result<DeploymentSpec> {
    let mut spec = DeploymentSpec::named(DeploymentName::Grucce)?;
    spec.engines = 12;
    for pool in spec.catalog.pools.values_mut() {
        pool.warm_concurrency = ENGINE_CONCURRENCY;
        pool.cold_concurrency = COLD_CONCURRENCY;
    }
    for account in spec.catalog.accounts.values_mut() {
        account.requests_per_s = REQUESTS_PER_S * 10;
        account.burst = REQUESTS_PER_S * 10;
        account.max_in_flight = REQUESTS_PER_S * 100;
    }
    spec.engine.health.initial = HealthState::Ok;
    spec.service.health.initial = HealthState::Ok;
    spec.engine.token_time = TOKEN_TIME;
    spec.engine.tokens_per_chunk = TOKENS_PER_CHUNK;
    spec.engine.prefill_time = Duration::from_millis(5);
    Ok(spec)
}

async fn measure(
    deployment: &Arc<Deployment>,
    route: Route,
    profile: &LoadProfile,
) -> eyre::Result<Phase> {
    let sender = Arc::new(Sender::open(deployment, route)?);
    let (tx, mut rx) = mpsc::unbounded_channel();
    let started = Instant::now();
    let mut interval = tokio::time::interval(SEND_INTERVAL);
    let mut sent: u32 = 0;
    let cpu_before = process::cpu_time()?;
    while started.elapsed() < profile.warm_up + profile.length {
        interval.tick().await;
        let due = profile.requests_due(started.elapsed());
        while f64::from(sent) < due {
            let (sender, tx) = (Arc::clone(&sender), tx.clone());
            let measured = started.elapsed() >= profile.warm_up;
            let number = sent;
            tokio::spawn(async move {
                let sample = sender.send(number, measured).await;
                // The receiver is dropped only after all samples are in.
                let _ = tx.send(sample);
            });
            sent += 1;
        }
    }
    drop(tx);
    let mut phase = Phase::new();
    while let Some(sample) = rx.recv().await {
        phase.add(&sample);
    }
    phase.cpu = process::cpu_time()?.saturating_sub(cpu_before);
    phase.resident_mb = process::resident_mb()?;
    Ok(phase)
}

impl LoadProfile {
    /// Returns the number of requests due by a time since the start of the phase.
    fn requests_due(&self, elapsed: Duration) -> f64 {
        let (elapsed, warm_up) = (elapsed.as_secs_f64(), self.warm_up.as_secs_f64());
        let rising = elapsed.min(warm_up);
        let steady = (elapsed - warm_up).max(0.0);
        self.requests_per_s * (rising * rising / (2.0 * warm_up) + steady)
    }
}

/// Sends requests to the engines over one route.
struct Sender {
    route: Route,
    engines: Vec<SocketAddr>,
    entries: Vec<SocketAddr>,
    caller: Caller,
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Sender {
    fn open(deployment: &Deployment, route: Route) -> eyre::Result<Self> {
        let ready = deployment.ready();
        let key = ready.accounts.values().next();
        let key = key.ok_or_else(|| eyre::eyre!("no account"))?;
        let upstreams = deployment.platform().upstreams.iter();
        let engines = upstreams.filter(|u| u.pool.as_str() == "dispatch");
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        Ok(Self {
            route,
            engines: engines.map(|u| u.upstream.addr()).collect(),
            entries: ready.caller_addresses.clone(),
            caller: Caller::open(key),
            client: Client::builder(TokioExecutor::new()).build(connector),
        })
    }

    async fn send(&self, number: u32, measured: bool) -> Sample {
        let sent = match self.route {
            Route::Direct => self.send_direct(number).await,
            Route::Through => self.send_through(number).await,
        };
        let (first_byte, tokens, complete) = sent.unwrap_or((Duration::ZERO, 0, false));
        Sample {
            first_byte,
            tokens,
            complete,
            measured,
        }
    }

    async fn send_through(&self, number: u32) -> eyre::Result<(Duration, u64, bool)> {
        let addr = self.entries[number as usize % self.entries.len()];
        let req = CallerRequest {
            entry: "pickup-notes",
            body: body(number),
            stream: true,
            ..CallerRequest::default()
        };
        let answer = self.caller.send(addr, &req).await?;
        let complete = answer.outcome == "complete" && answer.tokens == tokens_per_request();
        Ok((answer.first_byte, answer.tokens, complete))
    }

    async fn send_direct(&self, number: u32) -> eyre::Result<(Duration, u64, bool)> {
        let addr = self.engines[number as usize % self.engines.len()];
        let req =
            Request::post(format!("http://{addr}/v1/generate")).body(Full::new(body(number)))?;
        let started = Instant::now();
        let mut response = self.client.request(req).await?;
        let first = response.body_mut().frame().await;
        let first_byte = started.elapsed();
        let first = first.and_then(Result::ok).and_then(|f| f.into_data().ok());
        let rest = response.into_body().collect().await?.to_bytes();
        let lines = |data: &[u8]| data.iter().filter(|b| **b == b'\n').count() as u64;
        let tokens = first.map_or(0, |data| lines(&data)) + lines(&rest);
        // The last line ends the answer and is not a token.
        let tokens = tokens.saturating_sub(1);
        Ok((first_byte, tokens, tokens == tokens_per_request()))
    }
}

fn tokens_per_request() -> u64 {
    u64::from(TOKENS_PER_S.div_ceil(REQUESTS_PER_S))
}

fn body(number: u32) -> Bytes {
    let tokens = tokens_per_request();
    format!(r#"{{"prompt":"note {number}","max_tokens":{tokens}}}"#).into()
}

impl Phase {
    fn new() -> Self {
        Self {
            first_byte_us: Histogram::new(3).expect("3 digits are allowed"),
            complete: 0,
            failed: 0,
            tokens: 0,
            cpu: Duration::ZERO,
            resident_mb: 0.0,
        }
    }

    fn add(&mut self, sample: &Sample) {
        if !sample.measured {
            return;
        }
        if !sample.complete {
            self.failed += 1;
            return;
        }
        self.complete += 1;
        self.tokens += sample.tokens;
        let us = u64::try_from(sample.first_byte.as_micros()).unwrap_or(u64::MAX);
        // Cannot fail: the histogram resizes itself.
        let _ = self.first_byte_us.record(us);
    }

    fn quantile_us(&self, quantile: f64) -> f64 {
        self.first_byte_us.value_at_quantile(quantile) as f64
    }
}

/// Adds the figures of one rate under a prefix.
fn add_figures(
    report: &mut Report,
    prefix: &str,
    direct: &Phase,
    through: &Phase,
    profile: &LoadProfile,
) {
    let added = |q: f64| through.quantile_us(q) - direct.quantile_us(q);
    let seconds = profile.length.as_secs_f64();
    let total_seconds = (profile.length + profile.warm_up).as_secs_f64();
    let figures = [
        ("direct_p50_us", direct.quantile_us(0.5)),
        ("direct_p99_us", direct.quantile_us(0.99)),
        ("through_p50_us", through.quantile_us(0.5)),
        ("through_p99_us", through.quantile_us(0.99)),
        ("added_p50_us", added(0.5)),
        ("added_p99_us", added(0.99)),
        ("requests_per_s", through.complete as f64 / seconds),
        ("tokens_per_s", through.tokens as f64 / seconds),
        ("not_complete", through.failed as f64),
        ("cpu_cores_direct", direct.cpu.as_secs_f64() / total_seconds),
        (
            "cpu_cores_through",
            through.cpu.as_secs_f64() / total_seconds,
        ),
        ("resident_mb_all_daemons", through.resident_mb),
    ];
    for (name, value) in figures {
        report.figure(&format!("{prefix}{name}"), value);
    }
    report.curve(&format!("{prefix}direct"), quantile_curve(direct));
    report.curve(&format!("{prefix}through"), quantile_curve(through));
}

fn add_bounds(mut report: Report) -> Report {
    report
        .bound("added_p50_us", Limit::AtMost(300.0))
        .bound("added_p99_us", Limit::AtMost(2_000.0))
        .bound("not_complete", Limit::AtMost(0.0))
        .bound(
            "requests_per_s",
            Limit::AtLeast(f64::from(REQUESTS_PER_S) * 0.99),
        )
        .bound(
            "tokens_per_s",
            Limit::AtLeast(f64::from(TOKENS_PER_S) * 0.99),
        );
    report
}

/// Returns the first-byte latency in microseconds for each percentile.
fn quantile_curve(phase: &Phase) -> Vec<(f64, f64)> {
    (1..100)
        .map(|p| (f64::from(p), phase.quantile_us(f64::from(p) / 100.0)))
        .collect()
}
