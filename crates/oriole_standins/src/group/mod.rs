//! A model group: engines that run their steps in lockstep, under expert maps that their agents
//! order.
//!
//! - `POST /v1/group/order` gives an order and returns the engine's state after it.
//! - `GET /v1/group/state` returns the engine's state.
//! - `GET /v1/group/map/{version}-{digest}` returns a map that the engine has staged.
//! - `GET /v1/group/load` returns the tokens that the rank's slots took since the last such
//!   request.

mod demand;
mod engines;

use std::fmt;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use http::request::Parts;
use http::{Method, Response, StatusCode};
use oriole_placement::map::{ExpertMap, MapId};
use oriole_rollout::engine::{EngineOrder, EngineState};
use oriole_types::domain_type;
use tokio::time::Instant;
use tokio_util::task::AbortOnDropHandle;

use self::engines::GroupEngines;
use crate::engine::lock;
use crate::health::Health;
use crate::server::{self, Body};

/// Prefix of the paths that only the engine of a group serves.
pub const GROUP_PATH_PREFIX: &str = "/v1/group/";

/// Time between two checks whether a step can start or has finished.
const TICK_INTERVAL: Duration = Duration::from_millis(2);

/// Settings of a group.
#[derive(Clone, Debug)]
pub struct GroupConfig {
    /// Number of ranks.
    pub ranks: usize,
    /// Number of experts in a layer.
    pub experts: usize,
    /// Number of layers.
    pub layers: usize,
    /// Duration of a step when all ranks have the same load.
    pub step_time: Duration,
    /// Time that an engine takes to load the weights of a map.
    pub load_time: Duration,
    /// Period of the demand for each expert.
    pub drift_period: Duration,
    /// Seed of the demand for experts.
    pub seed: u64,
    /// Whether engines refuse orders with an old fencing number.
    pub checks_fencing: bool,
}

impl Default for GroupConfig {
    fn default() -> Self {
        Self {
            ranks: 1,
            experts: 64,
            layers: 2,
            step_time: Duration::from_millis(20),
            load_time: Duration::from_millis(200),
            drift_period: Duration::from_mins(1),
            seed: 1,
            checks_fencing: true,
        }
    }
}

domain_type! {
    /// Response to `GET /v1/group/load`.
    #[derive(Default)]
    pub struct GroupLoad {
        /// Tokens that each slot took since the last such request, layer by layer.
        pub tokens: Vec<Vec<f32>>,
        /// Load per busy time, relative to a typical rank; always `None` in this stand-in.
        pub speed: Option<f32>,
    }
}

/// Consecutive steps that used the same maps.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StepSpan {
    /// Number of the first step.
    pub first: u64,
    /// Number of steps.
    pub steps: u64,
    /// Maps that the ranks used in each of these steps; more than one means that ranks disagreed.
    pub maps: std::collections::BTreeSet<MapId>,
}

/// The engines of one group; they run their steps until this is dropped.
pub struct LockStep {
    engines: Arc<Mutex<GroupEngines>>,
    _task: AbortOnDropHandle<()>,
}

impl fmt::Debug for LockStep {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("LockStep").finish_non_exhaustive()
    }
}

impl LockStep {
    /// Starts a group whose engines have no map.
    #[must_use]
    pub fn spawn(cfg: GroupConfig) -> Arc<Self> {
        let engines = Arc::new(Mutex::new(GroupEngines::new(cfg)));
        let task = tokio::spawn(run_ticks(Arc::clone(&engines)));
        Arc::new(Self {
            engines,
            _task: AbortOnDropHandle::new(task),
        })
    }

    /// The handle of one rank, for [`EngineConfig::group`](crate::engine::EngineConfig::group).
    #[must_use]
    pub fn rank(self: &Arc<Self>, rank: usize) -> GroupRank {
        GroupRank {
            group: Arc::clone(self),
            rank,
        }
    }

    /// The steps that all ranks have started, oldest first.
    #[must_use]
    pub fn steps(&self) -> Vec<StepSpan> {
        lock(&self.engines).steps().to_vec()
    }

    /// The state of each rank's engine, by rank.
    #[must_use]
    pub fn states(&self) -> Vec<EngineState> {
        lock(&self.engines).states()
    }
}

async fn run_ticks(engines: Arc<Mutex<GroupEngines>>) {
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    ticks.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        lock(&engines).tick(Instant::now());
    }
}

/// The engine of one rank of a group.
#[derive(Clone, Debug)]
pub struct GroupRank {
    group: Arc<LockStep>,
    rank: usize,
}

impl GroupRank {
    /// Lets the engine stall and crash with the process that runs it; after a crash it is empty.
    pub(crate) fn attach(&self, health: Health) {
        lock(&self.group.engines).attach(self.rank, health);
    }

    /// Returns the response to a request whose path starts with [`GROUP_PATH_PREFIX`].
    pub(crate) fn answer(&self, head: &Parts, body: &[u8]) -> Response<Body> {
        let path = head.uri.path().strip_prefix(GROUP_PATH_PREFIX);
        match (&head.method, path.unwrap_or_default()) {
            (&Method::POST, "order") => self.order(body),
            (&Method::GET, "state") => {
                server::json(StatusCode::OK, lock(&self.group.engines).state(self.rank))
            }
            (&Method::GET, "load") => {
                let load = lock(&self.group.engines).take_load(self.rank);
                server::json(StatusCode::OK, &load)
            }
            (&Method::GET, path) => self.map(path.strip_prefix("map/").unwrap_or_default()),
            _ => server::error(StatusCode::NOT_FOUND, "no such path"),
        }
    }

    fn order(&self, body: &[u8]) -> Response<Body> {
        let Ok(order) = serde_json::from_slice::<EngineOrder>(body) else {
            return server::error(StatusCode::BAD_REQUEST, "the body is no order");
        };
        let mut engines = lock(&self.group.engines);
        engines.order(self.rank, &order, Instant::now());
        server::json(StatusCode::OK, engines.state(self.rank))
    }

    fn map(&self, name: &str) -> Response<Body> {
        let map = lock(&self.group.engines).map(self.rank, name);
        match map {
            Some(map) => server::json::<ExpertMap>(StatusCode::OK, &map),
            None => server::error(StatusCode::NOT_FOUND, "no such map"),
        }
    }
}
