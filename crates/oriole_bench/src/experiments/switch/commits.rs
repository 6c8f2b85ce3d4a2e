//! The alternative protocol: ranks promise not to pass the step, and the outcome is one
//! compare-and-swap in the store.

use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use super::conditions::{
    Conditions, Costs, ENGINE_DELAY_MS, NETWORK_DELAY_MS, STEP_INTERVAL_MS, SWITCH_LEAD_MS,
};
use super::timeline::{Ms, Timeline};

/// Range of the time of a store call, in milliseconds.
const STORE_DELAY_MS: std::ops::RangeInclusive<Ms> = 3..=6;
/// Time after which a call to a store that is down is retried, in milliseconds.
const STORE_RETRY_MS: Ms = 500;
/// Time after which a waiting rank reads the outcome from the store, in milliseconds.
const READ_DELAY_MS: Ms = 100;
/// Time after which the coordinator, or a rank in its place, aborts the switch, in milliseconds.
const ABORT_DELAY_MS: Ms = 300;
/// Interval at which unanswered proposals are resent, in milliseconds.
const RESEND_INTERVAL_MS: Ms = 50;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    Commit,
    Abort,
}

#[derive(Clone, Copy, Debug)]
enum Event {
    Propose(usize),
    Promise(usize),
    OutcomeReceived(usize),
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

/// A switch that is decided in the store, in simulated time.
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
    /// Runs one switch and adds its cost to `total`.
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
                Some(event) => switch.handle(event),
                None => break,
            }
        }
        switch.add_to(total);
    }

    fn start(&mut self) {
        // The coordinator stores its proposal so that others can settle it.
        self.costs.store_writes += 1;
        self.propose();
        if !self.conditions.coordinator_crashes {
            self.timeline
                .schedule_after(RESEND_INTERVAL_MS, Event::Resend);
        }
    }

    fn propose(&mut self) {
        for rank in 0..self.ranks.len() {
            if !self.promises[rank] {
                self.send(Event::Propose(rank));
            }
        }
    }

    fn send(&mut self, event: Event) {
        self.costs.messages += 1;
        if self.conditions.loss > 0.0 && self.rng.random_bool(self.conditions.loss) {
            return;
        }
        let delay = self.rng.random_range(NETWORK_DELAY_MS);
        self.timeline.schedule_after(delay, event);
    }

    fn handle(&mut self, event: Event) {
        let now = self.timeline.now();
        let rank = match event {
            Event::Propose(r) | Event::OutcomeReceived(r) | Event::Read(r) | Event::ReadDue(r) => {
                Some(r)
            }
            Event::AbortDue(r) => Some(r),
            _ => None,
        };
        if let Some(until) = rank
            .map(|r| self.ranks[r].stalled_until)
            .filter(|u| now < *u)
        {
            self.timeline.schedule_after(until - now, event);
            return;
        }
        match event {
            Event::Propose(rank) => self.on_proposal(rank),
            Event::Promise(rank) => self.on_promise(rank),
            Event::OutcomeReceived(rank) => self.settle(rank),
            Event::Resend => self.resend(),
            Event::Write(outcome) => self.on_write(outcome),
            Event::ReadDue(rank) => self.read(rank),
            Event::Read(rank) if self.written.is_some() => self.settle(rank),
            Event::Read(rank) => self
                .timeline
                .schedule_after(READ_DELAY_MS, Event::ReadDue(rank)),
            Event::AbortDue(rank) => self.abort_as_rank(rank),
        }
    }

    fn on_proposal(&mut self, rank: usize) {
        let now = self.timeline.now();
        if self.written == Some(Outcome::Abort) {
            return;
        }
        if self.ranks[rank].promised_at.is_none() {
            self.ranks[rank].promised_at = Some(now);
            self.timeline
                .schedule_after(READ_DELAY_MS, Event::ReadDue(rank));
            self.timeline
                .schedule_after(ABORT_DELAY_MS, Event::AbortDue(rank));
        }
        self.costs.messages += 1;
        let delay = 2 * ENGINE_DELAY_MS + self.rng.random_range(NETWORK_DELAY_MS);
        if self.conditions.loss == 0.0 || !self.rng.random_bool(self.conditions.loss) {
            self.timeline.schedule_after(delay, Event::Promise(rank));
        }
    }

    fn on_promise(&mut self, rank: usize) {
        self.promises[rank] = true;
        let all = self.promises.iter().all(|p| *p);
        if all && !self.conditions.coordinator_crashes {
            self.begin_write(Outcome::Commit);
        }
    }

    fn resend(&mut self) {
        if self.written.is_some() {
            return;
        }
        if self.timeline.now() >= ABORT_DELAY_MS {
            return self.begin_write(Outcome::Abort);
        }
        self.propose();
        self.timeline
            .schedule_after(RESEND_INTERVAL_MS, Event::Resend);
    }

    fn begin_write(&mut self, outcome: Outcome) {
        if self.written.is_none() && !self.writing {
            self.writing = true;
            let delay = self.rng.random_range(STORE_DELAY_MS);
            self.timeline.schedule_after(delay, Event::Write(outcome));
        }
    }

    fn store_is_down(&self) -> bool {
        self.timeline.now() < self.conditions.store_outage_ms
    }

    fn on_write(&mut self, outcome: Outcome) {
        self.costs.store_writes += 1;
        if self.store_is_down() {
            self.timeline
                .schedule_after(STORE_RETRY_MS, Event::Write(outcome));
            return;
        }
        self.written = Some(outcome);
        if self.conditions.coordinator_crashes {
            return;
        }
        for rank in 0..self.ranks.len() {
            self.send(Event::OutcomeReceived(rank));
        }
    }

    fn read(&mut self, rank: usize) {
        if self.ranks[rank].settled_at.is_some() {
            return;
        }
        self.costs.store_reads += 1;
        let delay = self.rng.random_range(STORE_DELAY_MS);
        if self.store_is_down() {
            self.timeline
                .schedule_after(STORE_RETRY_MS, Event::ReadDue(rank));
        } else {
            self.timeline.schedule_after(delay, Event::Read(rank));
        }
    }

    fn abort_as_rank(&mut self, rank: usize) {
        if self.ranks[rank].settled_at.is_none() {
            self.begin_write(Outcome::Abort);
        }
    }

    fn settle(&mut self, rank: usize) {
        let at = self.timeline.now() + 2 * ENGINE_DELAY_MS;
        self.ranks[rank].settled_at.get_or_insert(at);
    }

    fn add_to(&self, total: &mut Costs) {
        // A rank that never promised does not hold up the others.
        let promised = self.ranks.iter().filter(|r| r.promised_at.is_some());
        let last = promised.filter_map(|r| r.settled_at).max().unwrap_or(0);
        total.switches += 1;
        total.committed += u64::from(self.written == Some(Outcome::Commit));
        total.messages += self.costs.messages;
        total.store_writes += self.costs.store_writes;
        total.store_reads += self.costs.store_reads;
        total.settle_ms += last;
        total.stalled_steps += last
            .saturating_sub(SWITCH_LEAD_MS)
            .div_ceil(STEP_INTERVAL_MS);
    }
}
