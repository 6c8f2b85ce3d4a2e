//! A model engine: generates token streams in a limited number of batch slots, and obeys orders.
//!
//! - `POST /v1/generate` streams one JSON line per token and a closing line.
//! - `POST /v1/cancel` cancels a request; its slot is free when the response arrives.
//! - `POST /v1/order` gives an order with a fencing number.
//! - `GET /v1/load` returns a load report that lags.
//! - [`crate::group`] lists the further paths of an engine that is a rank of a group.

mod generate;
pub(crate) mod load;
mod orders;
mod prefix;
mod slots;

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use http::{Method, Request, Response, StatusCode};
use hyper::body::Incoming;

pub use self::generate::{CancelRequest, Generate, StreamLine, token};
pub use self::load::EngineLoad;
pub use self::orders::{ObeyedOrder, Order, OrderAnswer, OrderRequest};

use self::generate::ActiveRequest;
use self::load::LaggingLoad;
use self::orders::Orders;
use self::prefix::PrefixCache;
use self::slots::Slots;
use crate::group::{GROUP_PATH_PREFIX, GroupRank};
use crate::health::{Health, HealthConfig, HealthState, UpstreamView};
use crate::server::{self, Body, ConnectionSwitch, Handler, HttpServer};

/// Settings of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Name, initial state, warm-up and restart.
    pub health: HealthConfig,
    /// Number of requests that generate at once; the others wait inside the engine, the most urgent
    /// first.
    pub slots: u32,
    /// Time spent on a prompt whose prefix is not cached before its first token, while warm.
    pub prefill_time: Duration,
    /// Time per token while warm.
    pub token_time: Duration,
    /// Number of tokens sent as one chunk.
    pub tokens_per_chunk: u32,
    /// Capacity of the prefix cache, in prefixes.
    pub prefix_cache: usize,
    /// How far load reports lag behind.
    pub report_lag: Duration,
    /// Whether the engine refuses orders with an old fencing number.
    pub checks_fencing: bool,
    /// The rank that it is in a group; `None` if it belongs to no group.
    pub group: Option<GroupRank>,
}

impl Default for EngineConfig {
    fn default() -> Self {
        Self {
            health: HealthConfig::default(),
            slots: 16,
            prefill_time: Duration::from_millis(20),
            token_time: Duration::from_millis(5),
            tokens_per_chunk: 1,
            prefix_cache: 256,
            report_lag: Duration::from_millis(200),
            checks_fencing: true,
            group: None,
        }
    }
}

/// A running engine.
#[derive(Debug)]
pub struct Engine {
    server: HttpServer,
    core: Arc<Core>,
}

impl Engine {
    /// Starts an engine on an ephemeral loopback port.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn bind(cfg: EngineConfig) -> io::Result<Self> {
        let connections = ConnectionSwitch::default();
        let health = Health::new(cfg.health.clone(), connections.clone());
        if let Some(group) = &cfg.group {
            group.attach(health.clone());
        }
        let core = Arc::new(Core {
            slots: Slots::new(cfg.slots),
            prefix: Mutex::new(PrefixCache::new(cfg.prefix_cache)),
            orders: Mutex::new(Orders::new(cfg.checks_fencing)),
            load: Mutex::new(LaggingLoad::new(cfg.report_lag)),
            active_requests: Mutex::default(),
            health,
            cfg,
        });
        let server = HttpServer::bind(core.clone(), connections).await?;
        Ok(Self { server, core })
    }

    /// The address it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.server.addr()
    }

    /// Puts the engine into a state.
    pub fn set_state(&self, state: HealthState) {
        self.core.health.set_state(state);
    }

    /// Its state and counters.
    #[must_use]
    pub fn view(&self) -> UpstreamView {
        self.core.health.view()
    }

    /// The orders that it obeyed, oldest first.
    #[must_use]
    pub fn orders_obeyed(&self) -> Vec<ObeyedOrder> {
        lock(&self.core.orders).obeyed().to_vec()
    }

    /// Closes all connections and waits until their tasks have ended.
    pub async fn shutdown(&self) {
        self.server.shutdown().await;
    }
}

/// State that all requests of an engine share.
#[derive(Debug)]
pub(crate) struct Core {
    cfg: EngineConfig,
    health: Health,
    slots: Slots,
    prefix: Mutex<PrefixCache>,
    orders: Mutex<Orders>,
    load: Mutex<LaggingLoad>,
    /// Requests by `request_id` and `attempt`, to be found by `cancel`.
    active_requests: Mutex<HashMap<(u64, u32), Arc<ActiveRequest>>>,
}

#[async_trait]
impl Handler for Core {
    async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let (head, body) = req.into_parts();
        if (&head.method, head.uri.path()) == (&Method::GET, "/v1/load") {
            return self.load();
        }
        let Some(body) = server::read_body(body).await else {
            return server::error(StatusCode::BAD_REQUEST, "the body cannot be read");
        };
        if let Some(group) = self
            .cfg
            .group
            .as_ref()
            .filter(|_| head.uri.path().starts_with(GROUP_PATH_PREFIX))
        {
            return group.answer(&head, &body);
        }
        match (&head.method, head.uri.path()) {
            (&Method::POST, "/v1/generate") => self.generate(&body).await,
            (&Method::POST, "/v1/cancel") => self.cancel(&body),
            (&Method::POST, "/v1/order") => self.order(&body),
            _ => server::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }
}

impl Core {
    fn load(&self) -> Response<Body> {
        let view = self.health.view();
        let report = lock(&self.load).report(&view, self.slots.waiting());
        server::json(StatusCode::OK, &report)
    }

    fn cancel(&self, body: &[u8]) -> Response<Body> {
        let Ok(req) = serde_json::from_slice::<CancelRequest>(body) else {
            return server::error(StatusCode::BAD_REQUEST, "the body is no cancel request");
        };
        let active = lock(&self.active_requests).remove(&(req.request_id, req.attempt));
        let found = active.is_some();
        if let Some(active) = active {
            active.cancel();
        }
        server::json(StatusCode::OK, &serde_json::json!({ "cancelled": found }))
    }

    fn order(&self, body: &[u8]) -> Response<Body> {
        let Ok(req) = serde_json::from_slice::<OrderRequest>(body) else {
            return server::error(StatusCode::BAD_REQUEST, "the body is no order");
        };
        let answer = lock(&self.orders).apply(req);
        let status = if answer.obeyed {
            StatusCode::OK
        } else {
            StatusCode::CONFLICT
        };
        server::json(status, &answer)
    }
}

pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
