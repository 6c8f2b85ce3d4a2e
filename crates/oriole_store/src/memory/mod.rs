//! In-process store for tests, experiments and the stand-in server.

mod fault;
mod table;

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::{Instant, sleep, sleep_until};

pub use fault::{ParseFaultError, StoreFault, WriteFault};
use table::{Table, Watched};

use crate::counters::{CallCounters, CallCounts, CallKind};
use crate::error::StoreError;
use crate::rate::TokenBucket;
use crate::store::{LeaseId, Precondition, Store, StoreVersion, Versioned};

/// Settings of a [`MemoryStore`].
#[derive(Clone, Debug)]
pub struct MemoryStoreConfig {
    /// Duration of a call.
    pub latency: Duration,
    /// Duration of a call under [`StoreFault::Slow`].
    pub slow_latency: Duration,
    /// Maximum rate of reads and watches, in calls per second; `None` for no limit.
    pub reads_per_s: Option<u32>,
    /// Maximum rate of writes, in calls per second; `None` for no limit.
    pub writes_per_s: Option<u32>,
}

impl Default for MemoryStoreConfig {
    fn default() -> Self {
        Self {
            latency: Duration::ZERO,
            slow_latency: Duration::from_secs(3),
            reads_per_s: None,
            writes_per_s: None,
        }
    }
}

/// An in-process store. Clones share the same values, leases and faults.
///
/// Leases and latencies use tokio's clock, which tests can pause.
///
/// ```
/// # tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap().block_on(async {
/// use oriole_store::prelude::*;
/// let store = MemoryStore::new();
/// let version = store.put("key", "value".into(), Precondition::Absent).await.unwrap();
/// assert_eq!(store.get("key").await.unwrap().unwrap().version, version);
/// # });
/// ```
#[derive(Clone, Debug)]
pub struct MemoryStore {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    cfg: MemoryStoreConfig,
    opened_at: Instant,
    state: Mutex<State>,
    fault: watch::Sender<StoreFault>,
    counters: CallCounters,
}

#[derive(Debug)]
struct State {
    table: Table,
    reads: Option<TokenBucket>,
    writes: Option<TokenBucket>,
    queued_write_faults: VecDeque<WriteFault>,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryStore {
    /// Creates an empty store without latency and rate limits.
    #[must_use]
    pub fn new() -> Self {
        Self::open(MemoryStoreConfig::default())
    }

    /// Creates an empty store.
    #[must_use]
    pub fn open(cfg: MemoryStoreConfig) -> Self {
        let bucket = |rate: u32| TokenBucket::new(f64::from(rate), f64::from(rate));
        let state = State {
            table: Table::default(),
            reads: cfg.reads_per_s.map(bucket),
            writes: cfg.writes_per_s.map(bucket),
            queued_write_faults: VecDeque::new(),
        };
        let shared = Shared {
            cfg,
            opened_at: Instant::now(),
            state: Mutex::new(state),
            fault: watch::Sender::new(StoreFault::Up),
            counters: CallCounters::default(),
        };
        Self {
            shared: Arc::new(shared),
        }
    }

    /// Sets the current fault; [`StoreFault::Up`] ends it.
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.fault.send_replace(fault);
    }

    /// The current fault.
    #[must_use]
    pub fn fault(&self) -> StoreFault {
        *self.shared.fault.borrow()
    }

    /// Appends a fault to a queue from which each write takes one.
    pub fn queue_write_fault(&self, fault: WriteFault) {
        self.state().queued_write_faults.push_back(fault);
    }

    /// Number of calls so far.
    #[must_use]
    pub fn counts(&self) -> CallCounts {
        self.shared.counters.counts()
    }

    fn now(&self) -> Duration {
        self.shared.opened_at.elapsed()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let mut state = self
            .shared
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        state.table.remove_expired(self.now());
        state
    }

    /// Waits for half of the latency. Each call waits once before its effect and once after.
    async fn half_latency(&self) {
        let latency = match self.fault() {
            StoreFault::Slow => self.shared.cfg.slow_latency,
            _ => self.shared.cfg.latency,
        };
        if !latency.is_zero() {
            sleep(latency / 2).await;
        }
    }

    /// Counts a call and refuses it if the store is down or the rate limit is exceeded.
    fn admit(&self, kind: CallKind) -> Result<(), StoreError> {
        self.shared.counters.count(kind);
        let refusal = self.refusal(kind);
        if refusal.is_some() {
            self.shared.counters.count_refused();
        }
        refusal.map_or(Ok(()), Err)
    }

    fn refusal(&self, kind: CallKind) -> Option<StoreError> {
        if self.fault() == StoreFault::Down {
            return Some(StoreError::Unavailable);
        }
        let now = self.now();
        let mut state = self.state();
        let bucket = match kind {
            CallKind::Read | CallKind::Watch => &mut state.reads,
            CallKind::Write => &mut state.writes,
        };
        let admitted = bucket.as_mut().is_none_or(|b| b.try_take(now));
        (!admitted).then_some(StoreError::RateLimited)
    }

    async fn write<T>(
        &self,
        apply: impl FnOnce(&mut Table, Duration) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        self.admit(CallKind::Write)?;
        self.half_latency().await;
        let result = self.apply(apply);
        self.half_latency().await;
        result
    }

    fn apply<T>(
        &self,
        apply: impl FnOnce(&mut Table, Duration) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let now = self.now();
        let fault = self.fault();
        let mut state = self.state();
        let write_fault = state.queued_write_faults.pop_front();
        if write_fault == Some(WriteFault::LoseRequest) {
            return Err(StoreError::Ambiguous);
        }
        let result = apply(&mut state.table, now);
        if fault == StoreFault::LoseAnswers || write_fault == Some(WriteFault::LoseAnswer) {
            return Err(StoreError::Ambiguous);
        }
        result
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.admit(CallKind::Read)?;
        self.half_latency().await;
        let found = self.state().table.get(key);
        self.half_latency().await;
        Ok(found)
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
    ) -> Result<StoreVersion, StoreError> {
        self.write(|table, _| table.put(key, value, expect, None))
            .await
    }

    async fn put_leased(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
        lease: LeaseId,
    ) -> Result<StoreVersion, StoreError> {
        self.write(|table, _| table.put(key, value, expect, Some(lease)))
            .await
    }

    async fn delete(&self, key: &str, expect: Precondition) -> Result<(), StoreError> {
        self.write(|table, _| table.delete(key, expect)).await
    }

    async fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let deadline = Instant::now() + wait;
        self.admit(CallKind::Watch)?;
        self.half_latency().await;
        let mut fault = self.shared.fault.subscribe();
        loop {
            if *fault.borrow_and_update() == StoreFault::Down {
                return Err(StoreError::Unavailable);
            }
            let (watched, next_expiry) = {
                let mut state = self.state();
                let watched = state.table.watch(key, after);
                (watched, state.table.next_expiry())
            };
            let mut changed = match watched {
                Watched::Changed(found) => {
                    self.half_latency().await;
                    return Ok(Some(found));
                }
                Watched::Waiting(rx) => rx,
            };
            if Instant::now() >= deadline {
                return Ok(None);
            }
            let expiry = next_expiry.map_or(deadline, |t| self.shared.opened_at + t);
            tokio::select! {
                biased;
                _ = changed.changed() => {}
                _ = fault.changed() => {}
                () = sleep_until(deadline.min(expiry)) => {}
            }
        }
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.write(|table, now| Ok(table.grant_lease(ttl, now)))
            .await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.write(|table, now| table.renew_lease(lease, now)).await
    }
}
