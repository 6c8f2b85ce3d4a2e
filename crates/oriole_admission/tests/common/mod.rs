//! Test harness: a gate with a model of its upstream, and assertions of what must never happen.
#![allow(dead_code, reason = "each test file uses a part")]

pub mod fleet;
pub mod upstream;

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use oriole_admission::prelude::*;
use oriole_types::prelude::*;

use self::upstream::{Event, Report, UpstreamModel};

/// Length of one simulation step.
pub const STEP: Duration = Duration::from_millis(5);
/// Steps between confirmations of the configuration.
const CONFIRM_STEPS: u64 = 20;
/// Steps between the upstream's reports.
const REPORT_STEPS: u64 = 8;
/// Age of a report when it arrives.
const REPORT_LAG_STEPS: u64 = 6;
/// Concurrency limit while cold.
pub const COLD: u32 = 2;
/// Concurrency limit while warm.
pub const WARM: u32 = 8;

/// Ways to drive the gate. All but the first are faulty, and the harness must detect them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Variant {
    Correct,
    /// Frees a slot when a cancel is sent, not when the upstream confirms it.
    CancelFreesSlot,
    /// Treats each report as made when it arrives.
    IgnoresReportAge,
    /// Treats an old confirmation as new.
    IgnoresConfirmationAge,
    /// Learns of a drain with a long delay.
    DelaysDrain,
    /// Assumes an empty upstream after the agent's restart.
    ForgetsRunningWork,
    /// Gives each offer a digest of its own, so that no content is ever suspect.
    HidesContent,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum State {
    Waiting,
    Running,
    Ended,
}

#[derive(Clone, Debug)]
pub struct Harness {
    pub step: u64,
    pub gate: Gate,
    pub model: UpstreamModel,
    pub works: BTreeMap<WorkId, (Digest, State)>,
    pub lost: Vec<Digest>,
    pub log: Option<Vec<String>>,
    variant: Variant,
    next_id: u64,
    to_upstream: VecDeque<(u64, WorkId)>,
    to_agent: VecDeque<(u64, Event)>,
    reports: VecDeque<(u64, Report)>,
    paused_until: u64,
    /// Step since which the agent waits for a report to know what runs at the upstream.
    connect_pending_since: Option<u64>,
    partitioned: bool,
    store_out: bool,
    confirmed_at: u64,
    partitioned_at: u64,
    drained: bool,
    /// Step at which the agent learns of the last drain or return.
    drain_due_at: Option<u64>,
    suspects: BTreeSet<Digest>,
    proven: BTreeSet<Digest>,
    /// Limit, cold and leaving as last logged.
    logged_load: (u32, bool, bool),
}

impl Harness {
    pub fn new(variant: Variant) -> Self {
        let mut harness = Self {
            step: 0,
            gate: new_gate(Duration::ZERO),
            model: UpstreamModel::default(),
            works: BTreeMap::new(),
            lost: Vec::new(),
            log: None,
            variant,
            next_id: 0,
            to_upstream: VecDeque::new(),
            to_agent: VecDeque::new(),
            reports: VecDeque::new(),
            paused_until: 0,
            connect_pending_since: Some(0),
            partitioned: false,
            store_out: false,
            confirmed_at: 0,
            partitioned_at: 0,
            drained: false,
            drain_due_at: None,
            suspects: BTreeSet::new(),
            proven: BTreeSet::new(),
            logged_load: (COLD, true, false),
        };
        harness.confirm();
        harness.set_drained(false);
        harness
    }

    /// A harness whose upstream has warmed up under steady work.
    pub fn warmed(variant: Variant) -> Self {
        let mut harness = Self::new(variant);
        for _ in 0..160 {
            harness.offer_new(1, Priority::Normal, 2000);
            harness.advance(1);
        }
        harness.advance(100);
        harness
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
        if self.variant == Variant::HidesContent {
            offer.content = Digest::of(&id.0.to_le_bytes());
        }
        let decision = self.gate.offer(self.now(), offer);
        self.log_line(|| {
            format!(
                "offer {} {priority:?}: {}",
                id.0,
                describe_decision(decision)
            )
        });
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
            self.run_step();
        }
    }

    pub fn turn_cold(&mut self) {
        self.log_line(|| "upstream turns cold".into());
        self.model.turn_cold();
    }

    /// Restarts the upstream; the agent notices after some steps.
    pub fn restart(&mut self, notice_steps: u64) {
        self.log_line(|| "upstream restarts".into());
        self.model.restart();
        self.to_agent.clear();
        self.to_agent
            .push_back((self.step + notice_steps, Event::Lost));
    }

    /// Cancels the oldest running request; the upstream stops it after some steps.
    pub fn cancel(&mut self, steps: u64) {
        let mut running = self.works.iter().filter(|(_, (_, s))| *s == State::Running);
        let Some(id) = running.next().map(|(id, _)| *id) else {
            return;
        };
        self.model.cancel(id, self.step + steps);
        if self.variant == Variant::CancelFreesSlot {
            let actions = self.gate.finished(self.now(), id, FinishKind::Cancelled);
            self.end(id);
            self.apply_actions(actions);
        }
    }

    pub fn set_drained(&mut self, drained: bool) {
        self.log_line(|| if drained { "drain" } else { "return" }.into());
        self.drained = drained;
        let delay = if self.variant == Variant::DelaysDrain {
            10
        } else {
            0
        };
        self.drain_due_at = Some(self.step + delay);
        self.apply_drain();
    }

    pub fn set_leaving(&mut self) {
        self.log_line(|| "leave".into());
        let actions = self.gate.set_leaving(self.now());
        self.drained = true;
        self.apply_actions(actions);
    }

    pub fn set_partitioned(&mut self, partitioned: bool) {
        if partitioned && !self.partitioned {
            self.partitioned_at = self.step;
        }
        self.partitioned = partitioned;
        self.log_line(|| if partitioned { "parted" } else { "joined" }.into());
    }

    pub fn set_store_out(&mut self, out: bool) {
        self.store_out = out;
        self.log_line(|| if out { "store out" } else { "store back" }.into());
    }

    /// Pauses the agent's process for some steps; then it catches up.
    pub fn pause(&mut self, steps: u64) {
        self.paused_until = self.step + steps;
    }

    /// Restarts the agent; running work continues at the upstream.
    pub fn restart_agent(&mut self) {
        self.log_line(|| "agent restarts".into());
        self.gate = new_gate(self.now());
        self.confirm();
        self.drain_due_at = Some(self.step);
        self.apply_drain();
        self.to_upstream.clear();
        self.to_agent.clear();
        self.suspects.clear();
        self.proven.clear();
        let open = self.works.values_mut().filter(|(_, s)| *s != State::Ended);
        open.for_each(|(_, s)| *s = State::Ended);
        self.connect_pending_since = Some(self.step);
        if self.variant == Variant::ForgetsRunningWork {
            self.gate.upstream_connected(self.now(), 0);
        }
    }

    /// Lets all work end and checks that a leaving agent becomes idle.
    pub fn finish(mut self) {
        self.set_leaving();
        self.partitioned = false;
        self.advance(400);
        let open = self.works.iter().find(|(_, (_, s))| *s != State::Ended);
        assert_eq!(open, None, "work that never ends");
        assert!(self.gate.is_idle(), "a leaving agent never became idle");
    }

    fn run_step(&mut self) {
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
            self.run_agent();
        }
    }

    fn deliver_to_upstream(&mut self) {
        while let Some((_, id)) = self.to_upstream.pop_front_if(|(at, _)| *at <= self.step) {
            self.model.arrive(self.step, id);
        }
    }

    fn run_agent(&mut self) {
        while let Some((_, event)) = self.to_agent.pop_front_if(|(at, _)| *at <= self.step) {
            self.handle_event(event);
        }
        self.apply_drain();
        if self.step.is_multiple_of(CONFIRM_STEPS) {
            self.confirm();
        }
        if self.step.is_multiple_of(REPORT_STEPS) {
            self.handle_report();
        }
        let actions = self.gate.tick(self.now());
        self.apply_actions(actions);
        self.log_load();
    }

    /// Logs the load if its limit or one of its flags changed.
    fn log_load(&mut self) {
        let load = self.gate.load_report(self.now());
        let flags = (load.limit, load.cold, load.leaving);
        if self.log.is_some() && std::mem::replace(&mut self.logged_load, flags) != flags {
            let (limit, cold, leaving) = flags;
            self.log_line(|| format!("limit {limit} cold {cold} leaving {leaving}"));
        }
    }

    fn handle_event(&mut self, event: Event) {
        let now = self.now();
        let actions = match event {
            Event::Output(id) => self.gate.output(now, id, 1),
            Event::Done(id) => {
                self.log_line(|| format!("done {}", id.0));
                self.complete(id);
                self.gate.finished(now, id, FinishKind::Complete)
            }
            Event::Cancelled(id) => {
                self.end(id);
                self.gate.finished(now, id, FinishKind::Cancelled)
            }
            Event::Lost => {
                self.connect_pending_since = Some(self.step);
                self.to_upstream.clear();
                self.suspect_running();
                self.model.drop_connections(self.step);
                self.gate.upstream_lost(now)
            }
        };
        self.apply_actions(actions);
    }

    fn handle_report(&mut self) {
        let Some((made, report)) = self.reports.front().copied() else {
            return;
        };
        let now = self.now();
        let fresh = self.variant == Variant::IgnoresReportAge;
        if self
            .connect_pending_since
            .is_some_and(|since| made > since || fresh)
        {
            self.connect_pending_since = None;
            self.gate.upstream_connected(now, report.in_flight);
        }
        let made_at = if fresh { now } else { STEP * made as u32 };
        let report = UpstreamReport {
            made_at,
            in_flight: report.in_flight,
            cold: Some(report.cold),
        };
        let actions = self.gate.upstream_report(now, report);
        self.apply_actions(actions);
    }

    fn apply_drain(&mut self) {
        if self.drain_due_at.take_if(|at| *at <= self.step).is_none() {
            return;
        }
        let state = if self.drained {
            ServiceState::Drained
        } else {
            ServiceState::InService
        };
        let actions = self.gate.set_service_state(self.now(), state);
        self.apply_actions(actions);
    }

    fn confirm(&mut self) {
        let now = self.now();
        let domains: [DomainName; 3] = ["a", "b", "c"].map(DomainName::new);
        self.gate.set_domains(&domains);
        if !self.partitioned && !self.store_out {
            self.confirmed_at = self.step;
        }
        let since = STEP * (self.step - self.confirmed_at) as u32;
        let fresh = self.variant == Variant::IgnoresConfirmationAge;
        let age = Some(if fresh { Duration::ZERO } else { since });
        let reachable = if self.partitioned { 1 } else { 3 };
        for domain in domains.into_iter().take(reachable) {
            self.gate
                .confirm_configuration(now, &Confirmation { domain, age });
        }
    }

    fn apply_actions(&mut self, actions: Vec<Action>) {
        for action in actions {
            self.log_line(|| describe_action(action));
            match action {
                Action::Start(id) => self.start(id),
                Action::Refuse(id, _) => {
                    assert_eq!(
                        self.state(id),
                        State::Waiting,
                        "refused work that did not wait"
                    );
                    self.end(id);
                }
                Action::Lost(id) => {
                    assert_eq!(self.state(id), State::Running, "lost work that did not run");
                    self.lost.push(self.works[&id].0);
                    self.end(id);
                }
            }
        }
    }

    fn start(&mut self, id: WorkId) {
        assert_eq!(
            self.state(id),
            State::Waiting,
            "started work that did not wait"
        );
        assert!(!self.drained, "new work while out of service");
        let partitioned_for = STEP * (self.step - self.partitioned_at) as u32;
        let max_age = GateConfig::default().max_configuration_age;
        assert!(
            partitioned_for <= max_age || !self.partitioned,
            "new work while partitioned"
        );
        let content = self.works[&id].0;
        let mut others = self.works.iter().filter(|(_, (_, s))| *s == State::Running);
        let near_suspect =
            others.any(|(_, (c, _))| self.suspects.contains(c) || self.suspects.contains(&content));
        assert!(!near_suspect, "a suspect does not run alone");
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

    fn log_line(&mut self, line: impl FnOnce() -> String) {
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

pub fn describe_decision(decision: Decision) -> String {
    match decision {
        Decision::Admit => "admit".into(),
        Decision::Queue => "queue".into(),
        Decision::Refuse(r) => format!("refuse {}", r.reason),
    }
}

fn describe_action(action: Action) -> String {
    match action {
        Action::Start(id) => format!("start {}", id.0),
        Action::Refuse(id, r) => format!("refuse {} {}", id.0, r.reason),
        Action::Lost(id) => format!("lost {}", id.0),
    }
}
