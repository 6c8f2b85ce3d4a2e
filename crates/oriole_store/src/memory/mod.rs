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
    /// Time a call takes.
    pub latency: Duration,
    /// Time a call takes under [`StoreFault::Slow`].
    pub slow_latency: Duration,
    /// Most reads and watches a second; no limit if absent.
    pub reads_per_s: Option<u32>,
    /// Most writes a second; no limit if absent.
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

/// The store as a value of this process; clones share what it holds.
///
/// Use it wherever a `dyn Store` is asked for and no network should be involved. Its clock is
/// tokio's, so that tests can pause it.
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
    scripted: VecDeque<WriteFault>,
}

impl Default for MemoryStore {
    fn default() -> Self {
        Self::new()
    }
}

impl MemoryStore {
    /// An empty store without latency and limits.
    #[must_use]
    pub fn new() -> Self {
        Self::open(MemoryStoreConfig::default())
    }

    /// An empty store.
    #[must_use]
    pub fn open(cfg: MemoryStoreConfig) -> Self {
        let bucket = |rate: u32| TokenBucket::new(f64::from(rate), f64::from(rate));
        let state = State {
            table: Table::default(),
            reads: cfg.reads_per_s.map(bucket),
            writes: cfg.writes_per_s.map(bucket),
            scripted: VecDeque::new(),
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

    /// Switches a fault on, or all off with [`StoreFault::Up`].
    pub fn set_fault(&self, fault: StoreFault) {
        self.shared.fault.send_replace(fault);
    }

    /// The fault that is on.
    #[must_use]
    pub fn fault(&self) -> StoreFault {
        *self.shared.fault.borrow()
    }

    /// Scripts the fault of a coming write; several are taken in order.
    pub fn queue_write_fault(&self, fault: WriteFault) {
        self.state().scripted.push_back(fault);
    }

    /// Calls counted so far.
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
        state.table.lapse(self.now());
        state
    }

    /// Half of the time a call takes: once before its effect, once after.
    async fn delay(&self) {
        let whole = match self.fault() {
            StoreFault::Slow => self.shared.cfg.slow_latency,
            _ => self.shared.cfg.latency,
        };
        if !whole.is_zero() {
            sleep(whole / 2).await;
        }
    }

    /// Counts a call and refuses it if the store is down or the rate is spent.
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
        self.delay().await;
        let end = self.apply(apply);
        self.delay().await;
        end
    }

    fn apply<T>(
        &self,
        apply: impl FnOnce(&mut Table, Duration) -> Result<T, StoreError>,
    ) -> Result<T, StoreError> {
        let now = self.now();
        let fault = self.fault();
        let mut state = self.state();
        let scripted = state.scripted.pop_front();
        if scripted == Some(WriteFault::LoseRequest) {
            return Err(StoreError::Ambiguous);
        }
        let end = apply(&mut state.table, now);
        if fault == StoreFault::LoseAnswers || scripted == Some(WriteFault::LoseAnswer) {
            return Err(StoreError::Ambiguous);
        }
        end
    }
}

#[async_trait]
impl Store for MemoryStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.admit(CallKind::Read)?;
        self.delay().await;
        let found = self.state().table.get(key);
        self.delay().await;
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
        self.delay().await;
        let mut fault = self.shared.fault.subscribe();
        loop {
            if *fault.borrow_and_update() == StoreFault::Down {
                return Err(StoreError::Unavailable);
            }
            let (watched, next_lapse) = {
                let mut state = self.state();
                let watched = state.table.watch(key, after);
                (watched, state.table.next_lapse())
            };
            let mut changed = match watched {
                Watched::Changed(found) => {
                    self.delay().await;
                    return Ok(Some(found));
                }
                Watched::Waiting(rx) => rx,
            };
            if Instant::now() >= deadline {
                return Ok(None);
            }
            let lapse = next_lapse.map_or(deadline, |t| self.shared.opened_at + t);
            tokio::select! {
                biased;
                _ = changed.changed() => {}
                _ = fault.changed() => {}
                () = sleep_until(deadline.min(lapse)) => {}
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
