//! State of one upstream as one entry sees it, with estimates of its load and service time.

use std::time::Duration;

use oriole_types::prelude::*;

use super::config::RouterConfig;
use super::health::Health;

/// Weight of the latest service time in the average that this entry measures for an upstream.
const SERVICE_SMOOTHING: f64 = 0.2;

/// Capacity of an upstream as the catalog states it for the pool.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StatedCapacity {
    /// Most requests in flight during cold start.
    pub cold: u32,
    /// Most requests in flight once the upstream is warm.
    pub warm: u32,
}

/// Fraction of a round in which an entry may warm an upstream. An entry that finds no free slot in
/// its window skips the round, so that the entries don't all send when a free slot is reported.
const WARMING_WINDOW_SHARE: f64 = 0.1;

/// Shortest window of a round in which an entry may warm an upstream.
const MIN_WARMING_WINDOW: Duration = Duration::from_millis(200);

/// State of one upstream as one entry sees it.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Failure domain of the upstream.
    pub domain: DomainName,
    /// Capacity as the catalog states it.
    pub stated: StatedCapacity,
    /// Whether it may get new work by the VM list and the catalog.
    pub in_service: bool,
    /// Requests of this entry in flight at the upstream.
    pub own_in_flight: u32,
    /// Failures and ejections.
    pub health: Health,
    /// Time until which it gets no requests after a refusal.
    pub paused_until: Duration,
    /// Start of the last slow start; `None` if there was none.
    pub slow_start_from: Option<Duration>,
    report: Option<TimedReport>,
    measured: Option<Measured>,
    last_attempt_at: Duration,
}

/// The smoothed service time as measured by this entry, and the time of the last measurement.
#[derive(Clone, Copy, Debug)]
struct Measured {
    service_time: Duration,
    measured_at: Duration,
}

/// The latest load report, when it was made by this entry's clock, and this entry's requests in
/// flight when it arrived.
#[derive(Clone, Copy, Debug)]
struct TimedReport {
    load: LoadReport,
    made_at: Duration,
    own_in_flight: u32,
}

impl TimedReport {
    /// Requests at the upstream when the report was made, running and waiting.
    fn total(&self) -> f64 {
        f64::from(self.load.in_flight) + f64::from(self.load.queued)
    }
}

impl Upstream {
    /// Creates an upstream that is out of service and has no report.
    #[must_use]
    pub fn new(domain: DomainName, stated: StatedCapacity) -> Self {
        Self {
            domain,
            stated,
            in_service: false,
            own_in_flight: 0,
            health: Health::default(),
            paused_until: Duration::ZERO,
            slow_start_from: None,
            report: None,
            measured: None,
            last_attempt_at: Duration::ZERO,
        }
    }

    /// Records a load report unless a newer one is known; returns whether it was recorded.
    pub fn record_report(&mut self, now: Duration, load: &LoadReport) -> bool {
        let made_at = now.saturating_sub(Duration::from_millis(load.age_ms.into()));
        let newer = self.report.is_none_or(|r| r.made_at <= made_at);
        if newer {
            self.report = Some(TimedReport {
                load: *load,
                made_at,
                own_in_flight: self.own_in_flight,
            });
        }
        newer
    }

    /// Contribution of the latest report to the average load of the pool: the load as a fraction of
    /// the limit, and its weight. A cold upstream has a low weight. The load is capped at the
    /// limit, since requests that wait at one upstream don't predict the load of others.
    #[must_use]
    pub fn load_sample(&self) -> Option<(f64, f64)> {
        let report = self.report?;
        let limit = f64::from(report.load.limit.max(1));
        let share = (report.total() / limit).min(1.0);
        let weight = (limit / f64::from(self.stated.warm.max(1))).min(1.0);
        Some((share, weight))
    }

    /// Records an attempt that was sent to the upstream.
    pub fn record_attempt(&mut self, now: Duration) {
        self.own_in_flight += 1;
        self.last_attempt_at = now;
    }

    /// Whether the upstream is in cold start, has a free slot and is due for a request.
    ///
    /// Time is divided into rounds in which each entry sends one request, in a window at a
    /// pseudo-random time. The length of a round makes all entries together keep the upstream at
    /// [`RouterConfig::warming_load`].
    #[must_use]
    pub fn is_warming_due(&self, now: Duration, entry_count: u32, cfg: &RouterConfig) -> bool {
        let Some(report) = self.report.filter(|r| r.load.cold) else {
            return false;
        };
        let limit = f64::from(self.limit());
        let has_slot = report.total()
            + f64::from(self.own_in_flight.saturating_sub(report.own_in_flight))
            < limit;
        let service_times_per_round = f64::from(entry_count.max(1)) / (limit * cfg.warming_load);
        let round = self
            .reported_service_time(cfg)
            .mul_f64(service_times_per_round)
            .max(Duration::from_millis(1));
        let round_index = (now.as_nanos() / round.as_nanos()) as u32;
        let round_start = round * round_index;
        let window_start =
            round_start + round.mul_f64(hash_to_unit(cfg.warming_seed ^ u64::from(round_index)));
        let window = round.mul_f64(WARMING_WINDOW_SHARE).max(MIN_WARMING_WINDOW);
        has_slot
            && now >= window_start
            && now < window_start + window
            && self.last_attempt_at < round_start
    }

    /// Service time in the latest report. Unlike [`Upstream::expected_service_time`], it doesn't
    /// change between reports, which keeps the rounds of warming stable.
    fn reported_service_time(&self, cfg: &RouterConfig) -> Duration {
        let reported = self.report.map(|r| r.load.service_ms).filter(|ms| *ms > 0);
        reported.map_or(cfg.assumed_service_time, |ms| {
            Duration::from_millis(ms.into())
        })
    }

    /// Records the time that a complete answer took.
    pub fn record_service_time(&mut self, now: Duration, elapsed: Duration) {
        let service_time = self.measured.map_or(elapsed, |previous| {
            let old = previous.service_time.mul_f64(1.0 - SERVICE_SMOOTHING);
            old + elapsed.mul_f64(SERVICE_SMOOTHING)
        });
        self.measured = Some(Measured {
            service_time,
            measured_at: now,
        });
    }

    /// Discards everything learned before the upstream was out of service, and begins a slow start.
    pub fn reset(&mut self, now: Duration) {
        self.report = None;
        self.measured = None;
        self.health = Health::default();
        self.paused_until = now;
        self.slow_start_from = Some(now);
    }

    /// Whether the agent recently reported that it accepts no new work.
    #[must_use]
    pub fn is_leaving(&self, now: Duration, cfg: &RouterConfig) -> bool {
        self.report
            .is_some_and(|r| r.load.leaving && now.saturating_sub(r.made_at) < cfg.leaving_ttl)
    }

    /// Most requests in flight that the upstream admits: as reported, or the stated cold capacity
    /// without a report.
    #[must_use]
    pub fn limit(&self) -> u32 {
        let reported = self.report.map(|r| r.load.limit);
        reported
            .unwrap_or(self.stated.cold)
            .clamp(1, self.stated.warm.max(1))
    }

    /// Estimated number of requests at the upstream: the latest report plus the change in this
    /// entry's requests since. As the report ages, the estimate moves to the average of the pool.
    #[must_use]
    pub fn estimated_load(&self, now: Duration, pool_load: f64, cfg: &RouterConfig) -> f64 {
        let own_in_flight = f64::from(self.own_in_flight);
        let average = pool_load * f64::from(self.limit());
        let estimate = self.report.map_or(average, |r| {
            let age = now.saturating_sub(r.made_at).as_secs_f64();
            let confidence = (-age / cfg.load_half_life.as_secs_f64()).exp2();
            let projected = r.total() + own_in_flight - f64::from(r.own_in_flight);
            projected * confidence + average * (1.0 - confidence)
        });
        estimate.max(own_in_flight)
    }

    /// Requests of a priority that this entry may still send, by the load and by slow start.
    #[must_use]
    pub fn free_slots(
        &self,
        now: Duration,
        pool_load: f64,
        priority: Priority,
        cfg: &RouterConfig,
    ) -> f64 {
        let limit = f64::from(self.limit());
        let free_by_load =
            limit + self.allowed_waiting(priority, cfg) - self.estimated_load(now, pool_load, cfg);
        free_by_load.min(self.own_limit(now, cfg) - f64::from(self.own_in_flight))
    }

    /// Requests that may wait at the upstream when one of a priority is sent. A short queue at a
    /// warm upstream refills free slots at once and lets the agent run urgent requests first. None
    /// may wait at a cold upstream.
    fn allowed_waiting(&self, priority: Priority, cfg: &RouterConfig) -> f64 {
        if self.limit() < self.stated.warm {
            return 0.0;
        }
        let share = match priority {
            Priority::High => cfg.high_waiting_share,
            Priority::Normal | Priority::Low => cfg.default_waiting_share,
        };
        (share * f64::from(self.limit())).floor()
    }

    /// Whether the latest report is old enough that the upstream may be probed although it seems
    /// full, and this entry is below its own limit there.
    #[must_use]
    pub fn is_report_stale(&self, now: Duration, cfg: &RouterConfig) -> bool {
        let own_limit = self.own_limit(now, cfg);
        let reported_at = self.report.map_or(Duration::ZERO, |r| r.made_at);
        f64::from(self.own_in_flight) + 1.0 <= own_limit
            && now.saturating_sub(reported_at) >= cfg.min_probe_interval
    }

    /// Fraction of its full share that the upstream gets during slow start, between 0 and 1.
    #[must_use]
    pub fn slow_start_share(&self, now: Duration, cfg: &RouterConfig) -> f64 {
        self.slow_start_from.map_or(1.0, |from| {
            let elapsed = now.saturating_sub(from).as_secs_f64();
            (elapsed / cfg.slow_start.as_secs_f64()).min(1.0)
        })
    }

    /// Expected service time of a request: the value measured by this entry, which moves to the
    /// average of the pool as it ages.
    ///
    /// Without this, an upstream whose last requests happened to be long would look slow forever,
    /// since it would get no requests that could show otherwise.
    #[must_use]
    pub fn expected_service_time(
        &self,
        now: Duration,
        pool_service_time: Duration,
        cfg: &RouterConfig,
    ) -> Duration {
        self.measured.map_or(pool_service_time, |measured| {
            let age = now.saturating_sub(measured.measured_at).as_secs_f64();
            let confidence = (-age / cfg.service_time_half_life.as_secs_f64()).exp2();
            measured.service_time.mul_f64(confidence) + pool_service_time.mul_f64(1.0 - confidence)
        })
    }

    /// Whether the upstream is in cold start by its latest report.
    #[must_use]
    pub fn is_cold(&self) -> bool {
        self.report.is_some_and(|r| r.load.cold)
    }

    /// Most requests that this entry may have in flight at the upstream.
    fn own_limit(&self, now: Duration, cfg: &RouterConfig) -> f64 {
        if self.health.on_probation() {
            return 1.0;
        }
        let max_in_flight = f64::from(self.limit()) + self.allowed_waiting(Priority::High, cfg);
        (max_in_flight * self.slow_start_share(now, cfg)).max(1.0)
    }
}

/// Maps a number to a pseudo-random one between 0 and 1.
fn hash_to_unit(n: u64) -> f64 {
    crate::rendezvous::unit_interval(xxhash_rust::xxh3::xxh3_64(&n.to_be_bytes()))
}
