//! Loads, suspects, cold starts and retries; picks the upstream of an attempt.

pub mod budget;
pub mod cold_share;
pub mod load;

use std::collections::HashMap;
use std::time::Duration;

use oriole_fleet::prelude::*;
use rand::{Rng, RngExt as _};

use self::budget::{BudgetBounds, RetryShare};
use self::cold_share::ColdBounds;
use self::load::UpstreamLoad;
use crate::belief::KnownUpstream;
use crate::refusal::Refusal;

/// Time that a request takes before any has ended.
const DEFAULT_SERVICE_S: f64 = 0.5;

/// How many busy slots a failure rate of one weighs.
const FAILURE_WEIGHT: f64 = 3.0;

/// Share of the bound on connections that daemons use together; the rest is for connections whose
/// end an upstream has not noticed yet.
const CONNECTION_SHARE: f64 = 0.8;

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
}

/// The upstream of an attempt and what it was picked by.
#[derive(Clone, Debug, PartialEq)]
pub struct Pick {
    /// Instance.
    pub instance: String,
    /// Address.
    pub address: std::net::SocketAddr,
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
}

struct Scored<'a> {
    known: &'a KnownUpstream,
    load: &'a UpstreamLoad,
    score: f64,
}

/// Loads by instance and retry budgets by service.
pub struct Traffic {
    bounds: TrafficBounds,
    loads: HashMap<String, UpstreamLoad>,
    budgets: HashMap<String, RetryShare>,
}

impl Traffic {
    /// Traffic of a daemon that has sent nothing.
    #[must_use]
    pub fn new(bounds: TrafficBounds) -> Self {
        Self {
            bounds,
            loads: HashMap::new(),
            budgets: HashMap::new(),
        }
    }

    /// Load of an upstream.
    pub fn load_mut(&mut self, instance: &str) -> &mut UpstreamLoad {
        if !self.loads.contains_key(instance) {
            self.loads
                .insert(instance.to_owned(), UpstreamLoad::default());
        }
        self.loads.entry(instance.to_owned()).or_default()
    }

    /// Loads by instance.
    pub fn loads(&self) -> impl Iterator<Item = (&str, &UpstreamLoad)> {
        self.loads.iter().map(|(k, v)| (k.as_str(), v))
    }

    /// Replaces what peers have in flight.
    pub fn set_peers(&mut self, in_flight: &HashMap<u64, u32>, hash: impl Fn(&str) -> u64) {
        for (instance, load) in &mut self.loads {
            load.peers = in_flight.get(&hash(instance)).copied().unwrap_or(0);
        }
    }

    /// Makes room for the loads of known upstreams and forgets those of others without requests.
    pub fn keep_only(&mut self, known: impl Iterator<Item = String>) {
        let known: std::collections::HashSet<String> = known.collect();
        for instance in &known {
            self.load_mut(instance);
        }
        self.loads
            .retain(|k, l| known.contains(k) || l.own > 0 || l.connections > 0);
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
            .filter(|k| !self.loads[&k.upstream.instance].is_suspect(now))
            .collect();
        let candidates = if sound.is_empty() { allowed } else { sound };
        let scored = candidates.iter().map(|known| {
            let load = &self.loads[&known.upstream.instance];
            Scored {
                known,
                load,
                score: score(known, load, rng),
            }
        });
        let Some(best) = scored.min_by(|a, b| a.score.total_cmp(&b.score)) else {
            return Err(busy(Refusal::Busy.retry_after().unwrap_or_default()));
        };
        let wait = expected_wait(best.known, best.load);
        if wait > ask.patience {
            return Err(busy(wait - ask.patience));
        }
        let pick = Pick {
            instance: best.known.upstream.instance.clone(),
            address: best.known.upstream.address,
            in_flight: best.load.in_flight(),
            capacity: best.known.upstream.capacity,
            candidates: candidates.len(),
        };
        let is_cold = best.known.is_cold(now);
        let load = self.load_mut(&pick.instance);
        load.own += 1;
        if is_cold {
            load.cold.sent(now);
        }
        Ok(pick)
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
            || service.cold_per_s <= 0.0
            || load.cold.allows(
                now,
                &cold_bounds,
                service.cold_per_s,
                share.daemons,
                share.ordinal,
            )
    }
}

fn busy(retry_after: Duration) -> NoPick {
    NoPick {
        reason: Refusal::Busy,
        retry_after,
    }
}

/// Busy share of an upstream, with up to one request of noise so that daemons with the same view
/// do not all pick the same one.
fn score(known: &KnownUpstream, load: &UpstreamLoad, rng: &mut impl Rng) -> f64 {
    let capacity = f64::from(known.upstream.capacity.max(1));
    let noise: f64 = rng.random();
    let slowness = load.service_s.unwrap_or(DEFAULT_SERVICE_S);
    let busy = (f64::from(load.in_flight()) + 1.0 + noise) / capacity;
    busy * slowness.max(0.001) + load.failure_rate * FAILURE_WEIGHT * slowness / capacity
}

/// Time until a request that arrives now would begin.
fn expected_wait(known: &KnownUpstream, load: &UpstreamLoad) -> Duration {
    let capacity = known.upstream.capacity.max(1);
    let before = (load.in_flight() + 1).saturating_sub(capacity);
    let service_s = load.service_s.unwrap_or(DEFAULT_SERVICE_S);
    Duration::from_secs_f64(f64::from(before) * service_s / f64::from(capacity))
}
