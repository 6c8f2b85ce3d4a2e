//! The event loop.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use oriole_membership::load_feed::{LoadFeed, MAX_LOAD_REPORT_INTERVAL};
use oriole_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::callers::{CALLERS, Callers};
use super::contender::{Action, AttemptResult, Contender, Entry, Request};
use super::outcome::{End, Ended, Outcomes};
use super::setup::{Fault, LEDGERS, MODELS, Setup, domain_name, entry_name, upstream_name};
use super::upstream::{Attempt, Effect, Upstream};

/// Time between two ticks of an entry.
const ENTRY_TICK: Duration = Duration::from_millis(10);

/// Time between two ticks of an agent.
const AGENT_TICK: Duration = Duration::from_millis(5);

/// Time between two looks of an agent at who is without news of its load.
const FEED_TICK: Duration = Duration::from_millis(100);

/// Time between two digests of an entry.
const DIGEST_PERIOD: Duration = Duration::from_secs(1);

/// Time for which a caller waits for a dead entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time until a change of the catalog has reached every process.
const CATALOG_SPREAD: Duration = Duration::from_secs(2);

/// Runs a setup with a contender.
#[must_use]
pub fn run(setup: &Setup, contender: Contender) -> Outcomes {
    let mut world = World::new(setup, contender);
    world.run();
    world.outcomes
}

enum Event {
    Offer(usize),
    AtEntry(usize, usize),
    AtAgent(usize, Attempt),
    Due(usize, u64),
    AtEntryAgain(Box<Back>),
    Woken(usize, Request),
    EntryTick(usize),
    AgentTick(usize),
    Digest(usize),
    Feed(usize),
    Fault(Fault),
    EntryHears(usize),
    AgentHears(usize),
}

/// An attempt that ended, on its way back.
struct Back {
    attempt: Attempt,
    upstream: usize,
    result: AttemptResult,
    took: Duration,
    load: LoadReport,
}

struct Flight {
    account: usize,
    priority: Priority,
    sent: Duration,
    caller: u64,
    entry: usize,
    done: bool,
}

struct Queued(Duration, u64, Event);

struct World<'a> {
    setup: &'a Setup,
    contender: Contender,
    list: VmList,
    catalog: Catalog,
    entries: Vec<Entry>,
    dead: BTreeSet<usize>,
    upstreams: Vec<Box<dyn Upstream>>,
    feeds: Vec<LoadFeed>,
    number: BTreeMap<VmName, usize>,
    entry_number: BTreeMap<VmName, usize>,
    callers: Callers,
    events: BinaryHeap<Reverse<Queued>>,
    flights: Vec<Flight>,
    drained_at: BTreeMap<usize, Duration>,
    rngs: Vec<ChaCha8Rng>,
    rng: ChaCha8Rng,
    now: Duration,
    order: u64,
    outcomes: Outcomes,
}

impl<'a> World<'a> {
    fn new(setup: &'a Setup, contender: Contender) -> Self {
        let stream = |n: u64| {
            let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
            rng.set_stream(n);
            rng
        };
        let (list, catalog) = (setup.vm_list(), setup.catalog());
        let entry = |i: usize| {
            let mut entry = Entry::new(contender, setup, i, stream(1000 + i as u64));
            entry.fleet_changed(Duration::ZERO, &list, &catalog);
            entry
        };
        let entries: Vec<Entry> = (0..setup.entries).map(entry).collect();
        let names: Vec<VmName> = (0..setup.entries).map(entry_name).collect();
        let mut feed = LoadFeed::new(MAX_LOAD_REPORT_INTERVAL);
        feed.set_subscribers(names.iter());
        let gated = contender == Contender::Oriole;
        let all = setup.all_upstreams();
        let mut world = Self {
            contender,
            entries,
            dead: BTreeSet::new(),
            upstreams: (0..all).map(|i| setup.upstream(i, gated)).collect(),
            feeds: vec![feed; all],
            number: (0..all).map(|i| (upstream_name(i), i)).collect(),
            entry_number: (0..setup.entries).map(|i| (entry_name(i), i)).collect(),
            callers: Callers::default(),
            events: BinaryHeap::new(),
            flights: Vec::new(),
            drained_at: BTreeMap::new(),
            rngs: (0..setup.traffic.len()).map(|i| stream(i as u64)).collect(),
            rng: stream(999),
            now: Duration::ZERO,
            order: 0,
            outcomes: Outcomes::default(),
            list,
            catalog,
            setup,
        };
        world.schedule_all();
        world
    }

    fn schedule_all(&mut self) {
        for account in 0..self.setup.traffic.len() {
            self.schedule_offer(account);
        }
        for entry in 0..self.setup.entries {
            let offset = ENTRY_TICK.mul_f64(entry as f64 / self.setup.entries as f64);
            self.after(offset, Event::EntryTick(entry));
            self.after(offset * 100, Event::Digest(entry));
        }
        for upstream in 0..self.upstreams.len() {
            self.after(AGENT_TICK, Event::AgentTick(upstream));
            self.after(FEED_TICK, Event::Feed(upstream));
        }
        for (at, fault) in &self.setup.faults {
            self.after(*at, Event::Fault(fault.clone()));
        }
        for t in &self.setup.traffic {
            let holders = self.callers.holders(&self.list, &self.catalog, &t.account);
            for entry in &mut self.entries {
                entry.set_holders(self.now, &t.account, holders);
            }
        }
    }

    fn run(&mut self) {
        let end = self.setup.end() + self.setup.timeout * 2;
        while let Some(Reverse(Queued(at, _, event))) = self.events.pop() {
            if at > end {
                break;
            }
            self.now = at;
            self.handle(event);
        }
        self.outcomes.cold_overload = self.upstreams.iter().map(|u| u.cold_overload()).sum();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Offer(account) => self.offer(account),
            Event::AtEntry(entry, id) => self.at_entry(entry, id),
            Event::AtAgent(i, attempt) => {
                let effects = self.upstreams[i].arrived(self.now, attempt, &mut self.rng);
                self.affect(i, effects);
            }
            Event::Due(i, id) => {
                let effects = self.upstreams[i].due(self.now, id, &mut self.rng);
                self.affect(i, effects);
            }
            Event::AtEntryAgain(back) => self.at_entry_again(*back),
            Event::Woken(entry, req) => {
                let actions = self.entries[entry].woken(self.now, req);
                self.act(entry, actions);
            }
            Event::EntryTick(entry) => {
                let actions = self.entries[entry].tick(self.now);
                self.act(entry, actions);
                self.after(ENTRY_TICK, Event::EntryTick(entry));
            }
            Event::AgentTick(i) => {
                let effects = self.upstreams[i].tick(self.now, &mut self.rng);
                self.affect(i, effects);
                self.after(AGENT_TICK, Event::AgentTick(i));
            }
            Event::Digest(entry) => self.digest(entry),
            Event::Feed(upstream) => self.feed(upstream),
            Event::Fault(fault) => self.fault(&fault),
            Event::EntryHears(entry) => {
                self.entries[entry].fleet_changed(self.now, &self.list, &self.catalog);
            }
            Event::AgentHears(upstream) => self.agent_hears(upstream),
        }
    }

    fn schedule_offer(&mut self, account: usize) {
        let per_s = self.setup.traffic[account].per_s;
        let u: f64 = self.rngs[account].random();
        let gap = Duration::from_secs_f64(-(1.0 - u).ln() / per_s);
        if self.now + gap < self.setup.end() {
            self.after(gap, Event::Offer(account));
        }
    }

    fn offer(&mut self, account: usize) {
        let (high, low) = self.setup.traffic[account].high_low;
        let rng = &mut self.rngs[account];
        let (point, caller) = (rng.random::<f64>(), rng.random_range(0..CALLERS));
        let priority = match point {
            p if p < high => Priority::High,
            p if p < high + low => Priority::Low,
            _ => Priority::Normal,
        };
        let (id, sent) = (self.flights.len(), self.now);
        let flight = Flight {
            account,
            priority,
            sent,
            caller,
            entry: 0,
            done: false,
        };
        self.flights.push(flight);
        self.send_to_entry(id);
        self.schedule_offer(account);
    }

    fn send_to_entry(&mut self, id: usize) {
        let entry = self.entry_for(id);
        self.flights[id].entry = entry;
        let wait = if self.dead.contains(&entry) {
            CONNECT_TIMEOUT
        } else {
            self.setup.one_way
        };
        self.after(wait, Event::AtEntry(entry, id));
    }

    fn entry_for(&mut self, id: usize) -> usize {
        if self.contender != Contender::Oriole {
            return self.rng.random_range(0..self.setup.entries);
        }
        let flight = &self.flights[id];
        let account = &self.setup.traffic[flight.account].account;
        let (list, catalog) = (&self.list, &self.catalog);
        let entry = self
            .callers
            .entry(self.now, list, catalog, account, flight.caller);
        self.entry_number[&entry]
    }

    fn at_entry(&mut self, entry: usize, id: usize) {
        if self.dead.contains(&entry) {
            self.go_elsewhere(id);
            return;
        }
        let flight = &self.flights[id];
        let traffic = &self.setup.traffic[flight.account];
        let pool = if traffic.ledgers { LEDGERS } else { MODELS };
        let req = Request {
            id,
            account: traffic.account.clone(),
            pool: pool.into(),
            idempotent: !traffic.ledgers,
            priority: flight.priority,
            deadline: flight.sent + self.setup.timeout,
            key: traffic.one_key.then_some(flight.account as u64),
            attempts: 0,
            tried: Vec::new(),
        };
        let actions = self.entries[entry].arrived(self.now, req);
        self.act(entry, actions);
    }

    /// A caller's entry is dead: it goes on to its next address.
    fn go_elsewhere(&mut self, id: usize) {
        let flight = &self.flights[id];
        let account = &self.setup.traffic[flight.account].account;
        self.callers
            .failed(account, flight.caller, &entry_name(flight.entry));
        self.send_to_entry(id);
    }

    fn act(&mut self, entry: usize, actions: Vec<Action>) {
        if self.dead.contains(&entry) {
            return;
        }
        for action in actions {
            match action {
                Action::Send(req, vm) => {
                    let i = self.number[&vm];
                    let attempt = Attempt { entry, req };
                    self.after(self.distance(entry, i), Event::AtAgent(i, attempt));
                }
                Action::Wake(req, after) => self.after(after, Event::Woken(entry, req)),
                Action::Refuse(req, reason) => self.end(&req, End::Refused(reason)),
                Action::Fail(req) => self.end(&req, End::Failed),
                Action::Answer(req) => self.end(&req, End::Completed),
            }
        }
    }

    fn affect(&mut self, upstream: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Started => {
                    let domain = self.setup.domain_of(upstream);
                    self.outcomes.started.push((self.now, domain));
                }
                Effect::Due(id, after) => self.after(after, Event::Due(upstream, id)),
                Effect::Refused(attempt, reason, retry_after) => {
                    let result = AttemptResult::Refused(reason, retry_after);
                    self.go_back(attempt, upstream, result, Duration::ZERO);
                }
                Effect::Ended(attempt, ok, took) => {
                    let result = if ok {
                        AttemptResult::Answered
                    } else {
                        AttemptResult::Failed
                    };
                    let drained = self.drained_at.get(&self.setup.domain_of(upstream));
                    let ran = drained.is_some_and(|at| self.now.saturating_sub(took) <= *at);
                    self.outcomes.cut += u64::from(ran && !ok);
                    self.go_back(attempt, upstream, result, took);
                }
            }
        }
    }

    fn go_back(
        &mut self,
        attempt: Attempt,
        upstream: usize,
        result: AttemptResult,
        took: Duration,
    ) {
        let load = self.upstreams[upstream].report(self.now);
        let wait = self.distance(attempt.entry, upstream);
        self.feeds[upstream].record_answer(self.now, &entry_name(attempt.entry));
        let back = Back {
            attempt,
            upstream,
            result,
            took: took + wait * 2,
            load,
        };
        self.after(wait, Event::AtEntryAgain(Box::new(back)));
    }

    fn at_entry_again(&mut self, back: Back) {
        let Back {
            attempt,
            upstream,
            result,
            took,
            load,
        } = back;
        let Attempt { entry, req } = attempt;
        let vm = upstream_name(upstream);
        let actions = self.entries[entry].ended(self.now, req, &vm, result, took, &load);
        self.act(entry, actions);
    }

    fn end(&mut self, req: &Request, end: End) {
        let at = self.now + self.setup.one_way;
        let late = end == End::Completed && at > req.deadline;
        let end = if late { End::Late } else { end };
        self.end_flight(req.id, at, req.attempts, end);
    }

    fn end_flight(&mut self, id: usize, at: Duration, attempts: u32, end: End) {
        let flight = &mut self.flights[id];
        if std::mem::replace(&mut flight.done, true) || flight.sent < self.setup.warm_up {
            return;
        }
        self.outcomes.ended.push(Ended {
            account: flight.account,
            priority: flight.priority,
            sent: flight.sent,
            at,
            attempts,
            accepted: attempts > 0,
            end,
        });
    }

    fn digest(&mut self, entry: usize) {
        if let Some(digest) = self.entries[entry].digest(self.now) {
            let name = entry_name(entry);
            for (i, peer) in self
                .entries
                .iter_mut()
                .enumerate()
                .filter(|(i, _)| *i != entry)
            {
                if !self.dead.contains(&i) {
                    peer.peer_digest(self.now, &name, &digest);
                }
            }
        }
        self.after(DIGEST_PERIOD, Event::Digest(entry));
    }

    /// An agent tells its load to the entries that got no answer lately.
    fn feed(&mut self, upstream: usize) {
        let (load, vm) = (
            self.upstreams[upstream].report(self.now),
            upstream_name(upstream),
        );
        for name in self.feeds[upstream].due(self.now, &load) {
            let entry = self.entry_number[&name];
            self.entries[entry].load_told(self.now, &vm, &load);
        }
        self.after(FEED_TICK, Event::Feed(upstream));
    }

    fn fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Failing(i, failing) => self.upstreams[*i].set_failing(*failing),
            Fault::TurnCold(i) => self.upstreams[*i].turn_cold(),
            Fault::EntryDies(i) => self.entry_dies(*i),
            Fault::Domain(domain, state) => self.set_domain(*domain, *state),
        }
    }

    /// Callers lose their connections; they send again elsewhere what may run twice.
    fn entry_dies(&mut self, entry: usize) {
        self.dead.insert(entry);
        self.callers.died(self.now, entry);
        let lost: Vec<usize> = (0..self.flights.len())
            .filter(|id| !self.flights[*id].done && self.flights[*id].entry == entry)
            .collect();
        for id in lost {
            if self.setup.traffic[self.flights[id].account].ledgers {
                self.end_flight(id, self.now + self.setup.one_way, 1, End::Failed);
            } else {
                self.go_elsewhere(id);
            }
        }
    }

    /// A change of the catalog reaches each process at a time of its own.
    fn set_domain(&mut self, domain: usize, state: ServiceState) {
        let region = String::new();
        self.catalog
            .domains
            .insert(domain_name(domain), FailureDomain { region, state });
        self.catalog.revision = self.catalog.revision.next();
        self.drained_at.remove(&domain);
        if state == ServiceState::Drained {
            self.drained_at.insert(domain, self.now);
        }
        for entry in 0..self.setup.entries {
            let delay = CATALOG_SPREAD.mul_f64(self.rng.random());
            self.after(delay, Event::EntryHears(entry));
        }
        for upstream in 0..self.upstreams.len() {
            let delay = CATALOG_SPREAD.mul_f64(self.rng.random());
            self.after(delay, Event::AgentHears(upstream));
        }
    }

    fn agent_hears(&mut self, upstream: usize) {
        let state = self
            .catalog
            .domain_state(&domain_name(self.setup.domain_of(upstream)));
        let effects = self.upstreams[upstream].set_state(self.now, state, &mut self.rng);
        self.affect(upstream, effects);
    }

    fn distance(&self, entry: usize, upstream: usize) -> Duration {
        let same = self.setup.domain_of(entry) == self.setup.domain_of(upstream);
        if same {
            self.setup.one_way / 10
        } else {
            self.setup.one_way
        }
    }

    fn after(&mut self, wait: Duration, event: Event) {
        self.order += 1;
        self.events
            .push(Reverse(Queued(self.now + wait, self.order, event)));
    }
}

impl PartialEq for Queued {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Queued {}

impl PartialOrd for Queued {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Queued {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
