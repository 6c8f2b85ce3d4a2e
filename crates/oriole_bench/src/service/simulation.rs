//! The event loop of the simulation.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use oriole_membership::load_feed::{LoadFeed, MAX_LOAD_REPORT_INTERVAL};
use oriole_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::callers::{CALLERS_PER_ACCOUNT, Callers};
use super::candidate::{Action, AttemptResult, Candidate, Entry, Request};
use super::outcome::{End, FinishedRequest, Outcomes};
use super::setup::{Fault, LEDGERS, MODELS, Setup, domain_name, entry_name, upstream_name};
use super::upstream::{Attempt, Effect, Upstream};

/// Time between two ticks of an entry.
const ENTRY_TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Time between two ticks of an agent.
const AGENT_TICK_INTERVAL: Duration = Duration::from_millis(5);

/// Time between two checks of an agent which entries need a load report.
const LOAD_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time between two limit digests of an entry.
const DIGEST_INTERVAL: Duration = Duration::from_secs(1);

/// Time for which a caller waits for a crashed entry.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Longest time until a catalog change reaches a process.
const MAX_CATALOG_DELAY: Duration = Duration::from_secs(2);

/// Runs a setup with one of the candidates.
#[must_use]
pub fn run(setup: &Setup, candidate: Candidate) -> Outcomes {
    let mut simulation = Simulation::new(setup, candidate);
    simulation.run();
    simulation.outcomes
}

/// Events of the simulation; accounts, entries and upstreams are given by their index.
enum Event {
    /// The next request of an account is due.
    NextRequest(usize),
    /// A request (second number) reaches an entry (first number).
    RequestAtEntry(usize, usize),
    /// An attempt reaches the agent of an upstream.
    AttemptAtAgent(usize, Attempt),
    /// A delay that an upstream requested with [`Effect::CallAfter`] has passed.
    CallDue(usize, u64),
    /// The result of an attempt reaches its entry.
    ResultAtEntry(Box<ReturningAttempt>),
    /// The retry delay of a request at an entry has passed.
    RetryDue(usize, Request),
    EntryTick(usize),
    AgentTick(usize),
    SendDigest(usize),
    SendLoad(usize),
    Fault(Fault),
    EntryCatalogUpdate(usize),
    AgentCatalogUpdate(usize),
}

/// The result of an attempt on its way back to the entry.
struct ReturningAttempt {
    attempt: Attempt,
    upstream: usize,
    result: AttemptResult,
    took: Duration,
    load: LoadReport,
}

/// A request as its caller sees it.
struct PendingRequest {
    account: usize,
    priority: Priority,
    sent: Duration,
    caller: u64,
    entry: usize,
    done: bool,
}

/// Due time, sequence number and event; events of the same time run in order of their number.
struct ScheduledEvent(Duration, u64, Event);

struct Simulation<'a> {
    setup: &'a Setup,
    candidate: Candidate,
    list: VmList,
    catalog: Catalog,
    entries: Vec<Entry>,
    crashed: BTreeSet<usize>,
    upstreams: Vec<Box<dyn Upstream>>,
    feeds: Vec<LoadFeed>,
    upstream_index: BTreeMap<VmName, usize>,
    entry_index: BTreeMap<VmName, usize>,
    callers: Callers,
    events: BinaryHeap<Reverse<ScheduledEvent>>,
    requests: Vec<PendingRequest>,
    drained_at: BTreeMap<usize, Duration>,
    account_rngs: Vec<ChaCha8Rng>,
    rng: ChaCha8Rng,
    now: Duration,
    last_seq: u64,
    outcomes: Outcomes,
}

impl<'a> Simulation<'a> {
    fn new(setup: &'a Setup, candidate: Candidate) -> Self {
        let rng_stream = |n: u64| {
            let mut rng = ChaCha8Rng::seed_from_u64(setup.seed);
            rng.set_stream(n);
            rng
        };
        let (list, catalog) = (setup.vm_list(), setup.catalog());
        let entry = |i: usize| {
            let mut entry = Entry::new(candidate, setup, i, rng_stream(1000 + i as u64));
            entry.on_fleet_change(Duration::ZERO, &list, &catalog);
            entry
        };
        let entries: Vec<Entry> = (0..setup.entries).map(entry).collect();
        let names: Vec<VmName> = (0..setup.entries).map(entry_name).collect();
        let mut feed = LoadFeed::new(MAX_LOAD_REPORT_INTERVAL);
        feed.set_subscribers(names.iter());
        let gated = candidate == Candidate::Oriole;
        let all = setup.all_upstreams();
        let mut simulation = Self {
            candidate,
            entries,
            crashed: BTreeSet::new(),
            upstreams: (0..all).map(|i| setup.upstream(i, gated)).collect(),
            feeds: vec![feed; all],
            upstream_index: (0..all).map(|i| (upstream_name(i), i)).collect(),
            entry_index: (0..setup.entries).map(|i| (entry_name(i), i)).collect(),
            callers: Callers::default(),
            events: BinaryHeap::new(),
            requests: Vec::new(),
            drained_at: BTreeMap::new(),
            account_rngs: (0..setup.traffic.len())
                .map(|i| rng_stream(i as u64))
                .collect(),
            rng: rng_stream(999),
            now: Duration::ZERO,
            last_seq: 0,
            outcomes: Outcomes::default(),
            list,
            catalog,
            setup,
        };
        simulation.schedule_initial_events();
        simulation
    }

    fn schedule_initial_events(&mut self) {
        for account in 0..self.setup.traffic.len() {
            self.schedule_next_request(account);
        }
        for entry in 0..self.setup.entries {
            let offset = ENTRY_TICK_INTERVAL.mul_f64(entry as f64 / self.setup.entries as f64);
            self.schedule(offset, Event::EntryTick(entry));
            self.schedule(offset * 100, Event::SendDigest(entry));
        }
        for upstream in 0..self.upstreams.len() {
            self.schedule(AGENT_TICK_INTERVAL, Event::AgentTick(upstream));
            self.schedule(LOAD_CHECK_INTERVAL, Event::SendLoad(upstream));
        }
        for (at, fault) in &self.setup.faults {
            self.schedule(*at, Event::Fault(fault.clone()));
        }
        for t in &self.setup.traffic {
            let sharers = self.callers.sharers(&self.list, &self.catalog, &t.account);
            for entry in &mut self.entries {
                entry.set_account_sharers(self.now, &t.account, sharers);
            }
        }
    }

    fn run(&mut self) {
        let end = self.setup.end() + self.setup.timeout * 2;
        while let Some(Reverse(ScheduledEvent(at, _, event))) = self.events.pop() {
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
            Event::NextRequest(account) => self.start_request(account),
            Event::RequestAtEntry(entry, id) => self.on_request_at_entry(entry, id),
            Event::AttemptAtAgent(i, attempt) => {
                let effects = self.upstreams[i].on_attempt(self.now, attempt, &mut self.rng);
                self.apply_effects(i, effects);
            }
            Event::CallDue(i, id) => {
                let effects = self.upstreams[i].on_due(self.now, id, &mut self.rng);
                self.apply_effects(i, effects);
            }
            Event::ResultAtEntry(returning) => self.on_result_at_entry(*returning),
            Event::RetryDue(entry, req) => {
                let actions = self.entries[entry].on_retry_due(self.now, req);
                self.apply_actions(entry, actions);
            }
            Event::EntryTick(entry) => {
                let actions = self.entries[entry].tick(self.now);
                self.apply_actions(entry, actions);
                self.schedule(ENTRY_TICK_INTERVAL, Event::EntryTick(entry));
            }
            Event::AgentTick(i) => {
                let effects = self.upstreams[i].tick(self.now, &mut self.rng);
                self.apply_effects(i, effects);
                self.schedule(AGENT_TICK_INTERVAL, Event::AgentTick(i));
            }
            Event::SendDigest(entry) => self.send_digest(entry),
            Event::SendLoad(upstream) => self.send_load_report(upstream),
            Event::Fault(fault) => self.apply_fault(&fault),
            Event::EntryCatalogUpdate(entry) => {
                self.entries[entry].on_fleet_change(self.now, &self.list, &self.catalog);
            }
            Event::AgentCatalogUpdate(upstream) => self.update_agent_state(upstream),
        }
    }

    fn schedule_next_request(&mut self, account: usize) {
        let requests_per_s = self.setup.traffic[account].requests_per_s;
        let u: f64 = self.account_rngs[account].random();
        let gap = Duration::from_secs_f64(-(1.0 - u).ln() / requests_per_s);
        if self.now + gap < self.setup.end() {
            self.schedule(gap, Event::NextRequest(account));
        }
    }

    fn start_request(&mut self, account: usize) {
        let (high, low) = self.setup.traffic[account].high_low;
        let rng = &mut self.account_rngs[account];
        let (class_draw, caller) = (
            rng.random::<f64>(),
            rng.random_range(0..CALLERS_PER_ACCOUNT),
        );
        let priority = match class_draw {
            p if p < high => Priority::High,
            p if p < high + low => Priority::Low,
            _ => Priority::Normal,
        };
        let (id, sent) = (self.requests.len(), self.now);
        let request = PendingRequest {
            account,
            priority,
            sent,
            caller,
            entry: 0,
            done: false,
        };
        self.requests.push(request);
        self.send_to_entry(id);
        self.schedule_next_request(account);
    }

    fn send_to_entry(&mut self, id: usize) {
        let entry = self.entry_for(id);
        self.requests[id].entry = entry;
        let wait = if self.crashed.contains(&entry) {
            CONNECT_TIMEOUT
        } else {
            self.setup.one_way
        };
        self.schedule(wait, Event::RequestAtEntry(entry, id));
    }

    fn entry_for(&mut self, id: usize) -> usize {
        if self.candidate != Candidate::Oriole {
            return self.rng.random_range(0..self.setup.entries);
        }
        let request = &self.requests[id];
        let account = &self.setup.traffic[request.account].account;
        let (list, catalog) = (&self.list, &self.catalog);
        let entry = self
            .callers
            .entry(self.now, list, catalog, account, request.caller);
        self.entry_index[&entry]
    }

    fn on_request_at_entry(&mut self, entry: usize, id: usize) {
        if self.crashed.contains(&entry) {
            self.resend_to_next_entry(id);
            return;
        }
        let request = &self.requests[id];
        let traffic = &self.setup.traffic[request.account];
        let pool = if traffic.uses_ledgers {
            LEDGERS
        } else {
            MODELS
        };
        let req = Request {
            id,
            account: traffic.account.clone(),
            pool: pool.into(),
            idempotent: !traffic.uses_ledgers,
            priority: request.priority,
            deadline: request.sent + self.setup.timeout,
            key: traffic.one_key.then_some(request.account as u64),
            attempts: 0,
            tried: Vec::new(),
        };
        let actions = self.entries[entry].on_request(self.now, req);
        self.apply_actions(entry, actions);
    }

    /// Sends a request to the caller's next entry because its entry has crashed.
    fn resend_to_next_entry(&mut self, id: usize) {
        let request = &self.requests[id];
        let account = &self.setup.traffic[request.account].account;
        self.callers
            .on_connect_failure(account, request.caller, &entry_name(request.entry));
        self.send_to_entry(id);
    }

    fn apply_actions(&mut self, entry: usize, actions: Vec<Action>) {
        if self.crashed.contains(&entry) {
            return;
        }
        for action in actions {
            match action {
                Action::Send(req, vm) => {
                    let i = self.upstream_index[&vm];
                    let attempt = Attempt { entry, req };
                    self.schedule(
                        self.network_delay(entry, i),
                        Event::AttemptAtAgent(i, attempt),
                    );
                }
                Action::RetryAfter(req, after) => self.schedule(after, Event::RetryDue(entry, req)),
                Action::Refuse(req, reason) => self.finish(&req, End::Refused(reason)),
                Action::Fail(req) => self.finish(&req, End::Failed),
                Action::Answer(req) => self.finish(&req, End::Completed),
            }
        }
    }

    fn apply_effects(&mut self, upstream: usize, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Started => {
                    let domain = self.setup.domain_of(upstream);
                    self.outcomes.started.push((self.now, domain));
                }
                Effect::CallAfter(id, after) => self.schedule(after, Event::CallDue(upstream, id)),
                Effect::Refused(attempt, reason, retry_after) => {
                    let result = AttemptResult::Refused(reason, retry_after);
                    self.return_result(attempt, upstream, result, Duration::ZERO);
                }
                Effect::Ended(attempt, ok, took) => {
                    let result = if ok {
                        AttemptResult::Answered
                    } else {
                        AttemptResult::Failed
                    };
                    let drained = self.drained_at.get(&self.setup.domain_of(upstream));
                    let ran = drained.is_some_and(|at| self.now.saturating_sub(took) <= *at);
                    self.outcomes.cut_attempts += u64::from(ran && !ok);
                    self.return_result(attempt, upstream, result, took);
                }
            }
        }
    }

    fn return_result(
        &mut self,
        attempt: Attempt,
        upstream: usize,
        result: AttemptResult,
        took: Duration,
    ) {
        let load = self.upstreams[upstream].report(self.now);
        let wait = self.network_delay(attempt.entry, upstream);
        self.feeds[upstream].record_answer(self.now, &entry_name(attempt.entry));
        let returning = ReturningAttempt {
            attempt,
            upstream,
            result,
            took: took + wait * 2,
            load,
        };
        self.schedule(wait, Event::ResultAtEntry(Box::new(returning)));
    }

    fn on_result_at_entry(&mut self, returning: ReturningAttempt) {
        let ReturningAttempt {
            attempt,
            upstream,
            result,
            took,
            load,
        } = returning;
        let Attempt { entry, req } = attempt;
        let vm = upstream_name(upstream);
        let actions = self.entries[entry].on_attempt_ended(self.now, req, &vm, result, took, &load);
        self.apply_actions(entry, actions);
    }

    fn finish(&mut self, req: &Request, end: End) {
        let at = self.now + self.setup.one_way;
        let late = end == End::Completed && at > req.deadline;
        let end = if late { End::Late } else { end };
        self.finish_request(req.id, at, req.attempts, end);
    }

    fn finish_request(&mut self, id: usize, at: Duration, attempts: u32, end: End) {
        let request = &mut self.requests[id];
        if std::mem::replace(&mut request.done, true) || request.sent < self.setup.warm_up {
            return;
        }
        self.outcomes.finished.push(FinishedRequest {
            account: request.account,
            priority: request.priority,
            sent: request.sent,
            at,
            attempts,
            accepted: attempts > 0,
            end,
        });
    }

    fn send_digest(&mut self, entry: usize) {
        if let Some(digest) = self.entries[entry].limit_digest(self.now) {
            let name = entry_name(entry);
            for (i, peer) in self
                .entries
                .iter_mut()
                .enumerate()
                .filter(|(i, _)| *i != entry)
            {
                if !self.crashed.contains(&i) {
                    peer.on_peer_digest(self.now, &name, &digest);
                }
            }
        }
        self.schedule(DIGEST_INTERVAL, Event::SendDigest(entry));
    }

    /// Sends the load of an agent to the entries that had no answer from it lately.
    fn send_load_report(&mut self, upstream: usize) {
        let (load, vm) = (
            self.upstreams[upstream].report(self.now),
            upstream_name(upstream),
        );
        for name in self.feeds[upstream].due(self.now, &load) {
            let entry = self.entry_index[&name];
            self.entries[entry].on_load_report(self.now, &vm, &load);
        }
        self.schedule(LOAD_CHECK_INTERVAL, Event::SendLoad(upstream));
    }

    fn apply_fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Failing(i, failing) => self.upstreams[*i].set_failing(*failing),
            Fault::TurnCold(i) => self.upstreams[*i].turn_cold(),
            Fault::EntryCrash(i) => self.crash_entry(*i),
            Fault::Domain(domain, state) => self.set_domain(*domain, *state),
        }
    }

    /// Crashes an entry. Its callers lose their connections and resend idempotent requests
    /// elsewhere.
    fn crash_entry(&mut self, entry: usize) {
        self.crashed.insert(entry);
        self.callers.record_crash(self.now, entry);
        let lost: Vec<usize> = (0..self.requests.len())
            .filter(|id| !self.requests[*id].done && self.requests[*id].entry == entry)
            .collect();
        for id in lost {
            if self.setup.traffic[self.requests[id].account].uses_ledgers {
                self.finish_request(id, self.now + self.setup.one_way, 1, End::Failed);
            } else {
                self.resend_to_next_entry(id);
            }
        }
    }

    /// Changes the state of a failure domain; each process applies the change after a random delay.
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
            let delay = MAX_CATALOG_DELAY.mul_f64(self.rng.random());
            self.schedule(delay, Event::EntryCatalogUpdate(entry));
        }
        for upstream in 0..self.upstreams.len() {
            let delay = MAX_CATALOG_DELAY.mul_f64(self.rng.random());
            self.schedule(delay, Event::AgentCatalogUpdate(upstream));
        }
    }

    fn update_agent_state(&mut self, upstream: usize) {
        let state = self
            .catalog
            .domain_state(&domain_name(self.setup.domain_of(upstream)));
        let effects = self.upstreams[upstream].set_state(self.now, state, &mut self.rng);
        self.apply_effects(upstream, effects);
    }

    fn network_delay(&self, entry: usize, upstream: usize) -> Duration {
        let same = self.setup.domain_of(entry) == self.setup.domain_of(upstream);
        if same {
            self.setup.one_way / 10
        } else {
            self.setup.one_way
        }
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.last_seq += 1;
        self.events.push(Reverse(ScheduledEvent(
            self.now + wait,
            self.last_seq,
            event,
        )));
    }
}

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}
