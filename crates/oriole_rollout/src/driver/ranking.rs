//! The task of a rank's agent.

use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use oriole_placement::map::{ExpertMap, MapId};
use oriole_types::ids::Incarnation;
use tokio::sync::mpsc;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::{Engine, GroupTransport, INBOX, TICK};
use crate::engine::{EngineOrder, EngineState};
use crate::messages::{Envelope, Party, RankId};
use crate::rank::{RankAction, RankAgent, RankConfig};

/// Calls to the engine that wait; more are dropped and made again later.
const ENGINE_QUEUE: usize = 16;

/// What the task of a rank takes in.
enum Input {
    Message(Envelope),
    Load(Vec<Vec<f32>>, Option<f32>),
}

enum Call {
    Order(EngineOrder),
    State,
    Body(MapId),
}

enum Answer {
    State(Box<EngineState>),
    Body(Arc<ExpertMap>),
}

/// A running rank; its tasks end when the handle is dropped.
pub struct RankHandle {
    tx: mpsc::Sender<Input>,
    _tasks: JoinSet<()>,
}

impl RankHandle {
    /// Hands over a message that arrived for the rank.
    pub fn deliver(&self, envelope: Envelope) {
        self.input(Input::Message(envelope));
    }

    /// Hands over what the slots took since the last time, by layer and slot, and the rank's speed.
    pub fn observe_load(&self, tokens: Vec<Vec<f32>>, speed: Option<f32>) {
        self.input(Input::Load(tokens, speed));
    }

    fn input(&self, input: Input) {
        if self.tx.try_send(input).is_err() {
            counter!("oriole_group_refusals_total", "reason" => "inbox_full").increment(1);
        }
    }
}

/// Starts the agent of a rank. `incarnations` gives a number that was never given before, by any
/// process, each time it is asked.
pub fn spawn_rank(
    cfg: RankConfig,
    me: RankId,
    ranks: usize,
    engine: Arc<dyn Engine>,
    transport: Arc<dyn GroupTransport>,
    incarnations: impl FnMut() -> Incarnation + Send + 'static,
) -> RankHandle {
    let (tx, rx) = mpsc::channel(INBOX);
    let (calls_tx, calls_rx) = mpsc::channel(ENGINE_QUEUE);
    let (answers_tx, answers_rx) = mpsc::channel(ENGINE_QUEUE);
    let task = RankTask {
        cfg,
        me,
        ranks,
        calls: calls_tx,
        transport,
        incarnations,
        start: Instant::now(),
    };
    let mut tasks = JoinSet::new();
    tasks.spawn(call_engine(engine, calls_rx, answers_tx));
    tasks.spawn(task.run(rx, answers_rx));
    RankHandle { tx, _tasks: tasks }
}

/// Makes calls one after the other, so that orders arrive in the order they were given.
async fn call_engine(
    engine: Arc<dyn Engine>,
    mut calls: mpsc::Receiver<Call>,
    answers: mpsc::Sender<Answer>,
) {
    while let Some(call) = calls.recv().await {
        let answer = match call {
            Call::Order(order) => engine
                .order(order)
                .await
                .map(|s| Some(Answer::State(Box::new(s)))),
            Call::State => engine
                .state()
                .await
                .map(|s| Some(Answer::State(Box::new(s)))),
            Call::Body(id) => engine.read_map(id).await.map(|b| b.map(Answer::Body)),
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
    me: RankId,
    ranks: usize,
    calls: mpsc::Sender<Call>,
    transport: Arc<dyn GroupTransport>,
    incarnations: F,
    start: Instant,
}

impl<F: FnMut() -> Incarnation> RankTask<F> {
    async fn run(mut self, mut rx: mpsc::Receiver<Input>, mut answers: mpsc::Receiver<Answer>) {
        let mut agent = self.fresh();
        let mut ticks = interval(TICK);
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
                    Some(Answer::State(state)) => agent.on_engine_state(self.now(), *state),
                    Some(Answer::Body(map)) => agent.on_map(self.now(), map),
                    None => return,
                },
                _ = ticks.tick() => agent.on_tick(self.now()),
            };
            self.carry_out(&mut agent, actions);
        }
    }

    fn fresh(&mut self) -> RankAgent {
        RankAgent::new(self.cfg, self.me, self.ranks, (self.incarnations)())
    }

    fn now(&self) -> Duration {
        self.start.elapsed()
    }

    fn carry_out(&mut self, agent: &mut RankAgent, actions: Vec<RankAction>) {
        for action in actions {
            match action {
                RankAction::Send(to, message) => {
                    let envelope = Envelope {
                        from: Party::Rank(self.me),
                        incarnation: agent.incarnation(),
                        message,
                    };
                    self.transport.send(to, envelope);
                }
                RankAction::Order(order) => self.call(Call::Order(order)),
                RankAction::PollEngine => self.call(Call::State),
                RankAction::ReadMap(id) => self.call(Call::Body(id)),
                RankAction::Restart => {
                    *agent = self.fresh();
                    return;
                }
            }
        }
    }

    fn call(&self, call: Call) {
        if self.calls.try_send(call).is_err() {
            counter!("oriole_group_refusals_total", "reason" => "engine_busy").increment(1);
        }
    }
}
