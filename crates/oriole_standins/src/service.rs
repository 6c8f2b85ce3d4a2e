//! A plain service: each request gets one response, and a ledger counts the executions.
//!
//! - `POST /v1/run` executes a request.
//! - `GET /v1/load` returns a load report that lags.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use async_trait::async_trait;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use oriole_types::digest::Digest;
use oriole_types::domain_type;

use crate::engine::EngineLoad;
use crate::engine::load::LaggingLoad;
use crate::engine::lock;
use crate::health::{Health, HealthConfig, HealthState, RequestGuard, UpstreamView};
use crate::ledger::Ledger;
use crate::server::{self, Body, ConnectionSwitch, Handler, HttpServer};

/// Settings of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceConfig {
    /// Name, initial state, warm-up and restart.
    pub health: HealthConfig,
    /// Time that one request takes while the service is warm.
    pub service_time: Duration,
    /// How far load reports lag behind.
    pub report_lag: Duration,
}

impl Default for ServiceConfig {
    fn default() -> Self {
        Self {
            health: HealthConfig::default(),
            service_time: Duration::from_millis(2),
            report_lag: Duration::from_millis(200),
        }
    }
}

domain_type! {
    /// Response to `POST /v1/run`.
    pub struct RunAnswer {
        /// Idempotency key of the request; empty if it had none.
        pub key: String,
        /// Number of executions with this key so far, this one included.
        pub run: u64,
        /// Digest of the request body, so that a caller can check that the response is to it.
        pub body_digest: Digest,
    }
}

/// A running plain service.
#[derive(Debug)]
pub struct Service {
    server: HttpServer,
    health: Health,
    limit_per_s: Arc<Mutex<Option<f64>>>,
}

impl Service {
    /// Starts a service on an ephemeral loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn bind(cfg: ServiceConfig, ledger: Ledger) -> io::Result<Self> {
        let connections = ConnectionSwitch::default();
        let health = Health::new(cfg.health, connections.clone());
        let limit_per_s = Arc::new(Mutex::new(None));
        let core = Core {
            health: health.clone(),
            service_time: cfg.service_time,
            limit_per_s: limit_per_s.clone(),
            load: Mutex::new(LaggingLoad::new(cfg.report_lag)),
            ledger,
        };
        let server = HttpServer::bind(Arc::new(core), connections).await?;
        Ok(Self {
            server,
            health,
            limit_per_s,
        })
    }

    /// The address it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Puts the service into a state.
    pub fn set_state(&self, state: HealthState) {
        self.health.set_state(state);
    }

    /// Announces a limit in requests per second from now on, or none. Requests beyond it are served
    /// all the same.
    pub fn set_limit(&self, per_s: Option<f64>) {
        *lock(&self.limit_per_s) = per_s;
    }

    /// Its state and counters.
    #[must_use]
    pub fn view(&self) -> UpstreamView {
        self.health.view()
    }

    /// Closes all connections and waits until their tasks have ended.
    pub async fn shutdown(&self) {
        self.server.shutdown().await;
    }
}

struct Core {
    health: Health,
    service_time: Duration,
    limit_per_s: Arc<Mutex<Option<f64>>>,
    load: Mutex<LaggingLoad>,
    ledger: Ledger,
}

#[async_trait]
impl Handler for Core {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        match (req.method(), req.uri().path()) {
            (&Method::POST, "/v1/run") => self.run(req).await,
            (&Method::GET, "/v1/load") => self.load(),
            _ => server::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Core {
    async fn run(&self, req: Request<Incoming>) -> Response<Body> {
        let key = header(&req, "idempotency-key");
        let Some(body) = server::read_body(req.into_body()).await else {
            return server::error(StatusCode::BAD_REQUEST, "the body cannot be read");
        };
        if serde_json::from_slice::<serde_json::Value>(&body).is_err() {
            return server::error(StatusCode::BAD_REQUEST, "the body is not JSON");
        }
        let Ok(guard) = self.health.begin_request(&String::from_utf8_lossy(&body)) else {
            return server::no_answer().await;
        };
        lock(&self.load).sample(&self.health.view(), 0);
        let crashed = guard.crashed();
        let answer = self.execute(guard, key, Digest::of(&body));
        // A started request runs on when its client disconnects, but not beyond a crash.
        let run = tokio::spawn(async move {
            tokio::select! {
                biased;
                () = crashed => None,
                answer = answer => Some(answer),
            }
        });
        match run.await.ok().flatten() {
            Some(answer) => server::json(StatusCode::OK, &answer),
            None => server::no_answer().await,
        }
    }

    fn execute(
        &self,
        mut guard: RequestGuard,
        key: String,
        body_digest: Digest,
    ) -> impl Future<Output = RunAnswer> + Send + 'static {
        let health = self.health.clone();
        let ledger = self.ledger.clone();
        let service_time = self.service_time;
        async move {
            health.wait_while_stalled().await;
            let run = ledger.record(&key);
            tokio::time::sleep(service_time * health.slowdown()).await;
            health.wait_while_stalled().await;
            guard.complete();
            RunAnswer {
                key,
                run,
                body_digest,
            }
        }
    }

    fn load(&self) -> Response<Body> {
        let report = EngineLoad {
            limit_per_s: *lock(&self.limit_per_s),
            ..lock(&self.load).report(&self.health.view(), 0)
        };
        server::json(StatusCode::OK, &report)
    }
}

fn header(req: &Request<Incoming>, name: &str) -> String {
    let value = req.headers().get(name).and_then(|v| v.to_str().ok());
    value.unwrap_or_default().to_owned()
}
