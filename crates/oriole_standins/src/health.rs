//! Health of a stand-in upstream: its state, the work in flight, and what it saw while cold.
//!
//! A cold upstream bears only so many requests. Work that had started before it turned cold is not
//! counted against that, since nobody could have kept it away; work that starts while it is cold
//! is, and one request too many makes the upstream crash.

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
        /// Works slowly and bears little, until some work is done.
        Cold,
        /// Accepts work and makes no progress.
        Stall,
        /// Down; comes back cold after a delay.
        Crash,
    }
}

/// How an upstream warms up and restarts.
#[derive(Clone, Debug)]
pub struct HealthConfig {
    /// Name of the upstream.
    pub name: VmName,
    /// Failure domain it lies in.
    pub domain: DomainName,
    /// State at the start.
    pub initial: HealthState,
    /// Most requests that may start and run at once while cold.
    pub cold_concurrency: u32,
    /// Requests that must be completed while cold before it is warm.
    pub warm_up_requests: u32,
    /// How many times slower it works while cold.
    pub cold_slowdown: u32,
    /// Time from a crash to the restart.
    pub restart_delay: Duration,
    /// A request that contains this text crashes the upstream.
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
    /// What an outside observer may know of an upstream.
    pub struct UpstreamView {
        /// Name.
        pub name: VmName,
        /// Failure domain.
        pub domain: DomainName,
        /// State now.
        pub state: HealthState,
        /// Requests in flight.
        pub in_flight: u32,
        /// Most requests ever in flight at once that had started while it was cold.
        pub max_in_flight_cold: u32,
        /// Requests that started above what it bears while cold.
        pub cold_overload: u64,
        /// Requests started.
        pub started: u64,
        /// Requests completed.
        pub completed: u64,
        /// Crashes of any cause.
        pub crashes: u64,
        /// Crashes caused by a poisonous request.
        pub poison_crashes: u64,
        /// Time the newest request started, in milliseconds since the Unix epoch; 0 if none did.
        pub last_new_work_ms: u64,
    }
}

/// The upstream is down or crashed on this request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the upstream is down")]
pub struct UpstreamDown;

/// Shared health of one upstream. Clones share it.
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
    /// Grows with each crash; work of an earlier incarnation is gone.
    incarnation: u64,
    /// Grows with each turn to cold; tells fresh work from work that had already run.
    cold_period: u64,
    cold_in_flight: u32,
    completed_cold: u32,
}

impl Health {
    /// Health at the start.
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

    /// State now.
    #[must_use]
    pub fn state(&self) -> HealthState {
        *self.shared.state.borrow()
    }

    /// Counters and state.
    #[must_use]
    pub fn view(&self) -> UpstreamView {
        let mut view = self.lock().view.clone();
        view.state = self.state();
        view
    }

    /// How it warms up and restarts.
    #[must_use]
    pub fn cfg(&self) -> &HealthConfig {
        &self.shared.cfg
    }

    /// Factor on working times now.
    #[must_use]
    pub fn slowdown(&self) -> u32 {
        match self.state() {
            HealthState::Cold => self.shared.cfg.cold_slowdown,
            _ => 1,
        }
    }

    /// Puts the upstream into a state; `Crash` restarts it cold after the delay.
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

    /// Begins one request; the guard counts it in flight until it is dropped.
    ///
    /// # Errors
    ///
    /// Fails if the upstream is down, or crashes because of this request.
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

/// One request in flight.
#[derive(Debug)]
pub struct RequestGuard {
    health: Health,
    crash_token: Option<CancellationToken>,
    incarnation: u64,
    cold_period: Option<u64>,
    released: bool,
}

impl RequestGuard {
    /// Waits until the process that runs the request has crashed.
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

/// Wall-clock time, which an outside driver can compare with its own.
fn unix_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.map_or(0, |d| d.as_millis() as u64)
}
