//! Tasks of a running agent.
//!
//! - `engine`: polls the agent's engine and reacts to its reports.
//! - `recovery`: completes a stalled map switch by calling all engines of the group.
//! - `addresses`: reads the addresses of the group's engines from the store.
//! - This module: datagrams between agents, orders to engines, and the leader's actions.

mod addresses;
mod engine;
mod recovery;

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use eyre::WrapErr as _;
use metrics::{counter, gauge, histogram};
use oriole_fleet::prelude::*;
use oriole_kernel::clock::Clock;
use oriole_kernel::{metrics_port, sockets};
use prost::Message as _;
use slog::{Logger, info, warn};
use tokio::net::UdpSocket;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use self::engine::EngineState;
use crate::follower::{is_awaited, next_order};
use crate::forwarding;
use crate::leader::{Leader, LeaderAction, LeaderConfig, Phase};
use crate::map_cache::MapCache;
use crate::message::{Datagram, Intent};
use crate::settings::RankAgentSettings;

/// Time after which a received intent expires. The leader repeats it while it is valid.
const INTENT_TTL: Duration = Duration::from_millis(400);

/// Size of the receive buffer, which covers every UDP datagram.
const MAX_DATAGRAM_BYTES: usize = 64 * 1024;

/// Dependencies of an agent.
pub struct AgentParts {
    /// The agent's own engine.
    pub engine: Arc<dyn ExpertEngine>,
    /// Returns a client of the engine at an address, to call other ranks.
    pub connect_engine: Box<dyn Fn(SocketAddr) -> Arc<dyn ExpertEngine> + Send + Sync>,
    /// Keys and formats of the platform's store.
    pub dialect: Arc<dyn Dialect>,
    /// The platform's store.
    pub store: Arc<dyn FleetStore>,
}

/// State that the agent's tasks share.
#[derive(Default)]
struct Shared {
    /// Last intent and the time when it was received.
    intent: Option<(Intent, Duration)>,
    /// Addresses of the group's engines, by rank. Their agents run on the same VMs.
    engine_addresses: HashMap<usize, SocketAddr>,
    /// Name of the group, empty until the engine has reported it.
    group: String,
    /// Number of ranks of the group.
    ranks: usize,
    map_cache: MapCache,
    /// Whether the leader has asked for the rank's experts.
    experts_requested: bool,
    /// Time at which the switch in progress was planned. `None` if there is none.
    planned_at: Option<Duration>,
}

struct Agent {
    cfg: RankAgentSettings,
    parts: AgentParts,
    log: Logger,
    clock: Clock,
    udp: UdpSocket,
    /// Ends the pause of the polling task.
    wake_up: Notify,
    /// Ends the pause of the task that reads addresses when the group has been formed anew.
    regrouped: Notify,
    shared: Mutex<Shared>,
    leader: Mutex<Leader>,
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A running agent.
pub struct RankAgent {
    stop: CancellationToken,
    log: Logger,
}

impl RankAgent {
    /// Binds the agent's addresses and starts its tasks.
    ///
    /// # Errors
    ///
    /// Fails if an address can't be bound.
    pub async fn bind(
        cfg: RankAgentSettings,
        parts: AgentParts,
        log: Logger,
    ) -> eyre::Result<Self> {
        let udp = UdpSocket::bind(cfg.listen)
            .await
            .wrap_err("listen for agents")?;
        let metrics = sockets::listen(cfg.metrics).wrap_err("listen for metrics")?;
        let agent = Arc::new(Agent {
            clock: Clock::start(),
            log: log.clone(),
            udp,
            wake_up: Notify::new(),
            regrouped: Notify::new(),
            shared: Mutex::new(Shared::default()),
            leader: Mutex::new(Leader::new(LeaderConfig::default(), rand::random())),
            cfg,
            parts,
        });
        let stop = CancellationToken::new();
        metrics_port::spawn(metrics, stop.clone());
        info!(log, "started"; "engine" => agent.cfg.engine.to_string());
        for task in [
            tokio::spawn(engine::poll_engine(agent.clone())),
            tokio::spawn(receive(agent.clone())),
            tokio::spawn(addresses::refresh_addresses(agent)),
        ] {
            let stop = stop.clone();
            tokio::spawn(async move {
                stop.cancelled().await;
                task.abort();
            });
        }
        Ok(Self { stop, log })
    }

    /// Logs that the settings file was read again, with the outcome.
    pub fn log_reload(&self, outcome: &str) {
        info!(self.log, "reloaded"; "outcome" => outcome);
    }

    /// Stops the tasks. The next run continues a switch in progress.
    pub fn shutdown(self) {
        info!(self.log, "stopped");
        self.stop.cancel();
    }
}

async fn receive(agent: Arc<Agent>) {
    let mut buf = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let (len, from) = match agent.udp.recv_from(&mut buf).await {
            Ok(received) => received,
            Err(e) => {
                warn!(agent.log, "call failed"; "step" => "receive", "error" => e.to_string());
                continue;
            }
        };
        counter!("oriole_agent_bytes_total", "direction" => "received").increment(len as u64);
        let datagram = match Datagram::decode(&buf[..len]) {
            Ok(datagram) => datagram,
            Err(e) => {
                warn!(agent.log, "call failed"; "step" => "decode", "peer" => from.to_string(),
                    "error" => e.to_string());
                continue;
            }
        };
        let now = agent.clock.now();
        if datagram.requests_experts {
            lock(&agent.shared).experts_requested = true;
            agent.wake_up.notify_one();
        }
        if let Some(mut intent) = datagram.intent {
            agent.forward_intent(&mut intent).await;
            agent.on_intent(now, intent);
        }
        if let Some(status) = datagram.status {
            let mut leader = lock(&agent.leader);
            let demand_shifted = leader.on_status(now, status);
            if demand_shifted || *leader.phase() != Phase::Idle {
                agent.wake_up.notify_one();
            }
        }
    }
}

impl Agent {
    /// Forwards an intent to the ranks that its sender has named.
    async fn forward_intent(&self, intent: &mut Intent) {
        let ranks = std::mem::take(&mut intent.forward_to);
        for branch in forwarding::branches(&ranks) {
            let datagram = Datagram {
                intent: Some(Intent {
                    forward_to: branch.forward_to,
                    ..intent.clone()
                }),
                ..Datagram::default()
            };
            self.send(branch.rank, &datagram).await;
        }
    }

    fn on_intent(&self, now: Duration, intent: Intent) {
        let (version, base) = (intent.version, intent.base_version);
        let mut shared = lock(&self.shared);
        match shared.map_cache.expand(intent) {
            Some(intent) => {
                shared.intent = Some((intent, now));
                self.wake_up.notify_one();
            }
            // The next status lists the cached versions, and the leader then sends the full map.
            None => {
                counter!("oriole_map_patches_refused_total").increment(1);
                warn!(self.log, "map patch refused"; "version" => version, "base" => base);
            }
        }
    }

    async fn send(&self, rank: usize, datagram: &Datagram) {
        let Some(engine) = lock(&self.shared).engine_addresses.get(&rank).copied() else {
            return;
        };
        let target = SocketAddr::new(engine.ip(), self.cfg.listen.port());
        let buf = datagram.encode_to_vec();
        counter!("oriole_agent_bytes_total", "direction" => "sent").increment(buf.len() as u64);
        if let Err(e) = self.udp.send_to(&buf, target).await {
            warn!(self.log, "call failed"; "step" => "send", "peer" => target.to_string(),
                "error" => e.to_string());
        }
    }

    /// The leader's last intent, unless it has expired.
    fn current_intent(&self, now: Duration) -> Option<Intent> {
        let shared = lock(&self.shared);
        let latest = shared.intent.as_ref();
        latest
            .filter(|(_, at)| now < *at + INTENT_TTL)
            .map(|(intent, _)| intent.clone())
    }

    /// Whether the leader may wait for this rank.
    fn is_awaited(&self, now: Duration, report: &EngineReport) -> bool {
        let shared = lock(&self.shared);
        let latest = shared.intent.as_ref();
        latest.is_some_and(|(intent, at)| is_awaited(now, report, intent, *at))
    }

    async fn follow_intent(&self, state: &mut EngineState, report: &EngineReport) -> bool {
        let now = self.clock.now();
        let Some(intent) = self.current_intent(now) else {
            return false;
        };
        if let Some(order) = next_order(now, report, &intent, &state.prepare_tracker) {
            let end = self.order_own_engine(report.epoch, &order).await;
            let now = self.clock.now();
            state
                .prepare_tracker
                .on_order_outcome(now, report.epoch, &order, end);
            // Report the result to the leader at once.
            self.wake_up.notify_one();
        }
        true
    }

    async fn order_own_engine(&self, epoch: u64, order: &EngineOrder) -> Option<OrderOutcome> {
        self.send_order(self.parts.engine.as_ref(), epoch, order)
            .await
    }

    async fn send_order(
        &self,
        engine: &dyn ExpertEngine,
        epoch: u64,
        order: &EngineOrder,
    ) -> Option<OrderOutcome> {
        let outcome = engine.order(epoch, order).await;
        let kind = match order {
            EngineOrder::Prepare { .. } => "prepare",
            EngineOrder::Arm { .. } => "arm",
            EngineOrder::Hold { .. } => "hold",
            EngineOrder::Go { .. } => "go",
        };
        let (end, reason) = match &outcome {
            Ok(OrderOutcome::Accepted) => (Some(OrderOutcome::Accepted), "accepted".to_owned()),
            Ok(OrderOutcome::Refused) => (Some(OrderOutcome::Refused), "refused".to_owned()),
            Err(e) => (None, e.to_string()),
        };
        counter!("oriole_engine_orders_total", "order" => kind).increment(1);
        let number = match order {
            EngineOrder::Prepare { version, .. } | EngineOrder::Arm { version, .. } => *version,
            EngineOrder::Hold { pass } | EngineOrder::Go { pass } => *pass,
        };
        info!(self.log, "order"; "order" => kind, "epoch" => epoch, "number" => number,
            "outcome" => reason);
        end
    }

    async fn lead(&self, report: EngineReport) -> bool {
        let epoch = report.epoch;
        let actions = lock(&self.leader).tick(self.clock.now());
        for action in actions {
            match action {
                LeaderAction::Order(order) => {
                    if let Some(end) = self.order_own_engine(epoch, &order).await {
                        lock(&self.leader).on_order_outcome(&order, end);
                    }
                    // Go on without a pause, so that a held pass is released soon.
                    self.wake_up.notify_one();
                }
                LeaderAction::SendIntent { intent, ranks } => {
                    self.send_intent(intent, &ranks).await;
                }
                LeaderAction::RequestExperts { ranks } => {
                    let datagram = Datagram {
                        requests_experts: true,
                        ..Datagram::default()
                    };
                    for rank in ranks {
                        self.send(rank, &datagram).await;
                    }
                }
                LeaderAction::Planned {
                    version,
                    skew_before,
                    skew_after,
                    copies,
                    pass_time,
                } => {
                    counter!("oriole_map_changes_total").increment(1);
                    gauge!("oriole_map_skew").set(skew_before);
                    histogram!("oriole_pass_seconds").record(pass_time.as_secs_f64());
                    lock(&self.shared).planned_at = Some(self.clock.now());
                    info!(self.log, "planned"; "version" => version, "skew" => skew_before,
                        "skew_after" => skew_after, "copies" => copies,
                        "pass_ms" => pass_time.as_millis() as u64);
                }
                LeaderAction::PreparationAbandoned {
                    version,
                    reason,
                    waited_for,
                } => {
                    counter!("oriole_preparations_given_up_total", "reason" => reason).increment(1);
                    lock(&self.shared).planned_at = None;
                    info!(self.log, "gave up"; "version" => version, "reason" => reason,
                        "waited_for" => format!("{waited_for:?}"));
                }
                LeaderAction::PhaseChanged(phase) => {
                    info!(self.log, "phase"; "phase" => format!("{phase:?}"));
                    self.record_switch_time(&phase);
                }
            }
        }
        *lock(&self.leader).phase() != Phase::Idle
    }

    /// Records the time from a plan until its map is in use, once the switch has ended.
    fn record_switch_time(&self, phase: &Phase) {
        if *phase != Phase::Idle {
            return;
        }
        if let Some(at) = lock(&self.shared).planned_at.take() {
            let took = self.clock.now().saturating_sub(at);
            histogram!("oriole_map_change_seconds").record(took.as_secs_f64());
        }
    }

    async fn send_intent(&self, intent: Intent, ranks: &[usize]) {
        let datagram = Datagram {
            intent: Some(intent.clone()),
            ..Datagram::default()
        };
        for rank in ranks.iter().filter(|r| **r != 0) {
            self.send(*rank, &datagram).await;
        }
        if ranks.contains(&0) {
            self.on_intent(self.clock.now(), intent);
        }
    }
}
