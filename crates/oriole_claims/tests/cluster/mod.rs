//! A simulated cluster of homes, entries and a store. A scheduler may delay, reorder, lose or
//! repeat every message, and a ledger of all runs checks the outcomes.
#![allow(dead_code)]

mod faults;
mod ledger;
pub mod types;

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_claims::home::{Action, Event};
use oriole_claims::prelude::*;
use oriole_store::store::Versioned;
use oriole_types::prelude::*;

use types::{Agent, Call, InjectedBug, Key, Ledger, Message, OutcomeCounts, Step};

/// VMs of the pool, each with one agent.
pub const AGENT_COUNT: usize = 3;
/// Bit of a mask that selects all paused processes that were replaced.
const ZOMBIES_BIT: u8 = 0x80;
/// Slot whose homes are not eager: they call the store only when a key needs a claim.
const LAZY_SLOT: usize = 2;
/// Partitions of the pool.
pub const PARTITION_COUNT: u32 = 2;
/// Retention of the homes.
pub const RETENTION: Duration = Duration::from_secs(30);
/// Timeout of a call.
const TIMEOUT: Duration = Duration::from_secs(4);
/// Difference between the wall clocks of VMs with adjacent slots.
const CLOCK_SKEW_MS: u64 = 4_000;
/// Unix time at the start of the simulation.
const START_UNIX_MS: u64 = 1_796_360_000_000;
/// Number of steps that let the cluster become idle.
const IDLE_STEPS: u32 = 45;
/// Length of one such step.
const IDLE_STEP: Duration = Duration::from_millis(400);
/// Most messages that [`TestCluster::deliver_all`] delivers.
const MAX_DELIVERIES: u32 = 400;

/// State of the simulation.
pub struct TestCluster {
    bug: InjectedBug,
    store: BTreeMap<String, Versioned>,
    /// Version of the last write to the store.
    version: u64,
    agents: Vec<Agent>,
    /// Replaced processes that were only paused, by slot and incarnation. They handle every message
    /// that still reaches them.
    zombies: Vec<((usize, u64), Agent)>,
    /// Messages in flight, oldest first.
    messages: Vec<Message>,
    /// The call of each attempt to send a request.
    attempts: Vec<usize>,
    calls: Vec<Call>,
    keys: Vec<Key>,
    ledger: Ledger,
    now: Duration,
    /// Whether every store call fails.
    outage: bool,
    /// Number of processes started so far.
    incarnations: u64,
    pub counts: OutcomeCounts,
    /// The first violation found.
    pub violation: Option<String>,
    /// Lines of the log; `None` if none is kept.
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
    (0..AGENT_COUNT)
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

impl TestCluster {
    pub fn new(bug: InjectedBug) -> Self {
        let mut cluster = Self {
            bug,
            store: BTreeMap::new(),
            version: 0,
            agents: Vec::new(),
            zombies: Vec::new(),
            messages: Vec::new(),
            attempts: Vec::new(),
            calls: Vec::new(),
            keys: Vec::new(),
            ledger: Ledger::default(),
            now: Duration::ZERO,
            outage: false,
            incarnations: 0,
            counts: OutcomeCounts::default(),
            violation: None,
            log: None,
        };
        for slot in 0..AGENT_COUNT {
            let agent = cluster.start_agent(slot, vms(0xff));
            cluster.agents.push(agent);
            cluster.deliver_to_newest(slot, Event::LiveAgents(vms(0xff)));
        }
        cluster
    }

    fn start_agent(&mut self, slot: usize, live: Vec<VmName>) -> Agent {
        self.incarnations += 1;
        let incarnation = match self.bug {
            InjectedBug::TicketsInherited => slot as u64,
            _ => self.incarnations,
        };
        let mut cfg = ClaimsConfig::new(pool(), vm(slot), Incarnation(incarnation), secret());
        cfg.partitions = PARTITION_COUNT;
        cfg.limits = limits();
        cfg.eager = slot != LAZY_SLOT;
        // The wall clocks of the VMs differ by a considerable part of the retention.
        let skew = CLOCK_SKEW_MS * slot as u64;
        cfg.start_unix_ms = START_UNIX_MS + skew + self.now.as_millis() as u64;
        Agent {
            home: ClaimHome::new(cfg),
            incarnation: self.incarnations,
            started: self.now,
            live,
        }
    }

    fn log_line(&mut self, text: impl FnOnce() -> String) {
        if let Some(log) = &mut self.log {
            let at = self.now.as_millis();
            log.push(format!("{at:>6} ms  {}", text()));
        }
    }

    fn record_violation(&mut self, text: String) {
        self.log_line(|| format!("VIOLATION {text}"));
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
            Step::CallNewKey { form, view } => self.call_new_key(form, view),
            Step::Deliver(n) => self.deliver(n as usize),
            Step::DeliverInOrder(n) => (0..n).for_each(|_| self.deliver(0)),
            Step::Fault(n, variant) => self.fault(n as usize, variant),
            Step::Pause(slot) => self.pause(slot as usize % AGENT_COUNT),
            Step::Crash(slot) => self.crash(slot as usize % AGENT_COUNT),
            Step::SetView(slot, mask) => self.set_view(slot as usize % AGENT_COUNT, mask),
            Step::Advance(by, mask) => self.advance_step(by, mask),
            Step::Outage(on) => self.outage = on,
        }
    }

    /// Sends a first request with a new key; `form` selects a plain key, a timestamped one or a
    /// ticket.
    pub fn call_new_key(&mut self, form: u8, view: u8) {
        let n = self.keys.len();
        let now_ms = START_UNIX_MS + self.now.as_millis() as u64;
        let text = match form % 3 {
            0 => IdempotencyKey::new(&format!("order-{n}")),
            1 => IdempotencyKey::new(&format!("{}-{n}", now_ms + CLOCK_SKEW_MS)),
            _ => self.ticket(n % AGENT_COUNT, n),
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

    /// Sends a further request with a known key, unless the key is plain and too old.
    pub fn call(&mut self, key: usize, body: u8, view: u8) {
        let known = &self.keys[key];
        // A plain key is protected only for the retention after its first use, and the call's
        // messages must arrive within that time.
        if known.plain && self.now > known.first_sent + RETENTION - 2 * TIMEOUT {
            return;
        }
        self.call_any(key, body, view);
    }

    /// Sends a request with a known key of any age.
    pub fn call_any(&mut self, key: usize, body: u8, view: u8) {
        let known = &mut self.keys[key];
        let body = u8::from(body == 0);
        known.bodies.push(body);
        let names = (&account(), &entry(), &known.text);
        let candidates = candidates(&pool(), PARTITION_COUNT, names, &vms(view));
        self.calls.push(Call {
            key,
            body,
            sent: self.now,
            claim_call: ClaimCall::new(candidates),
            attempt: None,
            final_step: None,
        });
        self.proceed(self.calls.len() - 1);
    }

    /// Carries out the next step of a call.
    fn proceed(&mut self, call: usize) {
        match self.calls[call].claim_call.next_step() {
            CallStep::Send { vm, recall } => {
                let attempt = self.attempts.len();
                self.attempts.push(call);
                self.calls[call].attempt = Some(attempt);
                self.log_line(|| format!("call {call} asks {vm} recall={}", recall.is_some()));
                let slot = slot_of(&vm);
                self.messages.push(Message::Request {
                    attempt,
                    slot,
                    recall,
                });
            }
            step => self.end_call(call, step),
        }
    }

    fn remove_message(&mut self, n: usize) -> Option<Message> {
        (!self.messages.is_empty()).then(|| self.messages.remove(n % self.messages.len()))
    }

    pub fn deliver(&mut self, n: usize) {
        let Some(message) = self.remove_message(n) else {
            return;
        };
        match message {
            Message::Request {
                attempt,
                slot,
                recall,
            } => self.deliver_request(attempt, (slot, n), recall),
            Message::Reply { attempt, outcome } => self.deliver_reply(attempt, outcome),
            Message::StoreRequest {
                agent,
                target,
                call,
            } if self.outage => {
                let variant = if self.messages.len().is_multiple_of(2) {
                    0
                } else {
                    3
                };
                self.fail_store_call(agent, target, call, variant);
            }
            Message::StoreRequest {
                agent,
                target,
                call,
            } => {
                let outcome = self.apply_store_call(&call);
                self.messages.push(Message::StoreOutcome {
                    agent,
                    target,
                    outcome,
                });
            }
            Message::StoreOutcome {
                agent,
                target,
                outcome,
            } => self.deliver_event(agent, Event::Store(target, outcome)),
            Message::LateWrite(call) => {
                self.log_line(|| "a late write reaches the store".to_owned());
                self.apply_store_call(&call);
            }
            Message::Run {
                agent,
                attempt,
                key,
            } => {
                if self.is_running(agent) {
                    let answer = self.run_upstream(attempt);
                    let outcome = RunOutcome::Answer(answer);
                    self.messages.push(Message::RunOutcome {
                        agent,
                        key,
                        outcome,
                    });
                }
            }
            Message::RunOutcome {
                agent,
                key,
                outcome,
            } => self.deliver_event(agent, Event::RunEnded(key, outcome)),
        }
    }

    fn deliver_request(
        &mut self,
        attempt: usize,
        (slot, n): (usize, usize),
        recall: Option<Incarnation>,
    ) {
        let call = &self.calls[self.attempts[attempt]];
        let key = &self.keys[call.key];
        if key.plain && self.now > call.sent + RETENTION {
            self.fail_attempt(attempt, false);
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
        // An old connection may still lead to a process that was replaced.
        let id = match self.zombies.iter().find(|(id, _)| id.0 == slot) {
            Some((id, _)) if n % 4 == 1 => *id,
            _ => (slot, self.agents[slot].incarnation),
        };
        self.deliver_event(id, Event::Request(CallId(attempt as u64), req));
    }

    fn deliver_reply(&mut self, attempt: usize, outcome: ClaimOutcome) {
        let call = self.attempts[attempt];
        if self.calls[call].attempt == Some(attempt) && self.calls[call].final_step.is_none() {
            self.log_line(|| format!("call {call} hears {outcome:?}"));
            self.calls[call].claim_call.on_outcome(outcome);
            self.proceed(call);
        }
    }

    /// Delivers messages in order until none is left or [`MAX_DELIVERIES`] is reached.
    pub fn deliver_all(&mut self) {
        for _ in 0..MAX_DELIVERIES {
            if self.messages.is_empty() {
                return;
            }
            self.deliver(0);
        }
    }

    /// Advances the time and sends a tick to every agent.
    pub fn advance_clock(&mut self, time: Duration) {
        self.now += time;
        (0..AGENT_COUNT).for_each(|slot| self.deliver_to_newest(slot, Event::Tick));
    }

    /// The partition of a key.
    pub fn partition_of(&self, key: usize) -> u32 {
        ClaimKey::of(&account(), &entry(), &self.keys[key].text).partition(PARTITION_COUNT)
    }

    /// The slot that should own a key's partition.
    pub fn owner_of(&self, key: usize) -> usize {
        let names = (&account(), &entry(), &self.keys[key].text);
        slot_of(&candidates(&pool(), PARTITION_COUNT, names, &vms(0xff))[0])
    }

    /// Changes which agents the agent of a slot assumes to be live.
    pub fn set_view(&mut self, slot: usize, mask: u8) {
        let live = vms(mask);
        self.agents[slot].live = live.clone();
        self.deliver_to_newest(slot, Event::LiveAgents(live));
    }

    /// Advances the time by one of a few lengths and sends a tick to the processes in `mask`.
    pub fn advance_step(&mut self, by: u8, mask: u8) {
        const STEPS_MS: [u64; 5] = [10, 200, 1_500, 8_000, 40_000];
        self.now += Duration::from_millis(STEPS_MS[by as usize % STEPS_MS.len()]);
        for slot in (0..AGENT_COUNT).filter(|i| mask & (1 << i) != 0) {
            self.deliver_to_newest(slot, Event::Tick);
        }
        if mask & ZOMBIES_BIT != 0 {
            let ids: Vec<(usize, u64)> = self.zombies.iter().map(|(id, _)| *id).collect();
            ids.into_iter()
                .for_each(|id| self.deliver_event(id, Event::Tick));
        }
        self.time_out_late_calls();
    }

    fn time_out_late_calls(&mut self) {
        // An entry assumes an attempt to be lost if no answer came until long after the deadline.
        let late: Vec<usize> = (0..self.calls.len())
            .filter(|c| self.calls[*c].final_step.is_none())
            .filter(|c| self.now > self.calls[*c].sent + 2 * TIMEOUT)
            .collect();
        for call in late {
            if let Some(attempt) = self.calls[call].attempt {
                self.fail_attempt(attempt, false);
            }
        }
    }

    fn is_running(&self, agent: (usize, u64)) -> bool {
        self.agents[agent.0].incarnation == agent.1 || self.zombie(agent).is_some()
    }

    fn zombie(&self, agent: (usize, u64)) -> Option<usize> {
        self.zombies.iter().position(|(id, _)| *id == agent)
    }

    /// Lets a process handle an event and puts the resulting messages in flight.
    fn deliver_event(&mut self, id: (usize, u64), event: Event) {
        let agent = match self.zombie(id) {
            Some(zombie) => &mut self.zombies[zombie].1,
            None if self.agents[id.0].incarnation == id.1 => &mut self.agents[id.0],
            None => return,
        };
        let actions = agent.home.handle(self.now - agent.started, event);
        for action in actions {
            let message = match action {
                Action::Run(call, key) => Message::Run {
                    agent: id,
                    attempt: call.0 as usize,
                    key,
                },
                Action::Reply(call, outcome) => Message::Reply {
                    attempt: call.0 as usize,
                    outcome,
                },
                Action::Store(target, call) => Message::StoreRequest {
                    agent: id,
                    target,
                    call,
                },
            };
            self.messages.push(message);
        }
    }

    /// Delivers an event to the newest process of a VM.
    fn deliver_to_newest(&mut self, slot: usize, event: Event) {
        self.deliver_event((slot, self.agents[slot].incarnation), event);
    }

    /// Delivers messages and advances the time in steps until calls and store calls have ended.
    pub fn run_until_idle(&mut self) {
        for _ in 0..IDLE_STEPS {
            self.deliver_all();
            self.advance_clock(IDLE_STEP);
            self.time_out_late_calls();
        }
    }
}
