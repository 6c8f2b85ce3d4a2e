//! The machine that picks an upstream.

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

/// Weight of the newest report in the pool's average load.
const LOAD_SMOOTHING: f64 = 0.1;

/// What a request asks of the [`Router`].
#[derive(Clone, Copy, Debug)]
pub struct PickRequest<'a> {
    /// Pool that serves the request.
    pub pool: &'a PoolName,
    /// Hash of the prompt prefix, if the request has one.
    pub prefix: Option<u64>,
    /// Upstreams that already failed this request.
    pub exclude: &'a [VmName],
    /// Urgency: the more urgent, the more requests may wait at the upstream already.
    pub priority: Priority,
}

impl<'a> PickRequest<'a> {
    /// Asks for any upstream of a pool for a request of the usual class.
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
/// Feed it the VM list and the catalog with [`Router::fleet_changed`], every load report with
/// [`Router::report`], and the course of each attempt: [`Router::started`], then exactly one of
/// [`Router::finished`], [`Router::refused`], [`Router::failed`] and [`Router::cancelled`].
#[derive(Debug)]
pub struct Router {
    pub(super) cfg: RouterConfig,
    pub(super) domain: DomainName,
    pub(super) distances: BTreeMap<DomainName, Duration>,
    pub(super) pools: BTreeMap<PoolName, PoolState>,
    pool_of: BTreeMap<VmName, PoolName>,
    pub(super) entries: u32,
    synced: bool,
}

impl Router {
    /// A router for an entry in some failure domain; it knows no upstream yet.
    #[must_use]
    pub fn new(cfg: RouterConfig, domain: DomainName) -> Self {
        Self {
            cfg,
            domain,
            distances: BTreeMap::new(),
            pools: BTreeMap::new(),
            pool_of: BTreeMap::new(),
            entries: 1,
            synced: false,
        }
    }

    /// Takes in the VM list and the catalog, both whole, whenever either changed.
    ///
    /// Upstreams that return to service, or are new to a router that has synced before, start
    /// slowly.
    pub fn fleet_changed(&mut self, now: Duration, list: &VmList, catalog: &Catalog) {
        self.drop_missing(list);
        for record in &list.vms {
            if let VmRole::Upstream { pool } = &record.role {
                self.sync_upstream(now, record, pool, catalog);
            }
        }
        let entries = list.vms.iter().filter(|r| r.role == VmRole::Entry);
        self.entries = entries.filter(|r| takes_work(r, catalog)).count() as u32;
        self.synced = self.synced || !list.vms.is_empty();
    }

    /// Sets the measured round trip to a failure domain.
    pub fn set_distance(&mut self, domain: &DomainName, rtt: Duration) {
        self.distances.insert(domain.clone(), rtt);
    }

    /// Takes in a load report, whichever way it came; an older one than the held is ignored.
    pub fn report(&mut self, now: Duration, vm: &VmName, load: &LoadReport) {
        let Some(pool) = self.pool_mut(vm) else {
            return;
        };
        let Some(upstream) = pool.upstreams.get_mut(vm) else {
            return;
        };
        if !upstream.note_report(now, load) {
            return;
        }
        if let Some((part, weight)) = upstream.sample() {
            let held = pool.load.unwrap_or(part);
            pool.load = Some(held + LOAD_SMOOTHING * weight * (part - held));
        }
    }

    /// Picks an upstream of a pool.
    ///
    /// # Errors
    ///
    /// [`RefusalReason::NoUpstream`] if none is in service, [`RefusalReason::NoCapacity`] if all
    /// seem full, are ejected or were excluded: let the request wait until an attempt ends.
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

    /// Notes that an attempt was sent.
    pub fn started(&mut self, now: Duration, vm: &VmName, prefix: Option<u64>) {
        let cfg = self.cfg.clone();
        let Some(pool) = self.pool_mut(vm) else {
            return;
        };
        if let Some(prefix) = prefix {
            pool.prefixes.learn(now, prefix, vm);
        }
        let average = pool.average_load();
        let Some(upstream) = pool.upstreams.get_mut(vm) else {
            return;
        };
        if upstream.room(now, average, Priority::Low, &cfg) < 1.0 {
            pool.probed = now;
        }
        upstream.started(now);
        pool.own += 1;
    }

    /// Notes that an attempt gave its whole answer.
    pub fn finished(
        &mut self,
        now: Duration,
        vm: &VmName,
        elapsed: Duration,
        load: Option<&LoadReport>,
    ) {
        if let Some(upstream) = self.end_attempt(vm) {
            upstream.health.succeeded();
            upstream.note_service(now, elapsed);
        }
        if let Some(pool) = self.pool_mut(vm) {
            pool.note_service(elapsed);
        }
        self.report_if_any(now, vm, load);
    }

    /// Notes that the agent refused an attempt without running it.
    pub fn refused(
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
            self.failed(now, vm, load);
            return;
        }
        let hold = retry_after.unwrap_or(self.cfg.hold_after_refusal);
        if let Some(upstream) = self.end_attempt(vm)
            && is_about_upstream(reason)
        {
            upstream.hold_until = now + hold;
        }
        self.report_if_any(now, vm, load);
    }

    /// Notes that an attempt failed: the upstream or the way to it is at fault.
    pub fn failed(&mut self, now: Duration, vm: &VmName, load: Option<&LoadReport>) {
        let cfg = self.cfg.clone();
        let may_eject = self.may_eject_another(now, vm);
        if let Some(upstream) = self.end_attempt(vm)
            && upstream.health.failed(now, &cfg)
            && may_eject
        {
            let until = upstream.health.eject(now, &cfg);
            upstream.ramp_from = Some(until);
            counter!("oriole_upstream_ejected_total").increment(1);
        }
        self.report_if_any(now, vm, load);
    }

    /// Notes that an attempt was cancelled, or ended in a way that says nothing of the upstream.
    pub fn cancelled(&mut self, vm: &VmName) {
        self.end_attempt(vm);
    }

    /// Notes a cache event: the upstream holds the prefix, or holds it no more.
    pub fn prefix_event(&mut self, now: Duration, vm: &VmName, prefix: u64, held: bool) {
        let Some(pool) = self.pool_mut(vm) else {
            return;
        };
        if held {
            pool.prefixes.learn(now, prefix, vm);
        } else {
            pool.prefixes.forget(prefix, vm);
        }
    }

    /// Notes whether an upstream that was taken for its prefix held it, as the answer told.
    pub fn prefix_guessed(&mut self, vm: &VmName, right: bool) {
        if let Some(pool) = self.pool_mut(vm) {
            pool.prefixes.note_guess(right);
        }
    }

    /// Whether an upstream may get new work now; use it where the upstream is given, as for the
    /// home of an idempotency key.
    ///
    /// # Errors
    ///
    /// The reason that stands against it.
    pub fn check(&self, now: Duration, vm: &VmName) -> Result<(), RefusalReason> {
        let upstream = self.upstream(vm).ok_or(RefusalReason::NoUpstream)?;
        if !upstream.in_service || upstream.is_leaving(now, &self.cfg) {
            return Err(RefusalReason::Draining);
        }
        Ok(())
    }

    /// Requests of this entry that run at an upstream.
    #[must_use]
    pub fn in_flight(&self, vm: &VmName) -> u32 {
        self.upstream(vm).map_or(0, |u| u.own)
    }

    /// What this entry believes a pool has left.
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
            capacity.in_flight += u.load(now, pool.average_load(), &self.cfg).round() as u64;
        }
        capacity
    }

    /// Names of the pools that have upstreams.
    pub fn pools(&self) -> impl Iterator<Item = &PoolName> {
        self.pools.keys()
    }

    fn drop_missing(&mut self, list: &VmList) {
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
                pool.own -= gone.map_or(0, |u| u.own).min(pool.own);
                pool.prefixes.forget_upstream(&vm);
            }
            self.pool_of.remove(&vm);
        }
    }

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
        let in_service = takes_work(record, catalog);
        let (cfg, synced) = (&self.cfg, self.synced);
        let pool = self
            .pools
            .entry(pool_name.clone())
            .or_insert_with(|| PoolState {
                upstreams: BTreeMap::new(),
                load: None,
                service: None,
                own: 0,
                probed: Duration::ZERO,
                prefixes: PrefixTable::new(cfg.prefixes_per_pool, cfg.prefix_half_life),
            });
        let upstream = pool
            .upstreams
            .entry(record.name.clone())
            .or_insert_with(|| Upstream::new(record.domain.clone(), stated));
        upstream.domain = record.domain.clone();
        upstream.stated = stated;
        if in_service && !upstream.in_service && synced {
            upstream.restart(now);
        }
        upstream.in_service = in_service;
        self.pool_of.insert(record.name.clone(), pool_name.clone());
    }

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

    fn end_attempt(&mut self, vm: &VmName) -> Option<&mut Upstream> {
        let pool = self.pool_mut(vm)?;
        let upstream = pool.upstreams.get_mut(vm)?;
        pool.own = pool.own.saturating_sub(1);
        upstream.own = upstream.own.saturating_sub(1);
        Some(upstream)
    }

    fn report_if_any(&mut self, now: Duration, vm: &VmName, load: Option<&LoadReport>) {
        if let Some(load) = load {
            self.report(now, vm, load);
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

/// Whether list and catalog let a VM take new work.
fn takes_work(record: &VmRecord, catalog: &Catalog) -> bool {
    record.state == VmState::Live && catalog.is_in_service(&record.name, &record.domain)
}

/// Whether a refusal says something about the upstream rather than about the request.
fn is_about_upstream(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::UpstreamFull
            | RefusalReason::UpstreamCold
            | RefusalReason::NoCapacity
            | RefusalReason::QueueFull
            | RefusalReason::Draining
            | RefusalReason::AgentStarting
            | RefusalReason::NoConfiguration
    )
}
