//! A gate beside a simple model of an upstream, with an oracle of what must never happen.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod fleet;
pub mod upstream;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use oriole_admission::prelude::*;
use oriole_types::prelude::*;

use self::upstream::{Event, Model, Report};

/// Length of one step of the world.
pub const STEP: Duration = Duration::from_millis(5);
/// Steps between confirmations of the configuration.
const CONFIRM_STEPS: u64 = 20;
/// Steps between reports, and their age.
const REPORT_STEPS: u64 = 8;
const REPORT_LAG_STEPS: u64 = 6;
pub const COLD: u32 = 2;
pub const WARM: u32 = 8;

/// Ways to drive the gate; all but the first are wrong, and the oracle must tell.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Variant {
    Sound,
    /// Frees a slot when a cancel is sent, not when the upstream confirms it.
    CancelFrees,
    /// Takes each report as made when it arrives.
    ReportsAreFresh,
    /// Takes what it heard long ago as confirmed now.
    EchoIsFresh,
    /// Hears of a drain with a long delay.
    LateDrain,
    /// Takes an upstream as empty after the agent's restart.
    ForgetsWhatRuns,
    /// Offers every content as harmless.
    TrustsAll,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Waiting,
    Running,
    Ended,
}

#[derive(Clone, Debug)]
pub struct World {
    pub step: u64,
    pub gate: Gate,
    pub model: Model,
    pub works: BTreeMap<WorkId, (Digest, State)>,
    pub lost: Vec<Digest>,
    pub log: Option<Vec<String>>,
    variant: Variant,
    next_id: u64,
    to_upstream: VecDeque<(u64, WorkId)>,
    to_agent: VecDeque<(u64, Event)>,
    reports: VecDeque<(u64, Report)>,
    paused_until: u64,
    found_pending: Option<u64>,
    parted: bool,
    store_out: bool,
    confirmed_step: u64,
    parted_step: u64,
    drained: bool,
    drain_heard: Option<u64>,
    suspects: BTreeSet<Digest>,
    proven: BTreeSet<Digest>,
    shown: (u32, bool, bool),
}

impl World {
    pub fn new(variant: Variant) -> Self {
        let mut world = Self {
            step: 0,
            gate: new_gate(Duration::ZERO),
            model: Model::default(),
            works: BTreeMap::new(),
            lost: Vec::new(),
            log: None,
            variant,
            next_id: 0,
            to_upstream: VecDeque::new(),
            to_agent: VecDeque::new(),
            reports: VecDeque::new(),
            paused_until: 0,
            found_pending: Some(0),
            parted: false,
            store_out: false,
            confirmed_step: 0,
            parted_step: 0,
            drained: false,
            drain_heard: None,
            suspects: BTreeSet::new(),
            proven: BTreeSet::new(),
            shown: (COLD, true, false),
        };
        world.confirm();
        world.set_drained(false);
        world
    }

    /// A world whose upstream has warmed up under steady work.
    pub fn warmed(variant: Variant) -> Self {
        let mut world = Self::new(variant);
        for _ in 0..160 {
            world.offer_new(1, Priority::Normal, 2000);
            world.advance(1);
        }
        world.advance(100);
        world
    }

    pub fn now(&self) -> Duration {
        STEP * self.step as u32
    }

    pub fn offer_new(&mut self, count: u32, priority: Priority, deadline_ms: u64) {
        for _ in 0..count {
            let content = Digest::of(&self.next_id.to_be_bytes());
            self.offer(content, priority, deadline_ms);
        }
    }

    pub fn offer(&mut self, content: Digest, priority: Priority, deadline_ms: u64) -> Decision {
        self.next_id += 1;
        let id = WorkId(self.next_id);
        let deadline = self.now() + Duration::from_millis(deadline_ms);
        let mut offer = Offer::new(id, content, deadline).with_priority(priority);
        if self.variant == Variant::TrustsAll {
            offer.content = Digest::of(&id.0.to_le_bytes());
        }
        let decision = self.gate.offer(self.now(), offer);
        self.note(|| format!("offer {} {priority:?}: {}", id.0, show(decision)));
        let state = match decision {
            Decision::Queue => State::Waiting,
            Decision::Admit => State::Waiting,
            Decision::Refuse(_) => State::Ended,
        };
        self.works.insert(id, (content, state));
        if decision == Decision::Admit {
            self.start(id);
        }
        decision
    }

    pub fn advance(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step += 1;
            self.one_step();
        }
    }

    pub fn turn_cold(&mut self) {
        self.note(|| "upstream turns cold".into());
        self.model.turn_cold();
    }

    /// The upstream restarts; the agent notices after some steps.
    pub fn restart(&mut self, notice: u64) {
        self.note(|| "upstream restarts".into());
        self.model.restart();
        self.to_agent.clear();
        self.to_agent.push_back((self.step + notice, Event::Lost));
    }

    /// The oldest running request's caller leaves; the upstream stops it after some steps.
    pub fn cancel(&mut self, steps: u64) {
        let mut running = self.works.iter().filter(|(_, (_, s))| *s == State::Running);
        let Some(id) = running.next().map(|(id, _)| *id) else {
            return;
        };
        self.model.cancel(id, self.step + steps);
        if self.variant == Variant::CancelFrees {
            let actions = self.gate.finished(self.now(), id, FinishKind::Cancelled);
            self.end(id);
            self.act(actions);
        }
    }

    pub fn set_drained(&mut self, drained: bool) {
        self.note(|| if drained { "drain" } else { "return" }.into());
        self.drained = drained;
        let late = if self.variant == Variant::LateDrain {
            10
        } else {
            0
        };
        self.drain_heard = Some(self.step + late);
        self.hear_drain();
    }

    pub fn set_leaving(&mut self) {
        self.note(|| "leave".into());
        let actions = self.gate.set_leaving(self.now());
        self.drained = true;
        self.act(actions);
    }

    pub fn set_parted(&mut self, parted: bool) {
        if parted && !self.parted {
            self.parted_step = self.step;
        }
        self.parted = parted;
        self.note(|| if parted { "parted" } else { "joined" }.into());
    }

    pub fn set_store_out(&mut self, out: bool) {
        self.store_out = out;
        self.note(|| if out { "store out" } else { "store back" }.into());
    }

    /// The agent's process does nothing for some steps, then catches up.
    pub fn pause(&mut self, steps: u64) {
        self.paused_until = self.step + steps;
    }

    /// The agent restarts; what runs at the upstream goes on.
    pub fn restart_agent(&mut self) {
        self.note(|| "agent restarts".into());
        self.gate = new_gate(self.now());
        self.confirm();
        self.drain_heard = Some(self.step);
        self.hear_drain();
        self.to_upstream.clear();
        self.to_agent.clear();
        self.suspects.clear();
        self.proven.clear();
        let open = self.works.values_mut().filter(|(_, s)| *s != State::Ended);
        open.for_each(|(_, s)| *s = State::Ended);
        self.found_pending = Some(self.step);
        if self.variant == Variant::ForgetsWhatRuns {
            self.gate.upstream_connected(self.now(), 0);
        }
    }

    /// Lets all work end and checks that a leaving agent gets quiet.
    pub fn finish(mut self) {
        self.set_leaving();
        self.parted = false;
        self.advance(400);
        let open = self.works.iter().find(|(_, (_, s))| *s != State::Ended);
        assert_eq!(open, None, "work without an end");
        assert!(self.gate.is_idle(), "a leaving agent never got quiet");
    }

    fn one_step(&mut self) {
        self.model.step(self.step);
        for event in self.model.take_events() {
            self.to_agent.push_back((self.step, event));
        }
        let report = self.model.report();
        self.reports.push_back((self.step, report));
        if self.reports.len() as u64 > REPORT_LAG_STEPS {
            self.reports.pop_front();
        }
        self.deliver_to_upstream();
        if self.step >= self.paused_until {
            self.agent_step();
        }
    }

    fn deliver_to_upstream(&mut self) {
        while let Some((_, id)) = self.to_upstream.pop_front_if(|(at, _)| *at <= self.step) {
            self.model.arrive(self.step, id);
        }
    }

    fn agent_step(&mut self) {
        while let Some((_, event)) = self.to_agent.pop_front_if(|(at, _)| *at <= self.step) {
            self.hear(event);
        }
        self.hear_drain();
        if self.step.is_multiple_of(CONFIRM_STEPS) {
            self.confirm();
        }
        if self.step.is_multiple_of(REPORT_STEPS) {
            self.hear_report();
        }
        let actions = self.gate.tick(self.now());
        self.act(actions);
        self.note_load();
    }

    /// Logs the load when what matters in it has changed.
    fn note_load(&mut self) {
        let load = self.gate.load_report(self.now());
        let shown = (load.limit, load.cold, load.leaving);
        if self.log.is_some() && std::mem::replace(&mut self.shown, shown) != shown {
            let (limit, cold, leaving) = shown;
            self.note(|| format!("limit {limit} cold {cold} leaving {leaving}"));
        }
    }

    fn hear(&mut self, event: Event) {
        let now = self.now();
        let actions = match event {
            Event::Output(id) => self.gate.output(now, id, 1),
            Event::Done(id) => {
                self.note(|| format!("done {}", id.0));
                self.complete(id);
                self.gate.finished(now, id, FinishKind::Complete)
            }
            Event::Cancelled(id) => {
                self.end(id);
                self.gate.finished(now, id, FinishKind::Cancelled)
            }
            Event::Lost => {
                self.found_pending = Some(self.step);
                self.to_upstream.clear();
                self.suspect_running();
                self.model.drop_connections(self.step);
                self.gate.upstream_lost(now)
            }
        };
        self.act(actions);
    }

    fn hear_report(&mut self) {
        let Some((made, report)) = self.reports.front().copied() else {
            return;
        };
        let now = self.now();
        let fresh = self.variant == Variant::ReportsAreFresh;
        if self
            .found_pending
            .is_some_and(|since| made > since || fresh)
        {
            self.found_pending = None;
            self.gate.upstream_connected(now, report.in_flight);
        }
        let made_at = if fresh { now } else { STEP * made as u32 };
        let report = UpstreamReport {
            made_at,
            in_flight: report.in_flight,
            cold: Some(report.cold),
        };
        let actions = self.gate.upstream_report(now, report);
        self.act(actions);
    }

    fn hear_drain(&mut self) {
        if self.drain_heard.take_if(|at| *at <= self.step).is_none() {
            return;
        }
        let state = if self.drained {
            ServiceState::Drained
        } else {
            ServiceState::InService
        };
        let actions = self.gate.set_service_state(self.now(), state);
        self.act(actions);
    }

    fn confirm(&mut self) {
        let now = self.now();
        let domains: [DomainName; 3] = ["a", "b", "c"].map(DomainName::new);
        self.gate.set_domains(&domains);
        if !self.parted && !self.store_out {
            self.confirmed_step = self.step;
        }
        let since = STEP * (self.step - self.confirmed_step) as u32;
        let echo = self.variant == Variant::EchoIsFresh;
        let age = Some(if echo { Duration::ZERO } else { since });
        let heard = if self.parted { 1 } else { 3 };
        for domain in domains.into_iter().take(heard) {
            self.gate
                .confirm_configuration(now, &Confirmation { domain, age });
        }
    }

    fn act(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.note(|| show_action(action));
            match action {
                Action::Start(id) => self.start(id),
                Action::Refuse(id, _) => {
                    assert_eq!(self.state(id), State::Waiting, "refused what did not wait");
                    self.end(id);
                }
                Action::Lost(id) => {
                    assert_eq!(self.state(id), State::Running, "lost what did not run");
                    self.lost.push(self.works[&id].0);
                    self.end(id);
                }
            }
        }
    }

    fn start(&mut self, id: WorkId) {
        assert_eq!(self.state(id), State::Waiting, "started what did not wait");
        assert!(!self.drained, "new work while out of service");
        let silent = STEP * (self.step - self.parted_step) as u32;
        let bound = GateConfig::default().max_configuration_age;
        assert!(silent <= bound || !self.parted, "new work while parted");
        let content = self.works[&id].0;
        let mut others = self.works.iter().filter(|(_, (_, s))| *s == State::Running);
        let beside_suspect =
            others.any(|(_, (c, _))| self.suspects.contains(c) || self.suspects.contains(&content));
        assert!(!beside_suspect, "a suspect does not run alone");
        self.set(id, State::Running);
        self.to_upstream.push_back((self.step + id.0 % 2, id));
        self.deliver_to_upstream();
    }

    fn suspect_running(&mut self) {
        let running = self.works.values().filter(|(_, s)| *s == State::Running);
        let unproven = running
            .map(|(c, _)| *c)
            .filter(|c| !self.proven.contains(c));
        let unproven: Vec<_> = unproven.collect();
        self.suspects.extend(unproven);
    }

    fn complete(&mut self, id: WorkId) {
        let Some((content, _)) = self.works.get(&id).copied() else {
            return;
        };
        self.suspects.remove(&content);
        self.proven.insert(content);
        self.end(id);
    }

    fn end(&mut self, id: WorkId) {
        if self.works.contains_key(&id) {
            self.set(id, State::Ended);
        }
    }

    fn state(&self, id: WorkId) -> State {
        self.works[&id].1
    }

    fn set(&mut self, id: WorkId, state: State) {
        let work = self.works.get_mut(&id).expect("known work");
        work.1 = state;
    }

    fn note(&mut self, line: impl FnOnce() -> String) {
        let now = self.now().as_millis();
        if let Some(log) = &mut self.log {
            log.push(format!("{now:>6} {}", line()));
        }
    }
}

fn new_gate(now: Duration) -> Gate {
    let cfg = GateConfig {
        cold_concurrency: COLD,
        warm_concurrency: WARM,
        queue_capacity: 12,
        first_crash_number: now.as_millis() as u64,
        ..GateConfig::default()
    };
    Gate::new(cfg, now)
}

pub fn show(decision: Decision) -> String {
    match decision {
        Decision::Admit => "admit".into(),
        Decision::Queue => "queue".into(),
        Decision::Refuse(r) => format!("refuse {}", r.reason),
    }
}

fn show_action(action: Action) -> String {
    match action {
        Action::Start(id) => format!("start {}", id.0),
        Action::Refuse(id, r) => format!("refuse {} {}", id.0, r.reason),
        Action::Lost(id) => format!("lost {}", id.0),
    }
}
