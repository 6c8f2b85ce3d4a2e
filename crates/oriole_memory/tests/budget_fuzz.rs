//! Random sessions of the budget against a plain oracle that recounts everything at each step, and a
//! broken variant of the oracle that must differ.

use std::time::Duration;

use oriole_memory::budget::{SMALL_BYTES, STALL_TIME, UNREAD_TIME};
use oriole_memory::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestError, TestRunner};

const CFG: BudgetConfig = BudgetConfig {
    budget: 640 * 1024,
    large_part: 480 * 1024,
    max_connections: 6,
};

#[derive(Clone, Debug)]
enum Step {
    Open {
        kind: Kind,
        account: u64,
        fixed: u64,
    },
    Charge {
        holder: usize,
        bytes: u64,
    },
    Release {
        holder: usize,
        bytes: u64,
    },
    Progress {
        holder: usize,
    },
    SetClass {
        holder: usize,
        class: Class,
    },
    Close {
        holder: usize,
    },
    Wait {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    let kind = prop::sample::select(Kind::ALL.to_vec());
    let class = prop::sample::select(vec![Class::Unfinished, Class::Running, Class::Unread]);
    let bytes = || prop_oneof![1..2000_u64, Just(16 * 1024), 1..200_000_u64];
    let holder = || 0..40_usize;
    prop_oneof![
        4 => (kind, 0..3_u64, 0..3000_u64)
            .prop_map(|(kind, account, fixed)| Step::Open { kind, account, fixed }),
        8 => (holder(), bytes()).prop_map(|(holder, bytes)| Step::Charge { holder, bytes }),
        2 => (holder(), bytes()).prop_map(|(holder, bytes)| Step::Release { holder, bytes }),
        2 => holder().prop_map(|holder| Step::Progress { holder }),
        2 => (holder(), class).prop_map(|(holder, class)| Step::SetClass { holder, class }),
        1 => holder().prop_map(|holder| Step::Close { holder }),
        3 => (0..900_u64).prop_map(|ms| Step::Wait { ms }),
    ]
}

#[derive(Clone, Debug)]
struct Plain {
    id: HolderId,
    owner: Owner,
    fixed: u64,
    body: u64,
    at: Duration,
}

impl Plain {
    fn large(&self) -> u64 {
        if self.body > SMALL_BYTES {
            self.body
        } else {
            0
        }
    }

    fn bytes(&self) -> u64 {
        self.fixed + self.body
    }
}

/// Holders in order of opening.
#[derive(Clone, Default)]
struct Oracle {
    holders: Vec<Plain>,
    /// Also cuts off running requests.
    is_broken: bool,
}

impl Oracle {
    /// Returns why the holders exceed a limit, with `asks` as the holder that was charged last.
    fn shortage(&self, asks: &Plain, grew_large: bool) -> Option<Shortage> {
        let sum = |of: &dyn Fn(&Plain) -> u64| self.holders.iter().map(of).sum::<u64>();
        let of_requests = |p: &Plain| {
            if p.owner.kind == Kind::Request {
                p.large()
            } else {
                0
            }
        };
        let own = sum(&|p| {
            if p.owner.account == asks.owner.account {
                of_requests(p)
            } else {
                0
            }
        });
        let all = sum(&of_requests);
        if grew_large && asks.owner.kind == Kind::Request && all > own && own > CFG.large_part / 2 {
            Some(Shortage::AccountShare)
        } else if grew_large && sum(&Plain::large) > CFG.large_part {
            Some(Shortage::LargePart)
        } else if sum(&Plain::bytes) > CFG.budget {
            Some(Shortage::Budget)
        } else {
            None
        }
    }

    /// The order in which holders are cut off for the last change of `asks`.
    fn order(&self, now: Duration, asks: &Plain) -> Vec<Plain> {
        let others = || self.holders.iter().filter(|p| p.id != asks.id).cloned();
        let age = |p: &Plain| now - p.at;
        let is_cuttable = |p: &Plain, class| {
            p.owner.class == class || (self.is_broken && p.owner.class == Class::Running)
        };
        let mut stalled: Vec<_> = others()
            .filter(|p| is_cuttable(p, Class::Unfinished) && age(p) >= STALL_TIME)
            .collect();
        stalled.sort_by_key(|p| (p.at, u64::MAX - p.bytes()));
        let mut unread: Vec<_> = others()
            .filter(|p| p.owner.class == Class::Unread && age(p) >= UNREAD_TIME)
            .collect();
        unread.sort_by_key(|p| (p.at, u64::MAX - p.bytes()));
        let mut largest: Vec<_> = others()
            .filter(|p| p.owner.class == Class::Unfinished && p.owner.kind == Kind::Request)
            .filter(|p| age(p) < STALL_TIME && p.bytes() > asks.bytes())
            .collect();
        largest.sort_by_key(|p| u64::MAX - p.bytes());
        [stalled, unread, largest].concat()
    }

    /// Cuts off holders one after the other, each only if it helps. Reverts all if that does not
    /// suffice.
    fn make_room(
        &mut self,
        now: Duration,
        asks: &Plain,
        grew_large: bool,
    ) -> Option<Vec<HolderId>> {
        let before = self.holders.clone();
        let mut cut = Vec::new();
        for victim in self.order(now, asks) {
            let Some(_) = self.shortage(asks, grew_large) else {
                return Some(cut);
            };
            // Which limits are exceeded before the victim is cut off.
            let total: u64 = self.holders.iter().map(Plain::bytes).sum();
            let large: u64 = self.holders.iter().map(Plain::large).sum();
            let is_own =
                victim.owner.kind == Kind::Request && victim.owner.account == asks.owner.account;
            let helps = total > CFG.budget
                || (grew_large && large > CFG.large_part && victim.large() > 0)
                || (self.shortage(asks, grew_large) == Some(Shortage::AccountShare)
                    && is_own
                    && victim.large() > 0);
            if helps {
                self.holders.retain(|p| p.id != victim.id);
                cut.push(victim.id);
            }
        }
        if self.shortage(asks, grew_large).is_none() {
            return Some(cut);
        }
        self.holders = before;
        None
    }

    fn remove(&mut self, ids: &[CutOff]) {
        self.holders.retain(|p| ids.iter().all(|c| c.id != p.id));
    }
}

fn sorted(ids: impl IntoIterator<Item = HolderId>) -> Vec<HolderId> {
    let mut ids: Vec<_> = ids.into_iter().collect();
    ids.sort_unstable();
    ids
}

/// Runs a session; fails where budget and oracle differ.
fn run(steps: &[Step], is_broken: bool) -> Result<(), TestCaseError> {
    let mut budget = MemoryBudget::new(CFG);
    let mut oracle = Oracle {
        is_broken,
        ..Oracle::default()
    };
    let mut now = Duration::from_secs(10);
    for step in steps {
        let pick = |oracle: &Oracle, holder: usize| {
            let len = oracle.holders.len();
            (len > 0).then(|| holder % len)
        };
        match *step {
            Step::Wait { ms } => now += Duration::from_millis(ms),
            Step::Open {
                kind,
                account,
                fixed,
            } => {
                let owner = Owner {
                    account: Some(account),
                    ..Owner::of(kind)
                };
                // Connections are compared in tests of their own.
                if kind == Kind::Connection && budget.connections() >= CFG.max_connections {
                    continue;
                }
                if let Ok(opened) = budget.open(now, owner, fixed) {
                    let new = Plain {
                        id: opened.id,
                        owner,
                        fixed,
                        body: 0,
                        at: now,
                    };
                    let mut expected = oracle.clone();
                    expected.holders.push(new.clone());
                    let cut = expected.make_room(now, &new, false);
                    prop_assert_eq!(
                        cut.map(sorted),
                        Some(sorted(opened.cut_off.iter().map(|c| c.id)))
                    );
                    oracle.remove(&opened.cut_off);
                    oracle.holders.push(new);
                } else {
                    let total: u64 = oracle.holders.iter().map(Plain::bytes).sum();
                    prop_assert!(total + fixed > CFG.budget);
                }
            }
            Step::Charge { holder, bytes } => {
                let Some(i) = pick(&oracle, holder) else {
                    continue;
                };
                let mut expected = oracle.clone();
                let large = expected.holders[i].large();
                expected.holders[i].body += bytes;
                let asks = expected.holders[i].clone();
                let wanted = expected.make_room(now, &asks, asks.large() > large);
                let got = budget.charge(now, asks.id, bytes);
                let got_ids = got
                    .as_ref()
                    .ok()
                    .map(|cut| sorted(cut.iter().map(|c| c.id)));
                prop_assert_eq!(got_ids, wanted.map(sorted));
                if got.is_ok() {
                    oracle = expected;
                }
            }
            Step::Release { holder, bytes } => {
                let Some(i) = pick(&oracle, holder) else {
                    continue;
                };
                budget.release(oracle.holders[i].id, bytes);
                oracle.holders[i].body = oracle.holders[i].body.saturating_sub(bytes);
            }
            Step::Progress { holder } => {
                let Some(i) = pick(&oracle, holder) else {
                    continue;
                };
                budget.progressed(now, oracle.holders[i].id);
                oracle.holders[i].at = now;
            }
            Step::SetClass { holder, class } => {
                let Some(i) = pick(&oracle, holder) else {
                    continue;
                };
                budget.set_class(now, oracle.holders[i].id, class);
                oracle.holders[i].owner.class = class;
                oracle.holders[i].at = now;
            }
            Step::Close { holder } => {
                let Some(i) = pick(&oracle, holder) else {
                    continue;
                };
                budget.close(oracle.holders.remove(i).id);
            }
        }
        let total: u64 = oracle.holders.iter().map(Plain::bytes).sum();
        prop_assert_eq!(budget.held(), total);
        prop_assert!(total <= CFG.budget);
        let by_kind: u64 = Kind::ALL.iter().map(|k| budget.held_by(*k)).sum();
        prop_assert_eq!(by_kind, total);
        for plain in &oracle.holders {
            prop_assert_eq!(budget.held_by_holder(plain.id), plain.bytes());
        }
    }
    Ok(())
}

fn fuzz(is_broken: bool) -> Result<(), TestError<Vec<Step>>> {
    let cfg = ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        max_shrink_iters: 200,
        ..ProptestConfig::with_cases(300)
    };
    let sessions = prop::collection::vec(step(), 1..150);
    TestRunner::new(cfg).run(&sessions, |steps| run(&steps, is_broken))
}

/// Wrong sums would refuse everything after some time, or let the process grow without bound.
#[test]
fn fuzz_budget_agrees_with_oracle() {
    fuzz(false).unwrap();
}

/// The sessions must reach the decisions that matter: an oracle that also cuts off running requests
/// differs.
#[test]
fn fuzz_broken_oracle_is_caught() {
    assert!(fuzz(true).is_err());
}
