//! Requests to an upstream that announces a limit for all daemons together.

use std::collections::VecDeque;
use std::time::Duration;

use async_trait::async_trait;
use oriole_admission::fleet_limit::{FleetLimits, LimitNotice, SenderPosition};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

use crate::prelude::*;

/// Sizes of the fleet: today's, a medium one and that of the design.
const FLEETS: [usize; 3] = [18, 113, 340];

/// The limit, in requests per second.
const LIMIT_PER_S: f64 = 2.0;

/// Requests per second that each daemon could send to the upstream.
const DEMAND_PER_DAEMON: f64 = 4.0;

/// Window in which arrivals are counted.
const WINDOW: Duration = Duration::from_secs(4);

/// Most arrivals in [`WINDOW`]: half as much again as the limit, and five.
const ALLOWED: f64 = LIMIT_PER_S * 1.5 * 4.0 + 5.0;

/// Length of an idle period between busy ones, in which unused permits may pile up.
const IDLE: Duration = Duration::from_secs(20);

/// Length of a busy period.
const BUSY: Duration = Duration::from_secs(40);

const TICK: Duration = Duration::from_millis(5);

/// Default length of the measured part.
const DEFAULT_DURATION: Duration = Duration::from_secs(600);

/// The slots of the fleet limiter, beside each daemon taking the whole limit, each taking an equal
/// share, and one daemon that owns the limit and is asked for every request.
pub struct AnnouncedLimit;

/// A way to keep the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Way {
    Slots,
    WholeLimit,
    EqualShares,
    Owner,
}

impl Way {
    const ALL: [Self; 4] = [
        Self::Slots,
        Self::WholeLimit,
        Self::EqualShares,
        Self::Owner,
    ];

    fn name(self) -> &'static str {
        match self {
            Self::Slots => "slots",
            Self::WholeLimit => "whole_limit",
            Self::EqualShares => "equal_shares",
            Self::Owner => "owner",
        }
    }
}

/// A bucket of permits for at most two seconds of its rate, but at least one.
#[derive(Clone, Copy)]
struct Bucket {
    per_s: f64,
    permits: f64,
}

impl Bucket {
    fn new(per_s: f64, permits: f64) -> Self {
        Self { per_s, permits }
    }

    fn refill(&mut self, time: Duration) {
        let most = (self.per_s * 2.0).max(1.0);
        self.permits = (self.permits + self.per_s * time.as_secs_f64()).min(most);
    }

    fn take(&mut self) -> bool {
        let may_take = self.permits >= 1.0;
        if may_take {
            self.permits -= 1.0;
        }
        may_take
    }
}

/// What a run counts.
#[derive(Debug, Default)]
struct Counts {
    sent: usize,
    busy: Duration,
    messages: usize,
    most_in_window: usize,
    recent: VecDeque<Duration>,
}

impl Counts {
    fn record_sent(&mut self, now: Duration) {
        self.sent += 1;
        self.recent.push_back(now);
        while self.recent.front().is_some_and(|at| *at + WINDOW <= now) {
            self.recent.pop_front();
        }
        self.most_in_window = self.most_in_window.max(self.recent.len());
    }
}

/// A fleet that keeps the limit in one way.
struct Fleet {
    way: Way,
    slots: Vec<FleetLimits>,
    /// One bucket per daemon; the owner's is the first.
    buckets: Vec<Bucket>,
}

impl Fleet {
    fn new(way: Way, daemons: usize, rng: &mut ChaCha8Rng) -> Self {
        let notice = LimitNotice {
            upstream: 1,
            per_s: Some(LIMIT_PER_S),
            at: Duration::ZERO,
        };
        let limiter = |_| {
            let mut limits = FleetLimits::default();
            limits.merge(Duration::ZERO, notice);
            limits
        };
        let share = match way {
            Way::EqualShares => LIMIT_PER_S / daemons as f64,
            _ => LIMIT_PER_S,
        };
        Self {
            way,
            slots: (0..daemons).map(limiter).collect(),
            buckets: (0..daemons)
                .map(|_| Bucket::new(share, rng.random()))
                .collect(),
        }
    }

    fn refill(&mut self, time: Duration) {
        for bucket in &mut self.buckets {
            bucket.refill(time);
        }
    }

    fn try_send(&mut self, now: Duration, daemon: usize, counts: &mut Counts) -> bool {
        match self.way {
            Way::Slots => {
                let position = SenderPosition {
                    daemons: self.slots.len(),
                    ordinal: daemon,
                };
                let limits = &mut self.slots[daemon];
                let may_send = limits.check(now, 1, position, true).is_ok();
                if may_send {
                    limits.record_sent(now, 1, position, true);
                }
                may_send
            }
            Way::WholeLimit | Way::EqualShares => self.buckets[daemon].take(),
            Way::Owner => {
                // A question and its answer.
                counts.messages += 2;
                self.buckets[0].take()
            }
        }
    }
}

fn play(way: Way, daemons: usize, options: &RunOptions) -> Counts {
    let mut rng = ChaCha8Rng::seed_from_u64(options.seed);
    let mut fleet = Fleet::new(way, daemons, &mut rng);
    let mut counts = Counts::default();
    let end = options.duration_or(DEFAULT_DURATION);
    let asks_per_tick = DEMAND_PER_DAEMON * TICK.as_secs_f64();
    let mut now = Duration::ZERO;
    while now < end {
        now += TICK;
        fleet.refill(TICK);
        let is_busy = now.as_nanos() % (IDLE + BUSY).as_nanos() >= IDLE.as_nanos();
        if !is_busy {
            continue;
        }
        counts.busy += TICK;
        for daemon in 0..daemons {
            if rng.random_bool(asks_per_tick) && fleet.try_send(now, daemon, &mut counts) {
                counts.record_sent(now);
            }
        }
    }
    counts
}

#[async_trait]
impl Experiment for AnnouncedLimit {
    fn name(&self) -> &'static str {
        "announced-limit"
    }

    fn about(&self) -> &'static str {
        "requests to an upstream that announces a limit for all daemons together"
    }

    async fn run(&self, options: &RunOptions) -> eyre::Result<Report> {
        let mut report = Report::default();
        for daemons in FLEETS {
            for way in Way::ALL {
                let counts = play(way, daemons, options);
                let busy_s = counts.busy.as_secs_f64();
                let name = |figure: &str| format!("{}_{daemons}_{figure}", way.name());
                let used = counts.sent as f64 / (busy_s * LIMIT_PER_S);
                let messages_per_s = counts.messages as f64 / busy_s;
                report
                    .figure(&name("most_in_4s"), counts.most_in_window as f64)
                    .figure(&name("used_share"), used)
                    .figure(&name("messages_per_s"), messages_per_s);
                if way == Way::Slots {
                    report
                        .bound(&name("most_in_4s"), Limit::AtMost(ALLOWED))
                        .bound(&name("used_share"), Limit::AtLeast(0.8));
                }
            }
        }
        Ok(report)
    }
}
