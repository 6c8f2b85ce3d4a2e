//! Model of a small fleet of agents and entries whose messages are delayed. It checks that crashes
//! are bounded and that harmless content is not quarantined.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use oriole_admission::poison::home_of_suspect;
use oriole_admission::prelude::*;
use oriole_types::prelude::*;

use super::describe_decision;

pub const AGENTS: usize = 4;
pub const ENTRIES: usize = 3;
pub const CONTENTS: u64 = 7;
/// Contents below this number crash upstreams.
pub const POISONOUS: u64 = 2;
pub const STEP: Duration = Duration::from_millis(10);
pub const RESTART_STEPS: u64 = 4;
/// Maximum number of upstreams that one content may crash.
pub const MAX_CRASHES: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Variant {
    Correct,
    /// Content runs at any upstream.
    IgnoresHomes,
    /// All contents that ran when an upstream crashed are recorded as having run alone.
    BlamesBystanders,
    /// Entries mark each content as proven.
    MarksAllProven,
}

#[derive(Clone, Debug)]
struct Agent {
    gate: Gate,
    /// Content and end step of all work, running or waiting.
    running: BTreeMap<WorkId, (u64, u64)>,
    /// Step at which the crashed upstream is back.
    restarts_at: Option<u64>,
}

pub struct Fleet {
    variant: Variant,
    step: u64,
    next_id: u64,
    names: Vec<VmName>,
    agents: Vec<Agent>,
    entries: Vec<PoisonLedger>,
    /// Messages on the way: step of arrival, receiver (agents first) and content.
    messages: VecDeque<(u64, usize, PoisonDigest)>,
    /// Version of each agent's ledger that it last sent.
    sent_versions: Vec<u64>,
    crashes: BTreeMap<u64, u32>,
    completed: BTreeSet<u64>,
    has_failed: bool,
    pub log: Option<Vec<String>>,
}

fn describe_content(content: u64) -> String {
    let kind = if content < POISONOUS {
        "poison"
    } else {
        "innocent"
    };
    format!("{kind} {content}")
}

fn digest(content: u64) -> Digest {
    Digest::of(&content.to_be_bytes())
}

impl Fleet {
    pub fn new(variant: Variant) -> Self {
        let names: Vec<_> = (0..AGENTS)
            .map(|n| VmName::new(&format!("vm-{n}")))
            .collect();
        Self {
            variant,
            step: 0,
            next_id: 0,
            agents: names.iter().map(|vm| agent(vm, &names, variant)).collect(),
            names,
            entries: vec![PoisonLedger::default(); ENTRIES],
            messages: VecDeque::new(),
            sent_versions: vec![0; AGENTS],
            crashes: BTreeMap::new(),
            completed: BTreeSet::new(),
            has_failed: false,
            log: None,
        }
    }

    fn now(&self) -> Duration {
        STEP * self.step as u32
    }

    pub fn send(&mut self, entry: usize, content: u64, pick: usize) {
        let d = digest(content);
        let to = match self.entries[entry].status(&d) {
            ContentStatus::Quarantined => {
                self.log_line(|| format!("entry {entry} refuses {}", describe_content(content)));
                return;
            }
            ContentStatus::Suspect => home_of_suspect(&d, &self.names).cloned(),
            _ if self.variant != Variant::IgnoresHomes => {
                let homes = homes(&d, &self.names);
                Some(homes[pick % homes.len()].clone())
            }
            _ => Some(self.names[pick % AGENTS].clone()),
        };
        let Some(at) = self.names.iter().position(|n| Some(n) == to.as_ref()) else {
            return;
        };
        self.next_id += 1;
        let id = WorkId(self.next_id);
        let mut offer = Offer::new(id, d, self.now() + Duration::from_secs(1));
        offer.proven = self.variant == Variant::MarksAllProven || self.completed.contains(&content);
        self.agents[at].running.insert(id, (content, u64::MAX));
        let decision = self.agents[at].gate.offer(STEP * self.step as u32, offer);
        self.log_line(|| {
            format!(
                "entry {entry} sends {} to vm-{at}: {}",
                describe_content(content),
                describe_decision(decision)
            )
        });
        match decision {
            Decision::Admit => self.start(at, id),
            Decision::Queue => {}
            Decision::Refuse(_) => {
                self.agents[at].running.remove(&id);
            }
        }
    }

    fn start(&mut self, at: usize, id: WorkId) {
        let end = self.step + 2 + id.0 % 4;
        if let Some(work) = self.agents[at].running.get_mut(&id) {
            work.1 = end;
        }
    }

    pub fn advance(&mut self, steps: u64) {
        for _ in 0..steps {
            self.step += 1;
            self.exchange_messages();
            (0..AGENTS).for_each(|at| self.step_agent(at));
        }
    }

    fn step_agent(&mut self, at: usize) {
        let now = self.now();
        if self.agents[at]
            .restarts_at
            .take_if(|at| *at <= self.step)
            .is_some()
        {
            self.agents[at].gate.upstream_connected(now, 0);
        }
        self.agents[at]
            .gate
            .confirm_configuration(now, &Confirmation::fresh("a".into()));
        let due: Vec<_> = self.agents[at]
            .running
            .iter()
            .filter(|(_, (_, end))| *end <= self.step)
            .map(|(id, (content, _))| (*id, *content))
            .collect();
        for (id, content) in due {
            if content < POISONOUS {
                self.crash(at, Some(content));
                return;
            }
            self.log_line(|| format!("vm-{at} completes {}", describe_content(content)));
            self.agents[at].running.remove(&id);
            self.completed.insert(content);
            self.entries[0].record_completion(&digest(content), false);
            let actions = self.agents[at].gate.finished(now, id, FinishKind::Complete);
            self.apply_actions(at, actions);
        }
        let actions = self.agents[at].gate.tick(now);
        self.apply_actions(at, actions);
    }

    fn crash(&mut self, at: usize, cause: Option<u64>) {
        if self.agents[at].restarts_at.is_some() {
            return;
        }
        self.log_line(|| format!("vm-{at} crashes"));
        if let Some(content) = cause {
            *self.crashes.entry(content).or_default() += 1;
        }
        let now = self.now();
        let running: BTreeSet<_> = self.agents[at]
            .running
            .values()
            .map(|w| digest(w.0))
            .collect();
        let actions = self.agents[at].gate.upstream_lost(now);
        if self.variant == Variant::BlamesBystanders {
            let id = oriole_admission::poison::CrashId {
                vm: self.names[at].clone(),
                number: u64::MAX - self.step,
            };
            self.agents[at]
                .gate
                .poison_mut()
                .record_crash(now, &id, &running, true);
        }
        self.agents[at].restarts_at = Some(self.step + RESTART_STEPS);
        self.apply_actions(at, actions);
        self.agents[at].running.clear();
    }

    /// Lets an upstream fail for its own reasons, at most once per case. It does not fail while a
    /// suspect runs alone: that looks like a crash by the suspect, which only an operator's release
    /// can undo.
    pub fn fail(&mut self, at: usize) {
        if !self.runs_suspect(at) && !std::mem::replace(&mut self.has_failed, true) {
            self.crash(at, None);
        }
    }

    fn runs_suspect(&self, at: usize) -> bool {
        let ledger = self.agents[at].gate.poison();
        let mut running = self.agents[at].running.values();
        running.any(|(c, _)| ledger.status(&digest(*c)) == ContentStatus::Suspect)
    }

    fn log_line(&mut self, line: impl FnOnce() -> String) {
        let now = self.now().as_millis();
        if let Some(log) = &mut self.log {
            log.push(format!("{now:>6} {}", line()));
        }
    }

    fn apply_actions(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => {
                    let content = self.agents[at].running[&id].0;
                    self.log_line(|| format!("vm-{at} starts {}", describe_content(content)));
                    self.start(at, id);
                }
                Action::Refuse(id, _) | Action::Lost(id) => {
                    let work = self.agents[at].running.remove(&id);
                    let content = work.map_or(0, |w| w.0);
                    let lost = matches!(action, Action::Lost(_));
                    let end = if lost { "loses" } else { "refuses" };
                    self.log_line(|| format!("vm-{at} {end} {}", describe_content(content)));
                }
            }
        }
    }

    /// Sends each agent's changes to all agents and entries; a message takes 1 to 12 steps.
    fn exchange_messages(&mut self) {
        let now = self.now();
        for at in 0..AGENTS {
            let ledger = self.agents[at].gate.poison();
            let (digest, version) = ledger.digest_since(now, self.sent_versions[at]);
            if version == self.sent_versions[at] {
                continue;
            }
            self.sent_versions[at] = version;
            for to in 0..AGENTS + ENTRIES {
                let delay = 1 + (self.step * 7 + to as u64 * 5 + at as u64 * 3) % 12;
                self.messages
                    .push_back((self.step + delay, to, digest.clone()));
            }
        }
        let step = self.step;
        let due: Vec<_> = self.messages.take_due(step);
        for (to, digest) in due {
            match to.checked_sub(AGENTS) {
                None => self.agents[to].gate.poison_mut().merge(now, &digest),
                Some(entry) => self.entries[entry].merge(now, &digest),
            };
        }
    }

    pub fn check(&self) {
        let most = self.crashes.values().max().copied().unwrap_or(0);
        assert!(
            most <= MAX_CRASHES,
            "poisonous content crashed {most} upstreams"
        );
        let ledgers = self.agents.iter().map(|a| a.gate.poison());
        for ledger in ledgers.chain(&self.entries) {
            let harmless = (POISONOUS..CONTENTS).map(digest);
            let is_quarantined = |d: &Digest| ledger.status(d) == ContentStatus::Quarantined;
            assert!(
                !harmless.clone().any(|d| is_quarantined(&d)),
                "harmless content is quarantined"
            );
        }
    }

    /// Checks that each harmless content completes again once all messages have arrived.
    pub fn finish(mut self) {
        self.advance(40);
        self.check();
        for content in POISONOUS..CONTENTS {
            self.completed.remove(&content);
            for _ in 0..200 {
                if self.completed.contains(&content) {
                    break;
                }
                self.send(0, content, 0);
                self.advance(4);
            }
            assert!(
                self.completed.contains(&content),
                "harmless content never completes"
            );
        }
        self.check();
    }
}

trait TakeDue {
    /// Removes the messages that arrive by this step.
    fn take_due(&mut self, step: u64) -> Vec<(usize, PoisonDigest)>;
}

impl TakeDue for VecDeque<(u64, usize, PoisonDigest)> {
    fn take_due(&mut self, step: u64) -> Vec<(usize, PoisonDigest)> {
        let (due, later) = self
            .drain(..)
            .partition::<Vec<_>, _>(|(at, _, _)| *at <= step);
        self.extend(later);
        due.into_iter()
            .map(|(_, to, digest)| (to, digest))
            .collect()
    }
}

fn agent(vm: &VmName, names: &[VmName], variant: Variant) -> Agent {
    let cfg = GateConfig {
        vm: vm.clone(),
        cold_concurrency: 6,
        warm_concurrency: 6,
        enforces_homes: variant != Variant::IgnoresHomes,
        ..GateConfig::default()
    };
    let mut gate = Gate::new(cfg, Duration::ZERO);
    gate.set_pool(names);
    gate.set_service_state(Duration::ZERO, ServiceState::InService);
    gate.upstream_connected(Duration::ZERO, 0);
    gate.confirm_configuration(Duration::ZERO, &Confirmation::fresh("a".into()));
    Agent {
        gate,
        running: BTreeMap::new(),
        restarts_at: None,
    }
}
