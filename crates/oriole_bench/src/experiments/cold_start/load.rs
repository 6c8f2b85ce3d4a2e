//! Entries that send load, and the baseline in which entries admit by their own estimates.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use hdrhistogram::Histogram;
use http::{Method, Request};
use http_body_util::{BodyExt, Full};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use oriole_standins::engine::EngineLoad;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha12Rng;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::{COLD_CONCURRENCY, RAMP, TOKENS, WARM_CONCURRENCY};

const DEADLINE: Duration = Duration::from_secs(2);
const RETRY_PAUSE: Duration = Duration::from_millis(20);
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Share of the constant load at the start of the ramp.
const MIN_LOAD_SHARE: f64 = 0.02;
/// Longest latency that is recorded, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;
/// Text in the line that ends a complete stream.
const DONE_MARKER: &[u8] = b"\"done\":true";

/// How one attempt ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Attempt {
    Complete,
    Refused,
    Lost,
}

/// An upstream to which an entry can send requests.
#[async_trait]
pub(super) trait Target: Send + Sync + 'static {
    async fn attempt(&self, entry: usize, prompt: &str, deadline: Duration) -> Attempt;

    /// Returns the load as the entry sees it.
    fn load(&self, entry: usize) -> u32;

    fn stop(&self);
}

/// HTTP client of one engine.
pub(super) struct Client {
    engine: SocketAddr,
    http: hyper_util::client::legacy::Client<HttpConnector, Full<Bytes>>,
}

impl Client {
    pub(super) fn new(engine: SocketAddr) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_nodelay(true);
        let http = hyper_util::client::legacy::Client::builder(TokioExecutor::new());
        Self {
            engine,
            http: http.build(connector),
        }
    }

    fn request(&self, method: Method, path: &str, body: String) -> Option<Request<Full<Bytes>>> {
        let uri = format!("http://{}{path}", self.engine);
        let req = Request::builder().method(method).uri(uri);
        req.body(Full::from(body)).ok()
    }

    pub(super) async fn load(&self) -> Option<EngineLoad> {
        let req = self.request(Method::GET, "/v1/load", String::new())?;
        let res = self.http.request(req).await.ok()?;
        let body = res.into_body().collect().await.ok()?.to_bytes();
        serde_json::from_slice(&body).ok()
    }

    /// Streams one request; returns whether the stream was complete.
    pub(super) async fn generate(&self, prompt: &str, output: impl Fn(u32) + Send) -> bool {
        let body = serde_json::json!({"prompt": prompt, "max_tokens": TOKENS}).to_string();
        let Some(req) = self.request(Method::POST, "/v1/generate", body) else {
            return false;
        };
        let Ok(mut res) = self.http.request(req).await else {
            return false;
        };
        let mut done = false;
        while let Some(frame) = res.frame().await {
            let Some(data) = frame.ok().and_then(|f| f.into_data().ok()) else {
                return false;
            };
            let lines = data.iter().filter(|b| **b == b'\n').count() as u32;
            done |= data.windows(DONE_MARKER.len()).any(|w| w == DONE_MARKER);
            output(lines - u32::from(done));
        }
        done
    }
}

/// An engine whose load the entries estimate from its lagging report and their own requests.
pub(super) struct Estimates {
    client: Client,
    report: Mutex<EngineLoad>,
    in_flight_by_entry: Mutex<Vec<u32>>,
    stop: CancellationToken,
}

impl Estimates {
    pub(super) fn spawn(engine: SocketAddr) -> Arc<Self> {
        let report = EngineLoad {
            cold: true,
            ..EngineLoad::default()
        };
        let estimates = Arc::new(Self {
            client: Client::new(engine),
            report: Mutex::new(report),
            in_flight_by_entry: Mutex::new(vec![0; super::ENTRIES]),
            stop: CancellationToken::new(),
        });
        tokio::spawn(estimates.clone().poll_load());
        estimates
    }

    async fn poll_load(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(REPORT_INTERVAL);
        while self.stop.run_until_cancelled(ticks.tick()).await.is_some() {
            if let Some(load) = self.client.load().await {
                *lock(&self.report) = load;
            }
        }
    }
}

#[async_trait]
impl Target for Estimates {
    async fn attempt(&self, entry: usize, prompt: &str, _: Duration) -> Attempt {
        let limit = if lock(&self.report).cold {
            COLD_CONCURRENCY
        } else {
            WARM_CONCURRENCY
        };
        if self.load(entry) >= limit {
            return Attempt::Refused;
        }
        lock(&self.in_flight_by_entry)[entry] += 1;
        let complete = self.client.generate(prompt, |_| {}).await;
        lock(&self.in_flight_by_entry)[entry] -= 1;
        if complete {
            return Attempt::Complete;
        }
        // Entries avoid the engine until its next report.
        lock(&self.report).in_flight = WARM_CONCURRENCY;
        Attempt::Lost
    }

    fn load(&self, entry: usize) -> u32 {
        let own = lock(&self.in_flight_by_entry)[entry];
        lock(&self.report).in_flight.max(own)
    }

    fn stop(&self) {
        self.stop.cancel();
    }
}

/// Counts of all entries.
pub(super) struct Tally {
    pub(super) offered: u64,
    pub(super) refused: u64,
    pub(super) lost: u64,
    latency_us: Histogram<u64>,
}

impl Tally {
    fn new() -> Self {
        Self {
            offered: 0,
            refused: 0,
            lost: 0,
            // A constant range and precision always make a valid histogram.
            latency_us: Histogram::new_with_max(MAX_LATENCY_US, 3).expect("valid range"),
        }
    }

    pub(super) fn completed_share(&self) -> f64 {
        self.latency_us.len() as f64 / self.offered.max(1) as f64
    }

    pub(super) fn quantile_ms(&self, quantile: f64) -> f64 {
        self.latency_us.value_at_quantile(quantile) as f64 / 1000.0
    }
}

/// Sends load from many entries for `duration` and waits for the last requests.
pub(super) async fn run_entries<T: Target>(
    count: usize,
    requests_per_s: f64,
    duration: Duration,
    seed: u64,
    targets: Vec<Arc<T>>,
) -> Tally {
    let tally = Arc::new(Mutex::new(Tally::new()));
    let targets = Arc::new(targets);
    let mut entries = JoinSet::new();
    for entry in 0..count {
        let rate = requests_per_s / count as f64;
        let rng = ChaCha12Rng::seed_from_u64(seed.wrapping_mul(1000) + entry as u64);
        entries.spawn(send_all(
            entry,
            rate,
            duration,
            rng,
            targets.clone(),
            tally.clone(),
        ));
    }
    entries.join_all().await;
    let mut tally = lock(&tally);
    std::mem::replace(&mut *tally, Tally::new())
}

async fn send_all<T: Target>(
    entry: usize,
    rate: f64,
    duration: Duration,
    mut rng: ChaCha12Rng,
    targets: Arc<Vec<Arc<T>>>,
    tally: Arc<Mutex<Tally>>,
) {
    let start = Instant::now();
    let mut next = start;
    let mut requests = JoinSet::new();
    while next < start + duration {
        // Exponential gaps; arrivals do not wait for answers.
        let ramp = (next - start).as_secs_f64() / RAMP.as_secs_f64();
        let gap = -(1.0 - rng.random::<f64>()).ln() / (rate * ramp.clamp(MIN_LOAD_SHARE, 1.0));
        next += Duration::from_secs_f64(gap);
        tokio::time::sleep_until(next).await;
        let rng = ChaCha12Rng::seed_from_u64(rng.random());
        requests.spawn(send(entry, rng, targets.clone(), tally.clone()));
    }
    requests.join_all().await;
}

async fn send<T: Target>(
    entry: usize,
    mut rng: ChaCha12Rng,
    targets: Arc<Vec<Arc<T>>>,
    tally: Arc<Mutex<Tally>>,
) {
    lock(&tally).offered += 1;
    let prompt = format!("request {:016x}", rng.random::<u64>());
    let start = Instant::now();
    while let Some(left) = DEADLINE.checked_sub(start.elapsed()) {
        let choices = [(); 2].map(|()| rng.random_range(0..targets.len()));
        let best = choices.into_iter().min_by_key(|n| targets[*n].load(entry));
        let target = &targets[best.unwrap_or(0)];
        match target.attempt(entry, &prompt, left).await {
            Attempt::Complete => {
                let us = start.elapsed().as_micros() as u64;
                lock(&tally).latency_us.saturating_record(us);
                return;
            }
            Attempt::Refused => lock(&tally).refused += 1,
            Attempt::Lost => lock(&tally).lost += 1,
        }
        tokio::time::sleep(RETRY_PAUSE).await;
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
