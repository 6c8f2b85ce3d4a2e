//! Compares the queue with a plain list of waiting requests over random sessions.

mod common;
#[path = "common/fuzz.rs"]
mod fuzz;

use std::collections::BTreeMap;
use std::time::Duration;

use common::ms;
use fuzz::fuzz;
use oriole_routing::prelude::*;
use oriole_types::prelude::*;
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest};

const ACCOUNTS: [&str; 3] = ["a", "b", "c"];
const MAX_PER_ACCOUNT: usize = 8;
const YIELD_EVERY: u32 = 5;

#[derive(Clone, Debug)]
enum Step {
    Push {
        account: usize,
        priority: Priority,
        timeout_ms: u64,
    },
    Pop,
    Expire,
    Cancel(usize),
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
        let priority = prop_oneof![
            Just(Priority::High),
            Just(Priority::Normal),
            Just(Priority::Low)
        ];
        let push = (0..ACCOUNTS.len(), priority, 200..5000_u64).prop_map(
            |(account, priority, timeout_ms)| Step::Push {
                account,
                priority,
                timeout_ms,
            },
        );
        prop_oneof![
            6 => push,
            4 => Just(Step::Pop),
            1 => Just(Step::Expire),
            1 => (0..20_usize).prop_map(Step::Cancel),
            2 => (0..300_u64).prop_map(Step::Wait),
        ]
        .boxed()
    }

    fn apply((): (), _: &Step) {}
}

/// The operations that the test uses, implemented by the real queue and by faulty ones.
trait Queue: Default {
    fn push(&mut self, now: Duration, request: QueueRequest, id: u64) -> Result<Option<u64>, ()>;
    fn pop(&mut self, now: Duration) -> Option<u64>;
    fn expire(&mut self, now: Duration) -> Option<u64>;
    fn cancel(&mut self, now: Duration, id: u64) -> bool;
}

struct RealQueue {
    queue: WaitQueue<u64>,
    tickets: BTreeMap<u64, Ticket>,
}

impl Default for RealQueue {
    fn default() -> Self {
        let cfg = QueueConfig {
            max_per_account: MAX_PER_ACCOUNT,
            yield_every: YIELD_EVERY,
            ..QueueConfig::default()
        };
        Self {
            queue: WaitQueue::new(cfg),
            tickets: BTreeMap::new(),
        }
    }
}

impl Queue for RealQueue {
    fn push(&mut self, now: Duration, request: QueueRequest, id: u64) -> Result<Option<u64>, ()> {
        let (ticket, displaced) = self.queue.push(now, request, id).map_err(|_| ())?;
        self.tickets.insert(id, ticket);
        Ok(displaced.map(|p| p.value))
    }

    fn pop(&mut self, now: Duration) -> Option<u64> {
        self.queue.pop(now).map(|p| p.value)
    }

    fn expire(&mut self, now: Duration) -> Option<u64> {
        self.queue.pop_expired(now).map(|p| p.value)
    }

    fn cancel(&mut self, now: Duration, id: u64) -> bool {
        self.queue.cancel(now, self.tickets[&id]).is_some()
    }
}

/// A faulty queue that orders by deadline alone, so that one account can block all others.
#[derive(Default)]
struct DeadlineOnly(BTreeMap<(Duration, u64), ()>);

impl Queue for DeadlineOnly {
    fn push(&mut self, _: Duration, request: QueueRequest, id: u64) -> Result<Option<u64>, ()> {
        self.0.insert((request.deadline, id), ());
        Ok(None)
    }

    fn pop(&mut self, _: Duration) -> Option<u64> {
        self.0.pop_first().map(|((_, id), ())| id)
    }

    fn expire(&mut self, now: Duration) -> Option<u64> {
        let first = self.0.keys().next().copied()?;
        (first.0 <= now)
            .then(|| self.0.remove(&first))
            .map(|_| first.1)
    }

    fn cancel(&mut self, _: Duration, id: u64) -> bool {
        let before = self.0.len();
        self.0.retain(|(_, i), ()| *i != id);
        before > self.0.len()
    }
}

/// A faulty queue that loses another request whenever one is cancelled.
#[derive(Default)]
struct LosesNeighbour(RealQueue);

impl Queue for LosesNeighbour {
    fn push(&mut self, now: Duration, request: QueueRequest, id: u64) -> Result<Option<u64>, ()> {
        self.0.push(now, request, id)
    }

    fn pop(&mut self, now: Duration) -> Option<u64> {
        self.0.pop(now)
    }

    fn expire(&mut self, now: Duration) -> Option<u64> {
        self.0.expire(now)
    }

    fn cancel(&mut self, now: Duration, id: u64) -> bool {
        let done = self.0.cancel(now, id);
        self.0.queue.pop(now);
        done
    }
}

#[derive(Clone, Debug)]
struct WaitingItem {
    id: u64,
    account: usize,
    priority: Priority,
    deadline: Duration,
}

/// A queue and the list of requests that should wait in it.
struct Harness<Q> {
    queue: Q,
    now: Duration,
    next_id: u64,
    waiting: Vec<WaitingItem>,
    pops_since_yield: u32,
    overtaken_by: BTreeMap<(usize, usize), u32>,
}

impl<Q: Queue> Harness<Q> {
    fn push(&mut self, account: usize, priority: Priority, timeout: Duration) {
        let id = self.next_id;
        self.next_id += 1;
        let deadline = self.now + timeout;
        let request = QueueRequest {
            account: ACCOUNTS[account].into(),
            weight: 1,
            priority,
            deadline,
            service_time: ms(100),
            key: None,
        };
        let Ok(displaced) = self.queue.push(self.now, request, id) else {
            return;
        };
        self.waiting.push(WaitingItem {
            id,
            account,
            priority,
            deadline,
        });
        if let Some(id) = displaced {
            let item = self.take(id);
            assert!(
                item.priority > priority,
                "only less urgent requests are displaced"
            );
        }
        let account_len = self.waiting.iter().filter(|i| i.account == account).count();
        assert!(
            account_len <= MAX_PER_ACCOUNT,
            "an account's requests are bounded"
        );
    }

    fn pop(&mut self) {
        let Some(id) = self.queue.pop(self.now) else {
            assert!(self.waiting.is_empty(), "a waiting request is offered");
            return;
        };
        let item = self.take(id);
        let same_queue =
            |i: &&WaitingItem| (i.account, i.priority) == (item.account, item.priority);
        let earliest = self
            .waiting
            .iter()
            .filter(same_queue)
            .map(|i| i.deadline)
            .min();
        assert!(
            earliest.is_none_or(|d| d >= item.deadline),
            "deadline order"
        );
        self.check_priority(&item);
        self.check_turns(&item);
    }

    /// High-priority requests wait for others at most once in [`YIELD_EVERY`] turns.
    fn check_priority(&mut self, item: &WaitingItem) {
        let high_waits = self.waiting.iter().any(|i| i.priority == Priority::High);
        self.pops_since_yield += 1;
        if item.priority != Priority::High && high_waits {
            assert!(self.pops_since_yield >= YIELD_EVERY, "high priority first");
            self.pops_since_yield = 0;
        }
    }

    /// While an account has a high-priority request, each other account gets at most two before it.
    fn check_turns(&mut self, item: &WaitingItem) {
        self.overtaken_by
            .retain(|(waits, _), _| *waits != item.account);
        if item.priority != Priority::High {
            return;
        }
        for waits in 0..ACCOUNTS.len() {
            let high = |i: &WaitingItem| i.account == waits && i.priority == Priority::High;
            if waits == item.account || !self.waiting.iter().any(high) {
                self.overtaken_by.retain(|(w, _), _| *w != waits);
                continue;
            }
            let count = self.overtaken_by.entry((waits, item.account)).or_default();
            *count += 1;
            assert!(*count <= 2, "accounts take turns");
        }
    }

    fn expire(&mut self) {
        let late = self.waiting.iter().any(|i| i.deadline <= self.now);
        match self.queue.expire(self.now) {
            Some(id) => assert!(
                self.take(id).deadline <= self.now,
                "only late requests expire"
            ),
            None => assert!(!late, "late requests expire"),
        }
    }

    fn cancel(&mut self, n: usize) {
        if self.waiting.is_empty() {
            return;
        }
        let id = self.waiting[n % self.waiting.len()].id;
        assert!(
            self.queue.cancel(self.now, id),
            "a waiting request can be cancelled"
        );
        self.take(id);
    }

    fn take(&mut self, id: u64) -> WaitingItem {
        let index = self.waiting.iter().position(|i| i.id == id);
        self.waiting
            .remove(index.expect("only waiting requests leave"))
    }
}

struct Test<Q>(std::marker::PhantomData<Q>);

impl<Q: Queue> StateMachineTest for Test<Q> {
    type SystemUnderTest = Harness<Q>;
    type Reference = Session;

    fn init_test((): &()) -> Harness<Q> {
        Harness {
            queue: Q::default(),
            now: ms(1000),
            next_id: 0,
            waiting: Vec::new(),
            pops_since_yield: 0,
            overtaken_by: BTreeMap::new(),
        }
    }

    fn apply(mut harness: Harness<Q>, (): &(), step: Step) -> Harness<Q> {
        match step {
            Step::Push {
                account,
                priority,
                timeout_ms,
            } => {
                harness.push(account, priority, ms(timeout_ms));
            }
            Step::Pop => harness.pop(),
            Step::Expire => harness.expire(),
            Step::Cancel(n) => harness.cancel(n),
            Step::Wait(millis) => harness.now += ms(millis),
        }
        harness
    }
}

#[test]
fn fuzz_queue_keeps_order_and_bounds() {
    assert_eq!(fuzz::<Test<RealQueue>>(1), Ok(()));
}

#[test]
fn fuzz_queue_catches_deadline_only() {
    assert!(fuzz::<Test<DeadlineOnly>>(1).is_err());
}

#[test]
fn fuzz_queue_catches_lost_request() {
    assert!(fuzz::<Test<LosesNeighbour>>(1).is_err());
}
