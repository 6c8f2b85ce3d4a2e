//! What an entry knows of one upstream and the estimates it draws from that.

use std::time::Duration;

use oriole_types::prelude::*;

use super::config::RouterConfig;
use super::health::Health;

/// Weight of the newest service time measured by the entry itself.
const SERVICE_SMOOTHING: f64 = 0.2;

/// Capacity of an upstream as the catalog states it for the upstream's pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedCapacity {
    /// Requests in flight it bears in cold start.
    pub cold: u32,
    /// Requests in flight it bears warm.
    pub warm: u32,
}

/// Part of a round in which an entry may warm an upstream; one that finds no slot then lets the
/// round pass, so that not all fire when a slot is told to be free.
const MOMENT: f64 = 0.1;

/// Shortest time in which an entry may warm an upstream.
const SHORTEST_MOMENT: Duration = Duration::from_millis(200);

/// One upstream as one entry knows it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Failure domain it lies in.
    pub domain: DomainName,
    /// What the catalog says it bears.
    pub stated: StatedCapacity,
    /// Whether list and catalog let it take new work.
    pub in_service: bool,
    /// Requests of this entry that run there.
    pub own: u32,
    /// Failures seen.
    pub health: Health,
    /// Time until which it gets nothing after a refusal.
    pub hold_until: Duration,
    /// Start of its slow start, if it has not passed.
    pub ramp_from: Option<Duration>,
    report: Option<Report>,
    measured: Option<Measured>,
    started: Duration,
}

/// The smoothed service time that this entry measured, and when it last did.
#[derive(Clone, Copy, Debug)]
struct Measured {
    service: Duration,
    at: Duration,
}

/// The newest load report and when it was made, by this entry's clock.
#[derive(Clone, Copy, Debug)]
struct Report {
    load: LoadReport,
    made: Duration,
    own: u32,
}

impl Report {
    /// Requests at the upstream when the report was made.
    fn total(&self) -> f64 {
        f64::from(self.load.in_flight) + f64::from(self.load.queued)
    }
}

impl Upstream {
    /// An upstream of which nothing is known yet.
    #[must_use]
    pub fn new(domain: DomainName, stated: StatedCapacity) -> Self {
        Self {
            domain,
            stated,
            in_service: false,
            own: 0,
            health: Health::default(),
            hold_until: Duration::ZERO,
            ramp_from: None,
            report: None,
            measured: None,
            started: Duration::ZERO,
        }
    }

    /// Takes in a load report, unless a newer one is held; returns whether it was newer.
    pub fn note_report(&mut self, now: Duration, load: &LoadReport) -> bool {
        let made = now.saturating_sub(Duration::from_millis(load.age_ms.into()));
        let newer = self.report.is_none_or(|r| r.made <= made);
        if newer {
            self.report = Some(Report {
                load: *load,
                made,
                own: self.own,
            });
        }
        newer
    }

    /// What the newest report says for the average over the pool: the load as a part of the limit,
    /// and how much that counts. A cold upstream counts little, and requests that wait there say
    /// nothing of the others.
    #[must_use]
    pub fn sample(&self) -> Option<(f64, f64)> {
        let report = self.report?;
        let limit = f64::from(report.load.limit.max(1));
        let part = (report.total() / limit).min(1.0);
        let weight = (limit / f64::from(self.stated.warm.max(1))).min(1.0);
        Some((part, weight))
    }

    /// Notes an attempt that was sent there.
    pub fn started(&mut self, now: Duration) {
        self.own += 1;
        self.started = now;
    }

    /// Whether the upstream is in cold start, has a slot by its newest report, and is due for a
    /// request: so many entries send as much together as it bears, each once a round at a moment
    /// of its own.
    #[must_use]
    pub fn is_warming_due(&self, now: Duration, entries: u32, cfg: &RouterConfig) -> bool {
        let Some(report) = self.report.filter(|r| r.load.cold) else {
            return false;
        };
        let limit = f64::from(self.limit());
        let has_slot = report.total() + f64::from(self.own.saturating_sub(report.own)) < limit;
        let turn = f64::from(entries.max(1)) / (limit * cfg.warming_load);
        let round = self
            .said_service(cfg)
            .mul_f64(turn)
            .max(Duration::from_millis(1));
        let number = (now.as_nanos() / round.as_nanos()) as u32;
        let begins = round * number;
        let moment = begins + round.mul_f64(unit_of(cfg.warming_seed ^ u64::from(number)));
        let lasts = round.mul_f64(MOMENT).max(SHORTEST_MOMENT);
        has_slot && now >= moment && now < moment + lasts && self.started < begins
    }

    /// Service time that the agent said; unlike [`Upstream::service`] it stands still between
    /// reports, as the rounds of warming need it.
    fn said_service(&self, cfg: &RouterConfig) -> Duration {
        let said = self.report.map(|r| r.load.service_ms).filter(|ms| *ms > 0);
        said.map_or(cfg.assumed_service, |ms| Duration::from_millis(ms.into()))
    }

    /// Notes how long a whole answer took.
    pub fn note_service(&mut self, now: Duration, elapsed: Duration) {
        let service = self.measured.map_or(elapsed, |held| {
            let old = held.service.mul_f64(1.0 - SERVICE_SMOOTHING);
            old + elapsed.mul_f64(SERVICE_SMOOTHING)
        });
        self.measured = Some(Measured { service, at: now });
    }

    /// Starts over after the upstream was away: what it said before counts no more.
    pub fn restart(&mut self, now: Duration) {
        self.report = None;
        self.measured = None;
        self.health = Health::default();
        self.hold_until = now;
        self.ramp_from = Some(now);
    }

    /// Whether the agent said that it takes no new work, not too long ago.
    #[must_use]
    pub fn is_leaving(&self, now: Duration, cfg: &RouterConfig) -> bool {
        self.report
            .is_some_and(|r| r.load.leaving && now.saturating_sub(r.made) < cfg.leaving_ttl)
    }

    /// Most requests in flight that the upstream admits, as far as is known.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let said = self.report.map(|r| r.load.limit);
        said.unwrap_or(self.stated.cold)
            .clamp(1, self.stated.warm.max(1))
    }

    /// Requests believed at the upstream: what the report said and what this entry did since, a
    /// belief that fades to the average over the pool as the report ages.
    #[must_use]
    pub fn load(&self, now: Duration, pool_load: f64, cfg: &RouterConfig) -> f64 {
        let own = f64::from(self.own);
        let average = pool_load * f64::from(self.limit());
        let believed = self.report.map_or(average, |r| {
            let age = now.saturating_sub(r.made).as_secs_f64();
            let belief = (-age / cfg.load_half_life.as_secs_f64()).exp2();
            let moved = r.total() + own - f64::from(r.own);
            moved * belief + average * (1.0 - belief)
        });
        believed.max(own)
    }

    /// Requests of a class that this entry may still send: by capacity and by slow start.
    #[must_use]
    pub fn room(
        &self,
        now: Duration,
        pool_load: f64,
        priority: Priority,
        cfg: &RouterConfig,
    ) -> f64 {
        let limit = f64::from(self.limit());
        let by_load = limit + self.waiting_room(priority, cfg) - self.load(now, pool_load, cfg);
        by_load.min(self.own_cap(now, cfg) - f64::from(self.own))
    }

    /// Requests that may wait at the upstream when one of a class is sent. A short queue there
    /// refills a slot at once and lets the agent put urgent requests first; a cold upstream gets
    /// none.
    fn waiting_room(&self, priority: Priority, cfg: &RouterConfig) -> f64 {
        if self.limit() < self.stated.warm {
            return 0.0;
        }
        let part = match priority {
            Priority::High => cfg.high_waiting,
            Priority::Normal | Priority::Low => cfg.usual_waiting,
        };
        (part * f64::from(self.limit())).floor()
    }

    /// Whether nothing fresh is known of the upstream, so that it may be tried although it seems
    /// full.
    #[must_use]
    pub fn is_unknown(&self, now: Duration, cfg: &RouterConfig) -> bool {
        let own_cap = self.own_cap(now, cfg);
        let news = self.report.map_or(Duration::ZERO, |r| r.made);
        f64::from(self.own) + 1.0 <= own_cap && now.saturating_sub(news) >= cfg.probe_min
    }

    /// Part of its full share that the upstream gets during slow start, between 0 and 1.
    #[must_use]
    pub fn ramp(&self, now: Duration, cfg: &RouterConfig) -> f64 {
        self.ramp_from.map_or(1.0, |from| {
            let elapsed = now.saturating_sub(from).as_secs_f64();
            (elapsed / cfg.slow_start.as_secs_f64()).min(1.0)
        })
    }

    /// Service time that a request can expect: what this entry measured, a belief that fades to
    /// the average over the pool as it ages.
    ///
    /// Without the fading an upstream whose last requests happened to be long would look slow for
    /// good, since it gets none that could show otherwise.
    #[must_use]
    pub fn service(&self, now: Duration, pool_service: Duration, cfg: &RouterConfig) -> Duration {
        self.measured.map_or(pool_service, |measured| {
            let age = now.saturating_sub(measured.at).as_secs_f64();
            let belief = (-age / cfg.service_half_life.as_secs_f64()).exp2();
            measured.service.mul_f64(belief) + pool_service.mul_f64(1.0 - belief)
        })
    }

    /// Whether the upstream said that it is in cold start.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.report.is_some_and(|r| r.load.cold)
    }

    /// Most requests that this entry alone may have running there.
    fn own_cap(&self, now: Duration, cfg: &RouterConfig) -> f64 {
        if self.health.on_probation() {
            return 1.0;
        }
        let most = f64::from(self.limit()) + self.waiting_room(Priority::High, cfg);
        (most * self.ramp(now, cfg)).max(1.0)
    }
}

/// A number between 0 and 1 that follows from another.
fn unit_of(n: u64) -> f64 {
    crate::rendezvous::unit(xxhash_rust::xxh3::xxh3_64(&n.to_be_bytes()))
}
