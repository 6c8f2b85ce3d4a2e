//! Loads, suspects, cold starts and retries; picks the upstream of an attempt.

pub mod cold_limiter;
pub mod load;
pub mod outage;
pub mod retry_budget;

use std::collections::HashMap;
use std::time::Duration;

use oriole_fleet::prelude::*;
use rand::seq::IndexedRandom as _;
use rand::{Rng, RngExt as _};

use self::cold_limiter::ColdBounds;
use self::load::UpstreamLoad;
use self::outage::{OutageAction, OutageTracker};
use self::retry_budget::{RetryBounds, RetryBudget};
use crate::fleet_view::KnownUpstream;
use crate::refusal::{GROUP_RECOVERY_TIME, Refusal};

/// Time to the head of an answer before any has come.
const DEFAULT_HEAD_LATENCY_S: f64 = 0.1;

/// Time that a request takes before any has ended: that of a usual stream, so that queues stay short
/// from the start.
const DEFAULT_SERVICE_TIME_S: f64 = 1.0;

/// Mean age of what is known of other daemons' requests, in seconds: half of the time between
/// heartbeats.
const PEER_LOAD_AGE_S: f64 = 0.075;

/// Time over which the rate of picks is averaged, in seconds.
const PICK_RATE_AVERAGING_S: f64 = 1.0;

/// How many busy slots a failure rate of one weighs.
const FAILURE_PENALTY_SLOTS: f64 = 3.0;

/// Upstreams that are compared for one pick. All daemons see the same loads, some hundred
/// milliseconds old: if each took the least loaded of all, they would all take the same one.
const PICK_SAMPLE_SIZE: usize = 3;

/// Bounds of how much slower than the others an upstream is taken to be: answers differ in length,
/// so that single ones tell little.
const LATENCY_FACTOR_RANGE: std::ops::RangeInclusive<f64> = 0.7..=4.0;

/// Share of the bound on connections that daemons use together; the rest is for connections whose
/// end an upstream has not noticed yet.
const USABLE_CONNECTION_SHARE: f64 = 0.8;

/// Share of a service's places that requests without a chance of meeting their objective may fill, over
/// all daemons: the rest covers a usual load, and passes with fewer requests are shorter.
const LATE_SLOT_SHARE: f64 = 0.6;

/// Bounds that hold over all daemons together.
#[derive(Clone, Copy, Debug)]
pub struct TrafficBounds {
    /// On retries.
    pub retry: RetryBounds,
    /// On cold upstreams.
    pub cold: ColdBounds,
}

/// Place of this daemon among all that may send.
#[derive(Clone, Copy, Debug)]
pub struct DaemonShare {
    /// Daemons that there may be.
    pub daemons: usize,
    /// Place of this one, from zero.
    pub ordinal: usize,
}

/// What an attempt asks for.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// The service, if the configuration names it.
    pub service: Option<&'a Service>,
    /// Longest time in a queue that still makes sense.
    pub max_wait: Duration,
    /// Instances that were tried already.
    pub tried: &'a [String],
    /// Whether the request may be offered to a group that is believed down.
    pub may_probe: bool,
    /// Whether it has missed its objective: it takes what those that can still meet theirs leave.
    pub is_late: bool,
}

/// The upstream of an attempt and what it was picked by.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Instance.
    pub instance: String,
    /// Address.
    pub address: std::net::SocketAddr,
    /// Group that it belongs to, if it does.
    pub group: Option<String>,
    /// Requests from all daemons that were there.
    pub in_flight: u32,
    /// Requests that it runs at once.
    pub capacity: u32,
    /// Candidates that it was picked from.
    pub candidates: usize,
}

/// Why there is no pick.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PickError {
    /// Reason.
    pub reason: Refusal,
    /// Time after which a place should be free.
    pub retry_after: Duration,
    /// Time for which it makes sense to wait and ask again, if it does.
    pub max_wait: Option<Duration>,
}

struct ScoredUpstream<'a> {
    known: &'a KnownUpstream,
    load: &'a UpstreamLoad,
    score: f64,
}

/// Mean time to the head of an answer, over some upstreams.
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

/// Loads by instance and retry budgets by service.
pub struct Traffic {
    bounds: TrafficBounds,
    loads: HashMap<String, UpstreamLoad>,
    retry_budgets: HashMap<String, RetryBudget>,
    pick_rates: HashMap<String, PickRate>,
    outages: OutageTracker,
}

/// Picks a second for a service, averaged.
#[derive(Debug, Default)]
struct PickRate {
    per_s: f64,
    updated_at: Duration,
}

impl PickRate {
    fn current(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.updated_at).as_secs_f64();
        self.per_s * (-since / PICK_RATE_AVERAGING_S).exp()
    }

    fn record_pick(&mut self, now: Duration) {
        self.per_s = self.current(now) + 1.0 / PICK_RATE_AVERAGING_S;
        self.updated_at = now;
    }
}

impl Traffic {
    /// Traffic of a daemon that has sent nothing.
    #[must_use]
    pub fn new(bounds: TrafficBounds) -> Self {
        Self {
            bounds,
            loads: HashMap::new(),
            retry_budgets: HashMap::new(),
            pick_rates: HashMap::new(),
            outages: OutageTracker::default(),
        }
    }

    /// Load of an upstream.
    pub fn load_mut(&mut self, instance: &str) -> &mut UpstreamLoad {
        self.loads
            .entry(instance.to_owned())
            .or_insert_with(|| UpstreamLoad::new(instance))
    }

    /// Loads by instance.
    pub fn loads(&self) -> impl Iterator<Item = (&str, &UpstreamLoad)> {
        self.loads.iter().map(|(k, v)| (k.as_str(), v))
    }

    /// Replaces what peers have in flight.
    pub fn set_peer_loads(&mut self, in_flight: &HashMap<u64, u32>) {
        for load in self.loads.values_mut() {
            load.peer_in_flight = in_flight.get(&load.hash).copied().unwrap_or(0);
        }
    }

    /// Makes room for the loads of known upstreams and forgets those of others without requests.
    pub fn sync_upstreams(&mut self, known: impl Iterator<Item = String>) {
        let known: std::collections::HashSet<String> = known.collect();
        for instance in &known {
            self.load_mut(instance);
        }
        self.loads
            .retain(|k, l| known.contains(k) || l.own_in_flight > 0);
    }

    /// Notes a caller's request for a service.
    pub fn record_request(&mut self, now: Duration, service: &str) {
        self.retry_budget(service).record_request(now);
    }

    /// Whether a request for a service may be sent once more; it is paid for at once.
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

    /// Picks an upstream and counts the request there.
    ///
    /// # Errors
    ///
    /// Tells why there is none, and when there may be one.
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
        for known in &usable {
            self.load_mut(&known.upstream.instance);
        }
        let allowed: Vec<&KnownUpstream> = usable
            .iter()
            .copied()
            .filter(|k| !req.tried.contains(&k.upstream.instance))
            .filter(|k| self.within_limits(now, share, req, k))
            .collect();
        // A suspect is better than nothing: its pause only steers work to the others.
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
        let candidates = if healthy.is_empty() { allowed } else { healthy };
        if req.is_late && !self.has_late_slot(share, &candidates) {
            // What has gathered takes about as long again to be worked off.
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
        // What the others picked since they were last heard, if they pick as often as this one.
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
        };
        let is_cold = best.known.is_cold(now);
        let service = service.clone();
        self.pick_rates.entry(service).or_default().record_pick(now);
        let load = self.load_mut(&pick.instance);
        load.own_in_flight += 1;
        if is_cold {
            load.cold_limiter.record_sent(now);
        }
        Ok(pick)
    }

    /// Whether this daemon's share of the places for late requests has one left.
    fn has_late_slot(&self, share: DaemonShare, candidates: &[&KnownUpstream]) -> bool {
        let slots = candidates.iter().map(|k| f64::from(k.upstream.capacity));
        let slots = slots.sum::<f64>() * LATE_SLOT_SHARE / share.daemons as f64;
        let own = candidates
            .iter()
            .map(|k| self.loads[&k.upstream.instance].own_in_flight);
        f64::from(own.sum::<u32>()) < slots.max(1.0)
    }

    /// Notes that an upstream answered a request.
    pub fn record_answer(&mut self, now: Duration, pick: &Pick) {
        if let Some(group) = &pick.group {
            self.outages.record_answer(now, group);
        }
    }

    /// Whether an upstream's group runs, if it belongs to one.
    fn group_is_running(&self, now: Duration, known: &KnownUpstream) -> bool {
        let membership = known.upstream.group_membership.as_ref();
        known.group_reported_running()
            || membership.is_some_and(|s| self.outages.answered_recently(now, &s.group))
    }

    /// Why there is no pick for a service without a running group, unless one is to be probed.
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

    /// Whether an upstream bears another request: its cold rate and its connections.
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

fn busy_error(retry_after: Duration) -> PickError {
    PickError {
        reason: Refusal::Busy,
        retry_after,
        max_wait: None,
    }
}

/// Busy share of an upstream, weighed by how slow it is and how often it fails; with up to one
/// request of noise among equals.
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

/// Time until a request that arrives now would begin.
fn expected_wait(known: &KnownUpstream, load: &UpstreamLoad, unreported: f64) -> Duration {
    let capacity = f64::from(known.upstream.capacity.max(1));
    let queued = (f64::from(load.in_flight()) + unreported + 1.0 - capacity).max(0.0);
    let service_time_s = load.service_time_s.unwrap_or(DEFAULT_SERVICE_TIME_S);
    Duration::from_secs_f64(queued * service_time_s / capacity)
}
