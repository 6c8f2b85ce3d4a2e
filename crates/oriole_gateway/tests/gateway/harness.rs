//! Runs the real daemon with simulated upstreams and a simulated store.

use std::io::Write;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use oriole_fleet::prelude::*;
use oriole_gateway::prelude::*;
use oriole_gateway::settings::{BoundSettings, ListenSettings, PeerSettings, StoreSettings};
use oriole_kernel::logging;
use oriole_store::error::StoreError;
use oriole_store::store::LeaseId;
use rand::RngExt as _;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::fake::{FakeDialect, item, services};

/// Time limit for a log line, a response or readiness.
const TIMEOUT: Duration = Duration::from_secs(10);

/// A store with a fixed set of items.
struct FakeStore {
    items: Vec<Item>,
    /// Number of peer listings that are still refused.
    peer_refusals: Mutex<usize>,
    /// Time that each listing takes.
    list_delay: Duration,
}

#[async_trait]
impl FleetStore for FakeStore {
    async fn list(
        &self,
        prefix: &str,
        _after: Option<&str>,
        _freshness: Freshness,
    ) -> Result<ListPage, StoreError> {
        tokio::time::sleep(self.list_delay).await;
        if prefix == "peer/" {
            let mut refusals = self.peer_refusals.lock().unwrap();
            if *refusals > 0 {
                *refusals -= 1;
                return Err(StoreError::Unavailable);
            }
        }
        let items = self.items.iter().filter(|i| i.key.starts_with(prefix));
        Ok(ListPage {
            items: items.cloned().collect(),
            truncated: false,
            store_revision: 9,
        })
    }

    async fn watch(&self, _: &str, after: u64, wait: Duration) -> Result<WatchOutcome, StoreError> {
        tokio::time::sleep(wait).await;
        Ok(WatchOutcome::Changes {
            changes: Vec::new(),
            resume_revision: after,
        })
    }

    async fn grant_lease(&self, _: Duration) -> Result<LeaseId, StoreError> {
        Ok(LeaseId(1))
    }

    async fn renew_lease(&self, _: LeaseId) -> Result<(), StoreError> {
        Ok(())
    }

    async fn put(&self, _: PutItem<'_>) -> Result<(), StoreError> {
        Ok(())
    }
}

/// Collects the daemon's log lines.
#[derive(Clone, Default)]
pub struct LogBuffer(Arc<Mutex<Vec<u8>>>);

impl Write for LogBuffer {
    fn write(&mut self, buf: &[u8]) -> std::io::Result<usize> {
        self.0.lock().unwrap().extend_from_slice(buf);
        Ok(buf.len())
    }

    fn flush(&mut self) -> std::io::Result<()> {
        Ok(())
    }
}

impl LogBuffer {
    /// Whether a line contains `text`.
    pub fn contains(&self, text: &str) -> bool {
        String::from_utf8_lossy(&self.0.lock().unwrap()).contains(text)
    }

    /// Waits for a line that contains `text`.
    pub async fn wait_for(&self, text: &str) {
        let began = tokio::time::Instant::now();
        while !self.contains(text) {
            assert!(began.elapsed() < TIMEOUT, "no line with {text:?}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Waits for a line of kind `last` about a request; returns kind and text of all lines about
    /// it.
    pub async fn lines(&self, request: &str, last: &str) -> Vec<(String, String)> {
        let began = tokio::time::Instant::now();
        loop {
            let text = String::from_utf8(self.0.lock().unwrap().clone()).unwrap();
            let lines: Vec<(String, String)> = text
                .lines()
                .filter_map(|l| {
                    let record: serde_json::Value = serde_json::from_str(l).ok()?;
                    let is_about = record["request"] == request;
                    is_about.then(|| (record["msg"].as_str().unwrap().to_owned(), l.to_owned()))
                })
                .collect();
            if lines.iter().any(|(kind, _)| kind == last) {
                return lines;
            }
            assert!(began.elapsed() < TIMEOUT, "no {last} line:\n{text}");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }
}

/// Starts an upstream that accepts connections and never answers.
pub async fn silent_upstream() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut streams = Vec::new();
        while let Ok((stream, _)) = listener.accept().await {
            streams.push(stream);
        }
    });
    address
}

/// Starts an upstream that sends the same bytes to each request and closes the connection. Also
/// returns its count of requests.
pub async fn upstream(response: &'static str) -> (SocketAddr, Arc<Mutex<usize>>) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let requests = Arc::new(Mutex::new(0));
    let count = requests.clone();
    tokio::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            let mut buf = vec![0; 4096];
            if stream.read(&mut buf).await.unwrap_or(0) > 0 {
                *count.lock().unwrap() += 1;
                let _ = stream.write_all(response.as_bytes()).await;
                let _ = stream.shutdown().await;
            }
        }
    });
    (address, requests)
}

/// A public route whose streams are not resumable.
pub fn route(kind: RouteKind) -> Route {
    Route {
        name: "r".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/a/".to_owned(),
        kind,
        resumable: false,
        services: vec![ServiceShare {
            service: "llm".to_owned(),
            weight: 1,
        }],
        max_attempts: 2,
        timeout: Duration::from_secs(5),
        latency_objective: Duration::from_secs(1),
        target_gap: None,
        priority: 1,
        public: true,
    }
}

/// An address on a loopback IP of its own. On a shared IP any other socket could take the port
/// between this call and the daemon's bind.
fn free_address() -> SocketAddr {
    let mut rng = rand::rng();
    let mut octet = || rng.random_range(1..=250);
    let ip = Ipv4Addr::new(127, octet(), octet(), octet());
    let listener = std::net::TcpListener::bind((ip, 0)).unwrap();
    listener.local_addr().unwrap()
}

/// Settings of a daemon with the product's default times.
pub fn settings() -> GatewaySettings {
    GatewaySettings {
        name: "edge-1".to_owned(),
        domain: "north".to_owned(),
        platform: "fake".to_owned(),
        log_level: "info".to_owned(),
        max_descriptors: 512,
        listen: ListenSettings {
            callers: free_address(),
            ready: free_address(),
            endpoints: free_address(),
            metrics: free_address(),
        },
        peers: PeerSettings {
            listen: free_address(),
            seeds: Vec::new(),
        },
        store: StoreSettings::new(free_address()),
        bounds: BoundSettings {
            retry_ratio: 0.2,
            retry_window_s: 10.0,
            retry_allowance: 196.0,
            cold_overage: 1.5,
            cold_allowance: 5.0,
            drain_ms: 2000.0,
            grace_s: 8.0,
        },
    }
}

/// A running daemon and its log.
pub struct Harness {
    callers: SocketAddr,
    /// Log lines written so far.
    pub log: LogBuffer,
    daemon: GatewayDaemon,
}

/// Starts a daemon with one upstream.
pub async fn start(kind: RouteKind, upstream: SocketAddr) -> Harness {
    start_with_upstreams(route(kind), &[upstream]).await
}

/// Starts a daemon with some upstreams.
pub async fn start_with_upstreams(route: Route, upstreams: &[SocketAddr]) -> Harness {
    let mut items = vec![item("cfg/0", "3", 1)];
    for (i, upstream) in upstreams.iter().enumerate() {
        let value = format!("llm {upstream} north ready");
        items.push(item(&format!("up/i-{}", i + 1), &value, i as u64 + 2));
    }
    start_with_items(route, items, 0).await
}

/// Starts a daemon whose store holds `items` and refuses the first `peer_refusals` peer listings.
pub async fn start_with_items(route: Route, items: Vec<Item>, peer_refusals: usize) -> Harness {
    let store = FakeStore {
        items,
        peer_refusals: Mutex::new(peer_refusals),
        list_delay: Duration::ZERO,
    };
    start_with_store(route, store).await
}

/// Starts a daemon with one upstream and a store whose listings take `list_delay`.
pub async fn start_with_slow_store(
    kind: RouteKind,
    upstream: SocketAddr,
    list_delay: Duration,
) -> Harness {
    let value = format!("llm {upstream} north ready");
    let store = FakeStore {
        items: vec![item("cfg/0", "3", 1), item("up/i-1", &value, 2)],
        peer_refusals: Mutex::new(0),
        list_delay,
    };
    start_with_store(route(kind), store).await
}

/// Starts a daemon with one upstream and a grace period for its shutdown.
pub async fn start_with_grace(route: Route, upstream: SocketAddr, grace: Duration) -> Harness {
    let mut cfg = settings();
    cfg.bounds.grace_s = grace.as_secs_f64();
    let value = format!("llm {upstream} north ready");
    let store = FakeStore {
        items: vec![item("cfg/0", "3", 1), item("up/i-1", &value, 2)],
        peer_refusals: Mutex::new(0),
        list_delay: Duration::ZERO,
    };
    start_with(cfg, route, store).await
}

/// Starts a daemon with several routes, whose store holds `items`.
pub async fn start_with_routes(routes: Vec<Route>, items: Vec<Item>) -> Harness {
    let store = FakeStore {
        items,
        peer_refusals: Mutex::new(0),
        list_delay: Duration::ZERO,
    };
    start_daemon(settings(), routes, store).await
}

async fn start_with_store(route: Route, store: FakeStore) -> Harness {
    start_with(settings(), route, store).await
}

async fn start_with(cfg: GatewaySettings, route: Route, store: FakeStore) -> Harness {
    start_daemon(cfg, vec![route], store).await
}

async fn start_daemon(cfg: GatewaySettings, routes: Vec<Route>, store: FakeStore) -> Harness {
    let callers = cfg.listen.callers;
    let dialect = FakeDialect {
        configuration: Some(Configuration {
            routes: RouteTable::new(routes),
            services: services(),
            ..Configuration::default()
        }),
        ..FakeDialect::default()
    };
    let log = LogBuffer::default();
    let logger =
        logging::writer_logger("edge-1", logging::parse_level("info").unwrap(), log.clone());
    let daemon = GatewayDaemon::bind(cfg, Arc::new(dialect), Arc::new(store), logger)
        .await
        .unwrap();
    Harness {
        callers,
        log,
        daemon,
    }
}

impl Harness {
    /// Address for callers' requests.
    pub fn callers(&self) -> SocketAddr {
        self.callers
    }

    /// Shuts the daemon down in a task, which ends when it has stopped.
    pub fn shut_down(self) -> JoinHandle<()> {
        tokio::spawn(self.daemon.shutdown())
    }

    /// Sends a valid request with attempt id `id` until the daemon is ready; returns the whole
    /// response.
    pub async fn post(&self, id: &str) -> String {
        let req = format!(
            "POST /a/x HTTP/1.1\r\nHost: a.example\r\nattempt: {id}\r\n\
             Content-Length: 2\r\nConnection: close\r\n\r\nhi"
        );
        self.send_until_ready(&req).await
    }

    /// Sends bytes until the daemon is ready; returns everything received until the connection
    /// closed.
    pub async fn send_until_ready(&self, req: &str) -> String {
        let began = tokio::time::Instant::now();
        loop {
            let response = self.send_once(req).await;
            if !response.contains("not_ready") {
                return response;
            }
            assert!(began.elapsed() < TIMEOUT, "the daemon did not become ready");
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Sends bytes once; returns everything received.
    pub async fn send_once(&self, req: &str) -> String {
        let mut stream = TcpStream::connect(self.callers).await.unwrap();
        // The daemon may close the connection before everything is written.
        let _ = stream.write_all(req.as_bytes()).await;
        let mut response = Vec::new();
        // An interrupted stream ends with an error or without its last chunk.
        let _ = tokio::time::timeout(TIMEOUT, stream.read_to_end(&mut response)).await;
        String::from_utf8_lossy(&response).into_owned()
    }
}
