//! The event loop.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::time::Duration;

use oriole_membership::load_feed::{LOAD_PERIOD, LoadFeed};
use oriole_routing::prelude::*;
use oriole_types::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

use super::contender::{Action, AttemptResult, Contender, Entry, Request};
use super::outcome::{End, Ended, Outcomes};
use super::setup::{Fault, Setup, domain_name, entry_name, upstream_name};
use super::upstream::{Admitted, Run, Upstream};

/// Time between two ticks of an entry.
const TICK: Duration = Duration::from_millis(10);

/// Time between two digests of an entry.
const DIGEST_PERIOD: Duration = Duration::from_secs(1);

/// Time between two looks of an agent at who is without news of its load.
const FEED_TICK: Duration = Duration::from_millis(100);

/// Callers of each account.
const CALLERS: u64 = 12;

/// Time for which an attempt waits for a dead process.
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
    Offer {
        account: usize,
    },
    AtEntry {
        entry: usize,
        id: usize,
    },
    AtAgent {
        entry: usize,
        req: Request,
        vm: VmName,
    },
    UpstreamDone {
        entry: usize,
        req: Request,
        vm: VmName,
        started: Duration,
        ok: bool,
    },
    AtEntryAgain {
        entry: usize,
        back: Back,
    },
    Woken {
        entry: usize,
        req: Request,
    },
    Tick {
        entry: usize,
    },
    Digest {
        entry: usize,
    },
    Feed {
        upstream: usize,
    },
    Fault(Fault),
    EntryHears {
        entry: usize,
    },
    AgentHears {
        upstream: usize,
    },
}

/// An attempt that ended, on its way back.
struct Back {
    req: Request,
    vm: VmName,
    result: AttemptResult,
    took: Duration,
    load: LoadReport,
}

/// An attempt that waits at an agent.
#[derive(Clone)]
struct Parked {
    entry: usize,
    req: Request,
    vm: VmName,
}

struct Flight {
    account: usize,
    priority: Priority,
    sent: Duration,
    caller: u64,
    tries: usize,
}

struct Queued(Duration, u64, Event);

struct World<'a> {
    setup: &'a Setup,
    contender: Contender,
    list: VmList,
    catalog: Catalog,
    entries: Vec<Entry>,
    dead: BTreeSet<usize>,
    upstreams: Vec<Upstream<Parked>>,
    feeds: Vec<LoadFeed>,
    number: BTreeMap<VmName, usize>,
    entry_number: BTreeMap<VmName, usize>,
    answers: EndpointAnswers,
    events: BinaryHeap<Reverse<Queued>>,
    flights: Vec<Flight>,
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
        let entry = |i: usize| Entry::new(contender, setup, i, stream(1000 + i as u64));
        let mut entries: Vec<Entry> = (0..setup.entries).map(entry).collect();
        for entry in &mut entries {
            entry.fleet_changed(Duration::ZERO, &list, &catalog);
        }
        let upstream = Upstream::new(setup.warm, setup.cold, setup.service, setup.sigma);
        let mut feed = LoadFeed::new(LOAD_PERIOD);
        let names: Vec<VmName> = (0..setup.entries).map(entry_name).collect();
        feed.set_subscribers(names.iter());
        let mut world = Self {
            contender,
            entries,
            dead: BTreeSet::new(),
            upstreams: (0..setup.upstreams).map(|_| upstream.clone()).collect(),
            feeds: vec![feed; setup.upstreams],
            number: (0..setup.upstreams)
                .map(|i| (upstream_name(i), i))
                .collect(),
            entry_number: (0..setup.entries).map(|i| (entry_name(i), i)).collect(),
            answers: EndpointAnswers::default(),
            events: BinaryHeap::new(),
            flights: Vec::new(),
            rngs: (0..setup.traffic.len()).map(|i| stream(i as u64)).collect(),
            rng: stream(999),
            now: Duration::ZERO,
            order: 0,
            outcomes: Outcomes::default(),
            list,
            catalog,
            setup,
        };
        world.outcomes.last_new_work = vec![Duration::ZERO; setup.domains];
        world.schedule_all();
        world
    }

    fn schedule_all(&mut self) {
        for account in 0..self.setup.traffic.len() {
            self.schedule_offer(account);
        }
        for entry in 0..self.setup.entries {
            let offset = TICK.mul_f64(entry as f64 / self.setup.entries as f64);
            self.after(offset, Event::Tick { entry });
            self.after(offset * 100, Event::Digest { entry });
        }
        for upstream in 0..self.setup.upstreams {
            self.after(FEED_TICK, Event::Feed { upstream });
        }
        for (at, fault) in &self.setup.faults {
            self.after(*at, Event::Fault(fault.clone()));
        }
        self.set_holders();
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
        self.outcomes.cold_overload = self.upstreams.iter().map(|u| u.cold_overload).sum();
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Offer { account } => self.offer(account),
            Event::AtEntry { entry, id } => self.at_entry(entry, id),
            Event::AtAgent { entry, req, vm } => self.at_agent(entry, req, vm),
            Event::UpstreamDone {
                entry,
                req,
                vm,
                started,
                ok,
            } => {
                self.upstream_done(entry, req, vm, started, ok);
            }
            Event::AtEntryAgain { entry, back } => self.at_entry_again(entry, back),
            Event::Woken { entry, req } => {
                let actions = self.entries[entry].woken(self.now, req);
                self.act(entry, actions);
            }
            Event::Tick { entry } => {
                let actions = self.entries[entry].tick(self.now);
                self.act(entry, actions);
                self.after(TICK, Event::Tick { entry });
            }
            Event::Digest { entry } => self.digest(entry),
            Event::Feed { upstream } => self.feed(upstream),
            Event::Fault(fault) => self.fault(&fault),
            Event::EntryHears { entry } => {
                self.entries[entry].fleet_changed(self.now, &self.list, &self.catalog);
            }
            Event::AgentHears { upstream } => self.agent_hears(upstream),
        }
    }

    fn schedule_offer(&mut self, account: usize) {
        let per_s = self.setup.traffic[account].per_s;
        let u: f64 = self.rngs[account].random();
        let gap = Duration::from_secs_f64(-(1.0 - u).ln() / per_s);
        if self.now + gap < self.setup.end() {
            self.after(gap, Event::Offer { account });
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
        let id = self.flights.len();
        self.flights.push(Flight {
            account,
            priority,
            sent: self.now,
            caller,
            tries: 0,
        });
        self.send_to_entry(id);
        self.schedule_offer(account);
    }

    /// A caller sends to the next address of its answer.
    fn send_to_entry(&mut self, id: usize) {
        let entry = self.entry_for(id);
        let flight = &mut self.flights[id];
        flight.tries += 1;
        let wait = if self.dead.contains(&entry) {
            CONNECT_TIMEOUT
        } else {
            self.setup.one_way
        };
        self.after(wait, Event::AtEntry { entry, id });
    }

    fn entry_for(&mut self, id: usize) -> usize {
        let flight = &self.flights[id];
        if self.contender != Contender::Oriole {
            return self.rng.random_range(0..self.setup.entries);
        }
        let away = self.dead.iter().map(|i| entry_name(*i)).collect();
        let (room, caller) = (BTreeMap::new(), flight.caller);
        let view = AnswerView {
            list: &self.list,
            catalog: &self.catalog,
            away: &away,
            room: &room,
        };
        let account = &self.setup.traffic[flight.account].account;
        let answer = self.answers.answer(&view, account, caller);
        let endpoint = &answer.endpoints[flight.tries % answer.endpoints.len()];
        self.entry_number[&endpoint.vm]
    }

    fn at_entry(&mut self, entry: usize, id: usize) {
        if self.dead.contains(&entry) {
            self.send_to_entry(id);
            return;
        }
        let flight = &self.flights[id];
        let traffic = &self.setup.traffic[flight.account];
        let req = Request {
            id,
            account: traffic.account.clone(),
            priority: flight.priority,
            deadline: flight.sent + self.setup.timeout,
            key: traffic.one_key.then_some(flight.account as u64),
            attempts: 0,
            tried: Vec::new(),
        };
        let actions = self.entries[entry].arrived(self.now, req);
        self.act(entry, actions);
    }

    fn act(&mut self, entry: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Send(req, vm) => {
                    let wait = self.distance(entry, self.number[&vm]);
                    self.after(wait, Event::AtAgent { entry, req, vm });
                }
                Action::Wake(req, after) => self.after(after, Event::Woken { entry, req }),
                Action::Refuse(req, reason) => self.end(&req, End::Refused(reason)),
                Action::Fail(req) => self.end(&req, End::Failed),
                Action::Answer(req) => self.end(&req, End::Completed),
            }
        }
    }

    fn at_agent(&mut self, entry: usize, req: Request, vm: VmName) {
        let i = self.number[&vm];
        let wait = self.distance(entry, i);
        let parked = Parked {
            entry,
            req: req.clone(),
            vm: vm.clone(),
        };
        let upstream = &mut self.upstreams[i];
        match upstream.admit(req.priority, req.deadline, &mut self.rng, || parked) {
            Admitted::Runs(run) => self.runs(Parked { entry, req, vm }, run),
            Admitted::Waits => {}
            Admitted::Refused(reason) => {
                let load = self.upstreams[i].report();
                let result = AttemptResult::Refused(reason);
                let back = Back {
                    req,
                    vm,
                    result,
                    took: wait * 2,
                    load,
                };
                self.after(wait, Event::AtEntryAgain { entry, back });
            }
        }
    }

    fn runs(&mut self, parked: Parked, run: Run) {
        let Parked { entry, req, vm } = parked;
        let (i, started) = (self.number[&vm], self.now);
        self.outcomes.last_new_work[self.setup.domain_of(i)] = started;
        self.after(
            run.took,
            Event::UpstreamDone {
                entry,
                req,
                vm,
                started,
                ok: run.ok,
            },
        );
    }

    fn upstream_done(&mut self, entry: usize, req: Request, vm: VmName, at: Duration, ok: bool) {
        let i = self.number[&vm];
        let took = self.now.saturating_sub(at);
        self.upstreams[i].ended(took, ok);
        while let Some((parked, run)) = self.upstreams[i].next(&mut self.rng) {
            self.runs(parked, run);
        }
        let result = if ok {
            AttemptResult::Answered
        } else {
            AttemptResult::Failed
        };
        let load = self.upstreams[i].report();
        let wait = self.distance(entry, i);
        self.feeds[i].answered(self.now, &entry_name(entry));
        let back = Back {
            req,
            vm,
            result,
            took: took + wait * 2,
            load,
        };
        self.after(wait, Event::AtEntryAgain { entry, back });
    }

    fn at_entry_again(&mut self, entry: usize, back: Back) {
        let Back {
            req,
            vm,
            result,
            took,
            load,
        } = back;
        if self.dead.contains(&entry) {
            return;
        }
        let actions = self.entries[entry].ended(self.now, req, &vm, result, took, &load);
        self.act(entry, actions);
    }

    fn end(&mut self, req: &Request, end: End) {
        let flight = &self.flights[req.id];
        let at = self.now + self.setup.one_way;
        let late = end == End::Completed && at > req.deadline;
        let end = if late { End::Late } else { end };
        let ended = Ended {
            account: flight.account,
            priority: flight.priority,
            sent: flight.sent,
            at,
            attempts: req.attempts,
            accepted: req.attempts > 0,
            end,
        };
        if flight.sent >= self.setup.warm_up {
            self.outcomes.ended.push(ended);
        }
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
        self.after(DIGEST_PERIOD, Event::Digest { entry });
    }

    /// An agent tells its load to the entries that got no answer lately.
    fn feed(&mut self, upstream: usize) {
        let (load, vm) = (self.upstreams[upstream].report(), upstream_name(upstream));
        for name in self.feeds[upstream].due(self.now, &load) {
            let entry = self.entry_number[&name];
            self.entries[entry].load_told(self.now, &vm, &load);
        }
        self.after(FEED_TICK, Event::Feed { upstream });
    }

    fn fault(&mut self, fault: &Fault) {
        match fault {
            Fault::Failing(i, failing) => self.upstreams[*i].failing = *failing,
            Fault::TurnCold(i) => self.upstreams[*i].turn_cold(),
            Fault::EntryDies(i) => drop(self.dead.insert(*i)),
            Fault::Domain(domain, state) => self.set_domain(*domain, *state),
        }
    }

    /// A change of the catalog reaches each process at a time of its own.
    fn set_domain(&mut self, domain: usize, state: ServiceState) {
        let region = String::new();
        self.catalog
            .domains
            .insert(domain_name(domain), FailureDomain { region, state });
        self.catalog.revision = self.catalog.revision.next();
        for entry in 0..self.setup.entries {
            let delay = CATALOG_SPREAD.mul_f64(self.rng.random());
            self.after(delay, Event::EntryHears { entry });
        }
        for upstream in 0..self.setup.upstreams {
            let delay = CATALOG_SPREAD.mul_f64(self.rng.random());
            self.after(delay, Event::AgentHears { upstream });
        }
    }

    fn agent_hears(&mut self, upstream: usize) {
        let domain = domain_name(self.setup.domain_of(upstream));
        let drained = self.catalog.domain_state(&domain) == ServiceState::Drained;
        let u = &mut self.upstreams[upstream];
        if u.drained && !drained {
            u.turn_cold();
        }
        u.drained = drained;
    }

    fn set_holders(&mut self) {
        let (away, room) = (BTreeSet::new(), BTreeMap::new());
        let view = AnswerView {
            list: &self.list,
            catalog: &self.catalog,
            away: &away,
            room: &room,
        };
        for t in &self.setup.traffic {
            let holders = self.answers.subset(&view, &t.account).len();
            for entry in &mut self.entries {
                entry.set_holders(self.now, &t.account, holders);
            }
        }
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
