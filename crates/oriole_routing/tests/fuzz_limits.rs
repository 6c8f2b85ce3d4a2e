//! Compares the limiters of several entries with plain counts over random sessions.

mod common;
#[path = "common/fuzz.rs"]
mod fuzz;

use std::time::Duration;

use common::*;
use fuzz::fuzz;
use oriole_routing::prelude::*;
use oriole_types::prelude::*;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const ENTRIES: usize = 3;
const REQUESTS_PER_S: u32 = 20;
const BURST: f64 = 10.0;
const MAX_IN_FLIGHT: u32 = 6;
const ACCOUNTS: [&str; 2] = ["small", "large"];

#[derive(Clone, Debug)]
enum Step {
    Admit {
        entry: usize,
        account: usize,
        times: u32,
    },
    Release(usize),
    ExchangeDigests,
    Block(bool),
    Wait(u64),
}

struct Session;

impl ReferenceStateMachine for Session {
    type State = ();
    type Transition = Step;

    fn init_state() -> BoxedStrategy<()> {
        Just(()).boxed()
    }

    fn transitions((): &()) -> BoxedStrategy<Step> {
        let admit =
            (0..ENTRIES, 0..ACCOUNTS.len(), 1..6_u32).prop_map(|(entry, account, times)| {
                Step::Admit {
                    entry,
                    account,
                    times,
                }
            });
        prop_oneof![
            6 => admit,
            4 => (0..32_usize).prop_map(Step::Release),
            2 => Just(Step::ExchangeDigests),
            1 => any::<bool>().prop_map(Step::Block),
            3 => (0..1500_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// A fault injected between the session and the limiters; the test must detect it.
trait Fault {
    const KEEPS_PERMITS: bool = false;
    const LOSES_STATE: bool = false;
}

struct NoFault;
impl Fault for NoFault {}

struct KeepsPermits;
impl Fault for KeepsPermits {
    const KEEPS_PERMITS: bool = true;
}

struct LosesState;
impl Fault for LosesState {
    const LOSES_STATE: bool = true;
}

struct Running {
    entry: usize,
    account: usize,
    permit: Permit,
}

struct Harness {
    limiters: Vec<Limiter>,
    catalog: Catalog,
    now: Duration,
    last_admit_at: Duration,
    admitted: [[u32; ACCOUNTS.len()]; ENTRIES],
    running: Vec<Running>,
    blocked: bool,
}

impl Harness {
    fn limiter(now: Duration) -> Limiter {
        let mut limiter = Limiter::new(LimiterConfig::default());
        limiter.set_catalog_entry_sharers(ENTRIES);
        for account in ACCOUNTS {
            limiter.set_account_sharers(now, &account.into(), ENTRIES);
        }
        limiter
    }

    fn admit<F: Fault>(&mut self, entry: usize, account: usize) {
        if F::LOSES_STATE {
            self.limiters[entry] = Self::limiter(self.now);
        }
        let limiter = &mut self.limiters[entry];
        let name = ACCOUNTS[account].into();
        match limiter.admit(self.now, &self.catalog, &name, &"draft".into(), None) {
            Ok(permit) => {
                assert!(!(self.blocked && account == 0), "blocked");
                self.admitted[entry][account] += 1;
                self.running.push(Running {
                    entry,
                    account,
                    permit,
                });
            }
            Err(refusal) => {
                let idle = self.now - self.last_admit_at > secs(30);
                let in_flight = self.in_flight(entry, account);
                let blocked = refusal.reason == RefusalReason::Blocked;
                assert_eq!(blocked, self.blocked && account == 0, "{refusal:?}");
                assert!(
                    blocked || !idle || in_flight > 0,
                    "a request of an idle account is admitted"
                );
            }
        }
    }

    fn in_flight(&self, entry: usize, account: usize) -> u32 {
        let matches_pair = |r: &&Running| (r.entry, r.account) == (entry, account);
        self.running.iter().filter(matches_pair).count() as u32
    }

    fn release<F: Fault>(&mut self, n: usize) {
        if self.running.is_empty() {
            return;
        }
        let ended = self.running.remove(n % self.running.len());
        if !F::KEEPS_PERMITS {
            self.limiters[ended.entry].release(ended.permit);
        }
    }

    fn exchange_digests(&mut self) {
        let digests: Vec<_> = self.limiters.iter().map(|l| l.digest(self.now)).collect();
        for (i, limiter) in self.limiters.iter_mut().enumerate() {
            for (j, digest) in digests.iter().enumerate().filter(|(j, _)| *j != i) {
                limiter.record_peer_digest(self.now, &VmName::new(&format!("e{j}")), digest);
            }
        }
    }

    /// No entry admits more of an account than the limit of the whole fleet allows.
    fn check_limits(&self) {
        let max_admitted =
            BURST + 1.0 + f64::from(REQUESTS_PER_S) * (self.now - secs(1)).as_secs_f64();
        for entry in 0..ENTRIES {
            for account in 0..ACCOUNTS.len() {
                let admitted = f64::from(self.admitted[entry][account]);
                assert!(admitted <= max_admitted, "{admitted} of {max_admitted}");
                assert!(self.in_flight(entry, account) <= MAX_IN_FLIGHT);
            }
        }
    }
}

struct Test<F>(std::marker::PhantomData<F>);

impl<F: Fault> StateMachineTest for Test<F> {
    type SystemUnderTest = Harness;
    type Reference = Session;

    fn init_test((): &()) -> Harness {
        let mut catalog = catalog();
        for name in ACCOUNTS {
            catalog
                .accounts
                .insert(name.into(), account(REQUESTS_PER_S, MAX_IN_FLIGHT));
        }
        let now = secs(1);
        Harness {
            limiters: (0..ENTRIES).map(|_| Harness::limiter(now)).collect(),
            catalog,
            now,
            last_admit_at: now,
            admitted: Default::default(),
            running: Vec::new(),
            blocked: false,
        }
    }

    fn apply(mut harness: Harness, (): &(), step: Step) -> Harness {
        match step {
            Step::Admit {
                entry,
                account,
                times,
            } => {
                for _ in 0..times {
                    harness.admit::<F>(entry, account);
                }
                harness.last_admit_at = harness.now;
            }
            Step::Release(n) => harness.release::<F>(n),
            Step::ExchangeDigests => harness.exchange_digests(),
            Step::Block(is_blocked) => {
                harness.blocked = is_blocked;
                harness.catalog.blocks.clear();
                if is_blocked {
                    let account = Some(ACCOUNTS[0].into());
                    let reason = "too much".to_owned();
                    let block = Block {
                        account,
                        entry: None,
                        key: None,
                        reason,
                    };
                    harness.catalog.blocks.insert("b".to_owned(), block);
                }
            }
            Step::Wait(millis) => harness.now += ms(millis),
        }
        harness
    }

    fn check_invariants(harness: &Harness, (): &()) {
        harness.check_limits();
    }

    /// Releases everything; after a pause, every entry must admit requests again.
    fn teardown(mut harness: Harness, (): ()) {
        while !harness.running.is_empty() {
            harness.release::<F>(0);
        }
        harness.now += secs(60);
        for entry in 0..ENTRIES {
            harness.admit::<F>(entry, 1);
            harness.release::<F>(0);
        }
    }
}

#[test]
fn fuzz_limits_hold_and_recover() {
    assert_eq!(fuzz::<Test<NoFault>>(3), Ok(()));
}

#[test]
fn fuzz_limits_catches_kept_permits() {
    assert!(fuzz::<Test<KeepsPermits>>(3).is_err());
}

#[test]
fn fuzz_limits_catches_forgotten_use() {
    assert!(fuzz::<Test<LosesState>>(3).is_err());
}
