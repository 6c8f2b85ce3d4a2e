//! The router, which picks an upstream for each request.

use std::collections::BTreeMap;
use std::time::Duration;

use metrics::counter;
use oriole_types::prelude::*;
use rand::Rng;

use super::config::RouterConfig;
use super::pool::PoolState;
use super::prefix::PrefixTable;
use super::upstream::{StatedCapacity, Upstream};
use crate::capacity::PoolCapacity;

/// Weight of the latest report in the pool's average load.
const LOAD_SMOOTHING: f64 = 0.1;

/// A request for which the [`Router`] picks an upstream.
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Pool that serves the request.
    pub pool: &'a PoolName,
    /// Hash of the prompt prefix; `None` if the request has none.
    pub prefix: Option<u64>,
    /// Upstreams that already failed this request.
    pub exclude: &'a [VmName],
    /// Priority. A high-priority request may go to an upstream with more waiting requests.
    pub priority: Priority,
}

impl<'a> PickRequest<'a> {
    /// Creates a request of normal priority for any upstream of a pool.
    #[must_use]
    pub fn new(pool: &'a PoolName) -> Self {
        Self {
            pool,
            prefix: None,
            exclude: &[],
            priority: Priority::Normal,
        }
    }
}

/// Picks an upstream for each request of one entry.
///
/// Pass it the VM list and the catalog with [`Router::on_fleet_change`] and every load report with
/// [`Router::on_load_report`]. For each attempt, call [`Router::on_attempt_started`] and then
/// exactly one of [`Router::on_attempt_finished`], [`Router::on_attempt_refused`],
/// [`Router::on_attempt_failed`] and [`Router::on_attempt_cancelled`].
#[derive(Debug)]
pub struct Router {
    pub(super) cfg: RouterConfig,
    /// Failure domain of this entry.
    pub(super) domain: DomainName,
    /// Measured round trips.
    pub(super) rtt_by_domain: BTreeMap<DomainName, Duration>,
    pub(super) pools: BTreeMap<PoolName, PoolState>,
    pool_of: BTreeMap<VmName, PoolName>,
    /// Number of entries in service.
    pub(super) entry_count: u32,
    /// Whether a VM list that was not empty has arrived.
    has_fleet: bool,
}

impl Router {
    /// Creates a router without upstreams for an entry in `domain`.
    #[must_use]
    pub fn new(cfg: RouterConfig, domain: DomainName) -> Self {
        Self {
            cfg,
            domain,
            rtt_by_domain: BTreeMap::new(),
            pools: BTreeMap::new(),
            pool_of: BTreeMap::new(),
            entry_count: 1,
            has_fleet: false,
        }
    }

    /// Applies the complete VM list and catalog after a change of either.
    ///
    /// Upstreams that return to service, or that appear after the first VM list, start slowly.
    pub fn on_fleet_change(&mut self, now: Duration, list: &VmList, catalog: &Catalog) {
        self.remove_unlisted(list);
        for record in &list.vms {
            if let VmRole::Upstream { pool } = &record.role {
                self.sync_upstream(now, record, pool, catalog);
            }
        }
        let entries = list.vms.iter().filter(|r| r.role == VmRole::Entry);
        self.entry_count = entries.filter(|r| is_in_service(r, catalog)).count() as u32;
        self.has_fleet = self.has_fleet || !list.vms.is_empty();
    }

    /// Sets the measured round trip to a failure domain.
    pub fn set_domain_rtt(&mut self, domain: &DomainName, rtt: Duration) {
        self.rtt_by_domain.insert(domain.clone(), rtt);
    }

    /// Records a load report from any source. It is ignored if a newer one is known.
    pub fn on_load_report(&mut self, now: Duration, vm: &VmName, load: &LoadReport) {
        let Some(pool) = self.pool_mut(vm) else {
            return;
        };
        let Some(upstream) = pool.upstreams.get_mut(vm) else {
            return;
        };
        if !upstream.record_report(now, load) {
            return;
        }
        if let Some((load_share, weight)) = upstream.load_sample() {
            let previous = pool.smoothed_load.unwrap_or(load_share);
            pool.smoothed_load = Some(previous + LOAD_SMOOTHING * weight * (load_share - previous));
        }
    }

    /// Picks an upstream of a pool.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::NoUpstream`] if none is in service. [`RefusalReason::NoCapacity`] if all
    /// are full by estimate, ejected, paused or excluded; the request should then wait until an
    /// attempt ends.
    pub fn pick(
        &self,
        now: Duration,
        req: &PickRequest<'_>,
        rng: &mut impl Rng,
    ) -> Result<VmName, RefusalReason> {
        let picked = self.try_pick(now, req, rng);
        if let Err(reason) = picked {
            counter!("oriole_pick_refused_total", "reason" => reason.as_str()).increment(1);
        }
        picked
    }

    /// Records that an attempt was sent.
    pub fn on_attempt_started(&mut self, now: Duration, vm: &VmName, prefix: Option<u64>) {
        let cfg = self.cfg.clone();
        let Some(pool) = self.pool_mut(vm) else {
            return;
        };
        if let Some(prefix) = prefix {
            pool.prefixes.add_holder(now, prefix, vm);
        }
        let average = pool.average_load();
        let Some(upstream) = pool.upstreams.get_mut(vm) else {
            return;
        };
        if upstream.free_slots(now, average, Priority::Low, &cfg) < 1.0 {
            pool.last_probe_at = now;
        }
        upstream.record_attempt(now);
        pool.own_in_flight += 1;
    }

    /// Records that an attempt gave a complete answer.
    pub fn on_attempt_finished(
        &mut self,
        now: Duration,
        vm: &VmName,
        elapsed: Duration,
        load: Option<&LoadReport>,
    ) {
        if let Some(upstream) = self.end_attempt(vm) {
            upstream.health.record_success();
            upstream.record_service_time(now, elapsed);
        }
        if let Some(pool) = self.pool_mut(vm) {
            pool.record_service_time(elapsed);
        }
        self.record_report_if_any(now, vm, load);
    }

    /// Records that the agent refused an attempt without running it.
    pub fn on_attempt_refused(
        &mut self,
        now: Duration,
        vm: &VmName,
        reason: RefusalReason,
        retry_after: Option<Duration>,
        load: Option<&LoadReport>,
    ) {
        counter!("oriole_attempt_refused_total", "reason" => reason.as_str()).increment(1);
        if matches!(
            reason,
            RefusalReason::AgentUnreachable | RefusalReason::UpstreamUnreachable
        ) {
            self.on_attempt_failed(now, vm, load);
            return;
        }
        let pause = retry_after.unwrap_or(self.cfg.refusal_pause);
        if let Some(upstream) = self.end_attempt(vm)
            && is_about_upstream(reason)
        {
            upstream.paused_until = now + pause;
        }
        self.record_report_if_any(now, vm, load);
    }

    /// Records that an attempt failed because of the upstream or the connection to it.
    pub fn on_attempt_failed(&mut self, now: Duration, vm: &VmName, load: Option<&LoadReport>) {
        let cfg = self.cfg.clone();
        let may_eject = self.may_eject_another(now, vm);
        if let Some(upstream) = self.end_attempt(vm)
            && upstream.health.record_failure(now, &cfg)
            && may_eject
        {
            let until = upstream.health.eject(now, &cfg);
            upstream.slow_start_from = Some(until);
            counter!("oriole_upstream_ejected_total").increment(1);
        }
        self.record_report_if_any(now, vm, load);
    }

    /// Records that an attempt was cancelled, or ended for a reason unrelated to the upstream.
    pub fn on_attempt_cancelled(&mut self, vm: &VmName) {
        self.end_attempt(vm);
    }

    /// Records a cache event: the upstream has cached the prefix or evicted it.
    pub fn on_prefix_event(&mut self, now: Duration, vm: &VmName, prefix: u64, cached: bool) {
        let Some(pool) = self.pool_mut(vm) else {
            return;
        };
        if cached {
            pool.prefixes.add_holder(now, prefix, vm);
        } else {
            pool.prefixes.remove_holder(prefix, vm);
        }
    }

    /// Records whether an upstream that was picked for a prefix had it cached, as reported with the
    /// answer.
    pub fn on_prefix_outcome(&mut self, vm: &VmName, correct: bool) {
        if let Some(pool) = self.pool_mut(vm) {
            pool.prefixes.record_prediction(correct);
        }
    }

    /// Checks that an upstream accepts new work. For requests that are bound to one upstream, such
    /// as the home of an idempotency key.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::NoUpstream`] if the upstream is unknown, [`RefusalReason::Draining`] if it
    /// is out of service or leaving.
    pub fn check_accepts_work(&self, now: Duration, vm: &VmName) -> Result<(), RefusalReason> {
        let upstream = self.upstream(vm).ok_or(RefusalReason::NoUpstream)?;
        if !upstream.in_service || upstream.is_leaving(now, &self.cfg) {
            return Err(RefusalReason::Draining);
        }
        Ok(())
    }

    /// Requests of this entry in flight at an upstream.
    #[must_use]
    pub fn in_flight(&self, vm: &VmName) -> u32 {
        self.upstream(vm).map_or(0, |u| u.own_in_flight)
    }

    /// Remaining capacity of a pool as this entry estimates it.
    #[must_use]
    pub fn capacity(&self, now: Duration, pool: &PoolName) -> PoolCapacity {
        let mut capacity = PoolCapacity::default();
        let Some(pool) = self.pools.get(pool) else {
            return capacity;
        };
        for u in pool.upstreams.values() {
            capacity.stated += u64::from(u.stated.warm);
            if !u.in_service || u.is_leaving(now, &self.cfg) || u.health.is_ejected(now) {
                continue;
            }
            capacity.upstreams += 1;
            capacity.left += u64::from(u.limit());
            capacity.in_flight += u
                .estimated_load(now, pool.average_load(), &self.cfg)
                .round() as u64;
        }
        capacity
    }

    /// Names of the pools that have upstreams.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.pools.keys()
    }

    /// Removes upstreams that left the VM list or changed their pool.
    fn remove_unlisted(&mut self, list: &VmList) {
        let pool_in_list = |vm: &VmName| {
            let record = list.vms.iter().find(|r| r.name == *vm)?;
            match &record.role {
                VmRole::Upstream { pool } => Some(pool),
                VmRole::Entry => None,
            }
        };
        let gone: Vec<VmName> = self
            .pool_of
            .iter()
            .filter(|(vm, pool)| pool_in_list(vm) != Some(*pool))
            .map(|(vm, _)| vm.clone())
            .collect();
        for vm in gone {
            if let Some(pool) = self.pool_mut(&vm) {
                let gone = pool.upstreams.remove(&vm);
                pool.own_in_flight -= gone.map_or(0, |u| u.own_in_flight).min(pool.own_in_flight);
                pool.prefixes.remove_upstream(&vm);
            }
            self.pool_of.remove(&vm);
        }
    }

    /// Adds or updates an upstream from its VM record and the settings of its pool.
    fn sync_upstream(
        &mut self,
        now: Duration,
        record: &VmRecord,
        pool_name: &PoolName,
        catalog: &Catalog,
    ) {
        let Some(stated) = catalog.pools.get(pool_name) else {
            return;
        };
        let stated = StatedCapacity {
            cold: stated.cold_concurrency,
            warm: stated.warm_concurrency,
        };
        let in_service = is_in_service(record, catalog);
        let (cfg, has_fleet) = (&self.cfg, self.has_fleet);
        let pool = self
            .pools
            .entry(pool_name.clone())
            .or_insert_with(|| PoolState {
                upstreams: BTreeMap::new(),
                smoothed_load: None,
                average_service_time: None,
                own_in_flight: 0,
                last_probe_at: Duration::ZERO,
                prefixes: PrefixTable::new(cfg.max_prefixes_per_pool, cfg.prefix_half_life),
            });
        let upstream = pool
            .upstreams
            .entry(record.name.clone())
            .or_insert_with(|| Upstream::new(record.domain.clone(), stated));
        upstream.domain = record.domain.clone();
        upstream.stated = stated;
        if in_service && !upstream.in_service && has_fleet {
            upstream.reset(now);
        }
        upstream.in_service = in_service;
        self.pool_of.insert(record.name.clone(), pool_name.clone());
    }

    /// Whether ejecting one more upstream keeps the pool within its limit of ejections.
    fn may_eject_another(&self, now: Duration, vm: &VmName) -> bool {
        let Some(pool) = self.pool_of.get(vm).and_then(|p| self.pools.get(p)) else {
            return false;
        };
        let in_service = pool.upstreams.values().filter(|u| u.in_service).count();
        let ejected = pool
            .upstreams
            .values()
            .filter(|u| u.health.is_ejected(now))
            .count();
        (ejected + 1) as f64 <= in_service as f64 * self.cfg.max_ejected_share
    }

    /// Counts down the requests in flight; returns the upstream if it is still known.
    fn end_attempt(&mut self, vm: &VmName) -> Option<&mut Upstream> {
        let pool = self.pool_mut(vm)?;
        let upstream = pool.upstreams.get_mut(vm)?;
        pool.own_in_flight = pool.own_in_flight.saturating_sub(1);
        upstream.own_in_flight = upstream.own_in_flight.saturating_sub(1);
        Some(upstream)
    }

    fn record_report_if_any(&mut self, now: Duration, vm: &VmName, load: Option<&LoadReport>) {
        if let Some(load) = load {
            self.on_load_report(now, vm, load);
        }
    }

    fn pool_mut(&mut self, vm: &VmName) -> Option<&mut PoolState> {
        let pool = self.pool_of.get(vm)?;
        self.pools.get_mut(pool)
    }

    fn upstream(&self, vm: &VmName) -> Option<&Upstream> {
        self.pools.get(self.pool_of.get(vm)?)?.upstreams.get(vm)
    }
}

/// Whether a VM may get new work by the VM list and the catalog.
fn is_in_service(record: &VmRecord, catalog: &Catalog) -> bool {
    record.state == VmState::Live && catalog.is_in_service(&record.name, &record.domain)
}

/// Whether a refusal was caused by the state of the upstream and not by the request.
fn is_about_upstream(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::UpstreamFull
            | RefusalReason::UpstreamCold
            | RefusalReason::UpstreamLimit
            | RefusalReason::NoCapacity
            | RefusalReason::QueueFull
            | RefusalReason::Draining
            | RefusalReason::AgentStarting
            | RefusalReason::NoConfiguration
    )
}
