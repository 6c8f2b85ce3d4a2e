//! The entry's router, limits, retry budget and wait queues, and waiting for an upstream.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use oriole_kernel::clock::Clock;
use oriole_routing::capacity::{CapacityView, PoolCapacity};
use oriole_routing::limits::{LimitDigest, Limiter, LimiterConfig, Permit};
use oriole_routing::picking::{PickRequest, Router, RouterConfig};
use oriole_routing::queue::{Offer, QueueConfig, QueueRequest, Ticket, WaitQueue};
use oriole_routing::retry::{FailedAttempt, RetryBudget, RetryConfig, RetryDecision};
use oriole_types::prelude::*;
use tokio::sync::oneshot;

use crate::answer::Refusal;

/// A request for an upstream.
#[derive(Clone, Debug)]
pub struct AcquireRequest {
    /// Pool that serves the request.
    pub pool: PoolName,
    /// Hash of the prompt prefix; `None` if the pool has no model engines.
    pub prefix: Option<u64>,
    /// Upstreams that must not be picked.
    pub exclude: Vec<VmName>,
    /// The request as the wait queue sees it.
    pub queue_request: QueueRequest,
}

/// A request in the wait queue. Its receiver is dropped if the caller leaves.
struct Waiter {
    pool: PoolName,
    prefix: Option<u64>,
    exclude: Vec<VmName>,
    priority: Priority,
    tx: oneshot::Sender<Result<VmName, Refusal>>,
}

struct Inner {
    router: Router,
    limiter: Limiter,
    retries: RetryBudget,
    queues: BTreeMap<PoolName, WaitQueue<Waiter>>,
}

/// The entry's router, limits, retry budget and wait queues behind one lock.
///
/// Clones share the same state. Every method holds the lock for a short computation only, never
/// across an await.
#[derive(Clone)]
pub struct Routing {
    clock: Clock,
    inner: Arc<Mutex<Inner>>,
}

/// Counts a request against its limits until dropped.
pub struct PermitGuard {
    routing: Routing,
    permit: Option<Permit>,
}

impl Drop for PermitGuard {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            self.routing.lock().limiter.release(permit);
        }
    }
}

/// An attempt that counts as in flight at an upstream.
///
/// Report its result with [`Self::finished`], [`Self::refused`] or [`Self::failed`]; dropping the
/// guard counts the attempt as cancelled.
pub struct AttemptGuard {
    routing: Routing,
    vm: VmName,
    started: Duration,
    /// Whether no result was reported yet.
    is_open: bool,
}

impl Routing {
    /// Creates the routing state of an entry in a failure domain.
    #[must_use]
    pub fn new(clock: Clock, domain: DomainName) -> Self {
        let inner = Inner {
            router: Router::new(router_config(), domain),
            limiter: Limiter::new(LimiterConfig::default()),
            retries: RetryBudget::new(RetryConfig::default()),
            queues: BTreeMap::new(),
        };
        Self {
            clock,
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Checks blocks and the limits of account and catalog entry, and counts the request.
    ///
    /// # Errors
    ///
    /// Refuses a request that is blocked or over a limit.
    pub fn admit(
        &self,
        catalog: &Catalog,
        account: &AccountName,
        entry: &EntryName,
        key: Option<&IdempotencyKey>,
    ) -> Result<PermitGuard, Refusal> {
        let key = key.map(|k| Digest::of(k.as_str().as_bytes()));
        let now = self.clock.now();
        let admitted = self
            .lock()
            .limiter
            .admit(now, catalog, account, entry, key.as_ref());
        match admitted {
            Ok(permit) => Ok(PermitGuard {
                routing: self.clone(),
                permit: Some(permit),
            }),
            Err(refusal) => {
                let message = refusal
                    .detail
                    .unwrap_or_else(|| limit_message(refusal.reason));
                Err(Refusal::new(refusal.reason, message)
                    .with_retry_after_ms(millis(refusal.retry_after)))
            }
        }
    }

    /// Applies a new VM list or catalog.
    pub fn on_fleet_change(&self, list: &VmList, catalog: &Catalog) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.router.on_fleet_change(now, list, catalog);
        inner.limiter.prune(now, catalog);
        inner.start_all_waiting(now);
    }

    /// Sets the number of entries that share each account's limits, and of those that share the
    /// limits of catalog entries.
    pub fn set_sharers(&self, accounts: &[(AccountName, usize)], entries: usize) {
        let now = self.clock.now();
        let mut inner = self.lock();
        for (account, sharers) in accounts {
            inner.limiter.set_account_sharers(now, account, *sharers);
        }
        inner.limiter.set_catalog_entry_sharers(entries);
    }

    /// This entry's use of the limits, to send to other entries.
    #[must_use]
    pub fn limit_digest(&self) -> LimitDigest {
        let now = self.clock.now();
        self.lock().limiter.digest(now)
    }

    /// Records another entry's use of the limits.
    pub fn record_peer_digest(&self, peer: &VmName, digest: &LimitDigest) {
        let now = self.clock.now();
        self.lock().limiter.record_peer_digest(now, peer, digest);
    }

    /// Applies a load report that did not come with an answer.
    pub fn on_load_report(&self, vm: &VmName, load: &LoadReport) {
        let now = self.clock.now();
        let mut inner = self.lock();
        inner.router.on_load_report(now, vm, load);
        inner.start_all_waiting(now);
    }

    /// Records a new request, which adds to the retry budget.
    pub fn record_request(&self) {
        self.lock().retries.record_request();
    }

    /// Decides whether to retry after a failed attempt.
    #[must_use]
    pub fn decide_retry(&self, failed: &FailedAttempt) -> RetryDecision {
        let now = self.clock.now();
        self.lock().retries.decide(now, failed, &mut rand::rng())
    }

    /// Waits for an upstream with free capacity.
    ///
    /// # Errors
    ///
    /// Refuses if no upstream is in service, the queue is full, or the deadline cannot be met.
    pub async fn acquire(&self, req: AcquireRequest) -> Result<AttemptGuard, Refusal> {
        let pool = req.pool.clone();
        let (ticket, rx) = match self.pick_or_queue(req)? {
            Acquired::Now(guard) => return Ok(guard),
            Acquired::Queued(ticket, rx) => (ticket, rx),
        };
        let mut queued = QueuedRequest {
            routing: self,
            pool,
            ticket,
            rx,
        };
        match (&mut queued.rx).await {
            Ok(Ok(vm)) => Ok(self.new_guard(vm)),
            Ok(Err(refusal)) => Err(refusal),
            Err(_) => Err(Refusal::new(
                RefusalReason::QueueFull,
                "the request gave way to more urgent ones",
            )),
        }
    }

    /// Starts an attempt at the one upstream that may run the request, without checking the
    /// upstream's state, because only its agent can decide whether the request may still run.
    #[must_use]
    pub fn start_pinned_attempt(&self, vm: &VmName) -> AttemptGuard {
        let now = self.clock.now();
        self.lock().router.on_attempt_started(now, vm, None);
        self.new_guard(vm.clone())
    }

    /// This entry's estimate of the capacity of all pools.
    #[must_use]
    pub fn capacity(&self) -> CapacityView {
        let now = self.clock.now();
        let inner = self.lock();
        let mut view = CapacityView::default();
        for pool in inner.router.pools() {
            view.set(pool.clone(), inner.router.capacity(now, pool));
        }
        view
    }

    /// Requests that wait for an upstream.
    #[must_use]
    pub fn waiting(&self) -> usize {
        self.lock().queues.values().map(WaitQueue::len).sum()
    }

    /// Starts waiting requests where capacity became free, and refuses those past their deadline.
    pub fn tick(&self) {
        let now = self.clock.now();
        self.lock().start_all_waiting(now);
    }

    fn pick_or_queue(&self, req: AcquireRequest) -> Result<Acquired, Refusal> {
        let now = self.clock.now();
        let mut inner = self.lock();
        let capacity = inner.router.capacity(now, &req.pool);
        if let Err(reason) = capacity.admit(req.queue_request.priority) {
            return Err(capacity_refusal(reason, &req.pool, capacity));
        }
        if inner.queue_is_empty(&req.pool) {
            let priority = req.queue_request.priority;
            match inner.pick(now, &req.pool, req.prefix, &req.exclude, priority) {
                Ok(vm) => {
                    inner.record_bypass(now, &req);
                    drop(inner);
                    return Ok(Acquired::Now(self.new_guard(vm)));
                }
                Err(RefusalReason::NoCapacity) => {}
                Err(reason) => return Err(capacity_refusal(reason, &req.pool, capacity)),
            }
        }
        let (tx, rx) = oneshot::channel();
        let ticket = inner.enqueue(now, req, tx)?;
        Ok(Acquired::Queued(ticket, rx))
    }

    fn new_guard(&self, vm: VmName) -> AttemptGuard {
        AttemptGuard {
            routing: self.clone(),
            vm,
            started: self.clock.now(),
            is_open: true,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Result of a request for an upstream.
enum Acquired {
    /// An upstream had free capacity.
    Now(AttemptGuard),
    /// The request waits in the queue.
    Queued(Ticket, oneshot::Receiver<Result<VmName, Refusal>>),
}

/// A waiting request, removed from the queue when dropped.
struct QueuedRequest<'a> {
    routing: &'a Routing,
    pool: PoolName,
    ticket: Ticket,
    rx: oneshot::Receiver<Result<VmName, Refusal>>,
}

impl Drop for QueuedRequest<'_> {
    fn drop(&mut self) {
        let now = self.routing.clock.now();
        let mut inner = self.routing.lock();
        if let Some(queue) = inner.queues.get_mut(&self.pool) {
            queue.cancel(now, self.ticket);
        }
        // An upstream may have been assigned just before the caller left.
        if let Ok(Ok(vm)) = self.rx.try_recv() {
            inner.router.on_attempt_cancelled(&vm);
        }
    }
}

impl Inner {
    fn queue_is_empty(&self, pool: &PoolName) -> bool {
        self.queues.get(pool).is_none_or(WaitQueue::is_empty)
    }

    /// Picks an upstream and counts an attempt there.
    fn pick(
        &mut self,
        now: Duration,
        pool: &PoolName,
        prefix: Option<u64>,
        exclude: &[VmName],
        priority: Priority,
    ) -> Result<VmName, RefusalReason> {
        let req = PickRequest {
            pool,
            prefix,
            exclude,
            priority,
        };
        let vm = self.router.pick(now, &req, &mut rand::rng())?;
        self.router.on_attempt_started(now, &vm, prefix);
        Ok(vm)
    }

    /// Records a request that was sent without waiting; it counts in the fair sharing among
    /// accounts.
    fn record_bypass(&mut self, now: Duration, req: &AcquireRequest) {
        let queue = self
            .queues
            .entry(req.pool.clone())
            .or_insert_with(|| WaitQueue::new(QueueConfig::default()));
        queue.record_bypass(now, &req.queue_request);
    }

    fn enqueue(
        &mut self,
        now: Duration,
        req: AcquireRequest,
        tx: oneshot::Sender<Result<VmName, Refusal>>,
    ) -> Result<Ticket, Refusal> {
        let waiter = Waiter {
            pool: req.pool.clone(),
            prefix: req.prefix,
            exclude: req.exclude,
            priority: req.queue_request.priority,
            tx,
        };
        let queue = self
            .queues
            .entry(req.pool)
            .or_insert_with(|| WaitQueue::new(QueueConfig::default()));
        match queue.push(now, req.queue_request, waiter) {
            Ok((ticket, displaced)) => {
                // Dropping the displaced waiter's sender ends its wait with a refusal.
                drop(displaced);
                Ok(ticket)
            }
            Err(refusal) => Err(Refusal::new(refusal.reason, queue_message(refusal.reason))
                .with_retry_after_ms(millis(refusal.retry_after))),
        }
    }

    fn start_all_waiting(&mut self, now: Duration) {
        let pools: Vec<PoolName> = self.queues.keys().cloned().collect();
        for pool in pools {
            self.start_waiting(now, &pool);
        }
    }

    /// Refuses a pool's waiting requests that are past their deadline, and assigns upstreams with
    /// free capacity to others.
    fn start_waiting(&mut self, now: Duration, pool: &PoolName) {
        let Some(mut queue) = self.queues.remove(pool) else {
            return;
        };
        while let Some(expired) = queue.pop_expired(now) {
            let message = queue_message(RefusalReason::Deadline);
            // The caller may have left.
            let _ = expired
                .value
                .tx
                .send(Err(Refusal::new(RefusalReason::Deadline, message)));
        }
        while let Some((popped, vm)) = queue.pop_with(now, |w| self.offer(now, w)) {
            if popped.value.tx.send(Ok(vm.clone())).is_err() {
                self.router.on_attempt_cancelled(&vm);
            }
        }
        self.queues.insert(pool.clone(), queue);
    }

    /// Tries to assign an upstream. If all upstreams are full the queue stops; a request that
    /// excludes upstreams may fail where others would not, so it is only skipped.
    fn offer(&mut self, now: Duration, waiter: &Waiter) -> Offer<VmName> {
        let Waiter {
            pool,
            prefix,
            exclude,
            priority,
            ..
        } = waiter;
        match self.pick(now, pool, *prefix, exclude, *priority) {
            Ok(vm) => Offer::Take(vm),
            Err(_) if !waiter.exclude.is_empty() => Offer::Skip,
            Err(_) => Offer::Stop,
        }
    }
}

impl AttemptGuard {
    /// The upstream of the attempt.
    #[must_use]
    pub fn vm(&self) -> &VmName {
        &self.vm
    }

    /// Records that the attempt gave a complete answer.
    pub fn finished(mut self, load: Option<&LoadReport>) {
        let started = self.started;
        self.end(|inner, now, vm| {
            inner
                .router
                .on_attempt_finished(now, vm, now - started, load);
        });
    }

    /// Records that the agent or the upstream refused the attempt.
    pub fn refused(
        mut self,
        reason: RefusalReason,
        retry_after_ms: u32,
        load: Option<&LoadReport>,
    ) {
        let retry_after = Duration::from_millis(u64::from(retry_after_ms));
        let retry_after = (!retry_after.is_zero()).then_some(retry_after);
        self.end(|inner, now, vm| {
            inner
                .router
                .on_attempt_refused(now, vm, reason, retry_after, load);
        });
    }

    /// Records that the attempt failed and may have run.
    pub fn failed(mut self, load: Option<&LoadReport>) {
        self.end(|inner, now, vm| inner.router.on_attempt_failed(now, vm, load));
    }

    fn end(&mut self, record: impl FnOnce(&mut Inner, Duration, &VmName)) {
        self.is_open = false;
        let now = self.routing.clock.now();
        let mut inner = self.routing.lock();
        record(&mut inner, now, &self.vm);
        inner.start_all_waiting(now);
    }
}

impl Drop for AttemptGuard {
    fn drop(&mut self) {
        if self.is_open {
            self.end(|inner, _, vm| inner.router.on_attempt_cancelled(vm));
        }
    }
}

fn capacity_refusal(reason: RefusalReason, pool: &PoolName, capacity: PoolCapacity) -> Refusal {
    let mut view = CapacityView::default();
    view.set(pool.clone(), capacity);
    let message = format!("pool {pool}: {}", view.describe(pool));
    Refusal::new(reason, message).with_retry_after_ms(CAPACITY_RETRY_MS)
}

fn router_config() -> RouterConfig {
    RouterConfig {
        warming_seed: rand::random(),
        ..RouterConfig::default()
    }
}

/// Retry advice to callers that found no capacity, in milliseconds.
const CAPACITY_RETRY_MS: u32 = 1_000;

fn limit_message(reason: RefusalReason) -> String {
    match reason {
        RefusalReason::AccountLimit => "the account is over its limit".into(),
        RefusalReason::EntryLimit => "the entry is over its limit".into(),
        reason => format!("refused: {reason}"),
    }
}

fn queue_message(reason: RefusalReason) -> &'static str {
    match reason {
        RefusalReason::Deadline => "no upstream can answer before the deadline",
        _ => "too many requests wait already",
    }
}

fn millis(duration: Duration) -> u32 {
    u32::try_from(duration.as_millis()).unwrap_or(u32::MAX)
}
