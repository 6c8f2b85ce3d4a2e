//! Health of a stand-in upstream: its state, its requests in flight, its crashes and its warm-up.
//!
//! A cold upstream crashes when more than [`HealthConfig::cold_concurrency`] requests that started
//! during the current cold period run at once. Requests that started before it turned cold don't
//! count, since no load balancer could have held them back.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use oriole_types::value_type;
use oriole_types::{domain_type, ids::DomainName, ids::VmName};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;

use crate::server::ConnectionSwitch;

value_type! {
    /// State of an upstream.
    pub enum HealthState {
        /// Warm and working.
        Ok,
        /// Slow, with a low limit on requests in flight, until it has completed enough requests.
        Cold,
        /// Accepts requests and makes no progress.
        Stall,
        /// Down; restarts cold after [`HealthConfig::restart_delay`].
        Crash,
    }
}

/// Settings of an upstream: its name, warm-up and restart.
#[derive(Clone, Debug)]
pub struct HealthConfig {
    /// Name of the upstream.
    pub name: VmName,
    /// Failure domain of the upstream.
    pub domain: DomainName,
    /// State in which it starts.
    pub initial: HealthState,
    /// Maximum number of requests started in one cold period that may be in flight at once; one
    /// more crashes the upstream.
    pub cold_concurrency: u32,
    /// Number of requests of a cold period to complete before it is warm.
    pub warm_up_requests: u32,
    /// Factor on its working times while cold.
    pub cold_slowdown: u32,
    /// Time from a crash to the restart.
    pub restart_delay: Duration,
    /// A request that contains this text crashes the upstream; `None` if no request does.
    pub poison: Option<String>,
}

impl Default for HealthConfig {
    fn default() -> Self {
        Self {
            name: VmName::new("upstream"),
            domain: DomainName::new("domain"),
            initial: HealthState::Cold,
            cold_concurrency: 2,
            warm_up_requests: 4,
            cold_slowdown: 4,
            restart_delay: Duration::from_millis(500),
            poison: Some("POISON".to_owned()),
        }
    }
}

domain_type! {
    /// State and counters of an upstream, as the control address shows them.
    pub struct UpstreamView {
        /// Name of the upstream.
        pub name: VmName,
        /// Failure domain of the upstream.
        pub domain: DomainName,
        /// Current state.
        pub state: HealthState,
        /// Number of requests in flight.
        pub in_flight: u32,
        /// Highest number of requests in flight at once that started in the same cold period.
        pub max_in_flight_cold: u32,
        /// Number of requests that exceeded [`HealthConfig::cold_concurrency`].
        pub cold_overload: u64,
        /// Number of requests started.
        pub started: u64,
        /// Number of requests completed.
        pub completed: u64,
        /// Number of crashes, whatever the cause.
        pub crashes: u64,
        /// Number of crashes caused by a request that contains [`HealthConfig::poison`].
        pub poison_crashes: u64,
        /// Start time of the latest request, in milliseconds since the Unix epoch; 0 if none.
        pub last_new_work_ms: u64,
    }
}

/// The upstream is down, or this request crashed it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the upstream is down")]
pub struct UpstreamDown;

/// Health of one upstream. Clones share it.
#[derive(Clone, Debug)]
pub struct Health {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    cfg: HealthConfig,
    connections: ConnectionSwitch,
    state: watch::Sender<HealthState>,
    counts: Mutex<Counts>,
}

#[derive(Debug)]
struct Counts {
    view: UpstreamView,
    /// Grows by one with each crash; requests of an earlier incarnation are lost.
    incarnation: u64,
    /// Grows by one each time the upstream turns cold; distinguishes requests that start
    /// afterwards from those already in flight.
    cold_period: u64,
    /// Requests in flight that started in the current cold period.
    cold_in_flight: u32,
    /// Requests of the current cold period that were completed.
    completed_cold: u32,
}

impl Health {
    /// Creates the health of an upstream in its initial state; a crash cuts `connections`.
    #[must_use]
    pub fn new(cfg: HealthConfig, connections: ConnectionSwitch) -> Self {
        let view = UpstreamView {
            name: cfg.name.clone(),
            domain: cfg.domain.clone(),
            state: cfg.initial,
            in_flight: 0,
            max_in_flight_cold: 0,
            cold_overload: 0,
            started: 0,
            completed: 0,
            crashes: 0,
            poison_crashes: 0,
            last_new_work_ms: 0,
        };
        let counts = Counts {
            view,
            incarnation: 0,
            cold_period: 0,
            cold_in_flight: 0,
            completed_cold: 0,
        };
        let shared = Shared {
            state: watch::Sender::new(cfg.initial),
            counts: Mutex::new(counts),
            cfg,
            connections,
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// The current state.
    #[must_use]
    pub fn state(&self) -> HealthState {
        *self.shared.state.borrow()
    }

    /// The current state and counters.
    #[must_use]
    pub fn view(&self) -> UpstreamView {
        let mut view = self.lock().view.clone();
        view.state = self.state();
        view
    }

    /// The settings of the upstream.
    #[must_use]
    pub fn cfg(&self) -> &HealthConfig {
        &self.shared.cfg
    }

    /// The factor on working times in the current state.
    #[must_use]
    pub fn slowdown(&self) -> u32 {
        match self.state() {
            HealthState::Cold => self.shared.cfg.cold_slowdown,
            _ => 1,
        }
    }

    /// Puts the upstream into a state; after `Crash` it restarts cold, after
    /// [`HealthConfig::restart_delay`].
    pub fn set_state(&self, state: HealthState) {
        match state {
            HealthState::Crash => self.crash(false),
            HealthState::Cold => {
                self.lock().start_cold_period();
                self.enter_state(HealthState::Cold);
            }
            HealthState::Ok | HealthState::Stall => self.enter_state(state),
        }
    }

    /// Waits while the upstream stalls.
    pub async fn wait_while_stalled(&self) {
        let mut rx = self.shared.state.subscribe();
        rx.wait_for(|s| *s != HealthState::Stall).await.ok();
    }

    /// Starts one request, which counts as in flight until the guard is released or dropped.
    ///
    /// # Errors
    ///
    /// Fails if the upstream is down, or if this request crashes it.
    pub fn begin_request(&self, text: &str) -> Result<RequestGuard, UpstreamDown> {
        if self.state() == HealthState::Crash {
            return Err(UpstreamDown);
        }
        let cold = self.state() == HealthState::Cold;
        let (guard, overloaded) = self.admit(cold);
        if overloaded {
            self.crash(false);
            return Err(UpstreamDown);
        }
        if self.is_poison(text) {
            self.crash(true);
            return Err(UpstreamDown);
        }
        Ok(guard)
    }

    /// Counts a started request; also returns whether it exceeds the limit of a cold upstream.
    fn admit(&self, cold: bool) -> (RequestGuard, bool) {
        let mut counts = self.lock();
        counts.view.started += 1;
        counts.view.in_flight += 1;
        counts.view.last_new_work_ms = unix_ms();
        let mut overloaded = false;
        if cold {
            counts.cold_in_flight += 1;
            counts.view.max_in_flight_cold =
                counts.view.max_in_flight_cold.max(counts.cold_in_flight);
            overloaded = counts.cold_in_flight > self.shared.cfg.cold_concurrency;
            counts.view.cold_overload += u64::from(overloaded);
        }
        let guard = RequestGuard {
            health: self.clone(),
            crash_token: self.shared.connections.reset_token(),
            incarnation: counts.incarnation,
            cold_period: cold.then_some(counts.cold_period),
            released: false,
        };
        (guard, overloaded)
    }

    fn is_poison(&self, text: &str) -> bool {
        let marker = self.shared.cfg.poison.as_deref();
        marker.is_some_and(|m| text.contains(m))
    }

    fn crash(&self, poison: bool) {
        {
            let mut counts = self.lock();
            counts.incarnation += 1;
            counts.start_cold_period();
            counts.view.in_flight = 0;
            counts.view.crashes += 1;
            counts.view.poison_crashes += u64::from(poison);
        }
        self.enter_state(HealthState::Crash);
        self.shared.connections.cut();
        self.schedule_restart();
    }

    /// Restarts the upstream after the delay, unless it crashes again or changes state before.
    fn schedule_restart(&self) {
        let health = self.clone();
        let incarnation = self.lock().incarnation;
        tokio::spawn(async move {
            tokio::time::sleep(health.shared.cfg.restart_delay).await;
            let same_incarnation = health.lock().incarnation == incarnation;
            if same_incarnation && health.state() == HealthState::Crash {
                health.enter_state(HealthState::Cold);
            }
        });
    }

    fn enter_state(&self, state: HealthState) {
        self.shared.state.send_replace(state);
        if state != HealthState::Crash {
            self.shared.connections.restore();
        }
    }

    /// Counts a request as no longer in flight; the upstream is warm once enough are completed.
    /// Requests lost in a crash are not counted any more.
    fn release(&self, incarnation: u64, cold_period: Option<u64>, completed: bool) {
        let mut counts = self.lock();
        if counts.incarnation != incarnation {
            return;
        }
        counts.view.in_flight -= 1;
        counts.view.completed += u64::from(completed);
        if cold_period != Some(counts.cold_period) {
            return;
        }
        counts.cold_in_flight -= 1;
        counts.completed_cold += u32::from(completed);
        let warm = counts.completed_cold >= self.shared.cfg.warm_up_requests;
        if warm && self.state() == HealthState::Cold {
            self.shared.state.send_replace(HealthState::Ok);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Counts> {
        let counts = &self.shared.counts;
        counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Counts {
    fn start_cold_period(&mut self) {
        self.cold_period += 1;
        self.cold_in_flight = 0;
        self.completed_cold = 0;
    }
}

/// Counts one request as in flight until it is completed, abandoned or dropped.
#[derive(Debug)]
pub struct RequestGuard {
    health: Health,
    /// Cancelled when the process crashes; `None` if it was down at the start of the request.
    crash_token: Option<CancellationToken>,
    incarnation: u64,
    /// Cold period in which the request started; `None` if the upstream was not cold.
    cold_period: Option<u64>,
    released: bool,
}

impl RequestGuard {
    /// Waits until the process that runs the request crashes.
    pub fn crashed(&self) -> impl Future<Output = ()> + Send + 'static {
        let crash_token = self.crash_token.clone();
        async move {
            if let Some(crash_token) = crash_token {
                crash_token.cancelled_owned().await;
            }
        }
    }

    /// Counts the request as completed and no longer in flight.
    pub fn complete(&mut self) {
        self.release(true);
    }

    /// Counts the request as abandoned and no longer in flight.
    pub fn abandon(&mut self) {
        self.release(false);
    }

    fn release(&mut self, completed: bool) {
        if !std::mem::replace(&mut self.released, true) {
            self.health
                .release(self.incarnation, self.cold_period, completed);
        }
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.abandon();
    }
}

/// Wall-clock time, since a driver in another process compares it with its own clock.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
