//! Simulation of a group of engines and their agents, in one thread with a simulated clock.

use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_placement::even_split;
use oriole_ranks::forwarding::branches;
use oriole_ranks::map_cache::initial_map;
use oriole_ranks::message::{Datagram, ExpertList};
use oriole_ranks::prelude::*;
use oriole_ranks::recovery::next_step;
use oriole_ranks::sampler::{ChoiceSample, ChoiceSampler};
use oriole_ranks::status_pacer::StatusPacer;
use prost::Message as _;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use crate::link::Link;

/// Size of a group and rate of its links.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub ranks: usize,
    pub experts: usize,
    pub layer_sets: usize,
    pub experts_per_rank: usize,
    /// Number of ranks that count choices.
    pub count_reporters: usize,
    /// Average choices in a pass of one rank: of an expert in demand, and of another one.
    pub choices: (u64, u64),
    /// Rate of each VM's link. `None` if it does not limit.
    pub link_bytes_per_s: Option<f64>,
}

/// The group of the fuzz.
pub const SMALL: Shape = Shape {
    ranks: 4,
    experts: 16,
    layer_sets: 2,
    experts_per_rank: 6,
    count_reporters: 4,
    choices: (600, 30),
    link_bytes_per_s: None,
};
/// Longest pause between events of a stream that callers accept as on time.
pub const MAX_STALL: Duration = Duration::from_millis(120);
pub const TICK: Duration = Duration::from_millis(10);
const COPY_TIME: Duration = Duration::from_millis(100);

#[derive(Clone, Debug)]
pub struct Engine {
    pub version: u64,
    pub map: RankMap,
    pub highest_version: u64,
    pub accepted_orders: u64,
    /// Version, map and end time of the copy.
    pub copy_in_progress: Option<(u64, RankMap, Duration)>,
    pub prepared: Option<(u64, RankMap)>,
    /// Version to switch to, and the pass at which to switch.
    pub armed: Option<(u64, u64)>,
    pub held_pass: Option<u64>,
}

impl Engine {
    fn new(shape: Shape) -> Self {
        Self {
            version: 0,
            map: initial_map(shape.layer_sets, shape.experts, shape.ranks),
            highest_version: 0,
            accepted_orders: 0,
            copy_in_progress: None,
            prepared: None,
            armed: None,
            held_pass: None,
        }
    }
}

/// Bug of the leader that the invariant check has to detect.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum InjectedBug {
    None,
    /// Releases the held pass after some time, whether or not all ranks are armed.
    ReleasesByTime,
    /// Arms without holding a pass.
    ArmsWithoutHold,
}

/// Probability of each fault: per order or message, or per tick for `restart` and `new_epoch`.
#[derive(Clone, Copy, Debug)]
pub struct Faults {
    pub late_order: f64,
    pub lost_message: f64,
    pub restart: f64,
    pub new_epoch: f64,
}

pub const NO_FAULTS: Faults = Faults {
    late_order: 0.0,
    lost_message: 0.0,
    restart: 0.0,
    new_epoch: 0.0,
};

pub struct DelayedOrder {
    pub at: Duration,
    pub rank: usize,
    pub epoch: u64,
    pub order: EngineOrder,
}

#[derive(Default)]
pub struct Agent {
    pub prepare_tracker: PrepareTracker,
    pub map_cache: MapCache,
    /// Epoch whose initial map is cached.
    pub cached_epoch: u64,
    pub status_pacer: StatusPacer,
    pub sampler: ChoiceSampler,
    pub intent: Option<(Intent, Duration)>,
    pub suspended_until: Duration,
    pub next_run_at: Duration,
    pub stall_detector: StallDetector,
}

pub struct Group {
    pub shape: Shape,
    pub rng: StdRng,
    pub now: Duration,
    pub epoch: u64,
    pub pass: u64,
    pub last_pass_at: Duration,
    pub engines: Vec<Engine>,
    pub agents: Vec<Agent>,
    pub leader: Leader,
    pub delayed_orders: Vec<DelayedOrder>,
    /// Delivery time, rank and intent.
    pub intents_in_flight: Vec<(Duration, usize, Intent)>,
    /// Delivery time and status.
    pub statuses_in_flight: Vec<(Duration, Status)>,
    /// Links by rank.
    pub links: Vec<Link>,
    /// Cumulative choices of each rank, by layer set and expert.
    pub counts: Vec<Vec<u64>>,
    /// Expert with the highest demand. In a large group, one of several, see
    /// [`is_in_demand`](Self::is_in_demand).
    pub hot_expert: usize,
    /// Whether only the test changes `hot_expert`.
    pub is_hot_expert_fixed: bool,
    pub planned_switches: usize,
    pub abandoned_preparations: usize,
    pub stall_time: Duration,
    pub longest_stall: Duration,
    pub injected_bug: InjectedBug,
    pub arming_since: Option<(u64, Duration)>,
    /// Pass that is reported to the leader as held although it is not.
    pub faked_hold_pass: Option<u64>,
}

fn new_leader(rng: &mut StdRng, shape: Shape) -> Leader {
    let mut leader = Leader::new(LeaderConfig::default(), rng.random());
    leader.set_limits(ExpertLimits {
        layer_sets: shape.layer_sets,
        experts: shape.experts,
        max_experts_per_rank: shape.experts_per_rank,
        max_new_experts_per_rank: 2,
        expert_share: 0.85,
        copy_s: COPY_TIME.as_secs_f64() / 2.0,
    });
    leader
}

impl Group {
    pub fn new(seed: u64, injected_bug: InjectedBug) -> Self {
        Self::with_shape(seed, injected_bug, SMALL)
    }

    pub fn with_shape(seed: u64, injected_bug: InjectedBug, shape: Shape) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let ranks = 0..shape.ranks;
        Self {
            leader: new_leader(&mut rng, shape),
            rng,
            now: Duration::ZERO,
            epoch: 1,
            pass: 0,
            last_pass_at: Duration::ZERO,
            engines: ranks.clone().map(|_| Engine::new(shape)).collect(),
            agents: ranks.clone().map(|_| Agent::default()).collect(),
            links: ranks.map(|_| Link::new(shape.link_bytes_per_s)).collect(),
            counts: vec![vec![0; shape.layer_sets * shape.experts]; shape.ranks],
            shape,
            delayed_orders: Vec::new(),
            intents_in_flight: Vec::new(),
            statuses_in_flight: Vec::new(),
            hot_expert: 0,
            is_hot_expert_fixed: false,
            planned_switches: 0,
            abandoned_preparations: 0,
            stall_time: Duration::ZERO,
            longest_stall: Duration::ZERO,
            injected_bug,
            arming_since: None,
            faked_hold_pass: None,
        }
    }

    pub fn run(&mut self, time: Duration, faults: Faults) -> Result<(), String> {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            self.inject_faults(faults);
            self.execute_delayed_orders();
            self.finish_copies();
            self.deliver(faults);
            for rank in 0..self.shape.ranks {
                self.run_agent(rank, faults);
            }
            self.advance_pass()?;
        }
        Ok(())
    }

    fn inject_faults(&mut self, faults: Faults) {
        if !self.is_hot_expert_fixed && self.rng.random_bool(0.004) {
            self.hot_expert = self.rng.random_range(0..self.shape.experts);
        }
        if self.rng.random_bool(faults.restart) {
            let rank = self.rng.random_range(0..self.shape.ranks);
            let pause = Duration::from_millis(self.rng.random_range(0..3000));
            self.agents[rank].suspended_until = self.now + pause;
            // A killed agent loses its state; a frozen one keeps it.
            if self.rng.random_bool(0.5) {
                let killed = std::mem::take(&mut self.agents[rank]);
                self.agents[rank].suspended_until = killed.suspended_until;
                self.agents[rank].next_run_at = killed.next_run_at;
                self.agents[rank].stall_detector = killed.stall_detector;
                if rank == 0 {
                    self.leader = new_leader(&mut self.rng, self.shape);
                }
            }
        }
        if self.rng.random_bool(faults.new_epoch) {
            self.epoch += 1;
            self.engines = vec![Engine::new(self.shape); self.shape.ranks];
        }
    }

    fn execute_delayed_orders(&mut self) {
        let (due, rest): (Vec<DelayedOrder>, Vec<DelayedOrder>) = self
            .delayed_orders
            .drain(..)
            .partition(|l| l.at <= self.now);
        self.delayed_orders = rest;
        for delayed in due {
            self.execute(delayed.rank, delayed.epoch, &delayed.order);
        }
    }

    fn finish_copies(&mut self) {
        for engine in &mut self.engines {
            if engine
                .copy_in_progress
                .as_ref()
                .is_some_and(|c| c.2 <= self.now)
                && let Some((version, map, _)) = engine.copy_in_progress.take()
            {
                engine.prepared = Some((version, map));
            }
        }
    }

    fn execute(&mut self, rank: usize, epoch: u64, order: &EngineOrder) -> OrderOutcome {
        let current_pass = self.pass;
        if epoch != self.epoch {
            return OrderOutcome::Refused;
        }
        let engine = &mut self.engines[rank];
        let accepted = match order {
            EngineOrder::Prepare {
                version,
                expected_orders,
                map,
            } => {
                let is_current = *expected_orders == engine.accepted_orders;
                let is_valid =
                    is_current && *version > engine.highest_version && engine.armed.is_none();
                if is_valid {
                    engine.highest_version = *version;
                    // Of two simultaneous preparations, neither is ever reported.
                    let copy = Some((*version, map.clone(), self.now + COPY_TIME));
                    engine.copy_in_progress = if engine.copy_in_progress.is_none() {
                        copy
                    } else {
                        None
                    };
                }
                is_valid
            }
            EngineOrder::Arm { version, pass } => {
                let is_prepared = engine.prepared.as_ref().is_some_and(|p| p.0 == *version);
                let is_valid = is_prepared && current_pass < *pass;
                if is_valid {
                    engine.armed = Some((*version, *pass));
                }
                is_valid
            }
            EngineOrder::Hold { pass } => {
                let is_valid = current_pass < *pass && engine.held_pass.is_none_or(|h| h == *pass);
                if is_valid {
                    engine.held_pass = Some(*pass);
                }
                is_valid
            }
            EngineOrder::Go { pass } => {
                let is_valid = engine.held_pass == Some(*pass);
                if is_valid {
                    engine.held_pass = None;
                }
                is_valid
            }
        };
        if accepted {
            self.engines[rank].accepted_orders += 1;
            OrderOutcome::Accepted
        } else {
            OrderOutcome::Refused
        }
    }

    fn order(&mut self, rank: usize, order: &EngineOrder, faults: Faults) -> Option<OrderOutcome> {
        let epoch = self.epoch;
        if self.rng.random_bool(faults.late_order) {
            let delay = Duration::from_millis(self.rng.random_range(0..12_000));
            self.delayed_orders.push(DelayedOrder {
                at: self.now + delay,
                rank,
                epoch,
                order: order.clone(),
            });
            return None;
        }
        let end = self.execute(rank, epoch, order);
        let is_answer_lost = self.rng.random_bool(faults.lost_message);
        (!is_answer_lost).then_some(end)
    }

    fn report(&self, rank: usize) -> EngineReport {
        let engine = &self.engines[rank];
        EngineReport {
            group: "g".to_owned(),
            epoch: self.epoch,
            rank,
            ranks: self.shape.ranks,
            group_running: true,
            pass: self.pass,
            map_version: engine.version,
            prepared_version: engine.prepared.as_ref().map(|p| p.0),
            armed_version: engine.armed.map(|a| a.0),
            held_pass: engine
                .held_pass
                .or(self.faked_hold_pass.filter(|_| rank == 0)),
            accepted_orders: engine.accepted_orders,
            running_requests: 1,
            slowdown: 1.0,
        }
    }

    /// Whether an expert is among those with high demand: one in sixteen.
    fn is_in_demand(&self, expert: usize) -> bool {
        expert % 16 == self.hot_expert % 16
    }

    /// Ratio of the load of the most loaded rank to the mean with the map in use.
    pub fn skew(&self) -> f64 {
        let shares = (0..self.shape.experts).map(|e| self.mean_choices(e) as f64);
        let demand = vec![shares.collect(); self.shape.layer_sets];
        even_split::skew(&self.engines[0].map, &demand, &vec![1.0; self.shape.ranks])
    }

    /// Average number of choices of an expert in a pass of one rank.
    fn mean_choices(&self, expert: usize) -> u64 {
        let (in_demand, other) = self.shape.choices;
        if self.is_in_demand(expert) {
            in_demand
        } else {
            other
        }
    }

    /// Adds the choices of one pass to the counts of all ranks.
    fn count_choices(&mut self) {
        let experts = self.shape.experts;
        for rank in 0..self.shape.ranks {
            if !self.counts_choices(rank) {
                continue;
            }
            for index in 0..self.shape.layer_sets * experts {
                let mean = self.mean_choices(index % experts);
                // The variance of a random count is its mean.
                let deviation = ((3 * mean) as f64).sqrt() as u64;
                let deviation = deviation.min(mean);
                self.counts[rank][index] +=
                    self.rng.random_range(mean - deviation..=mean + deviation);
            }
        }
    }

    fn counts_choices(&self, rank: usize) -> bool {
        rank.is_multiple_of(self.shape.ranks / self.shape.count_reporters)
    }

    fn status(&mut self, rank: usize) -> Status {
        let report = self.report(rank);
        let engine = &self.engines[rank];
        let mut status = Status {
            group: report.group,
            epoch: report.epoch,
            rank: rank as u32,
            ranks: self.shape.ranks as u32,
            pass: report.pass,
            map_version: report.map_version,
            prepared_version: report.prepared_version,
            armed_version: report.armed_version,
            refused_version: self.agents[rank].prepare_tracker.refused_version,
            preparing_version: self.agents[rank].prepare_tracker.preparing(self.epoch),
            group_running: true,
            slowdown: 1.0,
            known_versions: self.agents[rank].map_cache.versions(self.epoch),
            current_experts: engine
                .map
                .iter()
                .map(|s| ExpertList::from(s[rank].as_slice()))
                .collect(),
            ..Status::default()
        };
        if let Some(sample) = self.sample(rank) {
            status.set_choices(&sample);
        }
        status
    }

    /// The sample of choices that a rank sends now, if any.
    fn sample(&mut self, rank: usize) -> Option<ChoiceSample> {
        if !self.counts_choices(rank) {
            return None;
        }
        let sampler = &mut self.agents[rank].sampler;
        if !sampler.has_read(self.pass) {
            let counts = ExpertCounts {
                epoch: self.epoch,
                pass: self.pass,
                counts: self.counts[rank].clone(),
            };
            sampler.add(self.now, counts, self.shape.layer_sets);
        }
        if rank == 0 {
            sampler.take(self.now)
        } else {
            sampler.take_due(self.now)
        }
    }

    fn cache_initial_map(&mut self, rank: usize) {
        let agent = &mut self.agents[rank];
        if agent.cached_epoch != self.epoch {
            agent.cached_epoch = self.epoch;
            // Some engines begin with another map than their agents assume.
            let experts = self.shape.experts - usize::from(self.epoch.is_multiple_of(2));
            let map = initial_map(self.shape.layer_sets, experts, self.shape.ranks);
            agent.map_cache.begin_epoch(self.epoch, map);
        }
    }

    /// Delay of a message: that between failure domains, or much more on bad links.
    fn delay(&mut self, faults: Faults) -> Duration {
        let longest = if faults.lost_message > 0.0 { 40 } else { 3 };
        Duration::from_millis(self.rng.random_range(1..=longest))
    }

    fn deliver(&mut self, faults: Faults) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = self
            .intents_in_flight
            .drain(..)
            .partition(|(at, ..)| *at <= now);
        self.intents_in_flight = rest;
        for (_, rank, mut intent) in due {
            let forward_to = std::mem::take(&mut intent.forward_to);
            // A suspended agent forwards nothing, and the intent waits in its socket.
            if now >= self.agents[rank].suspended_until {
                for branch in branches(&forward_to) {
                    let intent = Intent {
                        forward_to: branch.forward_to,
                        ..intent.clone()
                    };
                    self.transmit_intent(rank, &intent, &[branch.rank], faults);
                }
            }
            self.on_intent(rank, now, intent);
        }
        let (due, rest): (Vec<_>, Vec<_>) = self
            .statuses_in_flight
            .drain(..)
            .partition(|(at, _)| *at <= now);
        self.statuses_in_flight = rest;
        for (_, status) in due {
            let demand_shifted = self.leader.on_status(now, status);
            if demand_shifted || *self.leader.phase() != Phase::Idle {
                // Both wake up the leader's agent.
                self.agents[0].next_run_at = self.agents[0].next_run_at.min(now);
            }
        }
    }

    fn on_intent(&mut self, rank: usize, now: Duration, intent: Intent) {
        let agent = &mut self.agents[rank];
        if let Some(intent) = agent.map_cache.expand(intent) {
            agent.intent = Some((intent, now));
            // An intent wakes up the agent.
            agent.next_run_at = agent.next_run_at.min(now);
        }
    }

    fn run_agent(&mut self, rank: usize, faults: Faults) {
        if self.now < self.agents[rank].suspended_until || self.now < self.agents[rank].next_run_at
        {
            return;
        }
        let pause = Duration::from_millis(self.rng.random_range(20..60));
        self.agents[rank].next_run_at = self.now + pause;
        self.cache_initial_map(rank);
        let report = self.report(rank);
        let status = self.status(rank);
        let intent = self.agents[rank].intent.clone();
        let is_awaited = intent
            .as_ref()
            .is_some_and(|(intent, at)| is_awaited(self.now, &report, intent, *at));
        let intent = intent.filter(|(_, at)| self.now < *at + Duration::from_millis(400));
        if rank == 0 {
            self.leader.on_report(self.now, report.clone());
            self.leader.on_status(self.now, status);
        } else {
            self.send_status(rank, status, is_awaited, faults);
        }
        if let Some((intent, _)) = intent
            && let Some(order) = next_order(
                self.now,
                &report,
                &intent,
                &self.agents[rank].prepare_tracker,
            )
        {
            let end = self.order(rank, &order, faults);
            let (now, epoch) = (self.now, self.epoch);
            self.agents[rank]
                .prepare_tracker
                .on_order_outcome(now, epoch, &order, end);
            self.agents[rank].next_run_at = now;
        }
        if self.agents[rank].stall_detector.is_due(self.now, &report) {
            self.recover_stalled_switch(faults);
        }
        if rank == 0 {
            self.lead(faults);
        }
    }

    fn recover_stalled_switch(&mut self, faults: Faults) {
        for _ in 0..3 {
            let ranks = 0..self.shape.ranks;
            let reports: Vec<EngineReport> = ranks.map(|r| self.report(r)).collect();
            match next_step(&reports) {
                RecoveryStep::Nothing(_) => return,
                RecoveryStep::Arm {
                    version,
                    pass,
                    ranks,
                } => {
                    for rank in ranks {
                        self.order(rank, &EngineOrder::Arm { version, pass }, faults);
                    }
                }
                RecoveryStep::Go { pass } => {
                    self.order(0, &EngineOrder::Go { pass }, faults);
                    return;
                }
            }
        }
    }

    fn lead(&mut self, faults: Faults) {
        for action in self.leader.tick(self.now) {
            match action {
                LeaderAction::Order(order) => {
                    if let EngineOrder::Hold { pass } = order
                        && self.injected_bug == InjectedBug::ArmsWithoutHold
                    {
                        self.faked_hold_pass = Some(pass);
                    } else if let Some(end) = self.order(0, &order, faults) {
                        self.leader.on_order_outcome(&order, end);
                    }
                }
                LeaderAction::SendIntent { intent, ranks } => {
                    self.send_intent(&intent, &ranks, faults);
                }
                LeaderAction::RequestExperts { ranks } => self.request_experts(&ranks, faults),
                LeaderAction::Planned { .. } => self.planned_switches += 1,
                LeaderAction::PreparationAbandoned { .. } => self.abandoned_preparations += 1,
                LeaderAction::PhaseChanged(phase) => {
                    self.arming_since = match phase {
                        Phase::Arming { pass } => Some((pass, self.now)),
                        _ => None,
                    };
                }
            }
        }
        if self.injected_bug == InjectedBug::ReleasesByTime
            && let Some((pass, since)) = self.arming_since
            && self.now > since + Duration::from_millis(300)
        {
            self.execute(0, self.epoch, &EngineOrder::Go { pass });
        }
    }

    fn send_status(&mut self, rank: usize, status: Status, is_awaited: bool, faults: Faults) {
        let pacer = &mut self.agents[rank].status_pacer;
        let Some(status) = pacer.next(self.now, status, is_awaited) else {
            return;
        };
        let datagram = Datagram {
            status: Some(status),
            ..Datagram::default()
        };
        if let Some(at) = self.transmit(rank, 0, datagram.encoded_len(), faults) {
            self.statuses_in_flight
                .extend(datagram.status.map(|status| (at, status)));
        }
    }

    fn request_experts(&mut self, ranks: &[usize], faults: Faults) {
        let datagram = Datagram {
            requests_experts: true,
            ..Datagram::default()
        };
        for rank in ranks.iter().copied() {
            let arrival = self.transmit(0, rank, datagram.encoded_len(), faults);
            if let Some(at) = arrival {
                self.agents[rank].status_pacer.request_experts();
                self.agents[rank].next_run_at = self.agents[rank].next_run_at.min(at);
            }
        }
    }

    fn send_intent(&mut self, intent: &Intent, ranks: &[usize], faults: Faults) {
        if ranks.contains(&0) {
            self.on_intent(0, self.now, intent.clone());
        }
        let others: Vec<usize> = ranks.iter().filter(|r| **r != 0).copied().collect();
        self.transmit_intent(0, intent, &others, faults);
    }

    fn transmit_intent(&mut self, from: usize, intent: &Intent, ranks: &[usize], faults: Faults) {
        let datagram = Datagram {
            intent: Some(intent.clone()),
            ..Datagram::default()
        };
        let len = datagram.encoded_len();
        for rank in ranks.iter().copied() {
            if let Some(at) = self.transmit(from, rank, len, faults) {
                self.intents_in_flight.push((at, rank, intent.clone()));
            }
        }
    }

    /// Time at which a datagram arrives. `None` if it is lost.
    fn transmit(&mut self, from: usize, to: usize, len: usize, faults: Faults) -> Option<Duration> {
        if self.rng.random_bool(faults.lost_message) {
            return None;
        }
        let sent_at = self.links[from].pass(self.now, len)?;
        let received_at = self.links[to].pass(sent_at, len)?;
        Some(received_at + self.delay(faults))
    }

    fn advance_pass(&mut self) -> Result<(), String> {
        if self.now < self.last_pass_at + Duration::from_millis(40) {
            return Ok(());
        }
        self.last_pass_at = self.now;
        let next_pass = self.pass + 1;
        if self
            .engines
            .iter()
            .any(|e| e.held_pass.is_some_and(|h| h <= next_pass))
        {
            self.stall_time += Duration::from_millis(40);
            self.longest_stall = self.longest_stall.max(self.stall_time);
            return Ok(());
        }
        self.stall_time = Duration::ZERO;
        self.faked_hold_pass = self.faked_hold_pass.filter(|p| *p > next_pass);
        self.pass = next_pass;
        self.count_choices();
        for engine in &mut self.engines {
            if let Some((version, pass)) = engine.armed
                && pass == next_pass
            {
                engine.armed = None;
                let prepared = engine.prepared.take();
                let (_, map) = prepared
                    .filter(|p| p.0 == version)
                    .ok_or("armed, not prepared")?;
                engine.version = version;
                engine.map = map;
            }
        }
        let first = &self.engines[0];
        for (rank, engine) in self.engines.iter().enumerate() {
            if engine.version != first.version || engine.map != first.map {
                return Err(format!("pass {next_pass}: rank {rank} differs from rank 0"));
            }
        }
        Ok(())
    }
}
