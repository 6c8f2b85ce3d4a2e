//! Stateful fuzz of poison through a small fleet: agents and entries with lagging news.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::marker::PhantomData;
use std::time::Duration;

use oriole_admission::poison::home_of_suspect;
use oriole_admission::prelude::*;
use oriole_types::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{RngAlgorithm, TestError, TestRng, TestRunner};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};
use rstest::rstest;

const CASES: u32 = 10_000;
const AGENTS: usize = 4;
const ENTRIES: usize = 3;
const CONTENTS: u64 = 7;
/// Contents below this number crash upstreams.
const POISONS: u64 = 2;
const STEP: Duration = Duration::from_millis(10);
const RESTART_STEPS: u64 = 4;
const CRASHES_AT_MOST: u32 = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Variant {
    Sound,
    /// Content runs anywhere.
    IgnoresHomes,
    /// Whoever was there when an upstream crashed is taken as having run alone.
    BlamesNeighbours,
    /// Entries call each content harmless.
    TrustsAll,
}

#[derive(Clone, Debug)]
enum Op {
    Send {
        entry: usize,
        content: u64,
        pick: usize,
    },
    SendToAll {
        content: u64,
    },
    Advance(u64),
    /// An upstream fails of its own accord, at most once a case.
    Fail(usize),
}

#[derive(Clone, Debug)]
struct Agent {
    gate: Gate,
    /// Content and end of each running work.
    running: BTreeMap<WorkId, (u64, u64)>,
    up_at: Option<u64>,
}

struct Fleet {
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
}

fn digest(content: u64) -> Digest {
    Digest::of(&content.to_be_bytes())
}

impl Fleet {
    fn new(variant: Variant) -> Self {
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
        }
    }

    fn now(&self) -> Duration {
        STEP * self.step as u32
    }

    fn send(&mut self, entry: usize, content: u64, pick: usize) {
        let d = digest(content);
        let to = match self.entries[entry].standing(&d) {
            Standing::Quarantined => return,
            Standing::Suspect => home_of_suspect(&d, &self.names).cloned(),
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
        match self.agents[at].gate.offer(STEP * self.step as u32, offer) {
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

    fn advance(&mut self, steps: u64) {
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
            self.agents[at].gate.upstream_found(now, 0);
        }
        self.agents[at]
            .gate
            .heard_configuration(now, &Confirmation::fresh("a".into()));
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
            self.agents[at].running.remove(&id);
            self.completed.insert(content);
            self.entries[0].completed(&digest(content), false);
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
                .crashed(now, &id, &ran, true);
        }
        self.agents[at].up_at = Some(self.step + RESTART_STEPS);
        self.act(at, actions);
        self.agents[at].running.clear();
    }

    fn runs_suspect(&self, at: usize) -> bool {
        let ledger = self.agents[at].gate.poison();
        let mut running = self.agents[at].running.values();
        running.any(|(c, _)| ledger.standing(&digest(*c)) == Standing::Suspect)
    }

    fn act(&mut self, at: usize, actions: Vec<Action>) {
        for action in actions {
            match action {
                Action::Start(id) => self.start(at, id),
                Action::Refuse(id, _) | Action::Lost(id) => {
                    self.agents[at].running.remove(&id);
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

    fn check(&self) {
        let worst = self.crashes.values().max().copied().unwrap_or(0);
        assert!(
            worst <= CRASHES_AT_MOST,
            "a poison crashed {worst} upstreams"
        );
        let ledgers = self.agents.iter().map(|a| a.gate.poison());
        for ledger in ledgers.chain(&self.entries) {
            let innocent = (POISONS..CONTENTS).map(digest);
            let condemned = |d: &Digest| ledger.standing(d) == Standing::Quarantined;
            assert!(
                !innocent.clone().any(|d| condemned(&d)),
                "an innocent is condemned"
            );
        }
    }

    /// After the news have spread, each innocent content completes again.
    fn finish(mut self) {
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
    gate.upstream_found(Duration::ZERO, 0);
    gate.heard_configuration(Duration::ZERO, &Confirmation::fresh("a".into()));
    Agent {
        gate,
        running: BTreeMap::new(),
        up_at: None,
    }
}

struct Ops;

impl ReferenceStateMachine for Ops {
    type State = ();
    type Transition = Op;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Op> {
        prop_oneof![
            8 => (0..ENTRIES, 0..CONTENTS, 0..12usize)
                .prop_map(|(entry, content, pick)| Op::Send { entry, content, pick }),
            2 => (0..CONTENTS).prop_map(|content| Op::SendToAll { content }),
            6 => (1..8u64).prop_map(Op::Advance),
            1 => (0..AGENTS).prop_map(Op::Fail),
        ]
        .boxed()
    }

    fn apply((): (), _: &Op) {}
}

trait Driven {
    const VARIANT: Variant;
}

struct Poison<V>(PhantomData<V>);

impl<V: Driven + 'static> StateMachineTest for Poison<V> {
    type SystemUnderTest = Fleet;
    type Reference = Ops;

    fn init_test((): &()) -> Fleet {
        Fleet::new(V::VARIANT)
    }

    fn apply(mut fleet: Fleet, (): &(), op: Op) -> Fleet {
        match op {
            Op::Send {
                entry,
                content,
                pick,
            } => fleet.send(entry, content, pick),
            Op::SendToAll { content } => {
                (0..12).for_each(|pick| fleet.send(pick % ENTRIES, content, pick));
            }
            Op::Advance(steps) => fleet.advance(steps),
            Op::Fail(at) => {
                // A failure of its own accord just while a suspect runs alone cannot be told from
                // its guilt; that is what operators' releases are for.
                let solo = fleet.runs_suspect(at);
                if !solo && !std::mem::replace(&mut fleet.failed_once, true) {
                    fleet.crash(at, None);
                }
            }
        }
        fleet
    }

    fn check_invariants(fleet: &Fleet, (): &()) {
        fleet.check();
    }

    fn teardown(fleet: Fleet, (): ()) {
        fleet.finish();
    }
}

type Verdict = Result<(), TestError<((), Vec<Op>)>>;

fn run<V: Driven + 'static>(cases: u32) -> Verdict {
    let cfg = ProptestConfig {
        cases,
        failure_persistence: None,
        max_shrink_iters: 0,
        ..ProptestConfig::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[11; 32]);
    let mut runner = TestRunner::new_with_rng(cfg.clone(), rng);
    let strategy = Ops::sequential_strategy(4..24).prop_map(|(s, ops, _)| (s, ops));
    runner.run(&strategy, |(state, ops)| {
        Poison::<V>::test_sequential(cfg.clone(), state, ops, None);
        Ok(())
    })
}

macro_rules! driven {
    ($($name:ident)*) => {
        $(struct $name; impl Driven for $name { const VARIANT: Variant = Variant::$name; })*
    };
}

driven! { Sound IgnoresHomes BlamesNeighbours TrustsAll }

#[test]
fn poison_is_bounded_and_innocents_go_free() {
    let cases = std::env::var("ORIOLE_FUZZ_CASES").ok();
    let cases = cases.and_then(|n| n.parse().ok()).unwrap_or(CASES);
    run::<Sound>(cases).unwrap();
}

#[rstest]
#[case::ignores_homes(run::<IgnoresHomes>, "a poison crashed")]
#[case::blames_neighbours(run::<BlamesNeighbours>, "an innocent is condemned")]
#[case::trusts_all(run::<TrustsAll>, "a poison crashed")]
fn poison_oracle_catches(#[case] run: fn(u32) -> Verdict, #[case] expected: &str) {
    let Err(TestError::Fail(reason, _)) = run(CASES) else {
        panic!("the oracle saw nothing wrong");
    };
    assert!(reason.to_string().contains(expected), "{reason}");
}
