//! The engines of a group and the steps that they run.

use std::collections::BTreeSet;
use std::sync::Arc;

use oriole_placement::map::{ExpertMap, FULL_SHARE, MapId};
use oriole_rollout::engine::{EngineOrder, EngineState};
use oriole_rollout::standin::{StandinConfig, StandinEngine};
use oriole_types::ids::Incarnation;
use tokio::time::Instant;

use super::demand::Demand;
use super::{GroupConfig, GroupLoad, StepSpan};
use crate::health::{Health, HealthState};

/// All engines of one group.
///
/// Each rank starts the next step by itself, as soon as its engine may. Once all ranks have started
/// it, the step takes [`GroupConfig::step_time`], longer if their loads differ.
#[derive(Debug)]
pub(crate) struct GroupEngines {
    cfg: GroupConfig,
    started_at: Instant,
    demand: Demand,
    ranks: Vec<Rank>,
    step: StepState,
    /// Steps that all ranks have started, oldest first.
    steps: Vec<StepSpan>,
}

#[derive(Debug)]
struct Rank {
    engine: StandinEngine,
    /// Step that it has started and not finished, with the map it uses.
    current_step: Option<(u64, MapId)>,
    /// When the engine finishes loading the weights of a map; `None` if it loads none.
    load_ends_at: Option<Instant>,
    /// Health of the process that runs it, with the number of its crashes handled so far; `None`
    /// until [`GroupEngines::attach`].
    health: Option<(Health, u64)>,
    /// Tokens that each slot took since the last load report, layer by layer.
    tokens: Vec<Vec<f32>>,
}

#[derive(Debug)]
enum StepState {
    /// Some rank has not started the step; the others wait for it.
    WaitingForRanks,
    /// All ranks run the step, until the given time.
    Running(Instant),
}

impl GroupEngines {
    pub(crate) fn new(cfg: GroupConfig) -> Self {
        let new_rank = |_| Rank {
            engine: empty_engine(&cfg, 0),
            current_step: None,
            load_ends_at: None,
            health: None,
            tokens: Vec::new(),
        };
        Self {
            started_at: Instant::now(),
            demand: Demand::new(&cfg),
            ranks: (0..cfg.ranks).map(new_rank).collect(),
            step: StepState::WaitingForRanks,
            steps: Vec::new(),
            cfg,
        }
    }

    /// Lets a rank's engine crash and stall with the process that runs it.
    pub(crate) fn attach(&mut self, rank: usize, health: Health) {
        let crashes = health.view().crashes;
        self.ranks[rank].health = Some((health, crashes));
    }

    pub(crate) fn steps(&self) -> &[StepSpan] {
        &self.steps
    }

    pub(crate) fn states(&self) -> Vec<EngineState> {
        let ranks = self.ranks.iter();
        ranks.map(|r| r.engine.state().clone()).collect()
    }

    pub(crate) fn state(&self, rank: usize) -> &EngineState {
        self.ranks[rank].engine.state()
    }

    pub(crate) fn order(&mut self, rank: usize, order: &EngineOrder, now: Instant) {
        let rank = &mut self.ranks[rank];
        rank.engine.order(order);
        if rank.engine.state().loading.is_none() {
            rank.load_ends_at = None;
        } else if rank.load_ends_at.is_none() {
            rank.load_ends_at = Some(now + self.cfg.load_time);
        }
    }

    /// The map that a rank has staged under the name `{version}-{digest}`.
    pub(crate) fn map(&self, rank: usize, name: &str) -> Option<Arc<ExpertMap>> {
        let engine = &self.ranks[rank].engine;
        let mut staged = engine.state().staged.iter();
        let id = staged.find(|id| format!("{}-{}", id.version, id.digest) == name)?;
        engine.map(*id).cloned()
    }

    pub(crate) fn take_load(&mut self, rank: usize) -> GroupLoad {
        GroupLoad {
            tokens: std::mem::take(&mut self.ranks[rank].tokens),
            speed: None,
        }
    }

    /// Finishes loads and steps whose time is over, and starts the steps that can start.
    pub(crate) fn tick(&mut self, now: Instant) {
        let is_waiting = matches!(self.step, StepState::WaitingForRanks);
        for rank in &mut self.ranks {
            rank.restart_after_crash(&self.cfg, is_waiting);
            if rank.load_ends_at.take_if(|end| *end <= now).is_some() {
                rank.engine.finish_load(true);
            }
        }
        if let StepState::Running(end) = self.step {
            if now < end {
                return;
            }
            self.step = StepState::WaitingForRanks;
            for rank in &mut self.ranks {
                rank.current_step = None;
            }
        }
        for rank in &mut self.ranks {
            rank.try_begin_step();
        }
        let started: Option<Vec<_>> = self.ranks.iter().map(|r| r.current_step).collect();
        if let Some(started) = started {
            self.record_step(&started);
            self.run_step(&started, now);
        }
    }

    /// Extends the last span by a step, or starts a new span if the step uses other maps.
    fn record_step(&mut self, started: &[(u64, MapId)]) {
        let Some((first, _)) = started.first().copied() else {
            return;
        };
        let maps: BTreeSet<MapId> = started.iter().map(|(_, map)| *map).collect();
        match self.steps.last_mut() {
            Some(last) if last.maps == maps => last.steps += 1,
            _ => self.steps.push(StepSpan {
                first,
                steps: 1,
                maps,
            }),
        }
    }

    /// Adds the load of the step to each rank. The step lasts as long as the busiest rank needs.
    fn run_step(&mut self, started: &[(u64, MapId)], now: Instant) {
        let demand = self.demand.tokens_at(now - self.started_at);
        let mut loads = Vec::new();
        for (i, (rank, (_, map))) in self.ranks.iter_mut().zip(started).enumerate() {
            let Some(map) = rank.engine.map(*map).cloned() else {
                continue;
            };
            let tokens = slot_tokens(&map, i, &demand);
            loads.push(tokens.iter().flatten().sum::<f32>());
            rank.add_tokens(tokens);
        }
        let mean = loads.iter().sum::<f32>() / loads.len().max(1) as f32;
        let slowest = loads.iter().copied().fold(0.0, f32::max);
        let imbalance = if mean > 0.0 { slowest / mean } else { 1.0 };
        self.step = StepState::Running(now + self.cfg.step_time.mul_f32(imbalance));
    }
}

impl Rank {
    /// After a crash, replaces the engine by an empty one that continues at the step of the group.
    fn restart_after_crash(&mut self, cfg: &GroupConfig, is_waiting: bool) {
        let Some((health, crashes_seen)) = &mut self.health else {
            return;
        };
        let crashes = health.view().crashes;
        if crashes == *crashes_seen {
            return;
        }
        *crashes_seen = crashes;
        let next = self.engine.state().next_step;
        let lost_step = self.current_step.take_if(|_| is_waiting);
        self.engine = empty_engine(cfg, lost_step.map_or(next, |(step, _)| step));
        self.load_ends_at = None;
        self.tokens.clear();
    }

    /// Whether the process that runs the engine is neither down nor stalled.
    fn is_working(&self) -> bool {
        let state = self.health.as_ref().map(|(v, _)| v.state());
        !matches!(state, Some(HealthState::Crash | HealthState::Stall))
    }

    fn try_begin_step(&mut self) {
        if self.current_step.is_some() || !self.is_working() {
            return;
        }
        if let Some(map) = self.engine.next_step_map() {
            // Under another map the slots hold other experts, so the counts don't add up.
            if self.engine.state().active != Some(map) {
                self.tokens.clear();
            }
            self.current_step = Some((self.engine.state().next_step, map));
            self.engine.begin_step();
        }
    }

    /// Adds the tokens of a step to those of each slot.
    fn add_tokens(&mut self, tokens: Vec<Vec<f32>>) {
        if self.tokens.is_empty() {
            self.tokens = tokens;
            return;
        }
        let sums = self.tokens.iter_mut().flatten();
        for (sum, n) in sums.zip(tokens.into_iter().flatten()) {
            *sum += n;
        }
    }
}

fn empty_engine(cfg: &GroupConfig, step: u64) -> StandinEngine {
    let standin = StandinConfig {
        checks_fencing: cfg.checks_fencing,
    };
    StandinEngine::new(standin, Incarnation(rand::random::<u64>() | 1), step)
}

/// Tokens that each slot of a rank takes in one step, layer by layer.
fn slot_tokens(map: &ExpertMap, rank: usize, demand: &[Vec<f32>]) -> Vec<Vec<f32>> {
    let slots = rank * map.slots_per_rank..(rank + 1) * map.slots_per_rank;
    let layers = map.layers.iter().zip(demand);
    layers
        .map(|(layer, demand)| {
            let slots = slots.clone();
            slots
                .map(|s| {
                    let share = f32::from(layer.shares[s]) / f32::from(FULL_SHARE);
                    demand[usize::from(layer.experts[s])] * share
                })
                .collect()
        })
        .collect()
}
