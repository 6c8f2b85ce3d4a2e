//! Simulation of a group of engines and their agents, in one thread with a simulated clock.

use std::time::Duration;

use oriole_fleet::prelude::*;
use oriole_ranks::message::ExpertList;
use oriole_ranks::prelude::*;
use oriole_ranks::recovery::next_step;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

const RANKS: usize = 4;
const EXPERTS: usize = 16;
const LAYER_SETS: usize = 2;
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

fn initial_map() -> RankMap {
    let set = (0..RANKS)
        .map(|r| (r..EXPERTS).step_by(RANKS).map(|e| e as u16).collect())
        .collect();
    vec![set; LAYER_SETS]
}

impl Engine {
    fn new() -> Self {
        Self {
            version: 0,
            map: initial_map(),
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

pub struct Agent {
    pub prepare_tracker: PrepareTracker,
    pub map_cache: MapCache,
    pub intent: Option<(Intent, Duration)>,
    pub suspended_until: Duration,
    pub next_run_at: Duration,
    pub stall_detector: StallDetector,
}

pub struct Group {
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
    /// Expert with the highest demand.
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

fn new_leader(rng: &mut StdRng) -> Leader {
    let mut leader = Leader::new(LeaderConfig::default(), rng.random());
    leader.set_limits(ExpertLimits {
        layer_sets: LAYER_SETS,
        experts: EXPERTS,
        max_experts_per_rank: EXPERTS / RANKS + 2,
        max_new_experts_per_rank: 2,
        expert_share: 0.85,
        copy_s: 0.05,
    });
    leader
}

impl Group {
    pub fn new(seed: u64, injected_bug: InjectedBug) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let agents = (0..RANKS)
            .map(|_| Agent {
                prepare_tracker: PrepareTracker::default(),
                map_cache: MapCache::default(),
                intent: None,
                suspended_until: Duration::ZERO,
                next_run_at: Duration::ZERO,
                stall_detector: StallDetector::default(),
            })
            .collect();
        Self {
            leader: new_leader(&mut rng),
            rng,
            now: Duration::ZERO,
            epoch: 1,
            pass: 0,
            last_pass_at: Duration::ZERO,
            engines: vec![Engine::new(); RANKS],
            agents,
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
            self.deliver();
            for rank in 0..RANKS {
                self.run_agent(rank, faults);
            }
            self.advance_pass()?;
        }
        Ok(())
    }

    fn inject_faults(&mut self, faults: Faults) {
        if !self.is_hot_expert_fixed && self.rng.random_bool(0.004) {
            self.hot_expert = self.rng.random_range(0..EXPERTS);
        }
        if self.rng.random_bool(faults.restart) {
            let rank = self.rng.random_range(0..RANKS);
            let pause = Duration::from_millis(self.rng.random_range(0..3000));
            self.agents[rank].suspended_until = self.now + pause;
            // A killed agent loses its state; a frozen one keeps it.
            if self.rng.random_bool(0.5) {
                self.agents[rank].prepare_tracker = PrepareTracker::default();
                self.agents[rank].map_cache = MapCache::default();
                self.agents[rank].intent = None;
                if rank == 0 {
                    self.leader = new_leader(&mut self.rng);
                }
            }
        }
        if self.rng.random_bool(faults.new_epoch) {
            self.epoch += 1;
            self.engines = vec![Engine::new(); RANKS];
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
            ranks: RANKS,
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

    fn status(&self, rank: usize) -> Status {
        let report = self.report(rank);
        let mut scaled_choices = vec![30_u32; LAYER_SETS * EXPERTS];
        for set in 0..LAYER_SETS {
            scaled_choices[set * EXPERTS + self.hot_expert] = 600;
        }
        let engine = &self.engines[rank];
        Status {
            group: report.group,
            epoch: report.epoch,
            rank: rank as u32,
            ranks: RANKS as u32,
            pass: report.pass,
            map_version: report.map_version,
            prepared_version: report.prepared_version,
            armed_version: report.armed_version,
            refused_version: self.agents[rank].prepare_tracker.refused_version,
            preparing_version: self.agents[rank].prepare_tracker.preparing(self.epoch),
            group_running: true,
            slowdown: 1.0,
            choices_total: u64::from(scaled_choices[..EXPERTS].iter().sum::<u32>()),
            choices_from_pass: self.pass.saturating_sub(1),
            scaled_choices,
            known_versions: self.agents[rank].map_cache.versions(self.epoch),
            current_experts: engine
                .map
                .iter()
                .map(|s| ExpertList::from(s[rank].as_slice()))
                .collect(),
        }
    }

    /// Delay of a message: that between failure domains, or much more on bad links.
    fn delay(&mut self, faults: Faults) -> Duration {
        let longest = if faults.lost_message > 0.0 { 40 } else { 3 };
        Duration::from_millis(self.rng.random_range(1..=longest))
    }

    fn deliver(&mut self) {
        let now = self.now;
        let (due, rest): (Vec<_>, Vec<_>) = self
            .intents_in_flight
            .drain(..)
            .partition(|(at, ..)| *at <= now);
        self.intents_in_flight = rest;
        for (_, rank, intent) in due {
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
        let report = self.report(rank);
        let status = self.status(rank);
        if rank == 0 {
            self.leader.on_report(self.now, report.clone());
            self.leader.on_status(self.now, status);
        } else if !self.rng.random_bool(faults.lost_message) {
            let delay = self.delay(faults);
            self.statuses_in_flight.push((self.now + delay, status));
        }
        let intent = self.agents[rank].intent.clone();
        if let Some((intent, at)) = intent
            && self.now < at + Duration::from_millis(400)
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
            let reports: Vec<EngineReport> = (0..RANKS).map(|r| self.report(r)).collect();
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

    fn send_intent(&mut self, intent: &Intent, ranks: &[usize], faults: Faults) {
        for rank in ranks.iter().copied() {
            if rank == 0 {
                self.on_intent(0, self.now, intent.clone());
            } else if !self.rng.random_bool(faults.lost_message) {
                let delay = self.delay(faults);
                self.intents_in_flight
                    .push((self.now + delay, rank, intent.clone()));
            }
        }
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
