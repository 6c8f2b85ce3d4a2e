//! The implemented protocol: ranks vote and the closer, one of them, decides.

use std::sync::Arc;
use std::time::Duration;

use oriole_placement::prelude::{ExpertMap, LayerMap, MapId, MapVersion};
use oriole_rollout::prelude::*;
use oriole_rollout::standin::{StandinConfig, StandinEngine};
use oriole_types::ids::{Fence, Incarnation};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::conditions::{
    Conditions, Costs, ENGINE_DELAY_MS, NETWORK_DELAY_MS, STEP_INTERVAL_MS, SWITCH_LEAD_MS,
    TICK_INTERVAL_MS, WEIGHT_LOAD_MS,
};
use super::timeline::{Ms, Timeline};

/// Longest wait for a group to settle, in milliseconds.
const SETTLE_TIMEOUT_MS: Ms = 120_000;
/// Fencing number of the coordinator.
const FENCE: Fence = Fence(1);

enum Event {
    Delivery(Party, Envelope),
    Order(usize, EngineOrder),
    State(usize, Box<EngineState>),
    Loaded(usize),
    Tick(usize),
    Step,
    Resume(usize),
}

/// A group whose ranks run the real switch code against stand-in engines in simulated time.
pub struct VotingGroup {
    rng: ChaCha8Rng,
    timeline: Timeline<Event>,
    agents: Vec<RankAgent>,
    engines: Vec<StandinEngine>,
    /// Messages to each stalled agent, delivered when it resumes.
    held_messages: Vec<Vec<(Party, Envelope)>>,
    is_stalled: Vec<bool>,
    loss: f64,
    settling: bool,
    attempts: u32,
    outcome: Option<bool>,
    base: Option<MapId>,
    /// Costs so far.
    pub costs: Costs,
}

impl VotingGroup {
    /// Creates a group and switches it to its first map.
    pub fn new(ranks: usize, seed: u64) -> Self {
        let run = |r: usize| Incarnation(r as u64 + 1);
        let agent = |r| RankAgent::new(RankConfig::default(), r as RankId, ranks, run(r));
        let engine = |r| StandinEngine::new(StandinConfig::default(), run(r), 0);
        let mut group = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            timeline: Timeline::default(),
            agents: (0..ranks).map(agent).collect(),
            engines: (0..ranks).map(engine).collect(),
            held_messages: vec![Vec::new(); ranks],
            is_stalled: vec![false; ranks],
            loss: 0.0,
            settling: false,
            attempts: 0,
            outcome: None,
            base: None,
            costs: Costs::default(),
        };
        for rank in 0..ranks {
            group
                .timeline
                .schedule_after(TICK_INTERVAL_MS, Event::Tick(rank));
        }
        group.timeline.schedule_after(STEP_INTERVAL_MS, Event::Step);
        group.run_for(1_000);
        group.switch(&Conditions::default());
        group.costs = Costs::default();
        group
    }

    /// Switches to the next map; returns whether it came into force.
    pub fn switch(&mut self, conditions: &Conditions) -> bool {
        self.costs.switches += 1;
        self.loss = conditions.loss;
        let map = self.next_map();
        let id = map.id();
        self.stage(&Arc::new(map));
        let proposal = self.proposal(id);
        self.outcome = None;
        for rank in 0..self.agents.len() {
            self.send_to_rank(rank, GroupMessage::Propose(proposal));
        }
        if let Some((rank, ms)) = conditions.stalled_agent {
            self.is_stalled[rank] = true;
            self.timeline.schedule_after(ms, Event::Resume(rank));
        }
        self.settle(&proposal)
    }

    /// Runs for some time without a switch.
    pub fn run_for(&mut self, ms: Ms) {
        let end = self.timeline.now() + ms;
        while self.timeline.now() < end {
            self.run_next_event();
        }
    }

    /// Returns a map of the next version; its content does not affect the switch.
    fn next_map(&self) -> ExpertMap {
        let version = self.base.map_or(MapVersion(1), |id| id.version.next());
        let layer = LayerMap {
            experts: vec![0],
            shares: vec![version.0 as u16],
        };
        ExpertMap {
            version: MapVersion(version.0 + u64::from(self.attempts)),
            slots_per_rank: 1,
            layers: vec![layer],
        }
    }

    fn stage(&mut self, map: &Arc<ExpertMap>) {
        let id = map.id();
        let deadline = self.timeline.now() + SETTLE_TIMEOUT_MS;
        while self.timeline.now() < deadline {
            let missing: Vec<usize> = (0..self.engines.len())
                .filter(|r| !self.engines[*r].state().staged.contains(&id))
                .collect();
            if missing.is_empty() {
                return self.run_for(2 * TICK_INTERVAL_MS);
            }
            for rank in missing {
                self.send_to_rank(rank, GroupMessage::Prepare(map.clone()));
            }
            self.run_for(2 * WEIGHT_LOAD_MS + 4 * TICK_INTERVAL_MS);
        }
    }

    fn proposal(&mut self, next: MapId) -> Proposal {
        self.attempts += 1;
        let lead = if self.base.is_some() {
            SWITCH_LEAD_MS / STEP_INTERVAL_MS
        } else {
            0
        };
        let steps = self.engines.iter().map(|e| e.state().next_step);
        Proposal {
            switch: SwitchId {
                fence: FENCE,
                version: next.version,
                attempt: self.attempts,
            },
            base: self.base,
            next,
            at_step: steps.max().unwrap_or(0) + lead,
            closer: (self.attempts as usize % self.agents.len()) as RankId,
        }
    }

    /// Runs until no rank waits for the outcome and, if it was committed, all use the next map.
    fn settle(&mut self, proposal: &Proposal) -> bool {
        let start = self.timeline.now();
        self.settling = true;
        let mut settled_after = None;
        while self.timeline.now() < start + SETTLE_TIMEOUT_MS {
            self.run_next_event();
            let commits = |a: &RankAgent| a.committed() == Some(*proposal);
            let all = self.agents.iter().all(commits);
            let none = self.outcome == Some(false);
            if (all || none) && settled_after.is_none() {
                settled_after = Some(self.timeline.now() - start);
            }
            let holding = self.engines.iter().any(|e| e.state().hold.is_some());
            let uses = |e: &StandinEngine| e.state().active == Some(proposal.next);
            if settled_after.is_some() && !holding && (none || self.engines.iter().all(uses)) {
                break;
            }
        }
        self.settling = false;
        self.costs.settle_ms += settled_after.unwrap_or(SETTLE_TIMEOUT_MS);
        let committed = self.agents[0].committed() == Some(*proposal);
        if committed {
            self.base = Some(proposal.next);
            self.costs.committed += 1;
        }
        committed
    }

    fn send_to_rank(&mut self, rank: usize, message: GroupMessage) {
        let from = Party::Coordinator(FENCE);
        self.send(from, Incarnation(0), Party::Rank(rank as RankId), message);
    }

    fn send(&mut self, from: Party, incarnation: Incarnation, to: Party, message: GroupMessage) {
        self.costs.messages += 1;
        if self.loss > 0.0 && self.rng.random_bool(self.loss) {
            return;
        }
        let envelope = Envelope {
            from,
            incarnation,
            message,
        };
        let delay = self.rng.random_range(NETWORK_DELAY_MS);
        self.timeline
            .schedule_after(delay, Event::Delivery(to, envelope));
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.timeline.now())
    }

    fn run_next_event(&mut self) {
        match self.timeline.pop() {
            Some(Event::Delivery(to, envelope)) => self.deliver(to, envelope),
            Some(Event::Order(rank, order)) => self.execute_order(rank, &order),
            Some(Event::State(rank, state)) if !self.is_stalled[rank] => {
                let now = self.now();
                let actions = self.agents[rank].on_engine_state(now, *state);
                self.apply_actions(rank, actions);
            }
            Some(Event::Loaded(rank)) => self.engines[rank].finish_load(true),
            Some(Event::Tick(rank)) => self.tick(rank),
            Some(Event::Step) => self.run_step(),
            Some(Event::Resume(rank)) => self.resume(rank),
            _ => {}
        }
    }

    fn deliver(&mut self, to: Party, envelope: Envelope) {
        let Party::Rank(rank) = to else {
            if let GroupMessage::Outcome { commit, .. } = envelope.message {
                self.outcome = Some(commit);
            }
            return;
        };
        let rank = usize::from(rank);
        if self.is_stalled[rank] {
            self.held_messages[rank].push((to, envelope));
            return;
        }
        let now = self.now();
        let actions = self.agents[rank].on_message(now, envelope);
        self.apply_actions(rank, actions);
    }

    fn resume(&mut self, rank: usize) {
        self.is_stalled[rank] = false;
        for (to, envelope) in std::mem::take(&mut self.held_messages[rank]) {
            self.deliver(to, envelope);
        }
    }

    fn tick(&mut self, rank: usize) {
        self.timeline
            .schedule_after(TICK_INTERVAL_MS, Event::Tick(rank));
        if !self.is_stalled[rank] {
            let now = self.now();
            let actions = self.agents[rank].on_tick(now);
            self.apply_actions(rank, actions);
        }
    }

    fn apply_actions(&mut self, rank: usize, actions: Vec<RankAction>) {
        let incarnation = self.agents[rank].incarnation();
        for action in actions {
            match action {
                RankAction::Send(to, message) => {
                    self.send(Party::Rank(rank as RankId), incarnation, to, message);
                }
                RankAction::Order(order) => {
                    self.timeline
                        .schedule_after(ENGINE_DELAY_MS, Event::Order(rank, order));
                }
                RankAction::PollEngine => {
                    let state = self.engines[rank].state().clone();
                    self.timeline
                        .schedule_after(ENGINE_DELAY_MS, Event::State(rank, Box::new(state)));
                }
                RankAction::ReadMap(_) | RankAction::Restart => {}
            }
        }
    }

    fn execute_order(&mut self, rank: usize, order: &EngineOrder) {
        self.engines[rank].order(order);
        if self.engines[rank].state().loading.is_some() {
            self.timeline
                .schedule_after(WEIGHT_LOAD_MS, Event::Loaded(rank));
        }
        let state = self.engines[rank].state().clone();
        self.timeline
            .schedule_after(ENGINE_DELAY_MS, Event::State(rank, Box::new(state)));
    }

    /// Runs one step of the whole group unless a rank has to wait.
    fn run_step(&mut self) {
        self.timeline.schedule_after(STEP_INTERVAL_MS, Event::Step);
        let maps: Option<Vec<MapId>> = self
            .engines
            .iter()
            .map(StandinEngine::next_step_map)
            .collect();
        match maps {
            Some(maps) => {
                let mixed = maps.iter().any(|m| *m != maps[0]);
                self.costs.mixed_steps += u64::from(mixed);
                self.engines.iter_mut().for_each(StandinEngine::begin_step);
            }
            None => self.costs.stalled_steps += u64::from(self.settling),
        }
    }
}
