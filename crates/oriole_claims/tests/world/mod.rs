//! A fleet of homes, entries and a store under a scheduler that may hold back, reorder, lose or
//! repeat the effects of every message; and the ledger that judges them.
#![allow(dead_code)]

mod faults;
mod ledger;
pub mod parts;

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_claims::home::{Action, Event};
use oriole_claims::prelude::*;
use oriole_store::store::Versioned;
use oriole_types::prelude::*;

use parts::{Agent, Broken, Call, Key, Ledger, Msg, Step, Tally};

/// VMs of the pool.
pub const AGENTS: usize = 3;
/// Bit of a mask that stands for the paused processes.
const ZOMBIES: u8 = 0x80;
/// Slot whose homes call the store on demand only.
const LAZY_SLOT: usize = 2;
/// Partitions of the pool.
pub const PARTITIONS: u32 = 2;
/// Retention of the homes.
pub const RETENTION: Duration = Duration::from_secs(30);
/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(4);
/// Difference of the wall clocks of neighbouring VMs.
const SKEW_MS: u64 = 4_000;
/// Unix time at the start.
const WALL_MS: u64 = 1_796_360_000_000;
/// Steps of the quiet end of a run.
const QUIET_STEPS: u32 = 45;
/// Length of such a step.
const QUIET_STEP: Duration = Duration::from_millis(400);
/// Most messages delivered at once.
const FLUSH_MESSAGES: u32 = 400;

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
        max_issue_ahead: Duration::from_secs(10),
        pool_commits_per_s: 20.0,
        claim_timeout: Duration::from_secs(2),
        reacquire_delay: Duration::from_millis(200),
        max_head_bytes: 60,
        min_segments: 0,
        merge_min_segments: 2,
        max_total_answer_bytes: 24,
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
            world.event(slot, Event::LiveAgents(vms(0xff)));
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
        cfg.eager = slot != LAZY_SLOT;
        // The wall clocks of the agents differ by a good part of the retention.
        let skew = SKEW_MS * slot as u64;
        cfg.start_unix_ms = WALL_MS + skew + self.now.as_millis() as u64;
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
        let known = &self.keys[key];
        // A plain key is covered for the retention after its first use, and so are its messages.
        if known.plain && self.now > known.first_sent + RETENTION - 2 * TIMEOUT {
            return;
        }
        self.call_any(key, body, view);
    }

    /// A request under a known key, however old the key is.
    pub fn call_any(&mut self, key: usize, body: u8, view: u8) {
        let known = &mut self.keys[key];
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
        match self.calls[call].way.next_step() {
            CallStep::Send { vm, recall } => {
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
            Msg::StoreReq {
                agent,
                target,
                call,
            } if self.outage => {
                let kind = if self.net.len().is_multiple_of(2) {
                    0
                } else {
                    3
                };
                self.fault_store(agent, target, call, kind);
            }
            Msg::StoreReq {
                agent,
                target,
                call,
            } => {
                let end = self.apply(&call);
                self.net.push(Msg::StoreOutcome { agent, target, end });
            }
            Msg::StoreOutcome { agent, target, end } => self.tell(agent, Event::Store(target, end)),
            Msg::LateWrite(call) => {
                self.say(|| "a late write reaches the store".to_owned());
                self.apply(&call);
            }
            Msg::Run { agent, ask, key } => {
                if self.alive(agent) {
                    let answer = self.run(ask);
                    let end = RunOutcome::Answer(answer);
                    self.net.push(Msg::RunOutcome { agent, key, end });
                }
            }
            Msg::RunOutcome { agent, key, end } => self.tell(agent, Event::RunEnded(key, end)),
        }
    }

    fn request(&mut self, ask: usize, (slot, n): (usize, usize), recall: Option<Incarnation>) {
        let call = &self.calls[self.asks[ask]];
        let key = &self.keys[call.key];
        if key.plain && self.now > call.sent + RETENTION {
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

    fn reply(&mut self, ask: usize, end: ClaimOutcome) {
        let call = self.asks[ask];
        if self.calls[call].ask == Some(ask) && self.calls[call].end.is_none() {
            self.say(|| format!("call {call} hears {end:?}"));
            self.calls[call].way.on_outcome(end);
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

    /// The partition of a key.
    pub fn partition_of(&self, key: usize) -> u32 {
        ClaimKey::of(&account(), &entry(), &self.keys[key].text).partition(PARTITIONS)
    }

    /// The slot that should own a key's partition.
    pub fn owner_of(&self, key: usize) -> usize {
        let names = (&account(), &entry(), &self.keys[key].text);
        slot_of(&candidates(&pool(), PARTITIONS, names, &vms(0xff))[0])
    }

    pub fn view(&mut self, slot: usize, mask: u8) {
        let live = vms(mask);
        self.agents[slot].live = live.clone();
        self.event(slot, Event::LiveAgents(live));
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
                Action::Store(target, call) => Msg::StoreReq {
                    agent: id,
                    target,
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

    pub fn rest(&mut self) {
        for _ in 0..QUIET_STEPS {
            self.flush();
            self.pass(QUIET_STEP);
            self.lose_late();
        }
    }
}
