//! A fleet of homes, entries and a store under a scheduler that may hold back, reorder, lose or
//! repeat the effects of every message; and the ledger that judges them.
#![allow(dead_code)]

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use bytes::Bytes;
use oriole_claims::home::{Action, Event, Lane};
use oriole_claims::partition::{StoreCall, StoreEnd};
use oriole_claims::prelude::*;
use oriole_store::error::StoreError;
use oriole_store::store::{Expect, StoreVersion, Versioned};
use oriole_types::prelude::*;

pub const AGENTS: usize = 3;
/// Bit of a mask that stands for the paused processes.
const ZOMBIES: u8 = 0x80;
pub const PARTITIONS: u32 = 2;
pub const RETENTION: Duration = Duration::from_secs(30);
const TIMEOUT: Duration = Duration::from_secs(4);
const SKEW_MS: u64 = 4_000;
const WALL_MS: u64 = 1_796_360_000_000;
/// Steps of the quiet end of a run, and their length.
const QUIET_STEPS: u32 = 45;
/// Most messages delivered at once.
const FLUSH_MESSAGES: u32 = 400;
const QUIET_STEP: Duration = Duration::from_millis(400);

/// What is broken on purpose.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Broken {
    #[default]
    Nothing,
    /// The owner writes without comparing, as one that trusts its lease would.
    LeaseOnly,
    /// A store write with no answer is taken for done.
    LostWriteIsDone,
    /// An agent's lost answer is taken for a request that was not sent.
    LostAnswerIsFailure,
    /// A new owner does not read the segments.
    SegmentsIgnored,
    /// A home accepts the tickets of the incarnation before it.
    TicketsInherited,
}

/// One choice of the scheduler. Selectors are taken modulo what there is to select from.
#[derive(Clone, Debug)]
pub enum Step {
    Call { key: u8, body: u8, view: u8 },
    Fresh { form: u8, view: u8 },
    Deliver(u16),
    Settle(u8),
    Fault(u16, u8),
    Kill(u8),
    Pause(u8),
    View(u8, u8),
    Advance(u8, u8),
    Outage(bool),
}

#[derive(Clone, Debug)]
enum Msg {
    Request {
        ask: usize,
        slot: usize,
        recall: Option<Incarnation>,
    },
    Reply {
        ask: usize,
        end: ClaimEnd,
    },
    StoreReq {
        agent: (usize, u64),
        lane: Lane,
        call: StoreCall,
    },
    StoreEnd {
        agent: (usize, u64),
        lane: Lane,
        end: StoreEnd,
    },
    LateWrite(StoreCall),
    Run {
        agent: (usize, u64),
        ask: usize,
        key: ClaimKey,
    },
    RunEnd {
        agent: (usize, u64),
        key: ClaimKey,
        end: RunEnd,
    },
}

/// Sort of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sort {
    Request,
    Reply,
    StoreWrite,
    Run,
}

impl Sort {
    fn covers(self, msg: &Msg) -> bool {
        match msg {
            Msg::Request { .. } => self == Self::Request,
            Msg::Reply { .. } => self == Self::Reply,
            Msg::Run { .. } => self == Self::Run,
            Msg::StoreReq { call, .. } => {
                self == Self::StoreWrite && matches!(call, StoreCall::Write { .. })
            }
            Msg::StoreEnd { .. } | Msg::LateWrite(_) | Msg::RunEnd { .. } => false,
        }
    }
}

#[derive(Debug)]
struct Agent {
    home: ClaimHome,
    incarnation: u64,
    started: Duration,
    live: Vec<VmName>,
}

#[derive(Debug)]
struct Call {
    key: usize,
    body: u8,
    sent: Duration,
    way: ClaimCall,
    ask: Option<usize>,
    end: Option<CallStep>,
}

#[derive(Clone, Debug)]
struct Key {
    text: IdempotencyKey,
    plain: bool,
    first_sent: Duration,
    bodies: Vec<u8>,
}

#[derive(Default, Debug)]
struct Ledger {
    runs: HashMap<usize, Vec<usize>>,
    first: HashMap<usize, (u8, Bytes)>,
}

/// How often each end was seen.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub ends: BTreeMap<String, u64>,
    pub runs: u64,
}

impl Tally {
    pub fn add(&mut self, other: &Self) {
        self.runs += other.runs;
        for (end, n) in &other.ends {
            *self.ends.entry(end.clone()).or_default() += n;
        }
    }
}

/// Ends that a long enough run must show.
pub const ENDS: [&str; 4] = [
    "answer",
    "not_run store_unavailable",
    "not_run key_reused",
    "unknown home_lost",
];

pub struct World {
    broken: Broken,
    store: BTreeMap<String, Versioned>,
    version: u64,
    agents: Vec<Agent>,
    /// Paused processes whose VM has a new one. They wake for every message that reaches them.
    zombies: Vec<((usize, u64), Agent)>,
    net: Vec<Msg>,
    asks: Vec<usize>,
    calls: Vec<Call>,
    keys: Vec<Key>,
    ledger: Ledger,
    now: Duration,
    outage: bool,
    incarnations: u64,
    pub tally: Tally,
    pub violation: Option<String>,
    pub log: Option<Vec<String>>,
}

fn account() -> AccountName {
    "acme".into()
}

fn entry() -> EntryName {
    "book".into()
}

fn pool() -> PoolName {
    "booking".into()
}

fn vm(slot: usize) -> VmName {
    VmName::new(&format!("vm-{slot}"))
}

fn vms(mask: u8) -> Vec<VmName> {
    (0..AGENTS)
        .filter(|i| mask & (1 << i) != 0)
        .map(vm)
        .collect()
}

fn slot_of(vm: &VmName) -> usize {
    vm.as_str().trim_start_matches("vm-").parse().unwrap_or(0)
}

fn secret() -> TicketSecret {
    TicketSecret::new(b"fleet secret")
}

pub fn limits() -> ClaimsLimits {
    ClaimsLimits {
        retention: RETENTION,
        issue_ahead: Duration::from_secs(10),
        pool_commits_per_s: 20.0,
        store_patience: Duration::from_secs(2),
        hold_off: Duration::from_millis(200),
        segment_bytes: 60,
        spare_segments: 0,
        merge_segments: 2,
        answers_bytes: 24,
        ..ClaimsLimits::default()
    }
}

impl World {
    pub fn new(broken: Broken) -> Self {
        let mut world = Self {
            broken,
            store: BTreeMap::new(),
            version: 0,
            agents: Vec::new(),
            zombies: Vec::new(),
            net: Vec::new(),
            asks: Vec::new(),
            calls: Vec::new(),
            keys: Vec::new(),
            ledger: Ledger::default(),
            now: Duration::ZERO,
            outage: false,
            incarnations: 0,
            tally: Tally::default(),
            violation: None,
            log: None,
        };
        for slot in 0..AGENTS {
            let agent = world.agent(slot, vms(0xff));
            world.agents.push(agent);
            world.event(slot, Event::Live(vms(0xff)));
        }
        world
    }

    fn agent(&mut self, slot: usize, live: Vec<VmName>) -> Agent {
        self.incarnations += 1;
        let incarnation = match self.broken {
            Broken::TicketsInherited => slot as u64,
            _ => self.incarnations,
        };
        let mut cfg = ClaimsConfig::new(pool(), vm(slot), Incarnation(incarnation), secret());
        cfg.partitions = PARTITIONS;
        cfg.limits = limits();
        // The wall clocks of the agents differ by a good part of the retention.
        let skew = SKEW_MS * slot as u64;
        cfg.wall_at_start_ms = WALL_MS + skew + self.now.as_millis() as u64;
        Agent {
            home: ClaimHome::new(cfg),
            incarnation: self.incarnations,
            started: self.now,
            live,
        }
    }

    fn say(&mut self, text: impl FnOnce() -> String) {
        if let Some(log) = &mut self.log {
            let at = self.now.as_millis();
            log.push(format!("{at:>6} ms  {}", text()));
        }
    }

    fn fail(&mut self, text: String) {
        self.say(|| format!("VIOLATION {text}"));
        self.violation.get_or_insert(text);
    }

    pub fn step(&mut self, step: &Step) {
        match *step {
            Step::Call { key, body, view } => {
                if !self.keys.is_empty() {
                    let key = key as usize % self.keys.len();
                    self.call(key, body, view);
                }
            }
            Step::Fresh { form, view } => self.fresh(form, view),
            Step::Deliver(n) => self.deliver(n as usize),
            Step::Settle(n) => (0..n).for_each(|_| self.deliver(0)),
            Step::Fault(n, kind) => self.fault(n as usize, kind),
            Step::Pause(slot) => self.pause(slot as usize % AGENTS),
            Step::Kill(slot) => self.kill(slot as usize % AGENTS),
            Step::View(slot, mask) => self.view(slot as usize % AGENTS, mask),
            Step::Advance(by, mask) => self.advance(by, mask),
            Step::Outage(on) => self.outage = on,
        }
    }

    /// A first request under a new key.
    pub fn fresh(&mut self, form: u8, view: u8) {
        let n = self.keys.len();
        let now_ms = WALL_MS + self.now.as_millis() as u64;
        let text = match form % 3 {
            0 => IdempotencyKey::new(&format!("order-{n}")),
            1 => IdempotencyKey::new(&format!("{}-{n}", now_ms + SKEW_MS)),
            _ => self.ticket(n % AGENTS, n),
        };
        self.keys.push(Key {
            text,
            plain: form.is_multiple_of(3),
            first_sent: self.now,
            bodies: Vec::new(),
        });
        self.call(n, 0, view);
    }

    fn ticket(&self, slot: usize, n: usize) -> IdempotencyKey {
        let agent = &self.agents[slot];
        let clock = (self.now - agent.started).as_millis() as u64;
        let home = agent.home.home().clone();
        Ticket::mint(
            &secret(),
            home,
            clock,
            &account(),
            &entry(),
            &format!("k{n}"),
        )
        .key()
    }

    pub fn call(&mut self, key: usize, body: u8, view: u8) {
        let known = &mut self.keys[key];
        // A plain key is covered for the retention after its first use, and so are its messages.
        if known.plain && self.now > known.first_sent + RETENTION - 2 * TIMEOUT {
            return;
        }
        let body = u8::from(body == 0);
        known.bodies.push(body);
        let names = (&account(), &entry(), &known.text);
        let candidates = candidates(&pool(), PARTITIONS, names, &vms(view));
        self.calls.push(Call {
            key,
            body,
            sent: self.now,
            way: ClaimCall::new(candidates),
            ask: None,
            end: None,
        });
        self.proceed(self.calls.len() - 1);
    }

    fn proceed(&mut self, call: usize) {
        match self.calls[call].way.step() {
            CallStep::Ask { vm, recall } => {
                let ask = self.asks.len();
                self.asks.push(call);
                self.calls[call].ask = Some(ask);
                self.say(|| format!("call {call} asks {vm} recall={}", recall.is_some()));
                let slot = slot_of(&vm);
                self.net.push(Msg::Request { ask, slot, recall });
            }
            end => self.end(call, end),
        }
    }

    fn end(&mut self, call: usize, end: CallStep) {
        if self.calls[call].end.is_some() {
            return;
        }
        let (key, body) = (self.calls[call].key, self.calls[call].body);
        self.say(|| format!("call {call} ends {end:?}"));
        let name = match &end {
            CallStep::Answer(answer) => {
                match self.ledger.first.get(&key) {
                    Some((b, first)) if first == answer && *b == body => {}
                    _ => self.fail(format!("call {call} got an answer that is not its own")),
                }
                "answer".to_owned()
            }
            CallStep::NotRun(reason) => {
                self.judge_not_run(call, *reason);
                format!("not_run {reason}")
            }
            CallStep::Unknown(reason) => format!("unknown {reason}"),
            CallStep::Ask { .. } => return,
        };
        *self.tally.ends.entry(name).or_default() += 1;
        self.calls[call].end = Some(end);
    }

    fn judge_not_run(&mut self, call: usize, reason: RefusalReason) {
        let key = self.calls[call].key;
        if self
            .ledger
            .runs
            .get(&key)
            .is_some_and(|r| r.contains(&call))
        {
            self.fail(format!("call {call} ran and was told not_run {reason}"));
        }
        let bodies = &self.keys[key].bodies;
        if reason == RefusalReason::KeyReused && bodies.iter().all(|b| *b == bodies[0]) {
            self.fail(format!("call {call}: the key has one body only"));
        }
    }

    fn take(&mut self, n: usize) -> Option<Msg> {
        (!self.net.is_empty()).then(|| self.net.remove(n % self.net.len()))
    }

    pub fn deliver(&mut self, n: usize) {
        let Some(msg) = self.take(n) else {
            return;
        };
        match msg {
            Msg::Request { ask, slot, recall } => self.request(ask, (slot, n), recall),
            Msg::Reply { ask, end } => self.reply(ask, end),
            Msg::StoreReq { agent, lane, call } if self.outage => {
                let kind = if self.net.len().is_multiple_of(2) {
                    0
                } else {
                    3
                };
                self.fault_store(agent, lane, call, kind);
            }
            Msg::StoreReq { agent, lane, call } => {
                let end = self.apply(&call);
                self.net.push(Msg::StoreEnd { agent, lane, end });
            }
            Msg::StoreEnd { agent, lane, end } => self.tell(agent, Event::Store(lane, end)),
            Msg::LateWrite(call) => {
                self.say(|| "a late write reaches the store".to_owned());
                self.apply(&call);
            }
            Msg::Run { agent, ask, key } => {
                if self.alive(agent) {
                    let answer = self.run(ask);
                    let end = RunEnd::Answer(answer);
                    self.net.push(Msg::RunEnd { agent, key, end });
                }
            }
            Msg::RunEnd { agent, key, end } => self.tell(agent, Event::RunEnded(key, end)),
        }
    }

    fn request(&mut self, ask: usize, (slot, n): (usize, usize), recall: Option<Incarnation>) {
        let call = &self.calls[self.asks[ask]];
        let key = &self.keys[call.key];
        if key.plain && self.now > key.first_sent + RETENTION {
            self.lose(ask, false);
            return;
        }
        let req = ClaimRequest {
            account: account(),
            entry: entry(),
            key: key.text.clone(),
            content: Digest::of(&[call.body]),
            timeout: TIMEOUT,
            recall,
        };
        // An old connection may still lead to the process that was replaced.
        let id = match self.zombies.iter().find(|(id, _)| id.0 == slot) {
            Some((id, _)) if n % 4 == 1 => *id,
            _ => (slot, self.agents[slot].incarnation),
        };
        self.tell(id, Event::Request(CallId(ask as u64), req));
    }

    fn reply(&mut self, ask: usize, end: ClaimEnd) {
        let call = self.asks[ask];
        if self.calls[call].ask == Some(ask) && self.calls[call].end.is_none() {
            self.say(|| format!("call {call} hears {end:?}"));
            self.calls[call].way.on_end(end);
            self.proceed(call);
        }
    }

    /// Delivers messages in order until none is left.
    pub fn flush(&mut self) {
        for _ in 0..FLUSH_MESSAGES {
            if self.net.is_empty() {
                return;
            }
            self.deliver(0);
        }
    }

    /// Lets time pass and ticks every agent.
    pub fn pass(&mut self, time: Duration) {
        self.now += time;
        (0..AGENTS).for_each(|slot| self.event(slot, Event::Tick));
    }

    /// Loses, in the way `kind` says, the first message on its way that is of some sort.
    pub fn fault_first(&mut self, sort: Sort, kind: u8) {
        let found = self.net.iter().position(|m| sort.covers(m));
        let Some(at) = found else {
            return self.fail(format!("no {sort:?} is on its way"));
        };
        let msg = self.net.remove(at);
        self.net.insert(0, msg);
        self.fault(0, kind);
    }

    /// The slot that should own a key's partition.
    pub fn owner_of(&self, key: usize) -> usize {
        let names = (&account(), &entry(), &self.keys[key].text);
        slot_of(&candidates(&pool(), PARTITIONS, names, &vms(0xff))[0])
    }

    /// The upstream runs a request: the ledger counts it.
    fn run(&mut self, ask: usize) -> Bytes {
        let call = self.asks[ask];
        let (key, body) = (self.calls[call].key, self.calls[call].body);
        self.tally.runs += 1;
        self.say(|| format!("the upstream runs call {call}"));
        let runs = self.ledger.runs.entry(key).or_default();
        runs.push(call);
        if runs.len() > 1 {
            let text = format!("key {key} ran {} times", runs.len());
            self.fail(text);
        }
        if let Some(CallStep::NotRun(reason)) = &self.calls[call].end {
            let text = format!("call {call} runs after it was told not_run {reason}");
            self.fail(text);
        }
        let answer = Bytes::from(format!("answer {call}"));
        self.ledger
            .first
            .entry(key)
            .or_insert((body, answer.clone()));
        answer
    }

    pub fn fault(&mut self, n: usize, kind: u8) {
        let can_fail = |m: &Msg| match m {
            Msg::Request { .. } | Msg::Reply { .. } | Msg::Run { .. } => true,
            Msg::StoreReq { call, .. } => !matches!(call, StoreCall::Delete { .. }),
            Msg::StoreEnd { .. } | Msg::LateWrite(_) | Msg::RunEnd { .. } => false,
        };
        let targets = (0..self.net.len()).filter(|i| can_fail(&self.net[*i]));
        let targets: Vec<usize> = targets.collect();
        if targets.is_empty() {
            return;
        }
        let Some(msg) = self.take(targets[n % targets.len()]) else {
            return;
        };
        match msg {
            Msg::Request { ask, slot, recall } => {
                let unsent = kind.is_multiple_of(3);
                if kind % 3 == 2 {
                    self.net.push(Msg::Request { ask, slot, recall });
                }
                self.lose(ask, unsent);
            }
            Msg::Reply { ask, .. } => self.lose(ask, false),
            Msg::StoreReq { agent, lane, call } => self.fault_store(agent, lane, call, kind),
            Msg::Run { agent, ask, key } if self.alive(agent) => {
                let end = if kind.is_multiple_of(2) {
                    RunEnd::NotRun(RefusalReason::UpstreamUnreachable)
                } else {
                    self.run(ask);
                    RunEnd::Unknown(UnknownReason::UpstreamFailed)
                };
                self.net.push(Msg::RunEnd { agent, key, end });
            }
            other => self.net.push(other),
        }
    }

    fn lose(&mut self, ask: usize, unsent: bool) {
        let call = self.asks[ask];
        if self.calls[call].ask != Some(ask) || self.calls[call].end.is_some() {
            return;
        }
        self.say(|| format!("call {call} hears nothing, unsent={unsent}"));
        self.calls[call].ask = None;
        if unsent || self.broken == Broken::LostAnswerIsFailure {
            self.calls[call].way.on_unsent();
        } else {
            self.calls[call].way.on_lost();
        }
        self.proceed(call);
    }

    fn fault_store(&mut self, agent: (usize, u64), lane: Lane, call: StoreCall, kind: u8) {
        let ambiguous = !kind.is_multiple_of(4);
        match kind % 4 {
            1 => {
                self.apply(&call);
            }
            2 => self.net.push(Msg::LateWrite(call.clone())),
            _ => {}
        }
        let error = if ambiguous {
            StoreError::Ambiguous
        } else {
            StoreError::Unavailable
        };
        self.say(|| format!("vm-{} {lane:?}: {error}", agent.0));
        let end = match call {
            StoreCall::Read { .. } => StoreEnd::Read(Err(StoreError::Unavailable)),
            StoreCall::Delete { .. } => StoreEnd::Delete(Err(error)),
            StoreCall::Write { .. } if ambiguous && self.broken == Broken::LostWriteIsDone => {
                StoreEnd::Write(Ok(StoreVersion(self.version)))
            }
            StoreCall::Write { .. } => StoreEnd::Write(Err(error)),
        };
        self.net.push(Msg::StoreEnd { agent, lane, end });
    }

    fn apply(&mut self, call: &StoreCall) -> StoreEnd {
        match call {
            StoreCall::Read { key } => {
                let mut found = self.store.get(key).cloned();
                let segment = !key.ends_with("head") && !key.ends_with("layout");
                if segment && self.broken == Broken::SegmentsIgnored {
                    found = found.map(|f| Versioned {
                        value: Bytes::new(),
                        ..f
                    });
                }
                StoreEnd::Read(Ok(found))
            }
            StoreCall::Delete { key } => {
                self.store.remove(key);
                StoreEnd::Delete(Ok(()))
            }
            StoreCall::Write { key, value, expect } => {
                StoreEnd::Write(self.write(key, value, *expect))
            }
        }
    }

    fn write(
        &mut self,
        key: &str,
        value: &Bytes,
        expect: Expect,
    ) -> Result<StoreVersion, StoreError> {
        let holds = match expect {
            Expect::Absent => !self.store.contains_key(key),
            Expect::Version(v) => self.store.get(key).is_some_and(|f| f.version == v),
            Expect::Any => true,
        };
        let trusted = self.broken == Broken::LeaseOnly && key.ends_with("head");
        if !holds && !trusted {
            return Err(StoreError::Conflict);
        }
        self.version += 1;
        let version = StoreVersion(self.version);
        let value = value.clone();
        self.store
            .insert(key.to_owned(), Versioned { value, version });
        Ok(version)
    }

    /// The process of an agent is replaced. Its writes and runs under way take their course.
    pub fn kill(&mut self, slot: usize) {
        self.say(|| format!("vm-{slot} dies and is replaced"));
        let id = (slot, self.agents[slot].incarnation);
        self.replace(slot);
        self.net
            .retain(|m| !matches!(m, Msg::Run { agent, .. } if *agent == id));
    }

    /// The process of an agent is paused and taken for dead; it wakes after it was replaced.
    pub fn pause(&mut self, slot: usize) {
        self.say(|| format!("vm-{slot} is paused and replaced"));
        let id = (slot, self.agents[slot].incarnation);
        let paused = self.replace(slot);
        self.zombies.push((id, paused));
    }

    fn replace(&mut self, slot: usize) -> Agent {
        let live = self.agents[slot].live.clone();
        let agent = self.agent(slot, live.clone());
        let old = std::mem::replace(&mut self.agents[slot], agent);
        self.event(slot, Event::Live(live));
        old
    }

    pub fn view(&mut self, slot: usize, mask: u8) {
        let live = vms(mask);
        self.agents[slot].live = live.clone();
        self.event(slot, Event::Live(live));
    }

    pub fn advance(&mut self, by: u8, mask: u8) {
        const STEPS_MS: [u64; 5] = [10, 200, 1_500, 8_000, 40_000];
        self.now += Duration::from_millis(STEPS_MS[by as usize % STEPS_MS.len()]);
        for slot in (0..AGENTS).filter(|i| mask & (1 << i) != 0) {
            self.event(slot, Event::Tick);
        }
        if mask & ZOMBIES != 0 {
            let ids: Vec<(usize, u64)> = self.zombies.iter().map(|(id, _)| *id).collect();
            ids.into_iter().for_each(|id| self.tell(id, Event::Tick));
        }
        self.lose_late();
    }

    fn lose_late(&mut self) {
        // A call that hears nothing until long after its deadline is lost to its entry.
        let late: Vec<usize> = (0..self.calls.len())
            .filter(|c| self.calls[*c].end.is_none())
            .filter(|c| self.now > self.calls[*c].sent + 2 * TIMEOUT)
            .collect();
        for call in late {
            if let Some(ask) = self.calls[call].ask {
                self.lose(ask, false);
            }
        }
    }

    fn alive(&self, agent: (usize, u64)) -> bool {
        self.agents[agent.0].incarnation == agent.1 || self.zombie(agent).is_some()
    }

    fn zombie(&self, agent: (usize, u64)) -> Option<usize> {
        self.zombies.iter().position(|(id, _)| *id == agent)
    }

    fn tell(&mut self, id: (usize, u64), event: Event) {
        let agent = match self.zombie(id) {
            Some(zombie) => &mut self.zombies[zombie].1,
            None if self.agents[id.0].incarnation == id.1 => &mut self.agents[id.0],
            None => return,
        };
        let actions = agent.home.handle(self.now - agent.started, event);
        for action in actions {
            let msg = match action {
                Action::Run(call, key) => Msg::Run {
                    agent: id,
                    ask: call.0 as usize,
                    key,
                },
                Action::Reply(call, end) => Msg::Reply {
                    ask: call.0 as usize,
                    end,
                },
                Action::Store(lane, call) => Msg::StoreReq {
                    agent: id,
                    lane,
                    call,
                },
            };
            self.net.push(msg);
        }
    }

    /// Something happens to the newest process of a VM.
    fn event(&mut self, slot: usize, event: Event) {
        self.tell((slot, self.agents[slot].incarnation), event);
    }

    /// Ends all faults and lets everything come to rest; then every call must have ended and new
    /// requests of all forms must be answered.
    pub fn quiesce(&mut self) {
        self.outage = false;
        for slot in 0..AGENTS {
            self.view(slot, 0xff);
        }
        self.rest();
        let before = self.calls.len();
        (0..3).for_each(|form| self.fresh(form, 0xff));
        self.rest();
        for call in 0..self.calls.len() {
            let end = &self.calls[call].end;
            let served = matches!(end, Some(CallStep::Answer(_)));
            if end.is_none() || call >= before && !served {
                let text = format!("after rest call {call} ended {end:?}");
                self.fail(text);
            }
        }
    }

    pub fn rest(&mut self) {
        for _ in 0..QUIET_STEPS {
            self.flush();
            self.pass(QUIET_STEP);
            self.lose_late();
        }
    }
}
