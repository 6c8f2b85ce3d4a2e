//! The other way that was weighed: ranks promise not to pass the step, and the outcome is one
//! compare-and-swap at the store.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::conditions::{Conditions, Costs, ENGINE_MS, LEAD_MS, NET_MS, STEP_MS};
use super::timeline::{Ms, Timeline};

/// One call at the store, least and most, in milliseconds.
const STORE_MS: std::ops::RangeInclusive<Ms> = 3..=6;
/// Time after which a call at a store that is down has failed and is tried again.
const STORE_RETRY_MS: Ms = 500;
/// Time after which a rank that waits for the outcome reads it from the store.
const READ_AFTER_MS: Ms = 100;
/// Time after which the coordinator, or a rank in its place, has the switch aborted.
const ABORT_AFTER_MS: Ms = 300;
/// Time after which lost messages are sent again.
const RESEND_MS: Ms = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Commit,
    Abort,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Propose(usize),
    Promise(usize),
    Told(usize),
    Resend,
    Write(Outcome),
    ReadDue(usize),
    Read(usize),
    AbortDue(usize),
}

#[derive(Clone, Copy, Debug, Default)]
struct Rank {
    promised_at: Option<Ms>,
    settled_at: Option<Ms>,
    stalled_until: Ms,
}

/// One switch decided at the store, in simulated time.
pub struct StoreSwitch {
    rng: ChaCha8Rng,
    timeline: Timeline<Event>,
    ranks: Vec<Rank>,
    promises: Vec<bool>,
    conditions: Conditions,
    written: Option<Outcome>,
    writing: bool,
    costs: Costs,
}

impl StoreSwitch {
    /// Runs one switch and adds what it cost.
    pub fn run(ranks: usize, seed: u64, conditions: &Conditions, total: &mut Costs) {
        let mut switch = Self {
            rng: ChaCha8Rng::seed_from_u64(seed),
            timeline: Timeline::default(),
            ranks: vec![Rank::default(); ranks],
            promises: vec![false; ranks],
            conditions: *conditions,
            written: None,
            writing: false,
            costs: Costs::default(),
        };
        if let Some((rank, ms)) = conditions.stalled_agent {
            switch.ranks[rank].stalled_until = ms;
        }
        switch.start();
        while switch.ranks.iter().any(|r| r.settled_at.is_none()) {
            match switch.timeline.pop() {
                Some(event) => switch.on(event),
                None => break,
            }
        }
        switch.add_to(total);
    }

    fn start(&mut self) {
        // The coordinator writes down what it proposes, so that others can settle it.
        self.costs.store_writes += 1;
        self.propose();
        if !self.conditions.coordinator_dies {
            self.timeline.after(RESEND_MS, Event::Resend);
        }
    }

    fn propose(&mut self) {
        for rank in 0..self.ranks.len() {
            if !self.promises[rank] {
                self.message(Event::Propose(rank));
            }
        }
    }

    fn message(&mut self, event: Event) {
        self.costs.messages += 1;
        if self.conditions.loss > 0.0 && self.rng.random_bool(self.conditions.loss) {
            return;
        }
        let delay = self.rng.random_range(NET_MS);
        self.timeline.after(delay, event);
    }

    fn on(&mut self, event: Event) {
        let now = self.timeline.now();
        let rank = match event {
            Event::Propose(r) | Event::Told(r) | Event::Read(r) | Event::ReadDue(r) => Some(r),
            Event::AbortDue(r) => Some(r),
            _ => None,
        };
        if let Some(until) = rank
            .map(|r| self.ranks[r].stalled_until)
            .filter(|u| now < *u)
        {
            self.timeline.after(until - now, event);
            return;
        }
        match event {
            Event::Propose(rank) => self.promise(rank),
            Event::Promise(rank) => self.on_promise(rank),
            Event::Told(rank) => self.settled(rank),
            Event::Resend => self.resend(),
            Event::Write(outcome) => self.write(outcome),
            Event::ReadDue(rank) => self.read(rank),
            Event::Read(rank) if self.written.is_some() => self.settled(rank),
            Event::Read(rank) => self.timeline.after(READ_AFTER_MS, Event::ReadDue(rank)),
            Event::AbortDue(rank) => self.abort_in_place(rank),
        }
    }

    fn promise(&mut self, rank: usize) {
        let now = self.timeline.now();
        if self.written == Some(Outcome::Abort) {
            return;
        }
        if self.ranks[rank].promised_at.is_none() {
            self.ranks[rank].promised_at = Some(now);
            self.timeline.after(READ_AFTER_MS, Event::ReadDue(rank));
            self.timeline.after(ABORT_AFTER_MS, Event::AbortDue(rank));
        }
        self.costs.messages += 1;
        let delay = 2 * ENGINE_MS + self.rng.random_range(NET_MS);
        if self.conditions.loss == 0.0 || !self.rng.random_bool(self.conditions.loss) {
            self.timeline.after(delay, Event::Promise(rank));
        }
    }

    fn on_promise(&mut self, rank: usize) {
        self.promises[rank] = true;
        let all = self.promises.iter().all(|p| *p);
        if all && !self.conditions.coordinator_dies {
            self.begin_write(Outcome::Commit);
        }
    }

    fn resend(&mut self) {
        if self.written.is_some() {
            return;
        }
        if self.timeline.now() >= ABORT_AFTER_MS {
            return self.begin_write(Outcome::Abort);
        }
        self.propose();
        self.timeline.after(RESEND_MS, Event::Resend);
    }

    fn begin_write(&mut self, outcome: Outcome) {
        if self.written.is_none() && !self.writing {
            self.writing = true;
            let delay = self.rng.random_range(STORE_MS);
            self.timeline.after(delay, Event::Write(outcome));
        }
    }

    fn store_is_down(&self) -> bool {
        self.timeline.now() < self.conditions.store_outage_ms
    }

    fn write(&mut self, outcome: Outcome) {
        self.costs.store_writes += 1;
        if self.store_is_down() {
            self.timeline.after(STORE_RETRY_MS, Event::Write(outcome));
            return;
        }
        self.written = Some(outcome);
        if self.conditions.coordinator_dies {
            return;
        }
        for rank in 0..self.ranks.len() {
            self.message(Event::Told(rank));
        }
    }

    fn read(&mut self, rank: usize) {
        if self.ranks[rank].settled_at.is_some() {
            return;
        }
        self.costs.store_reads += 1;
        let delay = self.rng.random_range(STORE_MS);
        if self.store_is_down() {
            self.timeline.after(STORE_RETRY_MS, Event::ReadDue(rank));
        } else {
            self.timeline.after(delay, Event::Read(rank));
        }
    }

    fn abort_in_place(&mut self, rank: usize) {
        if self.ranks[rank].settled_at.is_none() {
            self.begin_write(Outcome::Abort);
        }
    }

    fn settled(&mut self, rank: usize) {
        let at = self.timeline.now() + 2 * ENGINE_MS;
        self.ranks[rank].settled_at.get_or_insert(at);
    }

    fn add_to(&self, total: &mut Costs) {
        let last = self.ranks.iter().filter_map(|r| r.settled_at).max();
        let last = last.unwrap_or(0);
        total.switches += 1;
        total.committed += u64::from(self.written == Some(Outcome::Commit));
        total.messages += self.costs.messages;
        total.store_writes += self.costs.store_writes;
        total.store_reads += self.costs.store_reads;
        total.settle_ms += last;
        total.stalled_steps += last.saturating_sub(LEAD_MS).div_ceil(STEP_MS);
    }
}
