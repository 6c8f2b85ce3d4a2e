//! Limits against plain counts, over random sessions of several entries.

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
const PER_S: u32 = 20;
const BURST: f64 = 10.0;
const IN_FLIGHT: u32 = 6;
const ACCOUNTS: [&str; 2] = ["small", "large"];

#[derive(Clone, Debug)]
enum Step {
    Admit {
        entry: usize,
        account: usize,
        times: u32,
    },
    Release(usize),
    Trade,
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
            2 => Just(Step::Trade),
            1 => any::<bool>().prop_map(Step::Block),
            3 => (0..1500_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// A fault that is put between the session and the limiters.
trait Fault {
    const KEEPS_PERMITS: bool = false;
    const FORGETS: bool = false;
}

struct Sound;
impl Fault for Sound {}

struct KeepsPermits;
impl Fault for KeepsPermits {
    const KEEPS_PERMITS: bool = true;
}

struct Forgets;
impl Fault for Forgets {
    const FORGETS: bool = true;
}

struct Running {
    entry: usize,
    account: usize,
    permit: Permit,
}

struct Checked {
    limiters: Vec<Limiter>,
    catalog: Catalog,
    now: Duration,
    since: Duration,
    admitted: [[u32; ACCOUNTS.len()]; ENTRIES],
    running: Vec<Running>,
    blocked: bool,
}

impl Checked {
    fn limiter(now: Duration) -> Limiter {
        let mut limiter = Limiter::new(LimiterConfig::default());
        limiter.set_catalog_entry_sharers(ENTRIES);
        for account in ACCOUNTS {
            limiter.set_account_sharers(now, &account.into(), ENTRIES);
        }
        limiter
    }

    fn admit<F: Fault>(&mut self, entry: usize, account: usize) {
        if F::FORGETS {
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
                let idle = self.now - self.since > secs(30);
                let in_flight = self.in_flight(entry, account);
                let blocked = refusal.reason == RefusalReason::Blocked;
                assert_eq!(blocked, self.blocked && account == 0, "{refusal:?}");
                assert!(
                    blocked || !idle || in_flight > 0,
                    "an idle account is served"
                );
            }
        }
    }

    fn in_flight(&self, entry: usize, account: usize) -> u32 {
        let of = |r: &&Running| (r.entry, r.account) == (entry, account);
        self.running.iter().filter(of).count() as u32
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

    fn trade(&mut self) {
        let digests: Vec<_> = self.limiters.iter().map(|l| l.digest(self.now)).collect();
        for (i, limiter) in self.limiters.iter_mut().enumerate() {
            for (j, digest) in digests.iter().enumerate().filter(|(j, _)| *j != i) {
                limiter.record_peer_digest(self.now, &VmName::new(&format!("e{j}")), digest);
            }
        }
    }

    /// No entry lets an account have more than the whole fleet may.
    fn check(&self) {
        let most = BURST + 1.0 + f64::from(PER_S) * (self.now - secs(1)).as_secs_f64();
        for entry in 0..ENTRIES {
            for account in 0..ACCOUNTS.len() {
                let admitted = f64::from(self.admitted[entry][account]);
                assert!(admitted <= most, "{admitted} of {most}");
                assert!(self.in_flight(entry, account) <= IN_FLIGHT);
            }
        }
    }
}

struct Test<F>(std::marker::PhantomData<F>);

impl<F: Fault> StateMachineTest for Test<F> {
    type SystemUnderTest = Checked;
    type Reference = Session;

    fn init_test((): &()) -> Checked {
        let mut catalog = catalog();
        for name in ACCOUNTS {
            catalog
                .accounts
                .insert(name.into(), account(PER_S, IN_FLIGHT));
        }
        let now = secs(1);
        Checked {
            limiters: (0..ENTRIES).map(|_| Checked::limiter(now)).collect(),
            catalog,
            now,
            since: now,
            admitted: Default::default(),
            running: Vec::new(),
            blocked: false,
        }
    }

    fn apply(mut checked: Checked, (): &(), step: Step) -> Checked {
        match step {
            Step::Admit {
                entry,
                account,
                times,
            } => {
                for _ in 0..times {
                    checked.admit::<F>(entry, account);
                }
                checked.since = checked.now;
            }
            Step::Release(n) => checked.release::<F>(n),
            Step::Trade => checked.trade(),
            Step::Block(on) => {
                checked.blocked = on;
                checked.catalog.blocks.clear();
                if on {
                    let account = Some(ACCOUNTS[0].into());
                    let reason = "too much".to_owned();
                    let block = Block {
                        account,
                        entry: None,
                        key: None,
                        reason,
                    };
                    checked.catalog.blocks.insert("b".to_owned(), block);
                }
            }
            Step::Wait(millis) => checked.now += ms(millis),
        }
        checked
    }

    fn check_invariants(checked: &Checked, (): &()) {
        checked.check();
    }

    /// In the end everything is released, and after a pause every account is served again.
    fn teardown(mut checked: Checked, (): ()) {
        while !checked.running.is_empty() {
            checked.release::<F>(0);
        }
        checked.now += secs(60);
        for entry in 0..ENTRIES {
            checked.admit::<F>(entry, 1);
            checked.release::<F>(0);
        }
    }
}

#[test]
fn fuzz_limits_hold_and_recover() {
    assert_eq!(fuzz::<Test<Sound>>(3), Ok(()));
}

#[test]
fn fuzz_limits_catches_kept_permits() {
    assert!(fuzz::<Test<KeepsPermits>>(3).is_err());
}

#[test]
fn fuzz_limits_catches_forgotten_use() {
    assert!(fuzz::<Test<Forgets>>(3).is_err());
}
