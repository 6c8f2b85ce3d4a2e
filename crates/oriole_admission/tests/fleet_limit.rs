//! Limits that upstreams announce, without network: cases of single decisions, and fuzzed fleets of
//! daemons against an oracle that only counts arrivals.

use std::time::Duration;

use oriole_admission::fleet_limit::{
    FleetLimits, LimitChange, LimitNotice, SLOT_LIFETIME, SenderPosition,
};
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const UPSTREAM: u64 = 0x5eed;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn named(per_s: f64, at: Duration) -> LimitNotice {
    LimitNotice {
        upstream: UPSTREAM,
        per_s: Some(per_s),
        at,
    }
}

fn ended(at: Duration) -> LimitNotice {
    LimitNotice {
        upstream: UPSTREAM,
        per_s: None,
        at,
    }
}

const ALONE: SenderPosition = SenderPosition {
    daemons: 1,
    ordinal: 0,
};

fn try_send(limits: &mut FleetLimits, now: Duration, position: SenderPosition) -> bool {
    let may_send = limits.check(now, UPSTREAM, position, true).is_ok();
    if may_send {
        limits.record_sent(now, UPSTREAM, position, true);
    }
    may_send
}

/// Sends as often as a single daemon may, once each millisecond.
fn send_eagerly(limits: &mut FleetLimits, from: Duration, to: Duration) -> usize {
    let times = (from.as_millis()..to.as_millis()).map(|at| ms(at as u64));
    times.filter(|now| try_send(limits, *now, ALONE)).count()
}

#[test]
fn check_without_limit_allows() {
    let mut limits = FleetLimits::default();
    assert!(limits.check(ms(1000), UPSTREAM, ALONE, false).is_ok());
}

#[test]
fn check_of_one_daemon_allows_whole_limit() {
    let mut limits = FleetLimits::default();
    limits.merge(ms(1000), named(2.0, ms(1000)));
    let sent = send_eagerly(&mut limits, ms(1000), ms(11_000));
    assert!((19..=21).contains(&sent), "{sent}");
}

/// Unused slots must not pile up while nobody asks.
#[test]
fn check_after_idle_time_allows_no_more_than_lifetime() {
    let mut limits = FleetLimits::default();
    limits.merge(ms(1000), named(2.0, ms(1000)));
    let burst = (0..100)
        .filter(|_| try_send(&mut limits, ms(60_500), ALONE))
        .count();
    let most = 2.0 * SLOT_LIFETIME.as_secs_f64() + 1.0;
    assert!(burst as f64 <= most, "{burst}");
    assert!(burst > 0);
}

#[test]
fn check_tells_time_of_next_slot() {
    let mut limits = FleetLimits::default();
    limits.merge(ms(1000), named(1.0, ms(1000)));
    let position = SenderPosition {
        daemons: 10,
        ordinal: 3,
    };
    let reached = limits
        .check(ms(1001), UPSTREAM, position, true)
        .unwrap_err();
    assert!(reached.next_slot <= ms(10_000), "{reached:?}");
    let then = ms(1002) + reached.next_slot;
    assert!(limits.check(then, UPSTREAM, position, true).is_ok());
}

/// Less urgent requests get what the urgent ones leave, and some slots in any case.
#[test]
fn check_lets_urgent_requests_go_first() {
    let mut limits = FleetLimits::default();
    limits.merge(ms(1000), named(1.0, ms(1000)));
    let (mut urgent, mut other) = (0, 0);
    for at in 1000..31_000 {
        for (is_urgent, sent) in [(false, &mut other), (true, &mut urgent)] {
            if limits.check(ms(at), UPSTREAM, ALONE, is_urgent).is_ok() {
                limits.record_sent(ms(at), UPSTREAM, ALONE, is_urgent);
                *sent += 1;
            }
        }
    }
    assert!(urgent > other, "{urgent} urgent, {other} others");
    assert!(other * 4 >= urgent, "{urgent} urgent, {other} others");
}

#[test]
fn merge_returns_changes_only() {
    let mut limits = FleetLimits::default();
    let mut merge = |notice| limits.merge(ms(5000), notice);
    assert_eq!(merge(ended(ms(900))), None);
    assert_eq!(merge(named(2.0, ms(1000))), Some(LimitChange::Named(2.0)));
    assert_eq!(merge(named(2.0, ms(1100))), None);
    assert_eq!(merge(named(9.0, ms(1050))), None, "an older notice");
    assert_eq!(merge(named(3.0, ms(1200))), Some(LimitChange::Named(3.0)));
    assert_eq!(merge(ended(ms(1300))), Some(LimitChange::Ended));
    assert_eq!(merge(named(3.0, ms(1250))), None, "an older notice");
    assert_eq!(merge(named(3.0, ms(1400))), Some(LimitChange::Named(3.0)));
}

/// All daemons would turn to an upstream at once whose limit ends.
#[test]
fn check_after_end_allows_more_step_by_step() {
    let mut limits = FleetLimits::default();
    limits.merge(ms(1000), named(4.0, ms(1000)));
    send_eagerly(&mut limits, ms(1000), ms(10_000));
    limits.merge(ms(10_000), ended(ms(10_000)));
    let mut last = send_eagerly(&mut limits, ms(10_000), ms(11_000));
    for second in 11..13 {
        let sent = send_eagerly(&mut limits, ms(second * 1000), ms((second + 1) * 1000));
        assert!(sent > last, "{sent} after {last}");
        last = sent;
    }
    assert_eq!(send_eagerly(&mut limits, ms(13_000), ms(13_100)), 100);
}

#[rstest]
#[case(0.0, false)]
#[case(-1.0, false)]
#[case(f64::NAN, false)]
#[case(f64::INFINITY, false)]
#[case(1e300, false)]
#[case(0.5, true)]
#[case(2.2, true)]
fn is_valid_knows_absurd_values(#[case] per_s: f64, #[case] is_valid: bool) {
    assert_eq!(FleetLimits::is_valid(per_s), is_valid);
}

#[test]
fn tick_forgets_upstreams_that_are_gone() {
    let mut limits = FleetLimits::default();
    limits.merge(ms(1000), named(1.0, ms(1000)));
    limits.tick(ms(60_000), |_| true);
    assert!(limits.is_limited(UPSTREAM));
    limits.tick(ms(60_000), |_| false);
    assert!(!limits.is_limited(UPSTREAM));
}

/// Upstreams choose what they name, so their number is not limited by anything else.
#[test]
fn merge_keeps_bounded_number_of_limits() {
    let mut limits = FleetLimits::default();
    for upstream in 0..10_000 {
        let notice = LimitNotice {
            upstream,
            per_s: Some(1.0),
            at: ms(1000),
        };
        limits.merge(ms(1000), notice);
    }
    assert!(limits.notices(0, usize::MAX).len() <= 4096);
}

#[test]
fn notices_in_turn_reach_late_starter() {
    let (mut old, mut new) = (FleetLimits::default(), FleetLimits::default());
    for upstream in 0..200 {
        let notice = LimitNotice {
            upstream,
            per_s: Some(1.0),
            at: ms(1000 + upstream),
        };
        old.merge(ms(2000), notice);
    }
    for turn in 0..20 {
        for notice in old.notices(turn, 24) {
            new.merge(ms(2000), notice);
        }
    }
    assert!((0..200).all(|upstream| new.is_limited(upstream)));
}

/// What happens to a fleet besides its requests.
#[derive(Clone, Debug)]
enum Event {
    /// The upstream names another limit.
    Name { per_s: f64 },
    /// It no longer names one.
    End,
    /// A daemon loses all that it knows.
    Restart { daemon: prop::sample::Index },
    /// A daemon stands still, and so does its clock.
    Freeze {
        daemon: prop::sample::Index,
        ms: u64,
    },
    /// No daemon sends anything.
    Idle { ms: u64 },
    /// All daemons send as much as they may.
    Busy { ms: u64 },
}

fn event() -> impl Strategy<Value = Event> {
    let daemon = any::<prop::sample::Index>;
    prop_oneof![
        2 => (0.2..12.0_f64).prop_map(|per_s| Event::Name { per_s }),
        1 => Just(Event::End),
        1 => daemon().prop_map(|daemon| Event::Restart { daemon }),
        1 => (daemon(), 500..6000_u64).prop_map(|(daemon, ms)| Event::Freeze { daemon, ms }),
        2 => (500..9000_u64).prop_map(|ms| Event::Idle { ms }),
        4 => (500..9000_u64).prop_map(|ms| Event::Busy { ms }),
    ]
}

/// Faults of the limiter that the oracle must find.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Variant {
    Sound,
    /// Each daemon takes the whole limit.
    WholeLimit,
}

const TICK: Duration = ms(50);
const WINDOW: Duration = ms(4000);
/// Time after which a daemon that knows a limit must keep it.
const TOLD: Duration = ms(500);
/// Time after the first naming or a change from which the bound holds.
const CONTACT_BOUND: Duration = ms(3000);

struct Daemon {
    limits: FleetLimits,
    /// Time of its clock less the true time.
    clock_ahead: Duration,
    /// True time that its clock has missed.
    frozen_for: Duration,
    frozen_until: Duration,
    /// Time at which it learned of the present limit.
    told_at: Option<Duration>,
}

struct Fleet {
    variant: Variant,
    now: Duration,
    random: u64,
    daemons: Vec<Daemon>,
    per_s: Option<f64>,
    /// Limits by the time of the first answer that named them; `None` for none.
    named: Vec<(Duration, Option<f64>)>,
    /// Times of requests from daemons that had been told of the limit.
    arrivals: Vec<Duration>,
    /// Arrivals while all asked all the time, with the time that this took under a limit.
    busy_sent: f64,
    busy_allowed: f64,
}

impl Fleet {
    fn new(variant: Variant, daemons: usize) -> Self {
        let daemons = (0..daemons).map(|i| Daemon {
            limits: FleetLimits::default(),
            clock_ahead: ms(7919 * i as u64 % 60_000),
            frozen_for: Duration::ZERO,
            frozen_until: Duration::ZERO,
            told_at: None,
        });
        Self {
            variant,
            now: ms(100_000),
            random: 1,
            daemons: daemons.collect(),
            per_s: None,
            named: Vec::new(),
            arrivals: Vec::new(),
            busy_sent: 0.0,
            busy_allowed: 0.0,
        }
    }

    fn next_random(&mut self) -> usize {
        self.random = self
            .random
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        (self.random >> 33) as usize
    }

    fn clock(&self, daemon: usize) -> Duration {
        let daemon = &self.daemons[daemon];
        self.now + daemon.clock_ahead - daemon.frozen_for
    }

    fn position(&self, daemon: usize) -> SenderPosition {
        match self.variant {
            Variant::WholeLimit => ALONE,
            _ => SenderPosition {
                daemons: self.daemons.len(),
                ordinal: daemon,
            },
        }
    }

    /// A daemon sends one request if it may, and hears the upstream's answer.
    fn request(&mut self, daemon: usize) {
        let (clock, position) = (self.clock(daemon), self.position(daemon));
        if !try_send(&mut self.daemons[daemon].limits, clock, position) {
            return;
        }
        let told_at = self.daemons[daemon].told_at;
        if told_at.is_some_and(|at| self.now >= at + TOLD) {
            self.arrivals.push(self.now);
        }
        if self
            .named
            .last()
            .is_none_or(|(_, per_s)| *per_s != self.per_s)
        {
            self.named.push((self.now, self.per_s));
        }
        let limits = &mut self.daemons[daemon].limits;
        let notice = LimitNotice {
            upstream: UPSTREAM,
            per_s: self.per_s,
            at: limits.fleet_time(clock),
        };
        limits.merge(clock, notice);
        if self.per_s.is_some() {
            self.daemons[daemon].told_at.get_or_insert(self.now);
        }
    }

    /// Each daemon tells a few others, as heartbeats do; some messages are lost.
    fn gossip(&mut self) {
        for from in 0..self.daemons.len() {
            if self.now < self.daemons[from].frozen_until {
                continue;
            }
            let clock = self.clock(from);
            let notices = self.daemons[from].limits.notices(0, 24);
            let fleet_time = self.daemons[from].limits.fleet_time(clock);
            for _ in 0..6 {
                let to = self.next_random() % self.daemons.len();
                let is_lost = self.next_random().is_multiple_of(10);
                if to == from || is_lost || self.now < self.daemons[to].frozen_until {
                    continue;
                }
                let own = self.clock(to);
                self.daemons[to].limits.adopt_fleet_time(own, fleet_time);
                for notice in &notices {
                    self.daemons[to].limits.merge(own, *notice);
                }
            }
        }
    }

    fn run(&mut self, time: Duration, is_busy: bool) {
        let end = self.now + time;
        while self.now < end {
            self.now += TICK;
            if self.now.as_millis().is_multiple_of(150) {
                self.gossip();
            }
            if !is_busy {
                continue;
            }
            let sent_before = self.arrivals.len();
            for daemon in 0..self.daemons.len() {
                if self.now >= self.daemons[daemon].frozen_until {
                    self.request(daemon);
                }
            }
            if self.is_settled(self.now)
                && let Some(per_s) = self.per_s
            {
                self.busy_sent += (self.arrivals.len() - sent_before) as f64;
                self.busy_allowed += per_s * TICK.as_secs_f64();
            }
        }
    }

    /// Whether the present limit has held for long enough to be known everywhere.
    fn is_settled(&self, at: Duration) -> bool {
        let last = self.named.last();
        last.is_some_and(|(since, _)| at >= *since + CONTACT_BOUND)
    }

    /// Most that the upstream may get in the window before `end`; `None` if the bound does not hold
    /// there.
    fn allowed(&self, end: Duration) -> Option<f64> {
        let from = end - WINDOW;
        let in_force: Vec<Option<f64>> = self
            .named
            .iter()
            .enumerate()
            .filter(|(i, (since, _))| {
                let next = self.named.get(i + 1);
                *since <= end && next.is_none_or(|(until, _)| *until + CONTACT_BOUND >= from)
            })
            .map(|(_, (_, per_s))| *per_s)
            .collect();
        let first_at = self.named.first()?.0;
        if from < first_at + CONTACT_BOUND {
            return None;
        }
        let highest = in_force.into_iter().collect::<Option<Vec<f64>>>()?;
        let highest = highest.into_iter().fold(0.0, f64::max);
        Some(highest * 1.5 * WINDOW.as_secs_f64() + 5.0)
    }

    fn violation(&self) -> Option<String> {
        for (i, end) in self.arrivals.iter().enumerate() {
            let Some(allowed) = self.allowed(*end) else {
                continue;
            };
            let from = *end - WINDOW;
            let arrived = self.arrivals[..=i].iter().rev().take_while(|t| **t > from);
            let arrived = arrived.count();
            if arrived as f64 > allowed {
                return Some(format!("{arrived} arrivals in a window, {allowed} allowed"));
            }
        }
        None
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Name { per_s } => self.per_s = Some(*per_s),
            Event::End => self.per_s = None,
            Event::Restart { daemon } => {
                let i = daemon.index(self.daemons.len());
                self.daemons[i].limits = FleetLimits::default();
                self.daemons[i].told_at = None;
            }
            Event::Freeze { daemon, ms: millis } => {
                let i = daemon.index(self.daemons.len());
                let daemon = &mut self.daemons[i];
                daemon.frozen_until = self.now + ms(*millis);
                daemon.frozen_for += ms(*millis);
            }
            Event::Idle { ms: millis } => self.run(ms(*millis), false),
            Event::Busy { ms: millis } => self.run(ms(*millis), true),
        }
    }
}

fn play(variant: Variant, daemons: usize, events: &[Event]) -> Fleet {
    let mut fleet = Fleet::new(variant, daemons);
    fleet.run(ms(2000), true);
    for event in events {
        fleet.apply(event);
    }
    fleet
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 600,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(31),
        ..ProptestConfig::default()
    })]

    /// Guards against fleets that send an upstream more than the limit that it announces, through
    /// changes of the limit, restarts, frozen daemons and lost messages.
    #[test]
    fn fleet_keeps_announced_limit(
        daemons in 1..60_usize,
        events in prop::collection::vec(event(), 1..30),
    ) {
        prop_assert_eq!(play(Variant::Sound, daemons, &events).violation(), None);
    }
}

/// An upstream names a limit, nobody asks for a while, and then all do.
fn burst_after_idle_time() -> Vec<Event> {
    let steps = [
        Event::Name { per_s: 2.0 },
        Event::Busy { ms: 8000 },
        Event::Idle { ms: 9000 },
        Event::Busy { ms: 30_000 },
    ];
    steps.to_vec()
}

/// At every size of the fleet the bound holds, and busy callers get most of the limit.
#[rstest]
#[case(17)]
#[case(113)]
#[case(340)]
fn fleet_uses_and_keeps_limit(#[case] daemons: usize) {
    let fleet = play(Variant::Sound, daemons, &burst_after_idle_time());
    assert_eq!(fleet.violation(), None);
    let used = fleet.busy_sent / fleet.busy_allowed;
    assert!(used > 0.8, "{used} of the limit used");
}

#[rstest]
#[case(17)]
#[case(113)]
#[case(340)]
fn oracle_finds_whole_limit_at_each_daemon(#[case] daemons: usize) {
    let fleet = play(Variant::WholeLimit, daemons, &burst_after_idle_time());
    assert!(fleet.violation().is_some());
}
