//! A small fleet of agents and entries with lagging news, and an oracle of crashes and innocence.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use oriole_admission::poison::home_of_suspect;
use oriole_admission::prelude::*;
use oriole_types::prelude::*;

use super::show;

pub const AGENTS: usize = 4;
pub const ENTRIES: usize = 3;
pub const CONTENTS: u64 = 7;
/// Contents below this number crash upstreams.
pub const POISONS: u64 = 2;
pub const STEP: Duration = Duration::from_millis(10);
pub const RESTART_STEPS: u64 = 4;
pub const CRASHES_AT_MOST: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Variant {
    Sound,
    /// Content runs anywhere.
    IgnoresHomes,
    /// Whoever was there when an upstream crashed is taken as having run alone.
    BlamesNeighbours,
    /// Entries call each content harmless.
    TrustsAll,
}

#[derive(Clone, Debug)]
struct Agent {
    gate: Gate,
    /// Content and end of each running work.
    running: BTreeMap<WorkId, (u64, u64)>,
    up_at: Option<u64>,
}

pub struct Fleet {
    variant: Variant,
    step: u64,
    next_id: u64,
    names: Vec<VmName>,
    agents: Vec<Agent>,
    entries: Vec<PoisonLedger>,
    /// Messages by arrival: receiver (agents first) and what it says.
    news: VecDeque<(u64, usize, PoisonDigest)>,
    sent: Vec<u64>,
    crashes: BTreeMap<u64, u32>,
    completed: BTreeSet<u64>,
    failed_once: bool,
    pub log: Option<Vec<String>>,
}

fn name(content: u64) -> String {
    let kind = if content < POISONS {
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
            news: VecDeque::new(),
            sent: vec![0; AGENTS],
            crashes: BTreeMap::new(),
            completed: BTreeSet::new(),
            failed_once: false,
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
                self.note(|| format!("entry {entry} refuses {}", name(content)));
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
        offer.proven = self.variant == Variant::TrustsAll || self.completed.contains(&content);
        self.agents[at].running.insert(id, (content, u64::MAX));
        let decision = self.agents[at].gate.offer(STEP * self.step as u32, offer);
        self.note(|| {
            format!(
                "entry {entry} sends {} to vm-{at}: {}",
                name(content),
                show(decision)
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
            self.spread();
            (0..AGENTS).for_each(|at| self.step_agent(at));
        }
    }

    fn step_agent(&mut self, at: usize) {
        let now = self.now();
        if self.agents[at]
            .up_at
            .take_if(|up| *up <= self.step)
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
            if content < POISONS {
                self.crash(at, Some(content));
                return;
            }
            self.note(|| format!("vm-{at} completes {}", name(content)));
            self.agents[at].running.remove(&id);
            self.completed.insert(content);
            self.entries[0].record_completion(&digest(content), false);
            let actions = self.agents[at].gate.finished(now, id, FinishKind::Complete);
            self.act(at, actions);
        }
        let actions = self.agents[at].gate.tick(now);
        self.act(at, actions);
    }

    fn crash(&mut self, at: usize, by: Option<u64>) {
        if self.agents[at].up_at.is_some() {
            return;
        }
        self.note(|| format!("vm-{at} crashes"));
        if let Some(content) = by {
            *self.crashes.entry(content).or_default() += 1;
        }
        let now = self.now();
        let ran: BTreeSet<_> = self.agents[at]
            .running
            .values()
            .map(|w| digest(w.0))
            .collect();
        let actions = self.agents[at].gate.upstream_lost(now);
        if self.variant == Variant::BlamesNeighbours {
            let id = oriole_admission::poison::CrashId {
                vm: self.names[at].clone(),
                number: u64::MAX - self.step,
            };
            self.agents[at]
                .gate
                .poison_mut()
                .record_crash(now, &id, &ran, true);
        }
        self.agents[at].up_at = Some(self.step + RESTART_STEPS);
        self.act(at, actions);
        self.agents[at].running.clear();
    }

    /// An upstream fails of its own accord, at most once a case. Just while a suspect runs alone
    /// that cannot be told from its guilt; that is what operators' releases are for.
    pub fn fail(&mut self, at: usize) {
        if !self.runs_suspect(at) && !std::mem::replace(&mut self.failed_once, true) {
            self.crash(at, None);
        }
    }

    fn runs_suspect(&self, at: usize) -> bool {
        let ledger = self.agents[at].gate.poison();
        let mut running = self.agents[at].running.values();
        running.any(|(c, _)| ledger.status(&digest(*c)) == ContentStatus::Suspect)
    }

    fn note(&mut self, line: impl FnOnce() -> String) {
        let now = self.now().as_millis();
        if let Some(log) = &mut self.log {
            log.push(format!("{now:>6} {}", line()));
        }
    }

    fn act(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => {
                    let content = self.agents[at].running[&id].0;
                    self.note(|| format!("vm-{at} starts {}", name(content)));
                    self.start(at, id);
                }
                Action::Refuse(id, _) | Action::Lost(id) => {
                    let work = self.agents[at].running.remove(&id);
                    let content = work.map_or(0, |w| w.0);
                    let lost = matches!(action, Action::Lost(_));
                    let end = if lost { "loses" } else { "refuses" };
                    self.note(|| format!("vm-{at} {end} {}", name(content)));
                }
            }
        }
    }

    /// Each agent tells all others and all entries what changed; news take 1 to 12 steps.
    fn spread(&mut self) {
        let now = self.now();
        for at in 0..AGENTS {
            let ledger = self.agents[at].gate.poison();
            let (digest, version) = ledger.digest_since(now, self.sent[at]);
            if version == self.sent[at] {
                continue;
            }
            self.sent[at] = version;
            for to in 0..AGENTS + ENTRIES {
                let delay = 1 + (self.step * 7 + to as u64 * 5 + at as u64 * 3) % 12;
                self.news.push_back((self.step + delay, to, digest.clone()));
            }
        }
        let step = self.step;
        let due: Vec<_> = self.news.extract_if_due(step);
        for (to, digest) in due {
            match to.checked_sub(AGENTS) {
                None => self.agents[to].gate.poison_mut().merge(now, &digest),
                Some(entry) => self.entries[entry].merge(now, &digest),
            };
        }
    }

    pub fn check(&self) {
        let worst = self.crashes.values().max().copied().unwrap_or(0);
        assert!(
            worst <= CRASHES_AT_MOST,
            "a poison crashed {worst} upstreams"
        );
        let ledgers = self.agents.iter().map(|a| a.gate.poison());
        for ledger in ledgers.chain(&self.entries) {
            let innocent = (POISONS..CONTENTS).map(digest);
            let condemned = |d: &Digest| ledger.status(d) == ContentStatus::Quarantined;
            assert!(
                !innocent.clone().any(|d| condemned(&d)),
                "an innocent is condemned"
            );
        }
    }

    /// After the news have spread, each innocent content completes again.
    pub fn finish(mut self) {
        self.advance(40);
        self.check();
        for content in POISONS..CONTENTS {
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
                "an innocent never completes"
            );
        }
        self.check();
    }
}

trait Due {
    fn extract_if_due(&mut self, step: u64) -> Vec<(usize, PoisonDigest)>;
}

impl Due for VecDeque<(u64, usize, PoisonDigest)> {
    fn extract_if_due(&mut self, step: u64) -> Vec<(usize, PoisonDigest)> {
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
        up_at: None,
    }
}
