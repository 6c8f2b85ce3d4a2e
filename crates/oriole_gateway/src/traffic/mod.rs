//! Chooses the upstream of each attempt by load, health, cold starts, announced limits and outages,
//! and keeps the retry budgets.

pub mod cold_limiter;
pub mod load;
pub mod outage;
pub mod retry_budget;
mod urgency;

use std::collections::HashMap;
use std::time::Duration;

use oriole_admission::fleet_limit::{FleetLimits, LimitReached, SenderPosition};
use oriole_admission::upstream_notice::UpstreamNotices;
use oriole_fleet::bounded;
use oriole_fleet::prelude::*;
use rand::seq::IndexedRandom as _;
use rand::{Rng, RngExt as _};

use self::cold_limiter::ColdBounds;
use self::load::UpstreamLoad;
use self::outage::{OutageAction, OutageTracker};
use self::retry_budget::{RetryBounds, RetryBudget};
use self::urgency::UrgencyTracker;
use crate::fleet_view::KnownUpstream;
use crate::refusal::{GROUP_RECOVERY_TIME, Refusal};

/// Assumed time to the head of a response before any has arrived.
const DEFAULT_HEAD_LATENCY_S: f64 = 0.1;

/// Assumed time to serve a request before any has finished: that of a typical stream, so that
/// queues stay short from the start.
const DEFAULT_SERVICE_TIME_S: f64 = 1.0;

/// Mean age of the reported loads of other daemons, in seconds: half a heartbeat interval.
const PEER_LOAD_AGE_S: f64 = 0.075;

/// Time constant of the moving averages of rates, in seconds.
const RATE_AVERAGING_S: f64 = 1.0;

/// Longest `Retry-After` of a request that limits keep from every upstream of its service.
const MAX_LIMIT_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Penalty for a failure rate of one, in busy slots.
const FAILURE_PENALTY_SLOTS: f64 = 3.0;

/// Number of upstreams compared for one pick. All daemons see the same loads, some hundred
/// milliseconds old: if each took the least loaded of all upstreams, all would take the same one.
const PICK_SAMPLE_SIZE: usize = 3;

/// Limits of an upstream's latency relative to the mean. Responses differ in length, so a single
/// slow or fast one says little.
const LATENCY_FACTOR_RANGE: std::ops::RangeInclusive<f64> = 0.7..=4.0;

/// Share of an upstream's connection limit that all daemons together may use. The rest is for
/// closed connections whose end the upstream has not noticed yet.
const USABLE_CONNECTION_SHARE: f64 = 0.8;

/// Share of a service's slots, over all daemons, that requests which can no longer meet their
/// objective may use. The rest covers a usual load, and passes with fewer requests are shorter.
const LATE_SLOT_SHARE: f64 = 0.6;

/// Bounds that hold over all daemons together.
#[derive(Clone, Copy, Debug)]
pub struct TrafficBounds {
    /// Bounds on retries.
    pub retry: RetryBounds,
    /// Bounds on requests to cold upstreams.
    pub cold: ColdBounds,
}

/// Determines this daemon's share of the bounds that hold over all daemons.
#[derive(Clone, Copy, Debug)]
pub struct DaemonShare {
    /// Highest number of daemons that may be sending requests.
    pub daemons: usize,
    /// Position of this daemon among them, from zero.
    pub ordinal: usize,
}

/// Requirements of one attempt.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The service; `None` if the configuration does not contain it.
    pub service: Option<&'a Service>,
    /// Longest acceptable time in an upstream's queue.
    pub max_wait: Duration,
    /// Instances that were tried already.
    pub tried: &'a [String],
    /// Whether the request may probe a group that is assumed to be down.
    pub may_probe: bool,
    /// Whether the request can no longer meet its objective. It then only gets slots that requests
    /// on time leave free.
    pub is_late: bool,
    /// Priority of the request; zero is the most urgent.
    pub priority: u8,
    /// Share of an upstream's slots that the request may use; `None` for all.
    pub slot_share: Option<f64>,
}

/// The upstream of an attempt, with the figures that it was picked by.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Instance of the upstream.
    pub instance: String,
    /// Address of the upstream.
    pub address: std::net::SocketAddr,
    /// Expert-parallel group of the upstream, if it belongs to one.
    pub group: Option<String>,
    /// Requests from all daemons in flight at the upstream before this one.
    pub in_flight: u32,
    /// Requests that the upstream runs at once.
    pub capacity: u32,
    /// Number of upstreams that qualified for this attempt.
    pub candidates: usize,
    /// Hash of the instance and its run, by which its limit is known.
    pub run_hash: u64,
}

/// Why no upstream was picked.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PickError {
    /// Reason that the caller receives.
    pub reason: Refusal,
    /// Time after which a slot should be free.
    pub retry_after: Duration,
    /// Longest time for which the request should wait and try again; `None` if it should not wait.
    pub max_wait: Option<Duration>,
}

struct ScoredUpstream<'a> {
    known: &'a KnownUpstream,
    load: &'a UpstreamLoad,
    score: f64,
}

/// Mean time to the head of a response over some upstreams, in seconds.
fn mean_head_latency_s<'a>(loads: impl Iterator<Item = &'a UpstreamLoad>) -> f64 {
    let (sum, count) = loads
        .filter_map(|l| l.head_latency_s)
        .fold((0.0, 0.0), |(sum, count), s| (sum + s, count + 1.0));
    if count > 0.0 {
        sum / count
    } else {
        DEFAULT_HEAD_LATENCY_S
    }
}

/// Loads and limits by instance, and retry budgets, rates and outages by service.
pub struct Traffic {
    bounds: TrafficBounds,
    loads: HashMap<String, UpstreamLoad>,
    retry_budgets: HashMap<String, RetryBudget>,
    pick_rates: HashMap<String, EventRate>,
    /// Limits that upstreams announce.
    pub limits: FleetLimits,
    /// Upstreams that leave or want no requests for a while.
    pub notices: UpstreamNotices,
    /// Requests that limits kept from every upstream of their service.
    limited_rates: HashMap<String, EventRate>,
    urgency: UrgencyTracker,
    outages: OutageTracker,
}

/// Moving average of the events per second for a service.
#[derive(Debug, Default)]
struct EventRate {
    per_s: f64,
    updated_at: Duration,
}

impl EventRate {
    fn current(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_s * (-since / RATE_AVERAGING_S).exp()
    }

    fn record(&mut self, now: Duration) {
        self.per_s = self.current(now) + 1.0 / RATE_AVERAGING_S;
        self.updated_at = now;
    }
}

impl Traffic {
    /// State of a daemon that has sent nothing.
    #[must_use]
    pub fn new(bounds: TrafficBounds) -> Self {
        Self {
            bounds,
            loads: HashMap::new(),
            retry_budgets: HashMap::new(),
            pick_rates: HashMap::new(),
            limits: FleetLimits::default(),
            notices: UpstreamNotices::default(),
            limited_rates: HashMap::new(),
            urgency: UrgencyTracker::default(),
            outages: OutageTracker::default(),
        }
    }

    /// Load of an upstream.
    pub fn load_mut(&mut self, instance: &str) -> &mut UpstreamLoad {
        self.loads
            .entry(instance.to_owned())
            .or_insert_with(|| UpstreamLoad::new(instance))
    }

    /// All loads by instance.
    pub fn loads(&self) -> impl Iterator<Item = (&str, &UpstreamLoad)> {
        self.loads.iter().map(|(k, v)| (k.as_str(), v))
    }

    /// Requests of all daemons in flight at an upstream.
    #[must_use]
    pub fn in_flight(&self, instance: &str) -> u32 {
        self.loads.get(instance).map_or(0, UpstreamLoad::in_flight)
    }

    /// Replaces the peers' requests in flight, given by hash of the instance.
    pub fn set_peer_loads(&mut self, in_flight: &HashMap<u64, u32>) {
        for load in self.loads.values_mut() {
            load.peer_in_flight = in_flight.get(&load.hash).copied().unwrap_or(0);
        }
    }

    /// Adds loads for newly known upstreams and drops those of unknown upstreams without requests
    /// in flight.
    pub fn sync_upstreams(&mut self, known: impl Iterator<Item = String>) {
        let known: std::collections::HashSet<String> = known.collect();
        for instance in &known {
            self.load_mut(instance);
        }
        self.loads
            .retain(|k, l| known.contains(k) || l.own_in_flight > 0);
    }

    /// Records a caller's request for a service.
    pub fn record_request(&mut self, now: Duration, service: &str) {
        self.retry_budget(service).record_request(now);
    }

    /// Whether a request of a service may be sent once more now.
    pub fn allows_retry(&mut self, now: Duration, service: &str, share: DaemonShare) -> bool {
        self.retry_budget(service).allows_retry(now, share.daemons)
    }

    /// Spends one retry from the service's budget; `false` if none is left.
    pub fn try_spend_retry(&mut self, now: Duration, service: &str, share: DaemonShare) -> bool {
        self.retry_budget(service)
            .try_spend_retry(now, share.daemons)
    }

    fn retry_budget(&mut self, service: &str) -> &mut RetryBudget {
        let bounds = self.bounds.retry;
        self.retry_budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryBudget::new(bounds))
    }

    /// Picks an upstream and counts the request as in flight there.
    ///
    /// # Errors
    ///
    /// Returns why there is none, and when to try again.
    pub fn pick<'a>(
        &mut self,
        now: Duration,
        share: DaemonShare,
        req: &PickRequest<'_>,
        usable: impl Iterator<Item = &'a KnownUpstream>,
        rng: &mut impl Rng,
    ) -> Result<Pick, PickError> {
        let usable: Vec<&KnownUpstream> = usable.collect();
        if usable.is_empty() {
            let reason = Refusal::NoUpstream;
            let retry_after = reason.retry_after().unwrap_or_default();
            return Err(PickError {
                reason,
                retry_after,
                max_wait: None,
            });
        }
        let noticed = |known: &&KnownUpstream| self.notices.free_at(now, known.run_hash());
        let first_free_at = usable.iter().filter_map(noticed).min();
        let usable: Vec<&KnownUpstream> = match first_free_at {
            None => usable,
            Some(_) => usable
                .into_iter()
                .filter(|k| noticed(k).is_none())
                .collect(),
        };
        if let Some(first_free_at) = first_free_at
            && usable.is_empty()
        {
            return Err(paused_error(now, first_free_at));
        }
        for known in &usable {
            self.load_mut(&known.upstream.instance);
        }
        let is_urgent = usable.first().is_some_and(|known| {
            let service = &known.upstream.service;
            self.urgency.is_most_urgent(now, service, req.priority)
        });
        let sender = SenderPosition {
            daemons: share.daemons,
            ordinal: share.ordinal,
        };
        let mut limited = Vec::new();
        let allowed: Vec<&KnownUpstream> = usable
            .iter()
            .copied()
            .filter(|k| !req.tried.contains(&k.upstream.instance))
            .filter(|k| {
                if !self.within_limits(now, share, req, k) {
                    return false;
                }
                let checked = self.limits.check(now, k.run_hash(), sender, is_urgent);
                limited.extend(checked.err());
                checked.is_ok()
            })
            .collect();
        if allowed.is_empty()
            && let Some(e) = self.limit_error(now, share, &usable[0].upstream.service, &limited)
        {
            return Err(e);
        }
        // If all upstreams are in backoff they are used all the same: backoff only steers requests
        // to healthy ones.
        let healthy: Vec<&KnownUpstream> = allowed
            .iter()
            .copied()
            .filter(|k| {
                self.group_is_running(now, k)
                    && !self.loads[&k.upstream.instance].is_in_backoff(now)
            })
            .collect();
        if let Some(first) = usable.first() {
            let service = &first.upstream.service;
            if usable.iter().any(|k| self.group_is_running(now, k)) {
                self.outages.clear(service);
            } else if let Some(e) = self.check_outage(now, service, req.may_probe) {
                return Err(e);
            }
        }
        let mut candidates = if healthy.is_empty() { allowed } else { healthy };
        if let Some(slot_share) = req.slot_share {
            candidates.retain(|k| {
                let usable = f64::from(k.upstream.capacity) * slot_share;
                f64::from(self.loads[&k.upstream.instance].in_flight()) < usable
            });
        }
        if req.is_late && !self.has_late_slot(share, &candidates) {
            // Requests that have piled up take about as long again to work off.
            return Err(busy_error(GROUP_RECOVERY_TIME));
        }
        let load_of = |k: &&KnownUpstream| &self.loads[&k.upstream.instance];
        let mean_head_latency_s = mean_head_latency_s(candidates.iter().map(load_of));
        let sampled = candidates.sample(rng, PICK_SAMPLE_SIZE);
        let scored = sampled.map(|known| {
            let load = load_of(known);
            ScoredUpstream {
                known,
                load,
                score: score(known, load, mean_head_latency_s, rng),
            }
        });
        let Some(best) = scored.min_by(|a, b| a.score.total_cmp(&b.score)) else {
            return Err(busy_error(Refusal::Busy.retry_after().unwrap_or_default()));
        };
        let service = &best.known.upstream.service;
        let rate = self.pick_rates.get(service).map_or(0.0, |r| r.current(now));
        // Estimated picks by the other daemons since their last heartbeats, assuming that they pick
        // as often as this one.
        let others = share.daemons.saturating_sub(1) as f64;
        let unreported = rate * others * PEER_LOAD_AGE_S / candidates.len() as f64;
        let wait = expected_wait(best.known, best.load, unreported);
        if wait > req.max_wait {
            return Err(busy_error(wait - req.max_wait));
        }
        let pick = Pick {
            instance: best.known.upstream.instance.clone(),
            address: best.known.upstream.address,
            group: best
                .known
                .upstream
                .group_membership
                .as_ref()
                .map(|s| s.group.clone()),
            in_flight: best.load.in_flight(),
            capacity: best.known.upstream.capacity,
            candidates: candidates.len(),
            run_hash: best.known.run_hash(),
        };
        let is_cold = best.known.is_cold(now);
        let service = service.clone();
        self.pick_rates.entry(service).or_default().record(now);
        self.limits
            .record_sent(now, pick.run_hash, sender, is_urgent);
        let load = self.load_mut(&pick.instance);
        load.own_in_flight += 1;
        if is_cold {
            load.cold_limiter.record_sent(now);
        }
        Ok(pick)
    }

    /// Returns the error for a request that limits keep from every upstream, or `None` if it is not
    /// the limits. The fleet has the slots for the requests that it rejects in a second after that
    /// second's rejections divided by the limits.
    fn limit_error(
        &mut self,
        now: Duration,
        share: DaemonShare,
        service: &str,
        limited: &[LimitReached],
    ) -> Option<PickError> {
        if limited.is_empty() {
            return None;
        }
        let rejections = self.limited_rates.entry(service.to_owned()).or_default();
        rejections.record(now);
        let per_s: f64 = limited.iter().map(|reached| reached.per_s).sum();
        let fleet_rejections = (rejections.per_s * share.daemons as f64).max(1.0);
        let max_s = MAX_LIMIT_RETRY_AFTER.as_secs_f64();
        Some(PickError {
            reason: Refusal::UpstreamLimit,
            retry_after: bounded::duration_from_secs((fleet_rejections / per_s).min(max_s)),
            max_wait: None,
        })
    }

    /// Whether this daemon's share of the slots for late requests has one left.
    fn has_late_slot(&self, share: DaemonShare, candidates: &[&KnownUpstream]) -> bool {
        let slots = candidates.iter().map(|k| f64::from(k.upstream.capacity));
        let slots = slots.sum::<f64>() * LATE_SLOT_SHARE / share.daemons as f64;
        let own = candidates
            .iter()
            .map(|k| self.loads[&k.upstream.instance].own_in_flight);
        f64::from(own.sum::<u32>()) < slots.max(1.0)
    }

    /// Records that an upstream answered a request successfully, which shows that its group runs.
    pub fn record_answer(&mut self, now: Duration, pick: &Pick) {
        if let Some(group) = &pick.group {
            self.outages.record_answer(now, group);
        }
    }

    /// Whether the upstream's group runs. True for an upstream without a group.
    fn group_is_running(&self, now: Duration, known: &KnownUpstream) -> bool {
        let membership = known.upstream.group_membership.as_ref();
        known.group_reported_running()
            || membership.is_some_and(|s| self.outages.answered_recently(now, &s.group))
    }

    /// Returns the error for a request to a service without a running group, or `None` if the
    /// request is to probe a group.
    fn check_outage(&mut self, now: Duration, service: &str, may_probe: bool) -> Option<PickError> {
        let max_wait = match self.outages.next_action(now, service, may_probe) {
            OutageAction::Probe => return None,
            OutageAction::Wait(left) => Some(left),
            OutageAction::Refuse => None,
        };
        Some(PickError {
            reason: Refusal::GroupDown,
            retry_after: GROUP_RECOVERY_TIME,
            max_wait,
        })
    }

    /// Whether the limits on connections and on requests to a cold upstream allow another request.
    fn within_limits(
        &mut self,
        now: Duration,
        share: DaemonShare,
        req: &PickRequest<'_>,
        known: &KnownUpstream,
    ) -> bool {
        let Some(service) = req.service else {
            return true;
        };
        let cold_bounds = self.bounds.cold;
        let load = self.load_mut(&known.upstream.instance);
        let limit =
            f64::from(service.max_connections) * USABLE_CONNECTION_SHARE / share.daemons as f64;
        if f64::from(load.own_in_flight) >= limit.max(1.0) {
            return false;
        }
        !known.is_cold(now)
            || service.cold_requests_per_s <= 0.0
            || load.cold_limiter.allows(
                now,
                &cold_bounds,
                service.cold_requests_per_s,
                share.daemons,
                share.ordinal,
            )
    }
}

/// The error for a request whose upstreams all leave or want no requests until `first_free_at`.
fn paused_error(now: Duration, first_free_at: Duration) -> PickError {
    let reason = Refusal::UpstreamPaused;
    let retry_after = match first_free_at {
        Duration::MAX => reason.retry_after().unwrap_or_default(),
        first_free_at => first_free_at.saturating_sub(now),
    };
    PickError {
        reason,
        retry_after,
        max_wait: None,
    }
}

fn busy_error(retry_after: Duration) -> PickError {
    PickError {
        reason: Refusal::Busy,
        retry_after,
        max_wait: None,
    }
}

/// Score of an upstream; the lowest wins. It is the busy share of the slots, weighted by relative
/// latency and failure rate, with up to one request of random noise to break ties.
fn score(
    known: &KnownUpstream,
    load: &UpstreamLoad,
    mean_head_latency_s: f64,
    rng: &mut impl Rng,
) -> f64 {
    let capacity = f64::from(known.upstream.capacity.max(1));
    let noise: f64 = rng.random();
    let head_latency_s = load.head_latency_s.unwrap_or(mean_head_latency_s);
    let latency_factor = (head_latency_s / mean_head_latency_s.max(f64::MIN_POSITIVE))
        .clamp(*LATENCY_FACTOR_RANGE.start(), *LATENCY_FACTOR_RANGE.end());
    let failure_penalty = load.failure_rate * FAILURE_PENALTY_SLOTS;
    (f64::from(load.in_flight()) + 1.0 + noise + failure_penalty) * latency_factor / capacity
}

/// Expected time until a request that arrives now starts to run.
fn expected_wait(known: &KnownUpstream, load: &UpstreamLoad, unreported: f64) -> Duration {
    let capacity = f64::from(known.upstream.capacity.max(1));
    let queued = (f64::from(load.in_flight()) + unreported + 1.0 - capacity).max(0.0);
    let service_time_s = load.service_time_s.unwrap_or(DEFAULT_SERVICE_TIME_S);
    bounded::duration_from_secs(queued * service_time_s / capacity)
}
