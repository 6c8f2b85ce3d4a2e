//! The task that runs a [`RankAgent`], and the one that makes its calls to the engine.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use oriole_placement::map::{ExpertMap, MapId};
use oriole_types::ids::Incarnation;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::{Engine, GroupTransport, INBOX_CAPACITY, TICK_INTERVAL};
use crate::engine::{EngineOrder, EngineState};
use crate::messages::{Envelope, Party, RankId};
use crate::rank::{RankAction, RankAgent, RankConfig};

/// Maximum number of waiting calls to the engine. Further calls are dropped and retried later.
const ENGINE_QUEUE_CAPACITY: usize = 16;

/// Input that the owner of a [`RankHandle`] sends to the rank's task.
enum Input {
    Message(Envelope),
    Load(Vec<Vec<f32>>, Option<f32>),
}

/// A call to the engine.
enum EngineCall {
    Order(EngineOrder),
    State,
    ReadMap(MapId),
}

/// The result of a successful call to the engine.
enum EngineAnswer {
    State(Box<EngineState>),
    Map(Arc<ExpertMap>),
}

/// Handle of a rank's running agent; dropping it aborts the agent's tasks.
pub struct RankHandle {
    tx: mpsc::Sender<Input>,
    _tasks: JoinSet<()>,
}

impl RankHandle {
    /// Delivers a message to the rank; the message is dropped if the inbox is full.
    pub fn deliver(&self, envelope: Envelope) {
        self.send_input(Input::Message(envelope));
    }

    /// Passes on the tokens processed since the last call, by layer and slot, and the rank's speed;
    /// dropped if the inbox is full.
    pub fn observe_load(&self, tokens: Vec<Vec<f32>>, speed: Option<f32>) {
        self.send_input(Input::Load(tokens, speed));
    }

    fn send_input(&self, input: Input) {
        if self.tx.try_send(input).is_err() {
            counter!("oriole_group_refusals_total", "reason" => "inbox_full").increment(1);
        }
    }
}

/// Starts the agent of a rank. Each call of `next_incarnation` must return a number that no process
/// has used before.
pub fn spawn_rank(
    cfg: RankConfig,
    own_rank: RankId,
    ranks: usize,
    engine: Arc<dyn Engine>,
    transport: Arc<dyn GroupTransport>,
    next_incarnation: impl FnMut() -> Incarnation + Send + 'static,
) -> RankHandle {
    let (tx, rx) = mpsc::channel(INBOX_CAPACITY);
    let (calls_tx, calls_rx) = mpsc::channel(ENGINE_QUEUE_CAPACITY);
    let (answers_tx, answers_rx) = mpsc::channel(ENGINE_QUEUE_CAPACITY);
    let task = RankTask {
        cfg,
        own_rank,
        ranks,
        calls: calls_tx,
        transport,
        next_incarnation,
        start: Instant::now(),
    };
    let mut tasks = JoinSet::new();
    tasks.spawn(call_engine(engine, calls_rx, answers_tx));
    tasks.spawn(task.run(rx, answers_rx));
    RankHandle { tx, _tasks: tasks }
}

/// Calls the engine, one call at a time so that orders reach it in sequence. A failed call has no
/// answer; the agent repeats it when due.
async fn call_engine(
    engine: Arc<dyn Engine>,
    mut calls: mpsc::Receiver<EngineCall>,
    answers: mpsc::Sender<EngineAnswer>,
) {
    while let Some(call) = calls.recv().await {
        let answer = match call {
            EngineCall::Order(order) => engine
                .order(order)
                .await
                .map(|s| Some(EngineAnswer::State(Box::new(s)))),
            EngineCall::State => engine
                .state()
                .await
                .map(|s| Some(EngineAnswer::State(Box::new(s)))),
            EngineCall::ReadMap(id) => engine.read_map(id).await.map(|b| b.map(EngineAnswer::Map)),
        };
        match answer {
            Ok(Some(answer)) => {
                if answers.send(answer).await.is_err() {
                    return;
                }
            }
            Ok(None) => {}
            Err(_) => counter!("oriole_group_engine_failures_total").increment(1),
        }
    }
}

struct RankTask<F> {
    cfg: RankConfig,
    own_rank: RankId,
    ranks: usize,
    calls: mpsc::Sender<EngineCall>,
    transport: Arc<dyn GroupTransport>,
    next_incarnation: F,
    start: Instant,
}

impl<F: FnMut() -> Incarnation> RankTask<F> {
    async fn run(
        mut self,
        mut rx: mpsc::Receiver<Input>,
        mut answers: mpsc::Receiver<EngineAnswer>,
    ) {
        let mut agent = self.new_agent();
        let mut ticks = interval(TICK_INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            let actions = tokio::select! {
                input = rx.recv() => match input {
                    Some(Input::Message(envelope)) => agent.on_message(self.now(), envelope),
                    Some(Input::Load(tokens, speed)) => {
                        agent.observe_load(tokens, speed);
                        Vec::new()
                    }
                    None => return,
                },
                answer = answers.recv() => match answer {
                    Some(EngineAnswer::State(state)) => agent.on_engine_state(self.now(), *state),
                    Some(EngineAnswer::Map(map)) => agent.on_map(self.now(), map),
                    None => return,
                },
                _ = ticks.tick() => agent.on_tick(self.now()),
            };
            self.carry_out(&mut agent, actions);
        }
    }

    fn new_agent(&mut self) -> RankAgent {
        RankAgent::new(
            self.cfg,
            self.own_rank,
            self.ranks,
            (self.next_incarnation)(),
        )
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn carry_out(&mut self, agent: &mut RankAgent, actions: Vec<RankAction>) {
        for action in actions {
            match action {
                RankAction::Send(to, message) => {
                    let envelope = Envelope {
                        from: Party::Rank(self.own_rank),
                        incarnation: agent.incarnation(),
                        message,
                    };
                    self.transport.send(to, envelope);
                }
                RankAction::Order(order) => self.call(EngineCall::Order(order)),
                RankAction::PollEngine => self.call(EngineCall::State),
                RankAction::ReadMap(id) => self.call(EngineCall::ReadMap(id)),
                RankAction::Restart => {
                    *agent = self.new_agent();
                    return;
                }
            }
        }
    }

    fn call(&self, call: EngineCall) {
        if self.calls.try_send(call).is_err() {
            counter!("oriole_group_refusals_total", "reason" => "engine_busy").increment(1);
        }
    }
}
