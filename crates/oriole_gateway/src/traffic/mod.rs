//! Loads, suspects, cold starts and retries; picks the upstream of an attempt.

pub mod budget;
pub mod cold_share;
pub mod load;
pub mod outage;

use std::collections::HashMap;
use std::time::Duration;

use oriole_fleet::prelude::*;
use rand::seq::IndexedRandom as _;
use rand::{Rng, RngExt as _};

use self::budget::{BudgetBounds, RetryShare};
use self::cold_share::ColdBounds;
use self::load::UpstreamLoad;
use self::outage::{Outages, WhileDown};
use crate::belief::KnownUpstream;
use crate::refusal::{GROUP_RETURN, Refusal};

/// Time to the head of an answer before any has come.
const DEFAULT_HEAD_S: f64 = 0.1;

/// Time that a request takes before any has ended: that of a usual stream, so that queues stay short
/// from the start.
const DEFAULT_SERVICE_S: f64 = 1.0;

/// Mean age of what is known of other daemons' requests, in seconds: half of the time between
/// heartbeats.
const PEERS_AGE_S: f64 = 0.075;

/// Time over which the rate of picks is averaged, in seconds.
const RATE_S: f64 = 1.0;

/// How many busy slots a failure rate of one weighs.
const FAILURE_WEIGHT: f64 = 3.0;

/// Upstreams that are compared for one pick. All daemons see the same loads, some hundred
/// milliseconds old: if each took the least loaded of all, they would all take the same one.
const COMPARED: usize = 3;

/// Bounds of how much slower than the others an upstream is taken to be: answers differ in length,
/// so that single ones tell little.
const SLOWNESS: std::ops::RangeInclusive<f64> = 0.7..=4.0;

/// Share of the bound on connections that daemons use together; the rest is for connections whose
/// end an upstream has not noticed yet.
const CONNECTION_SHARE: f64 = 0.8;

/// Share of a service's places that requests without a chance of meeting their objective may fill, over
/// all daemons: the rest covers a usual load, and passes with fewer requests are shorter.
const LATE_SHARE: f64 = 0.6;

/// Bounds that hold over all daemons together.
#[derive(Clone, Copy, Debug)]
pub struct TrafficBounds {
    /// On retries.
    pub budget: BudgetBounds,
    /// On cold upstreams.
    pub cold: ColdBounds,
}

/// Place of this daemon among all that may send.
#[derive(Clone, Copy, Debug)]
pub struct Share {
    /// Daemons that there may be.
    pub daemons: usize,
    /// Place of this one, from zero.
    pub ordinal: usize,
}

/// What an attempt asks for.
#[derive(Clone, Copy, Debug)]
pub struct PickAsk<'a> {
    /// The service, if the configuration names it.
    pub service: Option<&'a Service>,
    /// Longest time in a queue that still makes sense.
    pub patience: Duration,
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
pub struct NoPick {
    /// Reason.
    pub reason: Refusal,
    /// Time after which a place should be free.
    pub retry_after: Duration,
    /// Time for which it makes sense to wait and ask again, if it does.
    pub wait: Option<Duration>,
}

struct Scored<'a> {
    known: &'a KnownUpstream,
    load: &'a UpstreamLoad,
    score: f64,
}

/// Mean time to the head of an answer, over some upstreams.
fn mean_head_s<'a>(loads: impl Iterator<Item = &'a UpstreamLoad>) -> f64 {
    let (sum, count) = loads
        .filter_map(|l| l.head_s)
        .fold((0.0, 0.0), |(sum, count), s| (sum + s, count + 1.0));
    if count > 0.0 {
        sum / count
    } else {
        DEFAULT_HEAD_S
    }
}

/// Loads by instance and retry budgets by service.
pub struct Traffic {
    bounds: TrafficBounds,
    loads: HashMap<String, UpstreamLoad>,
    budgets: HashMap<String, RetryShare>,
    rates: HashMap<String, PickRate>,
    outages: Outages,
}

/// Picks a second for a service, averaged.
#[derive(Debug, Default)]
struct PickRate {
    per_s: f64,
    at: Duration,
}

impl PickRate {
    fn now(&self, now: Duration) -> f64 {
        let since = now.saturating_sub(self.at).as_secs_f64();
        self.per_s * (-since / RATE_S).exp()
    }

    fn picked(&mut self, now: Duration) {
        self.per_s = self.now(now) + 1.0 / RATE_S;
        self.at = now;
    }
}

impl Traffic {
    /// Traffic of a daemon that has sent nothing.
    #[must_use]
    pub fn new(bounds: TrafficBounds) -> Self {
        Self {
            bounds,
            loads: HashMap::new(),
            budgets: HashMap::new(),
            rates: HashMap::new(),
            outages: Outages::default(),
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
    pub fn set_peers(&mut self, in_flight: &HashMap<u64, u32>) {
        for load in self.loads.values_mut() {
            load.peers = in_flight.get(&load.hash).copied().unwrap_or(0);
        }
    }

    /// Makes room for the loads of known upstreams and forgets those of others without requests.
    pub fn keep_only(&mut self, known: impl Iterator<Item = String>) {
        let known: std::collections::HashSet<String> = known.collect();
        for instance in &known {
            self.load_mut(instance);
        }
        self.loads.retain(|k, l| known.contains(k) || l.own > 0);
    }

    /// Notes a caller's request for a service.
    pub fn request(&mut self, now: Duration, service: &str) {
        self.budget(service).request(now);
    }

    /// Whether a request for a service may be sent once more; it is paid for at once.
    pub fn try_retry(&mut self, now: Duration, service: &str, share: Share) -> bool {
        self.budget(service).try_retry(now, share.daemons)
    }

    fn budget(&mut self, service: &str) -> &mut RetryShare {
        let bounds = self.bounds.budget;
        self.budgets
            .entry(service.to_owned())
            .or_insert_with(|| RetryShare::new(bounds))
    }

    /// Picks an upstream and counts the request there.
    ///
    /// # Errors
    ///
    /// Tells why there is none, and when there may be one.
    pub fn pick<'a>(
        &mut self,
        now: Duration,
        share: Share,
        ask: &PickAsk<'_>,
        usable: impl Iterator<Item = &'a KnownUpstream>,
        rng: &mut impl Rng,
    ) -> Result<Pick, NoPick> {
        let usable: Vec<&KnownUpstream> = usable.collect();
        if usable.is_empty() {
            let reason = Refusal::NoUpstream;
            let retry_after = reason.retry_after().unwrap_or_default();
            return Err(NoPick {
                reason,
                retry_after,
                wait: None,
            });
        }
        for known in &usable {
            self.load_mut(&known.upstream.instance);
        }
        let allowed: Vec<&KnownUpstream> = usable
            .iter()
            .copied()
            .filter(|k| !ask.tried.contains(&k.upstream.instance))
            .filter(|k| self.bears(now, share, ask, k))
            .collect();
        // A suspect is better than nothing: its pause only steers work to the others.
        let sound: Vec<&KnownUpstream> = allowed
            .iter()
            .copied()
            .filter(|k| self.runs(now, k) && !self.loads[&k.upstream.instance].is_suspect(now))
            .collect();
        if let Some(first) = usable.first() {
            let service = &first.upstream.service;
            if usable.iter().any(|k| self.runs(now, k)) {
                self.outages.ended(service);
            } else if let Some(no) = self.no_group_runs(now, service, ask.may_probe) {
                return Err(no);
            }
        }
        let candidates = if sound.is_empty() { allowed } else { sound };
        if ask.is_late && !self.has_place_left(share, &candidates) {
            // What has gathered takes about as long again to be worked off.
            return Err(busy(GROUP_RETURN));
        }
        let load_of = |k: &&KnownUpstream| &self.loads[&k.upstream.instance];
        let mean_head_s = mean_head_s(candidates.iter().map(load_of));
        let compared = candidates.sample(rng, COMPARED);
        let scored = compared.map(|known| {
            let load = load_of(known);
            Scored {
                known,
                load,
                score: score(known, load, mean_head_s, rng),
            }
        });
        let Some(best) = scored.min_by(|a, b| a.score.total_cmp(&b.score)) else {
            return Err(busy(Refusal::Busy.retry_after().unwrap_or_default()));
        };
        let service = &best.known.upstream.service;
        let rate = self.rates.get(service).map_or(0.0, |r| r.now(now));
        // What the others picked since they were last heard, if they pick as often as this one.
        let others = share.daemons.saturating_sub(1) as f64;
        let unseen = rate * others * PEERS_AGE_S / candidates.len() as f64;
        let wait = expected_wait(best.known, best.load, unseen);
        if wait > ask.patience {
            return Err(busy(wait - ask.patience));
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
        self.rates.entry(service).or_default().picked(now);
        let load = self.load_mut(&pick.instance);
        load.own += 1;
        if is_cold {
            load.cold.sent(now);
        }
        Ok(pick)
    }

    /// Whether this daemon's share of the places for late requests has one left.
    fn has_place_left(&self, share: Share, candidates: &[&KnownUpstream]) -> bool {
        let places = candidates.iter().map(|k| f64::from(k.upstream.capacity));
        let places = places.sum::<f64>() * LATE_SHARE / share.daemons as f64;
        let own = candidates
            .iter()
            .map(|k| self.loads[&k.upstream.instance].own);
        f64::from(own.sum::<u32>()) < places.max(1.0)
    }

    /// Notes that an upstream answered a request.
    pub fn answered(&mut self, now: Duration, pick: &Pick) {
        if let Some(group) = &pick.group {
            self.outages.answered(now, group);
        }
    }

    /// Whether an upstream's group runs, if it belongs to one.
    fn runs(&self, now: Duration, known: &KnownUpstream) -> bool {
        let membership = known.upstream.group_membership.as_ref();
        known.is_open() || membership.is_some_and(|s| self.outages.is_proven(now, &s.group))
    }

    /// Why there is no pick for a service without a running group, unless one is to be probed.
    fn no_group_runs(&mut self, now: Duration, service: &str, may_probe: bool) -> Option<NoPick> {
        let wait = match self.outages.ask(now, service, may_probe) {
            WhileDown::Probe => return None,
            WhileDown::Wait(left) => Some(left),
            WhileDown::Refuse => None,
        };
        Some(NoPick {
            reason: Refusal::GroupDown,
            retry_after: GROUP_RETURN,
            wait,
        })
    }

    /// Whether an upstream bears another request: its cold rate and its connections.
    fn bears(
        &mut self,
        now: Duration,
        share: Share,
        ask: &PickAsk<'_>,
        known: &KnownUpstream,
    ) -> bool {
        let Some(service) = ask.service else {
            return true;
        };
        let cold_bounds = self.bounds.cold;
        let load = self.load_mut(&known.upstream.instance);
        let limit = f64::from(service.max_connections) * CONNECTION_SHARE / share.daemons as f64;
        if f64::from(load.own) >= limit.max(1.0) {
            return false;
        }
        !known.is_cold(now)
            || service.cold_requests_per_s <= 0.0
            || load.cold.allows(
                now,
                &cold_bounds,
                service.cold_requests_per_s,
                share.daemons,
                share.ordinal,
            )
    }
}

fn busy(retry_after: Duration) -> NoPick {
    NoPick {
        reason: Refusal::Busy,
        retry_after,
        wait: None,
    }
}

/// Busy share of an upstream, weighed by how slow it is and how often it fails; with up to one
/// request of noise among equals.
fn score(known: &KnownUpstream, load: &UpstreamLoad, mean_head_s: f64, rng: &mut impl Rng) -> f64 {
    let capacity = f64::from(known.upstream.capacity.max(1));
    let noise: f64 = rng.random();
    let head_s = load.head_s.unwrap_or(mean_head_s);
    let slowness =
        (head_s / mean_head_s.max(f64::MIN_POSITIVE)).clamp(*SLOWNESS.start(), *SLOWNESS.end());
    let failures = load.failure_rate * FAILURE_WEIGHT;
    (f64::from(load.in_flight()) + 1.0 + noise + failures) * slowness / capacity
}

/// Time until a request that arrives now would begin.
fn expected_wait(known: &KnownUpstream, load: &UpstreamLoad, unseen: f64) -> Duration {
    let capacity = f64::from(known.upstream.capacity.max(1));
    let before = (f64::from(load.in_flight()) + unseen + 1.0 - capacity).max(0.0);
    let service_s = load.service_s.unwrap_or(DEFAULT_SERVICE_S);
    Duration::from_secs_f64(before * service_s / capacity)
}
