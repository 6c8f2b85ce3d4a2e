//! An agent reduced to its gate: it calls the engine over HTTP, without the frame protocol.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use oriole_admission::prelude::*;
use oriole_types::prelude::*;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use super::load::{Attempt, Client, Target};
use super::{COLD_CONCURRENCY, WARM_CONCURRENCY};

const TICK_INTERVAL: Duration = Duration::from_millis(5);
const REPORT_INTERVAL: Duration = Duration::from_millis(100);
/// Largest error of a report's age, which is in whole milliseconds.
const AGE_ROUNDING: Duration = Duration::from_millis(1);

/// An agent with its engine client and gate.
pub(super) struct Agent {
    client: Client,
    start: Instant,
    state: Mutex<State>,
    stop: CancellationToken,
}

struct State {
    gate: Gate,
    waiting: HashMap<WorkId, oneshot::Sender<bool>>,
    next_id: u64,
    /// Incremented each time the upstream is lost, so that a loss is handled once.
    upstream_generation: u64,
    /// Time at which the upstream was lost; `None` once a newer report has arrived.
    lost_at: Option<Duration>,
}

impl Agent {
    pub(super) fn spawn(engine: SocketAddr) -> Arc<Self> {
        let start = Instant::now();
        let cfg = GateConfig {
            cold_concurrency: COLD_CONCURRENCY,
            warm_concurrency: WARM_CONCURRENCY,
            queue_capacity: WARM_CONCURRENCY,
            ..GateConfig::default()
        };
        let mut gate = Gate::new(cfg, Duration::ZERO);
        gate.set_service_state(Duration::ZERO, ServiceState::InService);
        let state = State {
            gate,
            waiting: HashMap::new(),
            next_id: 0,
            upstream_generation: 0,
            lost_at: Some(Duration::ZERO),
        };
        let agent = Arc::new(Self {
            client: Client::new(engine),
            start,
            state: Mutex::new(state),
            stop: CancellationToken::new(),
        });
        tokio::spawn(agent.clone().run_ticks());
        tokio::spawn(agent.clone().poll_load());
        agent
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn run_ticks(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(TICK_INTERVAL);
        while self.stop.run_until_cancelled(ticks.tick()).await.is_some() {
            let now = self.now();
            let mut state = self.lock();
            let fresh = Confirmation::fresh("domain".into());
            state.gate.confirm_configuration(now, &fresh);
            let actions = state.gate.tick(now);
            state.apply_actions(actions);
        }
    }

    async fn poll_load(self: Arc<Self>) {
        let mut ticks = tokio::time::interval(REPORT_INTERVAL);
        while self.stop.run_until_cancelled(ticks.tick()).await.is_some() {
            let requested_at = self.now();
            let Some(load) = self.client.load().await else {
                continue;
            };
            let age = Duration::from_millis(load.age_ms.into()) + AGE_ROUNDING;
            let Some(made_at) = requested_at.checked_sub(age) else {
                continue;
            };
            self.lock()
                .on_report(self.now(), made_at, load.in_flight, load.cold);
        }
    }

    async fn admit(&self, content: Digest, deadline: Duration) -> Option<(WorkId, u64)> {
        let (id, upstream_generation, rx) = {
            let mut state = self.lock();
            state.next_id += 1;
            let id = WorkId(state.next_id);
            let now = self.now();
            let offer = Offer::new(id, content, now + deadline);
            match state.gate.offer(now, offer) {
                Decision::Admit => return Some((id, state.upstream_generation)),
                Decision::Refuse(_) => return None,
                Decision::Queue => {}
            }
            let (tx, rx) = oneshot::channel();
            state.waiting.insert(id, tx);
            (id, state.upstream_generation, rx)
        };
        let started = rx.await.unwrap_or(false);
        started.then_some((id, upstream_generation))
    }
}

impl State {
    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            let (id, started) = match action {
                Action::Start(id) => (id, true),
                Action::Refuse(id, _) | Action::Lost(id) => (id, false),
            };
            if let Some(tx) = self.waiting.remove(&id) {
                tx.send(started).ok();
            }
        }
    }

    fn on_report(&mut self, now: Duration, made_at: Duration, in_flight: u32, cold: bool) {
        if self.lost_at.take_if(|at| made_at >= *at).is_some() {
            self.gate.upstream_connected(now, in_flight);
        }
        let report = UpstreamReport {
            made_at,
            in_flight,
            cold: Some(cold),
        };
        let actions = self.gate.upstream_report(now, report);
        self.apply_actions(actions);
    }

    fn on_upstream_lost(&mut self, now: Duration, upstream_generation: u64) {
        if self.upstream_generation != upstream_generation {
            return;
        }
        self.upstream_generation += 1;
        self.lost_at = Some(now);
        let actions = self.gate.upstream_lost(now);
        self.apply_actions(actions);
    }
}

#[async_trait]
impl Target for Agent {
    async fn attempt(&self, _entry: usize, prompt: &str, deadline: Duration) -> Attempt {
        let content = Digest::of(prompt.as_bytes());
        let Some((id, upstream_generation)) = self.admit(content, deadline).await else {
            return Attempt::Refused;
        };
        let output = |tokens: u32| {
            let now = self.now();
            let mut state = self.lock();
            let actions = state.gate.output(now, id, tokens);
            state.apply_actions(actions);
        };
        let complete = self.client.generate(prompt, output).await;
        let now = self.now();
        let mut state = self.lock();
        if !complete {
            state.on_upstream_lost(now, upstream_generation);
            return Attempt::Lost;
        }
        let actions = state.gate.finished(now, id, FinishKind::Complete);
        state.apply_actions(actions);
        Attempt::Complete
    }

    fn load(&self, _entry: usize) -> u32 {
        let load = self.lock().gate.load_report(self.now());
        let cold = if load.cold || load.leaving {
            WARM_CONCURRENCY
        } else {
            0
        };
        load.in_flight + load.queued + cold
    }

    fn stop(&self) {
        self.stop.cancel();
    }
}
