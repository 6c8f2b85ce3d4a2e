//! A simulated engine that streams tokens and can be cold, behind the agent's real gate or a plain
//! limit.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_admission::prelude::*;
use oriole_types::prelude::*;
use rand_chacha::ChaCha8Rng;

use super::upstream::{Attempt, Effect, Upstream, draw_service_time};

/// Time between two tokens on a warm engine.
const WARM_TOKEN_INTERVAL: Duration = Duration::from_millis(20);

/// Factor by which a cold engine is slower.
const COLD_SLOWDOWN: f64 = 4.0;

/// Requests that a cold engine must complete to be warm.
const WARM_UP_REQUESTS: u32 = 30;

/// Time between two load reports of the engine to its agent.
const REPORT_INTERVAL: Duration = Duration::from_millis(500);

/// Age of the load in a report.
const REPORT_LAG: Duration = Duration::from_millis(200);

/// What admits requests to the engine.
pub enum Admission {
    /// The agent's gate.
    Gate(Box<Gate>),
    /// A limit on requests in flight that ignores cold start.
    Limit(usize),
}

/// Configuration of an engine.
#[derive(Clone, Debug)]
pub struct EngineConfig {
    /// Kind of upstream.
    pub kind: PoolKind,
    /// Name of its VM.
    pub vm: VmName,
    /// Requests in flight that it can take while cold.
    pub cold_concurrency: u32,
    /// Requests in flight that it can take while warm.
    pub warm_concurrency: u32,
    /// Median time of a complete answer while warm.
    pub service_time: Duration,
    /// Standard deviation of the logarithm of service times.
    pub sigma: f64,
}

/// A simulated engine and its admission.
pub struct Engine {
    cfg: EngineConfig,
    admission: Admission,
    waiting: BTreeMap<u64, Attempt>,
    running: BTreeMap<u64, Running>,
    last_id: u64,
    drained: bool,
    /// Requests still to be completed until it is warm.
    requests_until_warm: u32,
    cold_overload: u64,
    last_report_at: Duration,
    /// Time, requests in flight and whether cold, for the reports that lag.
    load_history: Vec<(Duration, u32, bool)>,
}

struct Running {
    attempt: Attempt,
    started: Duration,
    tokens_left: u32,
    token_interval: Duration,
    /// Started while the engine was cold; its end counts towards the warm-up.
    started_cold: bool,
}

impl Engine {
    /// Creates a cold engine whose agent has just started; `gated` selects the agent's real gate.
    #[must_use]
    pub fn new(cfg: EngineConfig, gated: bool) -> Self {
        let admission = if gated {
            Admission::Gate(Box::new(gate(&cfg)))
        } else {
            Admission::Limit(cfg.warm_concurrency as usize)
        };
        Self {
            cfg,
            admission,
            waiting: BTreeMap::new(),
            running: BTreeMap::new(),
            last_id: 0,
            drained: false,
            requests_until_warm: WARM_UP_REQUESTS,
            cold_overload: 0,
            last_report_at: Duration::ZERO,
            load_history: Vec::new(),
        }
    }

    fn is_cold(&self) -> bool {
        self.requests_until_warm > 0
    }

    fn start(
        &mut self,
        now: Duration,
        id: u64,
        attempt: Attempt,
        rng: &mut ChaCha8Rng,
    ) -> [Effect; 2] {
        let cold_in_flight = self.running.values().filter(|r| r.started_cold).count() as u32;
        if self.is_cold() && cold_in_flight >= self.cfg.cold_concurrency {
            self.cold_overload += 1;
        }
        let service_time = draw_service_time(self.cfg.service_time, self.cfg.sigma, rng);
        let (tokens_left, token_interval) = match self.cfg.kind {
            PoolKind::Engine => {
                let tokens =
                    (service_time.as_secs_f64() / WARM_TOKEN_INTERVAL.as_secs_f64()).round();
                (tokens.max(1.0) as u32, WARM_TOKEN_INTERVAL)
            }
            PoolKind::Service => (1, service_time),
        };
        let started_cold = self.is_cold();
        let running = Running {
            attempt,
            started: now,
            tokens_left,
            token_interval,
            started_cold,
        };
        let first = self.next_token_interval(&running);
        self.running.insert(id, running);
        [Effect::Started, Effect::CallAfter(id, first)]
    }

    /// Time to the next token: a cold engine is slow, and slower still above its cold limit.
    fn next_token_interval(&self, running: &Running) -> Duration {
        if !self.is_cold() {
            return running.token_interval;
        }
        let load_factor = self.running.len() as f64 / f64::from(self.cfg.cold_concurrency.max(1));
        running
            .token_interval
            .mul_f64(COLD_SLOWDOWN * load_factor.max(1.0))
    }

    fn apply_actions(
        &mut self,
        now: Duration,
        actions: Vec<Action>,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Effect> {
        let mut out = Vec::new();
        for action in actions {
            match action {
                Action::Start(id) => {
                    if let Some(attempt) = self.waiting.remove(&id.0) {
                        out.extend(self.start(now, id.0, attempt, rng));
                    }
                }
                Action::Refuse(id, refusal) => {
                    if let Some(attempt) = self.waiting.remove(&id.0) {
                        out.push(Effect::Refused(
                            attempt,
                            refusal.reason,
                            refusal.retry_after,
                        ));
                    }
                }
                Action::Lost(id) => {
                    if let Some(r) = self.running.remove(&id.0) {
                        out.push(Effect::Ended(
                            r.attempt,
                            false,
                            now.saturating_sub(r.started),
                        ));
                    }
                }
            }
        }
        out
    }

    fn finish(&mut self, now: Duration, id: u64, rng: &mut ChaCha8Rng) -> Vec<Effect> {
        let Some(r) = self.running.remove(&id) else {
            return Vec::new();
        };
        self.requests_until_warm = self
            .requests_until_warm
            .saturating_sub(u32::from(r.started_cold));
        let mut out = vec![Effect::Ended(
            r.attempt,
            true,
            now.saturating_sub(r.started),
        )];
        if let Admission::Gate(gate) = &mut self.admission {
            let actions = gate.finished(now, WorkId(id), FinishKind::Complete);
            out.extend(self.apply_actions(now, actions, rng));
        }
        out
    }

    /// Sends a lagging load report to the agent if one is due.
    fn report_to_agent(&mut self, now: Duration) -> Vec<Action> {
        self.load_history
            .push((now, self.running.len() as u32, self.is_cold()));
        self.load_history
            .retain(|(at, ..)| *at + REPORT_LAG * 2 >= now);
        if now < self.last_report_at + REPORT_INTERVAL {
            return Vec::new();
        }
        self.last_report_at = now;
        let visible = |h: &&(Duration, u32, bool)| h.0 + REPORT_LAG <= now;
        let Some((made_at, in_flight, cold)) =
            self.load_history.iter().rev().find(visible).copied()
        else {
            return Vec::new();
        };
        let Admission::Gate(gate) = &mut self.admission else {
            return Vec::new();
        };
        let cold = (self.cfg.kind == PoolKind::Engine).then_some(cold);
        gate.upstream_report(
            now,
            UpstreamReport {
                made_at,
                in_flight,
                cold,
            },
        )
    }
}

impl Upstream for Engine {
    fn on_attempt(&mut self, now: Duration, attempt: Attempt, rng: &mut ChaCha8Rng) -> Vec<Effect> {
        self.last_id += 1;
        let id = self.last_id;
        let gate = match &mut self.admission {
            Admission::Limit(limit) if self.running.len() >= *limit => {
                return vec![Effect::Refused(attempt, RefusalReason::UpstreamFull, None)];
            }
            Admission::Limit(_) => return self.start(now, id, attempt, rng).into(),
            Admission::Gate(gate) => gate,
        };
        let content = Digest::of(&(attempt.req.id as u64).to_be_bytes());
        let offer = Offer::new(WorkId(id), content, attempt.req.deadline);
        match gate.offer(now, offer.with_priority(attempt.req.priority)) {
            Decision::Admit => self.start(now, id, attempt, rng).into(),
            Decision::Queue => {
                self.waiting.insert(id, attempt);
                Vec::new()
            }
            Decision::Refuse(refusal) => {
                vec![Effect::Refused(
                    attempt,
                    refusal.reason,
                    refusal.retry_after,
                )]
            }
        }
    }

    fn on_due(&mut self, now: Duration, id: u64, rng: &mut ChaCha8Rng) -> Vec<Effect> {
        let Some(running) = self.running.get_mut(&id) else {
            return Vec::new();
        };
        running.tokens_left -= 1;
        let done = running.tokens_left == 0;
        let mut out = Vec::new();
        if let (Admission::Gate(gate), PoolKind::Engine) = (&mut self.admission, self.cfg.kind) {
            let actions = gate.output(now, WorkId(id), 1);
            out.extend(self.apply_actions(now, actions, rng));
        }
        if done {
            out.extend(self.finish(now, id, rng));
        } else {
            out.push(Effect::CallAfter(
                id,
                self.next_token_interval(&self.running[&id]),
            ));
        }
        out
    }

    fn tick(&mut self, now: Duration, rng: &mut ChaCha8Rng) -> Vec<Effect> {
        let mut actions = self.report_to_agent(now);
        if let Admission::Gate(gate) = &mut self.admission {
            gate.confirm_configuration(now, &Confirmation::fresh("domain0".into()));
            actions.extend(gate.tick(now));
        }
        self.apply_actions(now, actions, rng)
    }

    fn set_state(
        &mut self,
        now: Duration,
        state: ServiceState,
        rng: &mut ChaCha8Rng,
    ) -> Vec<Effect> {
        let returned = self.drained && state == ServiceState::InService;
        self.drained = state == ServiceState::Drained;
        if returned {
            self.turn_cold();
        }
        let Admission::Gate(gate) = &mut self.admission else {
            return Vec::new();
        };
        let actions = gate.set_service_state(now, state);
        self.apply_actions(now, actions, rng)
    }

    fn set_failing(&mut self, _failing: bool) {}

    fn turn_cold(&mut self) {
        self.requests_until_warm = WARM_UP_REQUESTS;
        for running in self.running.values_mut() {
            running.started_cold = false;
        }
    }

    fn report(&self, now: Duration) -> LoadReport {
        match &self.admission {
            Admission::Gate(gate) => gate.load_report(now),
            Admission::Limit(limit) => LoadReport {
                in_flight: self.running.len() as u32,
                limit: *limit as u32,
                ..LoadReport::default()
            },
        }
    }

    fn cold_overload(&self) -> u64 {
        self.cold_overload
    }
}

/// A gate of an agent that is in service and knows that nothing runs.
fn gate(cfg: &EngineConfig) -> Gate {
    let now = Duration::ZERO;
    let gate_cfg = GateConfig {
        vm: cfg.vm.clone(),
        kind: cfg.kind,
        cold_concurrency: cfg.cold_concurrency,
        warm_concurrency: cfg.warm_concurrency,
        ..GateConfig::default()
    };
    let mut gate = Gate::new(gate_cfg, now);
    gate.set_service_state(now, ServiceState::InService);
    gate.upstream_connected(now, 0);
    gate.confirm_configuration(now, &Confirmation::fresh("domain0".into()));
    gate
}
