//! The choice among the upstreams of a pool.

use std::time::Duration;

use oriole_types::prelude::*;
use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};

use super::pool::PoolState;
use super::prefix::PrefixTable;
use super::router::{PickRequest, Router};
use super::upstream::Upstream;

/// Lower bound of the factors of a candidate's weight, so that every candidate can be drawn.
const MIN_CANDIDATE_WEIGHT: f64 = 0.01;

/// Additional time of an answer at a full upstream compared with an idle one, as a multiple of the
/// service time. Engines batch requests, so each request slows the others down.
const FULL_LOAD_SLOWDOWN: f64 = 1.0;

/// Cost of a failed attempt, in service times. It stands for the wait for another attempt and for
/// the use of the retry budget, which is scarce when many attempts fail.
const FAILURE_COST: f64 = 3.0;

/// Weight of the round trip, as a multiple of the service time, in the preference for near
/// upstreams.
const DISTANCE_WEIGHT: f64 = 4.0;

/// An upstream that can take the request, with its weight in the random draw.
struct Candidate<'a> {
    vm: &'a VmName,
    upstream: &'a Upstream,
    weight: f64,
}

impl Router {
    /// [`Router::pick`] without the metrics.
    pub(super) fn try_pick(
        &self,
        now: Duration,
        req: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) -> Result<VmName, RefusalReason> {
        let pool = self.pools.get(req.pool).ok_or(RefusalReason::NoUpstream)?;
        let candidates = self.candidates(now, pool, req);
        if candidates.is_empty() {
            return Err(self.no_candidate_reason(now, pool));
        }
        if let Some(cold) = self.pick_for_warming(now, &candidates, req.priority, rng) {
            return Ok(cold.vm.clone());
        }
        let candidates = prefer_warm(candidates);
        let first = draw_weighted(&candidates, None, rng);
        let second = draw_weighted(&candidates, Some(first), rng);
        let holder = req
            .prefix
            .and_then(|p| latest_holder(&candidates, &pool.prefixes, p));
        let best = [Some(first), Some(second), holder]
            .into_iter()
            .flatten()
            .map(|i| &candidates[i])
            .min_by(|a, b| {
                let a = self.expected_finish(now, pool, a, req.prefix);
                let b = self.expected_finish(now, pool, b, req.prefix);
                a.total_cmp(&b)
            });
        best.map(|c| c.vm.clone()).ok_or(RefusalReason::NoCapacity)
    }

    /// An upstream in cold start that is due for a request. Without requests it would never become
    /// warm. High-priority requests are not used for warming.
    fn pick_for_warming<'a, 'b>(
        &self,
        now: Duration,
        candidates: &'a [Candidate<'b>],
        priority: Priority,
        rng: &mut impl Rng,
    ) -> Option<&'a Candidate<'b>> {
        if priority == Priority::High {
            return None;
        }
        let due = |c: &&Candidate<'_>| c.upstream.is_warming_due(now, self.entry_count, &self.cfg);
        candidates.iter().filter(due).choose(rng)
    }

    /// The usable upstreams with a free slot. While a probe is due, upstreams that seem full but
    /// have no recent report count as well.
    fn candidates<'a>(
        &'a self,
        now: Duration,
        pool: &'a PoolState,
        req: &PickRequest<'_>,
    ) -> Vec<Candidate<'a>> {
        let probe_due = pool.is_probe_due(now, self.entry_count, &self.cfg);
        pool.upstreams
            .iter()
            .filter(|(vm, u)| self.is_usable(now, u) && !req.exclude.contains(vm))
            .filter_map(|(vm, upstream)| {
                let free_slots =
                    upstream.free_slots(now, pool.average_load(), req.priority, &self.cfg);
                let is_open =
                    free_slots >= 1.0 || (probe_due && upstream.is_report_stale(now, &self.cfg));
                let weight = free_slots.max(MIN_CANDIDATE_WEIGHT)
                    * upstream
                        .slow_start_share(now, &self.cfg)
                        .max(MIN_CANDIDATE_WEIGHT)
                    * self.proximity_weight(now, pool, upstream);
                is_open.then_some(Candidate {
                    vm,
                    upstream,
                    weight,
                })
            })
            .collect()
    }

    /// Whether an upstream may get a request, apart from its load.
    fn is_usable(&self, now: Duration, upstream: &Upstream) -> bool {
        upstream.in_service
            && !upstream.is_leaving(now, &self.cfg)
            && !upstream.health.is_ejected(now)
            && now >= upstream.paused_until
    }

    /// The refusal if there is no candidate.
    fn no_candidate_reason(&self, now: Duration, pool: &PoolState) -> RefusalReason {
        let any_in_service = pool
            .upstreams
            .values()
            .any(|u| u.in_service && !u.is_leaving(now, &self.cfg));
        if any_in_service {
            RefusalReason::NoCapacity
        } else {
            RefusalReason::NoUpstream
        }
    }

    /// Factor of a candidate's weight that prefers near upstreams, between 0 and 1. It matters if
    /// the round trip is long compared with the service time. As free slots are part of the weight
    /// too, requests go to farther upstreams as the near ones fill up.
    fn proximity_weight(&self, now: Duration, pool: &PoolState, upstream: &Upstream) -> f64 {
        let rtt = self.rtt_to(&upstream.domain).as_secs_f64();
        let service_time = self.expected_service_time(now, pool, upstream).max(1e-6);
        1.0 / (1.0 + DISTANCE_WEIGHT * rtt / service_time)
    }

    /// Seconds until the complete answer is expected, with the cost of likely failures.
    fn expected_finish(
        &self,
        now: Duration,
        pool: &PoolState,
        candidate: &Candidate<'_>,
        prefix: Option<u64>,
    ) -> f64 {
        let upstream = candidate.upstream;
        let limit = f64::from(upstream.limit());
        let load = upstream.estimated_load(now, pool.average_load(), &self.cfg);
        let service_time = self.expected_service_time(now, pool, upstream);
        let slowdown = FULL_LOAD_SLOWDOWN * (load / limit).min(1.0);
        let queueing = (load + 1.0 - limit).max(0.0) / limit;
        let hit_probability =
            prefix.map_or(0.0, |p| pool.prefixes.hit_probability(now, p, candidate.vm));
        let saving = self.cfg.prefix_saving * hit_probability;
        let failure_penalty = FAILURE_COST * upstream.health.failure_share();
        let rtt = self.rtt_to(&upstream.domain).as_secs_f64();
        rtt + service_time * (1.0 + slowdown + queueing + failure_penalty - saving)
    }

    /// Expected service time of a request at an upstream, in seconds.
    fn expected_service_time(&self, now: Duration, pool: &PoolState, upstream: &Upstream) -> f64 {
        let pool_average = pool
            .average_service_time
            .unwrap_or(self.cfg.assumed_service_time);
        upstream
            .expected_service_time(now, pool_average, &self.cfg)
            .as_secs_f64()
    }

    /// Round trip to a failure domain: zero for the entry's own, else measured or assumed.
    fn rtt_to(&self, domain: &DomainName) -> Duration {
        if *domain == self.domain {
            return Duration::ZERO;
        }
        self.rtt_by_domain
            .get(domain)
            .copied()
            .unwrap_or(self.cfg.cross_domain_rtt)
    }
}

/// Drops candidates in cold start if there are warm ones. A cold upstream has few slots, and many
/// entries see them as free at the same time.
fn prefer_warm(mut candidates: Vec<Candidate<'_>>) -> Vec<Candidate<'_>> {
    if candidates.iter().any(|c| !c.upstream.is_cold()) {
        candidates.retain(|c| !c.upstream.is_cold());
    }
    candidates
}

/// Draws the index of a candidate at random by weight, without the excluded one unless it is the
/// only one.
fn draw_weighted(
    candidates: &[Candidate<'_>],
    excluded: Option<usize>,
    rng: &mut impl Rng,
) -> usize {
    let excluded = excluded.filter(|_| candidates.len() > 1);
    let weight = |i: usize| {
        if Some(i) == excluded {
            0.0
        } else {
            candidates[i].weight
        }
    };
    let total: f64 = (0..candidates.len()).map(weight).sum();
    let mut point = rng.random::<f64>() * total;
    for i in 0..candidates.len() {
        point -= weight(i);
        if point < 0.0 {
            return i;
        }
    }
    let last = candidates.len() - 1;
    if Some(last) == excluded {
        last - 1
    } else {
        last
    }
}

/// The candidate that was most recently seen with a prefix.
fn latest_holder(
    candidates: &[Candidate<'_>],
    prefixes: &PrefixTable,
    prefix: u64,
) -> Option<usize> {
    prefixes
        .holders(prefix)
        .find_map(|vm| candidates.iter().position(|c| c.vm == vm))
}
