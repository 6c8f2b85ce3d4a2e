//! How the router chooses among the upstreams of a pool.

use std::time::Duration;

use oriole_types::prelude::*;
use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};

use super::pool::PoolState;
use super::prefix::PrefixTable;
use super::router::{PickRequest, Router};
use super::upstream::Upstream;

/// Smallest weight of a candidate in the draw.
const MIN_DRAW_WEIGHT: f64 = 0.01;

/// How much longer an answer takes at a full upstream than at an idle one, as a part of its
/// service time: engines batch, so that each request slows the others.
const CROWDING: f64 = 1.0;

/// What a failure costs, in service times: the caller's wait for another attempt, and that
/// attempt's place in the retry budget, which is short when much fails.
const FAILURE_COST: f64 = 3.0;

/// How much the nearest upstreams are preferred in the draw when distance is all that counts.
const NEAR_BIAS: f64 = 4.0;

/// An upstream that may get the request, with its weight in the draw.
struct Candidate<'a> {
    vm: &'a VmName,
    upstream: &'a Upstream,
    weight: f64,
}

impl Router {
    pub(super) fn try_pick(
        &self,
        now: Duration,
        req: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) -> Result<VmName, RefusalReason> {
        let pool = self.pools.get(req.pool).ok_or(RefusalReason::NoUpstream)?;
        let candidates = self.candidates(now, pool, req);
        if candidates.is_empty() {
            return Err(self.why_none(now, pool));
        }
        if let Some(cold) = self.to_warm(now, &candidates, req.priority, rng) {
            return Ok(cold.vm.clone());
        }
        let candidates = warm_if_any(candidates);
        let first = draw(&candidates, None, rng);
        let second = draw(&candidates, Some(first), rng);
        let holder = req
            .prefix
            .and_then(|p| best_holder(&candidates, &pool.prefixes, p));
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

    /// An upstream in cold start whose turn it is to get a request, since it would never become
    /// warm if it got none.
    fn to_warm<'a, 'b>(
        &self,
        now: Duration,
        candidates: &'a [Candidate<'b>],
        priority: Priority,
        rng: &mut impl Rng,
    ) -> Option<&'a Candidate<'b>> {
        if priority == Priority::High {
            return None;
        }
        let due = |c: &&Candidate<'_>| c.upstream.is_warming_due(now, self.entries, &self.cfg);
        candidates.iter().filter(due).choose(rng)
    }

    fn candidates<'a>(
        &'a self,
        now: Duration,
        pool: &'a PoolState,
        req: &PickRequest<'_>,
    ) -> Vec<Candidate<'a>> {
        let probe_due = pool.is_probe_due(now, self.entries, &self.cfg);
        pool.upstreams
            .iter()
            .filter(|(vm, u)| self.is_usable(now, u) && !req.exclude.contains(vm))
            .filter_map(|(vm, upstream)| {
                let room = upstream.room(now, pool.average_load(), req.priority, &self.cfg);
                let open = room >= 1.0 || (probe_due && upstream.is_unknown(now, &self.cfg));
                let weight = room.max(MIN_DRAW_WEIGHT)
                    * upstream.ramp(now, &self.cfg).max(MIN_DRAW_WEIGHT)
                    * self.near_bias(now, pool, upstream);
                open.then_some(Candidate {
                    vm,
                    upstream,
                    weight,
                })
            })
            .collect()
    }

    fn is_usable(&self, now: Duration, upstream: &Upstream) -> bool {
        upstream.in_service
            && !upstream.is_leaving(now, &self.cfg)
            && !upstream.health.is_ejected(now)
            && now >= upstream.hold_until
    }

    fn why_none(&self, now: Duration, pool: &PoolState) -> RefusalReason {
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

    /// Near upstreams are drawn more often, as far as the round trip counts beside the service
    /// time. Room is in the weight too, so that work spills over as the near ones fill.
    fn near_bias(&self, now: Duration, pool: &PoolState, upstream: &Upstream) -> f64 {
        let rtt = self.distance(&upstream.domain).as_secs_f64();
        let service = self.service(now, pool, upstream).max(1e-6);
        1.0 / (1.0 + NEAR_BIAS * rtt / service)
    }

    /// Seconds until the whole answer is expected. A failing upstream costs a second attempt.
    fn expected_finish(
        &self,
        now: Duration,
        pool: &PoolState,
        candidate: &Candidate<'_>,
        prefix: Option<u64>,
    ) -> f64 {
        let upstream = candidate.upstream;
        let limit = f64::from(upstream.limit());
        let load = upstream.load(now, pool.average_load(), &self.cfg);
        let service = self.service(now, pool, upstream);
        let crowding = CROWDING * (load / limit).min(1.0);
        let waiting = (load + 1.0 - limit).max(0.0) / limit;
        let chance = prefix.map_or(0.0, |p| pool.prefixes.chance(now, p, candidate.vm));
        let saving = self.cfg.prefix_saving * chance;
        let failing = FAILURE_COST * upstream.health.failure_share();
        let rtt = self.distance(&upstream.domain).as_secs_f64();
        rtt + service * (1.0 + crowding + waiting + failing - saving)
    }

    /// Seconds of service that a request can expect at an upstream.
    fn service(&self, now: Duration, pool: &PoolState, upstream: &Upstream) -> f64 {
        let average = pool.service.unwrap_or(self.cfg.assumed_service);
        upstream.service(now, average, &self.cfg).as_secs_f64()
    }

    fn distance(&self, domain: &DomainName) -> Duration {
        if *domain == self.domain {
            return Duration::ZERO;
        }
        self.distances
            .get(domain)
            .copied()
            .unwrap_or(self.cfg.cross_domain_rtt)
    }
}

/// The candidates that are not in cold start, or all if there are no others: what a cold upstream
/// bears is small, and many entries see its free slots at the same time.
fn warm_if_any(mut candidates: Vec<Candidate<'_>>) -> Vec<Candidate<'_>> {
    if candidates.iter().any(|c| !c.upstream.is_cold()) {
        candidates.retain(|c| !c.upstream.is_cold());
    }
    candidates
}

/// Draws a candidate by weight, leaving one out if there is another.
fn draw(candidates: &[Candidate<'_>], leave_out: Option<usize>, rng: &mut impl Rng) -> usize {
    let leave_out = leave_out.filter(|_| candidates.len() > 1);
    let weight = |i: usize| {
        if Some(i) == leave_out {
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
    if Some(last) == leave_out {
        last - 1
    } else {
        last
    }
}

/// The candidate that was seen last with a prefix.
fn best_holder(candidates: &[Candidate<'_>], prefixes: &PrefixTable, prefix: u64) -> Option<usize> {
    prefixes
        .holders(prefix)
        .find_map(|vm| candidates.iter().position(|c| c.vm == vm))
}
