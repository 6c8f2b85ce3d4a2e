//! The fleet in simulated time, which advances in steps of [`STEP_DURATION`].

use std::collections::{BTreeMap, HashMap, HashSet};
use std::sync::Arc;
use std::time::Duration;

use oriole_admission::poison::home_of_suspect;
use oriole_admission::prelude::*;
use oriole_types::prelude::*;
use rand::RngExt;
use rand_chacha::ChaCha12Rng;

const STEP_DURATION: Duration = Duration::from_millis(10);
const STEPS_PER_S: u64 = 100;
const RUN_STEPS: u64 = 20 * STEPS_PER_S;
/// Requests in flight per upstream, warm or cold: this experiment leaves out cold start.
const CONCURRENCY: u32 = 8;
/// Time from a crash until the upstream is back.
const RESTART_STEPS: u64 = STEPS_PER_S;
/// Time from the start of a poisonous request to the crash.
const CRASH_DELAY_STEPS: u64 = 3;
/// Time until a digest reaches a process.
const DIGEST_DELAY_STEPS: std::ops::Range<u64> = 5..150;
/// Time until a process knows that an upstream has left.
const VIEW_LAG_STEPS: std::ops::Range<u64> = 20..300;
/// Step at which each poison is first sent; it is repeated every [`RESEND_STEPS`].
const POISON_START_STEPS: [u64; 4] = [200, 480, 500, 900];
const RESEND_STEPS: u64 = 25;
const LEAVE_STEP: u64 = 490;
const LEAVING_UPSTREAMS: usize = 2;
const RETRY_STEPS: u64 = 10;
const DEADLINE_STEPS: u64 = 10 * STEPS_PER_S;
/// Last step at which new requests arrive; later ones could not finish within the run.
const LAST_ARRIVAL_STEP: u64 = RUN_STEPS - DEADLINE_STEPS / 2;
/// One in this many requests has a popular content.
const POPULAR_ONE_IN: u64 = 5;
const POPULAR_CONTENTS: u64 = 50;
/// Number of the first popular content; the numbers below are poisons.
const FIRST_POPULAR: u64 = 100;
/// Number of the first unique content.
const FIRST_UNIQUE: u64 = 1000;

/// Which parts of the protection against poison are active.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Policy {
    /// Suspects, quarantine and homes for unproven contents.
    Full,
    /// Suspects and quarantine; a content runs on any upstream until it is suspect.
    NoHomes,
    /// No protection.
    NoQuarantine,
}

impl Policy {
    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Full => "full",
            Self::NoHomes => "no_homes",
            Self::NoQuarantine => "no_quarantine",
        }
    }
}

/// Fleet size and load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Scenario {
    agents: usize,
    entries: usize,
    requests_per_s: u64,
    service_steps: u64,
    poisons: bool,
}

impl Scenario {
    /// Today's sizes without any poison.
    pub(super) const CALM: Self = Self {
        poisons: false,
        ..Self::TODAY
    };
    /// Today's sizes.
    pub(super) const TODAY: Self = Self {
        agents: 16,
        entries: 18,
        requests_per_s: 150,
        service_steps: STEPS_PER_S / 2,
        poisons: true,
    };
    /// The size that the system is designed for.
    pub(super) const LATER: Self = Self {
        agents: 820,
        entries: 340,
        requests_per_s: 1400,
        service_steps: 2 * STEPS_PER_S,
        poisons: true,
    };
}

/// Counts and times of a run; times are in steps.
#[derive(Debug, Default)]
pub(super) struct Tally {
    /// Steps of the crashes that each poison caused.
    crashes: BTreeMap<u64, Vec<u64>>,
    pub(super) innocents_quarantined: usize,
    offered: u64,
    latencies: Vec<u64>,
    /// Step of the crash that caused the quarantine of each poison.
    quarantined_at: BTreeMap<u64, u64>,
    /// Step from which every process refuses each poison.
    known_everywhere_at: BTreeMap<u64, u64>,
}

impl Tally {
    pub(super) fn worst_crashes(&self) -> u32 {
        self.crashes
            .values()
            .map(|c| c.len() as u32)
            .max()
            .unwrap_or(0)
    }

    pub(super) fn completed_share(&self) -> f64 {
        self.latencies.len() as f64 / self.offered.max(1) as f64
    }

    pub(super) fn p99_ms(&self) -> f64 {
        let mut sorted = self.latencies.clone();
        sorted.sort_unstable();
        let i = sorted.len() * 99 / 100;
        sorted.get(i).map_or(f64::NAN, |steps| {
            (STEP_DURATION * *steps as u32).as_millis() as f64
        })
    }

    /// Returns the longest time from the crash that caused a quarantine until all processes refuse
    /// the content; NaN if one never did.
    pub(super) fn worst_spread_s(&self) -> f64 {
        let spread =
            |(content, quarantined): (&u64, &u64)| match self.known_everywhere_at.get(content) {
                Some(known) => (known - quarantined) as f64 / STEPS_PER_S as f64,
                None => f64::NAN,
            };
        let all = self.quarantined_at.iter().map(spread);
        all.fold(
            0.0,
            |worst, s| if s.is_nan() || s > worst { s } else { worst },
        )
    }

    pub(super) fn crash_curve(&self) -> Vec<(f64, f64)> {
        let mut steps: Vec<_> = self.crashes.values().flatten().copied().collect();
        steps.sort_unstable();
        let point = |(n, step): (usize, u64)| (step as f64 / STEPS_PER_S as f64, n as f64 + 1.0);
        steps.into_iter().enumerate().map(point).collect()
    }
}

struct Agent {
    gate: Gate,
    work: HashMap<WorkId, Request>,
    /// Requests by the step at which they end.
    ends: BTreeMap<u64, Vec<WorkId>>,
    restarts_at: Option<u64>,
    /// Version of the poison ledger up to which changes were sent.
    sent_version: u64,
}

#[derive(Clone, Copy)]
struct Request {
    content: u64,
    entry: usize,
    sent_at: u64,
}

struct Entry {
    ledger: PoisonLedger,
    completed: HashSet<u64>,
    learns_leave_at: u64,
}

/// All processes and the simulated clock.
pub(super) struct Fleet {
    scenario: Scenario,
    policy: Policy,
    rng: ChaCha12Rng,
    step: u64,
    next_id: u64,
    next_unique: u64,
    names: Vec<VmName>,
    indices: HashMap<VmName, usize>,
    agents: Vec<Agent>,
    agent_learns_leave_at: Vec<u64>,
    entries: Vec<Entry>,
    retries: BTreeMap<u64, Vec<Request>>,
    digests_in_transit: BTreeMap<u64, Vec<(usize, Arc<PoisonDigest>)>>,
    tally: Tally,
}

fn digest(content: u64) -> Digest {
    Digest::of(&content.to_be_bytes())
}

fn is_poison(content: u64) -> bool {
    content < FIRST_POPULAR
}

impl Fleet {
    pub(super) fn new(scenario: Scenario, policy: Policy, mut rng: ChaCha12Rng) -> Self {
        let name = |n| VmName::new(&format!("upstream-{n}"));
        let names: Vec<_> = (0..scenario.agents).map(name).collect();
        let indices = names.iter().cloned().zip(0..).collect();
        let mut learn_step = |_| LEAVE_STEP + rng.random_range(VIEW_LAG_STEPS);
        let agent_learns_leave_at = (0..scenario.agents).map(&mut learn_step).collect();
        let entry = |learns_leave_at| Entry {
            ledger: PoisonLedger::default(),
            completed: HashSet::new(),
            learns_leave_at,
        };
        let entries = (0..scenario.entries)
            .map(&mut learn_step)
            .map(entry)
            .collect();
        Self {
            agents: names.iter().map(|vm| agent(vm, &names, policy)).collect(),
            scenario,
            policy,
            rng,
            step: 0,
            next_id: 0,
            next_unique: FIRST_UNIQUE,
            names,
            indices,
            agent_learns_leave_at,
            entries,
            retries: BTreeMap::new(),
            digests_in_transit: BTreeMap::new(),
            tally: Tally::default(),
        }
    }

    pub(super) fn run(mut self) -> Tally {
        while self.step < RUN_STEPS {
            self.step += 1;
            self.apply_departure();
            self.deliver_digests();
            self.arrivals();
            for request in self.retries.remove(&self.step).unwrap_or_default() {
                self.send(request);
            }
            (0..self.agents.len()).for_each(|i| self.step_agent(i));
            self.send_digests();
        }
        self.count_innocents_quarantined();
        self.tally
    }

    fn now(&self) -> Duration {
        STEP_DURATION * self.step as u32
    }

    fn apply_departure(&mut self) {
        if self.step == LEAVE_STEP {
            for i in 0..LEAVING_UPSTREAMS {
                let now = self.now();
                let actions = self.agents[i].gate.set_leaving(now);
                self.apply_actions(i, actions);
            }
        }
        for i in 0..self.agents.len() {
            if self.agent_learns_leave_at[i] == self.step {
                self.agents[i]
                    .gate
                    .set_pool(&self.names[LEAVING_UPSTREAMS..]);
            }
        }
    }

    fn arrivals(&mut self) {
        if self.step > LAST_ARRIVAL_STEP {
            return;
        }
        for (poison, first) in POISON_START_STEPS.iter().enumerate() {
            let since_start = self.step.checked_sub(*first);
            if self.scenario.poisons && since_start.is_some_and(|s| s.is_multiple_of(RESEND_STEPS))
            {
                (0..self.entries.len()).for_each(|entry| self.send_new(poison as u64, entry));
            }
        }
        let per_step = self.scenario.requests_per_s as f64 / STEPS_PER_S as f64;
        let extra = self.rng.random_bool(per_step.fract());
        for _ in 0..per_step as u64 + u64::from(extra) {
            let content = self.innocent_content();
            let entry = self.rng.random_range(0..self.entries.len());
            self.tally.offered += 1;
            self.send_new(content, entry);
        }
    }

    fn innocent_content(&mut self) -> u64 {
        if self.rng.random_range(0..POPULAR_ONE_IN) == 0 {
            return FIRST_POPULAR + self.rng.random_range(0..POPULAR_CONTENTS);
        }
        self.next_unique += 1;
        self.next_unique
    }

    fn send_new(&mut self, content: u64, entry: usize) {
        let sent_at = self.step;
        self.send(Request {
            content,
            entry,
            sent_at,
        });
    }

    fn send(&mut self, request: Request) {
        let Some(i) = self.pick(&request) else {
            return self.schedule_retry(request);
        };
        self.next_id += 1;
        let id = WorkId(self.next_id);
        let deadline = STEP_DURATION * (request.sent_at + DEADLINE_STEPS) as u32;
        let mut offer = Offer::new(id, digest(request.content), deadline);
        let completed = self.entries[request.entry]
            .completed
            .contains(&request.content);
        offer.proven = completed || self.policy == Policy::NoQuarantine;
        let now = self.now();
        let decision = self.agents[i].gate.offer(now, offer);
        if let Decision::Refuse(_) = decision {
            return self.schedule_retry(request);
        }
        self.agents[i].work.insert(id, request);
        if decision == Decision::Admit {
            self.start(i, id);
        }
    }

    /// Chooses the upstream for a request from the lagging view of its entry.
    fn pick(&mut self, request: &Request) -> Option<usize> {
        let entry = &self.entries[request.entry];
        let from = if entry.learns_leave_at <= self.step {
            LEAVING_UPSTREAMS
        } else {
            0
        };
        let pool = &self.names[from..];
        let content = digest(request.content);
        let mut two_random = || [(); 2].map(|()| self.rng.random_range(from..self.names.len()));
        let candidates = match entry.ledger.status(&content) {
            _ if self.policy == Policy::NoQuarantine => two_random(),
            ContentStatus::Quarantined => return None,
            ContentStatus::Suspect => [self.indices[home_of_suspect(&content, pool)?]; 2],
            ContentStatus::Unproven
                if self.policy == Policy::Full && !entry.completed.contains(&request.content) =>
            {
                let homes = homes(&content, pool);
                [self.indices[homes[0]], self.indices[*homes.last()?]]
            }
            _ => two_random(),
        };
        // Loads arrive with answers and are recent; leaving upstreams are chosen last.
        let load = |i: usize| {
            let load = self.agents[i].gate.load_report(self.now());
            (load.leaving, load.in_flight + load.queued)
        };
        candidates.into_iter().min_by_key(|i| load(*i))
    }

    fn schedule_retry(&mut self, request: Request) {
        // Poisons are resent on their own schedule, see `POISON_START_STEPS`.
        let late = self.step + RETRY_STEPS >= request.sent_at + DEADLINE_STEPS;
        if !is_poison(request.content) && !late {
            let retry_step = self.step + RETRY_STEPS;
            self.retries.entry(retry_step).or_default().push(request);
        }
    }

    fn start(&mut self, i: usize, id: WorkId) {
        let Some(request) = self.agents[i].work.get(&id) else {
            return;
        };
        let service = self.scenario.service_steps;
        let steps = if is_poison(request.content) {
            CRASH_DELAY_STEPS
        } else {
            self.rng.random_range(service / 2..service * 3 / 2)
        };
        self.agents[i]
            .ends
            .entry(self.step + steps)
            .or_default()
            .push(id);
    }

    fn step_agent(&mut self, i: usize) {
        let now = self.now();
        let agent = &mut self.agents[i];
        if agent.restarts_at.take_if(|up| *up <= self.step).is_some() {
            agent.gate.upstream_connected(now, 0);
        }
        let due = agent.ends.remove(&self.step).unwrap_or_default();
        for id in due {
            let Some(request) = self.agents[i].work.get(&id).copied() else {
                continue;
            };
            if is_poison(request.content) {
                self.crash(i, request.content);
                return;
            }
            self.complete(i, id, request);
        }
        if self.step.is_multiple_of(10) {
            let fresh = Confirmation::fresh("a".into());
            self.agents[i].gate.confirm_configuration(now, &fresh);
        }
        let actions = self.agents[i].gate.tick(now);
        self.apply_actions(i, actions);
    }

    fn complete(&mut self, i: usize, id: WorkId, request: Request) {
        let now = self.now();
        self.agents[i].work.remove(&id);
        let actions = self.agents[i].gate.finished(now, id, FinishKind::Complete);
        self.tally.latencies.push(self.step - request.sent_at);
        self.entries[request.entry]
            .completed
            .insert(request.content);
        self.apply_actions(i, actions);
    }

    fn crash(&mut self, i: usize, poison: u64) {
        self.tally
            .crashes
            .entry(poison)
            .or_default()
            .push(self.step);
        let now = self.now();
        let actions = self.agents[i].gate.upstream_lost(now);
        self.agents[i].restarts_at = Some(self.step + RESTART_STEPS);
        self.agents[i].ends.clear();
        self.apply_actions(i, actions);
        let status = self.agents[i].gate.poison().status(&digest(poison));
        if status == ContentStatus::Quarantined {
            self.tally.quarantined_at.entry(poison).or_insert(self.step);
        }
    }

    fn apply_actions(&mut self, i: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => self.start(i, id),
                Action::Refuse(id, _) | Action::Lost(id) => {
                    if let Some(request) = self.agents[i].work.remove(&id) {
                        self.schedule_retry(request);
                    }
                }
            }
        }
    }

    fn send_digests(&mut self) {
        let now = self.now();
        for i in 0..self.agents.len() {
            let agent = &mut self.agents[i];
            if agent.gate.poison().version() == agent.sent_version {
                continue;
            }
            let (digest, version) = agent.gate.poison().digest_since(now, agent.sent_version);
            agent.sent_version = version;
            let digest = Arc::new(digest);
            for to in 0..self.agents.len() + self.entries.len() {
                let arrival_step = self.step + self.rng.random_range(DIGEST_DELAY_STEPS);
                self.digests_in_transit
                    .entry(arrival_step)
                    .or_default()
                    .push((to, digest.clone()));
            }
        }
    }

    fn deliver_digests(&mut self) {
        let now = self.now();
        let due = self
            .digests_in_transit
            .remove(&self.step)
            .unwrap_or_default();
        let any_delivered = !due.is_empty();
        for (to, digest) in due {
            match to.checked_sub(self.agents.len()) {
                None => {
                    let agent = &mut self.agents[to];
                    let all_sent = agent.gate.poison().version() == agent.sent_version;
                    agent.gate.poison_mut().merge(now, &digest);
                    // A received digest reaches every process anyway; send only own changes.
                    if all_sent {
                        agent.sent_version = agent.gate.poison().version();
                    }
                }
                Some(entry) => {
                    self.entries[entry].ledger.merge(now, &digest);
                }
            }
        }
        if any_delivered {
            self.record_spread();
        }
    }

    fn record_spread(&mut self) {
        for poison in self.tally.quarantined_at.keys() {
            if self.tally.known_everywhere_at.contains_key(poison) {
                continue;
            }
            let content = digest(*poison);
            let refuses = |l: &PoisonLedger| l.status(&content) == ContentStatus::Quarantined;
            let agents = self.agents.iter().all(|a| refuses(a.gate.poison()));
            if agents && self.entries.iter().all(|e| refuses(&e.ledger)) {
                self.tally.known_everywhere_at.insert(*poison, self.step);
            }
        }
    }

    fn count_innocents_quarantined(&mut self) {
        let poisons: HashSet<_> = (0..POISON_START_STEPS.len() as u64).map(digest).collect();
        let ledgers = self.agents.iter().map(|a| a.gate.poison());
        let ledgers = ledgers.chain(self.entries.iter().map(|e| &e.ledger));
        let quarantined: HashSet<_> = ledgers.flat_map(PoisonLedger::quarantined).collect();
        self.tally.innocents_quarantined =
            quarantined.iter().filter(|d| !poisons.contains(d)).count();
    }
}

fn agent(vm: &VmName, names: &[VmName], policy: Policy) -> Agent {
    let cfg = GateConfig {
        vm: vm.clone(),
        cold_concurrency: CONCURRENCY,
        warm_concurrency: CONCURRENCY,
        enforces_homes: policy == Policy::Full,
        ..GateConfig::default()
    };
    let mut gate = Gate::new(cfg, Duration::ZERO);
    gate.set_pool(names);
    gate.set_service_state(Duration::ZERO, ServiceState::InService);
    gate.upstream_connected(Duration::ZERO, 0);
    gate.confirm_configuration(Duration::ZERO, &Confirmation::fresh("a".into()));
    Agent {
        gate,
        work: HashMap::new(),
        ends: BTreeMap::new(),
        restarts_at: None,
        sent_version: 0,
    }
}
