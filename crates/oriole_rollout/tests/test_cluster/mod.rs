//! A simulated group: ranks with stand-in engines, coordinators, and a network that can lose,
//! duplicate, delay and reorder messages. Checks the invariants of a switch after each event.
#![allow(dead_code, reason = "each test file uses a part")]

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use oriole_placement::map::MapId;
use oriole_placement::planner::PlannerConfig;
use oriole_placement::shape::GroupShape;
use oriole_rollout::prelude::*;
use oriole_rollout::standin::{StandinConfig, StandinEngine};
use oriole_types::ids::{Fence, GroupName, Incarnation};

/// A bug that is injected on purpose, to show that the checks find it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SeededBug {
    /// Ranks vote before their engines have confirmed the hold.
    VoteWithoutHold,
    /// Peers do not notice that an agent has restarted.
    RestartUnnoticed,
    /// The closer commits without waiting for the other votes.
    CloserAlone,
}

/// A request in transit to an engine.
#[derive(Clone, Debug)]
enum EngineRequest {
    Order(EngineOrder),
    Poll,
}

/// The simulated group and its clock.
#[derive(Clone, Debug)]
pub struct TestCluster {
    pub now: Duration,
    pub agents: Vec<RankAgent>,
    pub engines: Vec<StandinEngine>,
    /// Requests in transit to each engine, by run of the agent that sent them.
    connections: Vec<Vec<(Incarnation, VecDeque<EngineRequest>)>>,
    /// States in transit from each engine to its agent.
    engine_answers: Vec<VecDeque<EngineState>>,
    /// Messages in transit, with their receivers.
    pub network: VecDeque<(Party, Envelope)>,
    pub coordinators: Vec<GroupCoordinator>,
    /// Map that each rank used, for the last few steps.
    maps_by_step: BTreeMap<u64, Vec<Option<MapId>>>,
    checks_fencing: bool,
    bug: Option<SeededBug>,
    last_run: u64,
    last_fence: u64,
    /// Number of obeyed orders of each engine whose fencing numbers were checked.
    checked_orders: Vec<usize>,
    /// Settings of agents that start later.
    pub rank_cfg: RankConfig,
    /// Rank whose votes are lost.
    pub muted_voter: Option<RankId>,
    /// Event log for snapshots; `None` to record nothing.
    pub log: Option<Vec<String>>,
    names: BTreeMap<MapId, u64>,
}

/// Settings with which a coordinator switches to another map all the time.
fn eager_coordinator(ranks: usize) -> (CoordinatorConfig, GroupShape) {
    let cfg = CoordinatorConfig {
        planner: PlannerConfig {
            min_share_gain: -1.0,
            ..PlannerConfig::default()
        },
        poll_interval: Duration::from_millis(300),
        switch_poll_interval: Duration::from_millis(200),
        plan_interval: Duration::from_secs(1),
        report_max_age: Duration::from_secs(2),
        prepare_retry_interval: Duration::from_millis(500),
        stage_timeout: Duration::from_secs(4),
        decide_timeout: Duration::from_secs(4),
        lead_time: Duration::from_millis(200),
        failure_backoff: Duration::from_millis(500),
    };
    let shape = GroupShape {
        ranks,
        experts: ranks,
        layers: 1,
        slots_per_rank: 2,
        expert_bytes: 1,
        weight_bytes_per_s: 1_000_000,
        domains: vec![0; ranks],
    };
    (cfg, shape)
}

impl TestCluster {
    pub fn new(ranks: usize, checks_fencing: bool, bug: Option<SeededBug>) -> Self {
        let cfg = StandinConfig { checks_fencing };
        let mut cluster = Self {
            now: Duration::ZERO,
            agents: Vec::new(),
            engines: Vec::new(),
            connections: vec![Vec::new(); ranks],
            engine_answers: vec![VecDeque::new(); ranks],
            network: VecDeque::new(),
            coordinators: Vec::new(),
            maps_by_step: BTreeMap::new(),
            checks_fencing,
            bug,
            last_run: 0,
            last_fence: 0,
            checked_orders: vec![0; ranks],
            rank_cfg: RankConfig::default(),
            muted_voter: None,
            log: None,
            names: BTreeMap::new(),
        };
        for rank in 0..ranks {
            let run = cluster.next_run();
            cluster.engines.push(StandinEngine::new(cfg, run, 0));
            let run = cluster.next_run();
            let agent = RankAgent::new(RankConfig::default(), rank as RankId, ranks, run);
            cluster.agents.push(agent);
        }
        cluster
    }

    pub fn ranks(&self) -> usize {
        self.agents.len()
    }

    fn next_run(&mut self) -> Incarnation {
        self.last_run += 1;
        Incarnation(self.last_run)
    }

    fn log_event(&mut self, text: impl FnOnce(&Self) -> String) {
        if self.log.is_some() {
            let line = format!("{:>6} ms  {}", self.now.as_millis(), text(self));
            self.log.iter_mut().for_each(|l| l.push(line.clone()));
        }
    }

    // --- faults ---

    pub fn start_coordinator(&mut self) {
        self.last_fence += 1;
        let (cfg, shape) = eager_coordinator(self.ranks());
        let fence = Fence(self.last_fence);
        let c = GroupCoordinator::new(cfg, GroupName::new("g"), shape, fence).expect("valid shape");
        self.coordinators.push(c);
        self.log_event(|_| format!("coordinator {fence} starts"));
    }

    pub fn stop_coordinator(&mut self, i: usize) {
        if i < self.coordinators.len() {
            let c = self.coordinators.remove(i);
            self.log_event(|_| format!("coordinator {} dies", c.fence()));
        }
    }

    pub fn restart_agent(&mut self, rank: usize) {
        let run = match self.bug {
            Some(SeededBug::RestartUnnoticed) => self.agents[rank].incarnation(),
            _ => self.next_run(),
        };
        let agent = RankAgent::new(self.rank_cfg, rank as RankId, self.ranks(), run);
        self.agents[rank] = agent;
        self.engine_answers[rank].clear();
        self.log_event(|_| format!("agent {rank} restarts without memory"));
    }

    /// Restarts an engine without weights, at the current step of the group.
    pub fn restart_engine(&mut self, rank: usize) {
        let step = self.group_step();
        if let Some(step_maps) = self.maps_by_step.get_mut(&step) {
            step_maps[rank] = None;
        }
        let cfg = StandinConfig {
            checks_fencing: self.checks_fencing,
        };
        let run = self.next_run();
        self.engines[rank] = StandinEngine::new(cfg, run, step);
        self.connections[rank].clear();
        self.engine_answers[rank].clear();
        self.checked_orders[rank] = 0;
        self.log_event(|_| format!("engine {rank} restarts empty at step {step}"));
    }

    // --- single events ---

    pub fn tick_agent(&mut self, rank: usize) {
        let actions = self.agents[rank].on_tick(self.now);
        self.carry_out(rank, actions);
    }

    pub fn tick_coordinator(&mut self, i: usize) {
        if i < self.coordinators.len() {
            let actions = self.coordinators[i].on_tick(self.now);
            self.carry_out_for_coordinator(i, actions);
        }
    }

    /// Delivers the next request of one of the connections to an engine.
    pub fn deliver_order(&mut self, rank: usize, connection: usize) {
        let live = self.agents[rank].incarnation();
        let connection_count = self.connections[rank].len();
        if connection_count == 0 {
            return;
        }
        let (sender, queue) = &mut self.connections[rank][connection % connection_count];
        let (sender, item) = (*sender, queue.pop_front());
        match item {
            Some(EngineRequest::Order(order)) => {
                let before = self.engines[rank].state().sequence;
                self.engines[rank].order(&order);
                if self.engines[rank].state().sequence > before {
                    self.log_event(|c| format!("engine {rank} obeys {}", c.show_op(&order.op)));
                }
            }
            Some(EngineRequest::Poll) => {}
            None => {
                let is_finished =
                    |(run, q): &(Incarnation, VecDeque<_>)| *run != live && q.is_empty();
                self.connections[rank].retain(|c| !is_finished(c));
                return;
            }
        }
        if sender == live {
            let state = self.engines[rank].state().clone();
            self.engine_answers[rank].push_back(state);
        }
        self.assert_fences_never_decrease(rank);
    }

    pub fn deliver_answer(&mut self, rank: usize) {
        if let Some(state) = self.engine_answers[rank].pop_front() {
            let actions = self.agents[rank].on_engine_state(self.now, state);
            self.carry_out(rank, actions);
        }
    }

    pub fn lose_answer(&mut self, rank: usize) {
        self.engine_answers[rank].pop_front();
    }

    pub fn deliver(&mut self, i: usize) {
        if self.network.is_empty() {
            return;
        }
        let i = i % self.network.len();
        if let Some((to, envelope)) = self.network.remove(i) {
            self.deliver_to(to, envelope);
        }
    }

    pub fn lose(&mut self, i: usize) {
        if !self.network.is_empty() {
            let i = i % self.network.len();
            if let Some((to, e)) = self.network.remove(i) {
                self.log_event(|c| {
                    format!(
                        "LOST {} -> {}: {}",
                        show(e.from),
                        show(to),
                        c.show_message(&e.message)
                    )
                });
            }
        }
    }

    pub fn duplicate(&mut self, i: usize) {
        if !self.network.is_empty() && self.network.len() < 500 {
            let i = i % self.network.len();
            let copy = self.network[i].clone();
            self.network.push_back(copy);
        }
    }

    pub fn finish_load(&mut self, rank: usize, succeeded: bool) {
        let loading = self.engines[rank].state().loading;
        self.engines[rank].finish_load(succeeded);
        if let Some(id) = loading {
            self.log_event(|c| {
                let end = if succeeded { "holds" } else { "could not load" };
                format!("engine {rank} {end} {}", c.show_map(id))
            });
        }
    }

    /// Starts a rank's next step, if all ranks have reached it and its engine may start it. Checks
    /// that all ranks use the same map in this step.
    pub fn begin_step(&mut self, rank: usize) -> bool {
        let step = self.engines[rank].state().next_step;
        if step > self.group_step() {
            return false;
        }
        let Some(map) = self.engines[rank].next_step_map() else {
            return false;
        };
        self.engines[rank].begin_step();
        let ranks = self.ranks();
        let step_maps = self
            .maps_by_step
            .entry(step)
            .or_insert_with(|| vec![None; ranks]);
        step_maps[rank] = Some(map);
        assert!(
            step_maps.iter().flatten().all(|m| *m == map),
            "step {step} mixes maps: {step_maps:?}"
        );
        if step_maps.iter().all(Option::is_some) {
            let before = step
                .checked_sub(1)
                .and_then(|s| self.maps_by_step.get(&s))
                .map(|maps| maps[0]);
            if before != Some(Some(map)) {
                self.log_event(|c| format!("step {step} is the first under {}", c.show_map(map)));
            }
            let keep = step.saturating_sub(2);
            self.maps_by_step.retain(|s, _| *s >= keep);
        }
        true
    }

    /// The step that all ranks have reached.
    pub fn group_step(&self) -> u64 {
        let steps = self.engines.iter().map(|e| e.state().next_step);
        steps.min().unwrap_or(0)
    }

    /// The map that each engine uses.
    pub fn active(&self) -> Vec<Option<MapId>> {
        self.engines.iter().map(|e| e.state().active).collect()
    }

    // --- rounds ---

    /// One round of 100 ms in which everything due happens: messages arrive, loads finish and steps
    /// run.
    pub fn fault_free_round(&mut self) {
        self.round_with_faults(None, None);
    }

    /// Such a round, in which one agent is stalled or one engine is unreachable.
    pub fn round_with_faults(&mut self, stalled: Option<usize>, unreachable: Option<usize>) {
        self.now += Duration::from_millis(100);
        for i in (0..self.coordinators.len()).rev() {
            self.tick_coordinator(i);
        }
        for rank in (0..self.ranks()).filter(|r| Some(*r) != stalled) {
            self.tick_agent(rank);
        }
        self.deliver_all(stalled, unreachable);
        for rank in 0..self.ranks() {
            self.finish_load(rank, true);
        }
        for _ in 0..2 {
            for rank in 0..self.ranks() {
                self.begin_step(rank);
            }
        }
    }

    /// Advances until a switch is proposed but its proposal has not reached any rank.
    pub fn run_to_vote(&mut self) -> Option<Proposal> {
        for _ in 0..300 {
            let proposed = self.network.iter().find_map(|(_, e)| match e.message {
                GroupMessage::Propose(p) => Some(p),
                _ => None,
            });
            if proposed.is_some() {
                return proposed;
            }
            self.hop();
        }
        None
    }

    /// Advances by 10 ms: loads finish and messages advance by one hop.
    pub fn hop(&mut self) {
        for rank in 0..self.ranks() {
            self.finish_load(rank, true);
        }
        self.hop_without_loads();
    }

    /// Advances by 10 ms: messages advance by one hop, but no load finishes.
    pub fn hop_without_loads(&mut self) {
        self.now += Duration::from_millis(10);
        for i in (0..self.coordinators.len()).rev() {
            self.tick_coordinator(i);
        }
        for rank in 0..self.ranks() {
            self.tick_agent(rank);
            self.deliver_all_orders(rank);
            self.begin_step(rank);
        }
        for _ in 0..self.network.len() {
            self.deliver(0);
        }
    }

    /// Delivers everything in transit and the replies to it, up to four hops.
    fn deliver_all(&mut self, stalled: Option<usize>, unreachable: Option<usize>) {
        let to_stalled = |to: &Party| stalled.is_some_and(|r| *to == Party::Rank(r as RankId));
        for _ in 0..4 {
            for rank in 0..self.ranks() {
                if Some(rank) != stalled && Some(rank) != unreachable {
                    self.deliver_all_orders(rank);
                }
            }
            let mut skipped = 0;
            for _ in 0..self.network.len() {
                if self
                    .network
                    .get(skipped)
                    .is_some_and(|(to, _)| to_stalled(to))
                {
                    skipped += 1;
                } else {
                    self.deliver(skipped);
                }
            }
        }
    }

    pub fn deliver_all_orders(&mut self, rank: usize) {
        for connection in (0..self.connections[rank].len()).rev() {
            let len = self.connections[rank]
                .get(connection)
                .map_or(0, |(_, q)| q.len());
            for _ in 0..len {
                self.deliver_order(rank, connection);
            }
        }
        for _ in 0..self.engine_answers[rank].len() {
            self.deliver_answer(rank);
        }
    }

    // --- transport ---

    fn carry_out(&mut self, rank: usize, actions: Vec<RankAction>) {
        let run = self.agents[rank].incarnation();
        for action in actions {
            match action {
                RankAction::Send(to, message) => {
                    self.send(Party::Rank(rank as RankId), run, to, message);
                }
                RankAction::Order(order) => self.enqueue(rank, run, EngineRequest::Order(order)),
                RankAction::PollEngine => self.enqueue(rank, run, EngineRequest::Poll),
                RankAction::ReadMap(id) => {
                    if let Some(map) = self.engines[rank].map(id).cloned() {
                        let actions = self.agents[rank].on_map(self.now, map);
                        self.carry_out(rank, actions);
                    }
                }
                RankAction::Restart => return self.restart_agent(rank),
            }
        }
    }

    fn enqueue(&mut self, rank: usize, run: Incarnation, item: EngineRequest) {
        let connections = &mut self.connections[rank];
        match connections.iter_mut().find(|(r, _)| *r == run) {
            Some((_, queue)) if queue.len() < 40 => queue.push_back(item),
            Some(_) => {}
            None => connections.push((run, VecDeque::from([item]))),
        }
    }

    fn carry_out_for_coordinator(&mut self, i: usize, actions: Vec<CoordinatorAction>) {
        let fence = self.coordinators[i].fence();
        for action in actions {
            match action {
                CoordinatorAction::Send(rank, message) => {
                    let from = Party::Coordinator(fence);
                    self.send(from, Incarnation(0), Party::Rank(rank), message);
                }
                CoordinatorAction::Publish(_) => {}
                CoordinatorAction::StepDown(_) => {
                    self.stop_coordinator(i);
                    return;
                }
            }
        }
    }

    fn send(&mut self, from: Party, run: Incarnation, to: Party, message: GroupMessage) {
        if self.network.len() > 500 {
            self.network.pop_front();
        }
        let is_muted = self.muted_voter.is_some_and(|r| from == Party::Rank(r));
        if is_muted && matches!(message, GroupMessage::Vote { .. }) {
            return;
        }
        let envelope = Envelope {
            from,
            incarnation: run,
            message,
        };
        self.network.push_back((to, envelope));
    }

    fn deliver_to(&mut self, to: Party, envelope: Envelope) {
        if !matches!(
            envelope.message,
            GroupMessage::Poll { .. } | GroupMessage::Report(_)
        ) {
            self.log_event(|c| {
                let text = c.show_message(&envelope.message);
                format!("{} -> {}: {text}", show(envelope.from), show(to))
            });
        }
        match to {
            Party::Rank(rank) => {
                self.inject_bug(rank, &envelope.message);
                let rank = usize::from(rank);
                let actions = self.agents[rank].on_message(self.now, envelope);
                self.carry_out(rank, actions);
            }
            Party::Coordinator(fence) => {
                let Some(i) = self.coordinators.iter().position(|c| c.fence() == fence) else {
                    return;
                };
                let actions = self.coordinators[i].on_message(self.now, envelope);
                self.carry_out_for_coordinator(i, actions);
            }
        }
    }

    /// Sends the additional messages of an injected bug.
    fn inject_bug(&mut self, rank: RankId, message: &GroupMessage) {
        let GroupMessage::Propose(proposal) = message else {
            return;
        };
        let run = self.agents[usize::from(rank)].incarnation();
        let (from, to) = (Party::Rank(rank), Party::Rank(proposal.closer));
        match self.bug {
            Some(SeededBug::VoteWithoutHold) if rank != proposal.closer => {
                let vote = GroupMessage::Vote {
                    proposal: *proposal,
                    yes: true,
                };
                self.send(from, run, to, vote);
            }
            Some(SeededBug::CloserAlone) if rank == proposal.closer => {
                for r in (0..self.ranks() as RankId).filter(|r| *r != rank) {
                    let outcome = GroupMessage::Outcome {
                        proposal: *proposal,
                        commit: true,
                    };
                    self.send(from, run, Party::Rank(r), outcome);
                }
            }
            _ => {}
        }
    }

    fn assert_fences_never_decrease(&mut self, rank: usize) {
        let obeyed = self.engines[rank].obeyed_fences();
        let from = self.checked_orders[rank].saturating_sub(1);
        let has_decreased = obeyed[from..].windows(2).any(|w| w[1] < w[0]);
        assert!(
            !has_decreased,
            "engine {rank} obeyed falling fencing numbers: {obeyed:?}"
        );
        self.checked_orders[rank] = obeyed.len();
    }

    // --- rendering for snapshots ---

    fn show_map(&self, id: MapId) -> String {
        format!("map {}", id.version)
    }

    fn show_op(&self, op: &EngineOp) -> String {
        match op {
            EngineOp::Stage(map) => format!("Stage {}", self.show_map(map.id())),
            EngineOp::Unstage(id) => format!("Unstage {}", self.show_map(*id)),
            EngineOp::Adopt => "Adopt".to_owned(),
            EngineOp::Hold(h) => format!("Hold at step {}", h.at_step),
            EngineOp::Arm(p) => format!("Arm {} at step {}", self.show_map(p.next), p.at_step),
            EngineOp::Release(_) => "Release".to_owned(),
            EngineOp::Start { map, .. } => format!("Start {}", self.show_map(*map)),
        }
    }

    fn show_message(&self, message: &GroupMessage) -> String {
        let switch = |p: &Proposal| {
            let next = self.show_map(p.next);
            format!("{next} at step {}, closer {}", p.at_step, p.closer)
        };
        match message {
            GroupMessage::Poll { .. } => "Poll".to_owned(),
            GroupMessage::Report(_) => "Report".to_owned(),
            GroupMessage::Prepare(map) => format!("Prepare {}", self.show_map(map.id())),
            GroupMessage::Propose(p) => format!("Propose {}", switch(p)),
            GroupMessage::Vote { proposal, yes } => {
                format!(
                    "Vote {} on {}",
                    if *yes { "yes" } else { "no" },
                    switch(proposal)
                )
            }
            GroupMessage::Outcome { proposal, commit } => {
                let end = if *commit { "commit" } else { "abort" };
                format!("Outcome {end} of {}", switch(proposal))
            }
            GroupMessage::Hello => "Hello".to_owned(),
            GroupMessage::Welcome(w) => match &w.committed {
                Some(p) => format!("Welcome, decided: {}", switch(p)),
                None => "Welcome".to_owned(),
            },
            GroupMessage::WantMap(id) => format!("WantMap {}", self.show_map(*id)),
            GroupMessage::HaveMap(map) => format!("HaveMap {}", self.show_map(map.id())),
            GroupMessage::StaleRun(_) => "StaleRun".to_owned(),
            GroupMessage::StaleFence(f) => format!("StaleFence {f}"),
        }
    }
}

fn show(party: Party) -> String {
    match party {
        Party::Rank(r) => format!("rank {r}"),
        Party::Coordinator(f) => format!("coordinator {f}"),
    }
}
