//! Decides which streams of a service start, wait or are refused.

use std::collections::HashMap;
use std::time::Duration;

use crate::class_window::ClassWindow;
use crate::rate::Rate;
pub use crate::stream_demand::{
    Conditions, Decision, HoldReason, START_SHARE, Standstill, StreamDemand,
};
use crate::stream_limit::FLOOR_SHARE;

/// Time for which a priority counts as a class after its last request.
const CLASS_RETENTION: Duration = Duration::from_secs(10);

/// Share of the limit that the most urgent of several classes may fill.
const FIRST_SHARE: f64 = 1.1;

/// Share of the limit that the least urgent of several classes may fill.
const LAST_SHARE: f64 = 0.85;

/// Most requests of a service that wait in one daemon; bounds its memory.
pub const MAX_WAITING: usize = 128;

/// Share of a class's arrivals below which its next request may start above the limit.
const STARVED_BELOW: f64 = 0.4;

/// Requests that may start above the limit per second, over all daemons, as a share of the limit.
const ABOVE_LIMIT_PER_S: f64 = 0.05;

/// Time after arrival, and after the begin of a standstill, for which requests wait for the group.
/// Callers leave after about two seconds without an event.
pub const STANDSTILL_WAIT: Duration = Duration::from_millis(1500);

/// Time between two requests that show whether a group that stands still goes on.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Time in which a daemon uses its share of the room below the limit, beyond the age of what it knows:
/// the interval of the limit's steps.
const CREDIT_TIME: Duration = Duration::from_millis(200);

/// Most requests that a daemon may have saved up. Its requests arrive unevenly; with 3, some waited at
/// the usual load.
const MAX_CREDIT: f64 = 6.0;

/// Assumed time that a stream runs before one has ended: 23 events at 100 ms.
const DEFAULT_STREAM_S: f64 = 2.3;

/// Least mean time that streams run, so that failing ones do not look like room.
const MIN_STREAM_S: f64 = 0.5;

/// Weight of a stream that ended in the mean time that streams run.
const STREAM_WEIGHT: f64 = 0.05;

/// Daemons that may all probe in that interval. More take turns: an event of a probe reaches all daemons
/// with the next heartbeats, and 69 daemons would send 170 probes a second.
const MAX_PROBE_SENDERS: f64 = 10.0;

/// Least `Retry-After` of a request that is refused for pace, in seconds.
const RETRY_MIN_S: f64 = 0.5;

/// Width of the random part of that `Retry-After`, in seconds.
const RETRY_SPREAD_S: f64 = 0.5;

/// Time that is added if all requests of the last second were refused, in seconds.
const RETRY_PRESSURE_S: f64 = 1.0;

/// Share by which the `Retry-After` of a request refused in a standstill is longer or shorter.
const STANDSTILL_SPREAD: f64 = 0.5;

#[derive(Debug)]
struct Class {
    priority: u8,
    seen_at: Duration,
    window: ClassWindow,
    /// Requests of the class that this daemon may let start now. Requests of other classes count too,
    /// as they use the same room.
    credit: f64,
}

#[derive(Clone, Copy, Debug)]
enum WaitState {
    Queued,
    Released { is_probe: bool },
}

#[derive(Debug)]
struct Waiting {
    demand: StreamDemand,
    state: WaitState,
    /// Whether the service stood still meanwhile.
    saw_standstill: bool,
}

impl Waiting {
    /// Time until which it may start. One that waited for its group to go on is late, but its caller
    /// still waits.
    fn start_by(&self) -> Duration {
        let start_by = self.demand.start_by();
        if self.saw_standstill {
            start_by.max(self.demand.received_at + STANDSTILL_WAIT)
        } else {
            start_by
        }
    }
}

/// Admission of the streams of one service in one daemon.
#[derive(Debug, Default)]
pub struct StreamAdmission {
    classes: Vec<Class>,
    waiting: Vec<Waiting>,
    running_tokens: HashMap<u64, u64>,
    admissions: Rate,
    /// Requests that the floor would let start above the limit.
    floor_demand: Rate,
    /// Requests that may start above the limit now.
    floor_credit: f64,
    floor_refilled_at: Duration,
    refilled_at: Duration,
    /// Moving average of the time that a stream runs, in seconds; `None` before the first end.
    stream_s: Option<f64>,
    /// Time of the next probe; `None` before the first standstill.
    probe_due: Option<Duration>,
}

impl StreamAdmission {
    /// Decides on a new request.
    pub fn offer(&mut self, now: Duration, demand: StreamDemand, cx: &Conditions) -> Decision {
        self.record_arrival(now, demand.priority);
        self.refill(now, cx);
        self.release(now, cx);
        if let Some(standstill) = cx.standstill {
            return self.offer_in_standstill(now, demand, standstill, cx);
        }
        let position = self.position(&demand);
        if (position == 0 && self.has_room(now, demand.priority, cx))
            || self.allows_above_limit(now, demand.priority, cx)
        {
            return self.admit(now, &demand, false);
        }
        let remaining = demand.start_by().saturating_sub(now).as_secs_f64();
        let can_start =
            position == 0 || position as f64 + 1.0 <= self.admissions.current(now) * remaining;
        if remaining > 0.0 && can_start && self.enqueue(demand) {
            return Decision::Wait {
                reason: HoldReason::Pace,
                position,
            };
        }
        self.refuse(now, &demand, HoldReason::Pace, cx)
    }

    /// Decides on a waiting request. After any other decision than to wait, it waits no more.
    pub fn poll(&mut self, now: Duration, id: u64, cx: &Conditions) -> Decision {
        self.refill(now, cx);
        self.release(now, cx);
        let reason = match cx.standstill {
            Some(_) => HoldReason::Standstill,
            None => HoldReason::Pace,
        };
        let Some(i) = self.waiting.iter().position(|w| w.demand.id == id) else {
            // A more urgent request has taken its place.
            return Decision::Refuse {
                reason,
                retry_after: self.retry_after(now, None, reason, cx),
            };
        };
        let demand = self.waiting[i].demand;
        if let WaitState::Released { is_probe } = self.waiting[i].state {
            self.waiting.swap_remove(i);
            return Decision::Admit { is_probe };
        }
        let is_over = match cx.standstill {
            Some(standstill) if standstill.lasted >= STANDSTILL_WAIT => true,
            _ => now >= self.waiting[i].start_by(),
        };
        if is_over {
            self.waiting.swap_remove(i);
            return self.refuse(now, &demand, reason, cx);
        }
        Decision::Wait {
            reason,
            position: self.position(&demand),
        }
    }

    /// Records that a waiting request has gone, for example with its caller.
    pub fn leave(&mut self, id: u64) {
        let Some(i) = self.waiting.iter().position(|w| w.demand.id == id) else {
            return;
        };
        let gone = self.waiting.swap_remove(i);
        if matches!(gone.state, WaitState::Released { .. }) {
            self.free_tokens(gone.demand.account, gone.demand.tokens);
        }
    }

    /// Records that a request of an account has ended that was admitted and ran for a time.
    pub fn finish(&mut self, account: u64, tokens: u64, ran: Duration) {
        let ran = ran.as_secs_f64();
        let mean = self.stream_s.unwrap_or(ran);
        self.stream_s = Some((mean + STREAM_WEIGHT * (ran - mean)).max(MIN_STREAM_S));
        self.free_tokens(account, tokens);
    }

    fn free_tokens(&mut self, account: u64, tokens: u64) {
        if let Some(running) = self.running_tokens.get_mut(&account) {
            *running = running.saturating_sub(tokens);
            if *running == 0 {
                self.running_tokens.remove(&account);
            }
        }
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.queued().count()
    }

    /// Place of a priority among the classes, from zero, and the number of classes.
    #[must_use]
    pub fn rank(&self, now: Duration, priority: u8) -> (usize, usize) {
        let recent = |c: &&Class| c.priority == priority || now < c.seen_at + CLASS_RETENTION;
        let (mut rank, mut classes) = (0, 0);
        for class in self.classes.iter().filter(recent) {
            classes += 1;
            rank += usize::from(class.priority < priority);
        }
        (rank, classes.max(1))
    }

    /// Streams up to which a request of a priority may start.
    #[must_use]
    pub fn class_limit(&self, now: Duration, priority: u8, limit: f64, slots: u32) -> f64 {
        let (rank, classes) = self.rank(now, priority);
        let share = if classes > 1 {
            let step = (FIRST_SHARE - LAST_SHARE) / (classes - 1) as f64;
            FIRST_SHARE - step * rank as f64
        } else {
            1.0
        };
        (limit * share).max(f64::from(slots) * FLOOR_SHARE)
    }

    fn offer_in_standstill(
        &mut self,
        now: Duration,
        demand: StreamDemand,
        standstill: Standstill,
        cx: &Conditions,
    ) -> Decision {
        let position = self.position(&demand);
        if position == 0 && self.takes_probe(now, cx) {
            return self.admit(now, &demand, true);
        }
        if standstill.lasted < STANDSTILL_WAIT && self.enqueue(demand) {
            return Decision::Wait {
                reason: HoldReason::Standstill,
                position,
            };
        }
        self.refuse(now, &demand, HoldReason::Standstill, cx)
    }

    fn record_arrival(&mut self, now: Duration, priority: u8) {
        self.classes
            .retain(|c| c.priority == priority || now < c.seen_at + CLASS_RETENTION);
        if self.class_mut(priority).is_none() {
            self.classes.push(Class {
                priority,
                seen_at: now,
                window: ClassWindow::default(),
                credit: MAX_CREDIT,
            });
        }
        if let Some(class) = self.class_mut(priority) {
            class.seen_at = now;
            class.window.record_arrival(now);
        }
    }

    fn class_mut(&mut self, priority: u8) -> Option<&mut Class> {
        self.classes.iter_mut().find(|c| c.priority == priority)
    }

    /// Whether the limit of the class leaves room, as far as this daemon may use it.
    fn has_room(&self, now: Duration, priority: u8, cx: &Conditions) -> bool {
        let Some(limit) = cx.limit else {
            return true;
        };
        let (rank, classes) = self.rank(now, priority);
        let class = self.classes.iter().find(|c| c.priority == priority);
        let has_credit = class.is_none_or(|c| c.credit >= 1.0);
        cx.running < self.class_limit(now, priority, limit, cx.slots)
            && (has_credit || (rank == 0 && classes > 1))
    }

    /// Adds to each class's credit what this daemon may let start: its share of the streams that end
    /// and of the room below the class limit. The room is spread over the time until peers' reports
    /// show that it is used; otherwise all daemons would use it at once.
    fn refill(&mut self, now: Duration, cx: &Conditions) {
        let since = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.refilled_at = now;
        let Some(limit) = cx.limit else {
            return;
        };
        let daemons = cx.daemons.max(1) as f64;
        let horizon = (CREDIT_TIME + cx.view_age * 2).as_secs_f64();
        let ends_per_s = cx.running / self.stream_s.unwrap_or(DEFAULT_STREAM_S);
        for i in 0..self.classes.len() {
            let priority = self.classes[i].priority;
            let room = self.class_limit(now, priority, limit, cx.slots) - cx.running;
            let per_s = (ends_per_s + room.max(0.0) / horizon) / daemons;
            let most = (per_s * CREDIT_TIME.as_secs_f64()).max(MAX_CREDIT);
            let class = &mut self.classes[i];
            class.credit = if cx.standstill.is_some() || room <= 0.0 {
                // All daemons have requests waiting when there is room again, so their first parts
                // of a request are spread.
                class.credit.min(cx.point)
            } else {
                (class.credit + per_s * since).min(most)
            };
        }
    }

    /// Whether a request may start above the limit because its class is starved. Each daemon lets a
    /// random part of such requests start, so that all together keep the rate; the credit bounds it
    /// until the rate of such requests is known.
    fn allows_above_limit(&mut self, now: Duration, priority: u8, cx: &Conditions) -> bool {
        let Some(limit) = cx.limit.filter(|_| cx.running < f64::from(cx.slots)) else {
            return false;
        };
        let window = self.classes.iter().find(|c| c.priority == priority);
        let (arrivals, admitted) = window.map_or((0, 0), |c| c.window.totals(now));
        if f64::from(admitted) >= STARVED_BELOW * f64::from(arrivals) {
            return false;
        }
        let per_s = limit * ABOVE_LIMIT_PER_S / cx.daemons.max(1) as f64;
        let since = now.saturating_sub(self.floor_refilled_at).as_secs_f64();
        self.floor_refilled_at = now;
        self.floor_credit = (self.floor_credit + per_s * since).min(per_s.max(1.0));
        let is_allowed =
            cx.point < per_s / self.floor_demand.record(now) && self.floor_credit >= 1.0;
        if is_allowed {
            self.floor_credit -= 1.0;
        }
        is_allowed
    }

    /// Lets waiting requests start, most urgent first.
    fn release(&mut self, now: Duration, cx: &Conditions) {
        if cx.standstill.is_some() {
            for waiting in &mut self.waiting {
                waiting.saw_standstill = true;
            }
            if let Some(i) = self.next_waiting(now)
                && self.takes_probe(now, cx)
            {
                self.start_waiting(now, i, true);
            }
            return;
        }
        let mut cx = *cx;
        while let Some(i) = self.next_waiting(now) {
            let priority = self.waiting[i].demand.priority;
            if !self.has_room(now, priority, &cx) {
                return;
            }
            self.start_waiting(now, i, false);
            cx.running += 1.0;
        }
    }

    fn start_waiting(&mut self, now: Duration, i: usize, is_probe: bool) {
        let demand = self.waiting[i].demand;
        self.admit(now, &demand, is_probe);
        self.waiting[i].state = WaitState::Released { is_probe };
    }

    /// Whether this daemon sends the next probe now.
    fn takes_probe(&mut self, now: Duration, cx: &Conditions) -> bool {
        let senders = (cx.daemons as f64 / MAX_PROBE_SENDERS).max(1.0);
        let interval = PROBE_INTERVAL.mul_f64(senders);
        // The first probes of all daemons are spread over the interval.
        let first = now + (interval - PROBE_INTERVAL).mul_f64(cx.point);
        let due = *self.probe_due.get_or_insert(first);
        if now < due {
            return false;
        }
        self.probe_due = Some(now + interval);
        true
    }

    fn admit(&mut self, now: Duration, demand: &StreamDemand, is_probe: bool) -> Decision {
        if let Some(class) = self.class_mut(demand.priority) {
            class.window.record_admitted(now);
        }
        for class in &mut self.classes {
            class.credit = (class.credit - 1.0).max(-MAX_CREDIT);
        }
        self.admissions.record(now);
        let running = self.running_tokens.entry(demand.account).or_default();
        *running = running.saturating_add(demand.tokens);
        Decision::Admit { is_probe }
    }

    fn refuse(
        &mut self,
        now: Duration,
        demand: &StreamDemand,
        reason: HoldReason,
        cx: &Conditions,
    ) -> Decision {
        let retry_after = self.retry_after(now, Some(demand.priority), reason, cx);
        if let Some(class) = self.class_mut(demand.priority) {
            class.window.record_refused(now);
        }
        Decision::Refuse {
            reason,
            retry_after,
        }
    }

    fn retry_after(
        &self,
        now: Duration,
        priority: Option<u8>,
        reason: HoldReason,
        cx: &Conditions,
    ) -> Duration {
        if reason == HoldReason::Standstill {
            let factor = 1.0 + STANDSTILL_SPREAD * (2.0 * cx.point - 1.0);
            return STANDSTILL_WAIT.mul_f64(factor);
        }
        let counts = |c: &&Class| priority.is_none_or(|p| p == c.priority);
        let decided = self.classes.iter().filter(counts);
        let (admitted, refused) = decided.fold((0, 0), |(admitted, refused), c| {
            let (a, r) = c.window.decided(now);
            (admitted + a, refused + r)
        });
        let pressure = f64::from(refused) / f64::from((admitted + refused).max(1));
        let spread = RETRY_SPREAD_S * cx.point;
        Duration::from_secs_f64(RETRY_MIN_S + RETRY_PRESSURE_S * pressure + spread)
    }

    /// Adds a request to the queue; `false` if it is full of requests that go first. Otherwise the
    /// last one leaves for it.
    fn enqueue(&mut self, demand: StreamDemand) -> bool {
        if self.waiting.len() >= MAX_WAITING {
            let last = self
                .queued()
                .max_by_key(|(_, w)| self.order(&w.demand))
                .map(|(i, w)| (i, self.order(&w.demand)));
            match last {
                Some((i, order)) if order > self.order(&demand) => {
                    self.waiting.swap_remove(i);
                }
                _ => return false,
            }
        }
        self.waiting.push(Waiting {
            demand,
            state: WaitState::Queued,
            saw_standstill: false,
        });
        true
    }

    fn queued(&self) -> impl Iterator<Item = (usize, &Waiting)> {
        let waiting = self.waiting.iter().enumerate();
        waiting.filter(|(_, w)| matches!(w.state, WaitState::Queued))
    }

    fn next_waiting(&self, now: Duration) -> Option<usize> {
        let in_time = self.queued().filter(|(_, w)| now < w.start_by());
        let first = in_time.min_by_key(|(_, w)| self.order(&w.demand));
        first.map(|(i, _)| i)
    }

    /// Number of waiting requests that go before a request.
    fn position(&self, demand: &StreamDemand) -> usize {
        let order = self.order(demand);
        let before = self.queued().filter(|(_, w)| self.order(&w.demand) < order);
        before.count()
    }

    /// Order of waiting requests: the lowest goes first.
    fn order(&self, demand: &StreamDemand) -> (u8, u64, Duration, u64) {
        let running = self.running_tokens.get(&demand.account);
        (
            demand.priority,
            running.copied().unwrap_or(0),
            demand.received_at + demand.objective,
            demand.id,
        )
    }
}
