//! Callers, entries and claim homes on an in-process store, with a ledger that counts every run.
//!
//! Everything runs on one thread with tokio's paused clock, so that simulated minutes take seconds.
//! Two runs with the same seed send the same keys at the same times; a few requests at the moment
//! of an agent's crash may end differently.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use oriole_claims::prelude::*;
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::time::{Instant, sleep, timeout};

use super::claims_baseline::CasAgent;

/// One-way delay of a message between two processes.
pub const NETWORK_DELAY: Duration = Duration::from_millis(1);
/// Time that the upstream takes for a request.
const SERVICE_TIME: Duration = Duration::from_millis(20);
/// Time that a store call takes.
pub const STORE_LATENCY: Duration = Duration::from_millis(3);
/// Timeout of a call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(5);
/// Unix time at the start of a run, in milliseconds.
const START_UNIX_MS: u64 = 1_796_360_000_000;
/// Size of an answer in bytes.
const ANSWER_BYTES: usize = 200;
/// Number of agents in the pool.
pub const AGENTS: usize = 12;
/// Number of claim partitions of the pool; the catalog's default.
pub const PARTITIONS: u32 = 16;

/// How a key is claimed so that it runs at most once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClaimScheme {
    /// One compare-and-swap per request, at the agent that the key hashes to.
    Cas,
    /// Caller-chosen keys with an issue time, claimed in groups over this number of partitions.
    Grouped(u32),
    /// Tickets, which agents issue and which are bound to the issuing process.
    Tickets,
}

/// The runs of one key, by the number of their attempt.
#[derive(Clone, Debug, Default)]
struct KeyRuns {
    attempts: Vec<u64>,
}

/// Records every run at the upstream and the outcome of every call.
#[derive(Debug, Default)]
pub struct Ledger {
    runs: HashMap<String, KeyRuns>,
    refused: Vec<(String, u64)>,
    /// Calls that got an answer.
    pub answered: u64,
    /// Calls whose outcome is unknown.
    pub unknown: u64,
    /// Calls without an answer, by reason.
    pub reasons: HashMap<String, u64>,
    /// Time from the agent's receipt of each request to its run.
    pub added_latency: Vec<Duration>,
}

impl Ledger {
    /// Returns the number of runs beyond the first of each key.
    #[must_use]
    pub fn doubles(&self) -> u64 {
        let extra = |r: &KeyRuns| r.attempts.len().saturating_sub(1) as u64;
        self.runs.values().map(extra).sum()
    }

    /// Returns the number of attempts that were answered as not run but did run.
    #[must_use]
    pub fn false_not_run(&self) -> u64 {
        let ran = |(key, attempt): &&(String, u64)| {
            let runs = self.runs.get(key);
            runs.is_some_and(|r| r.attempts.contains(attempt))
        };
        self.refused.iter().filter(ran).count() as u64
    }

    /// Returns the number of runs of all keys.
    #[must_use]
    pub fn runs(&self) -> u64 {
        self.runs.values().map(|r| r.attempts.len() as u64).sum()
    }

    /// Returns a quantile of the time from the agent's receipt of a request to its run, in
    /// milliseconds.
    #[must_use]
    pub fn added_ms(&self, quantile: f64) -> f64 {
        let mut added_latency = self.added_latency.clone();
        added_latency.sort();
        let at = (added_latency.len().saturating_sub(1) as f64 * quantile) as usize;
        added_latency
            .get(at)
            .map_or(f64::NAN, |d| d.as_secs_f64() * 1e3)
    }
}

/// A store that counts the bytes written to it.
#[derive(Debug)]
pub struct CountingStore {
    pub inner: MemoryStore,
    pub bytes: AtomicU64,
}

#[async_trait]
impl Store for CountingStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.inner.get(key).await
    }

    async fn put(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
    ) -> Result<StoreVersion, StoreError> {
        self.bytes.fetch_add(value.len() as u64, Ordering::Relaxed);
        self.inner.put(key, value, expect).await
    }

    async fn put_leased(
        &self,
        key: &str,
        value: Bytes,
        expect: Precondition,
        lease: LeaseId,
    ) -> Result<StoreVersion, StoreError> {
        self.inner.put_leased(key, value, expect, lease).await
    }

    async fn delete(&self, key: &str, expect: Precondition) -> Result<(), StoreError> {
        self.inner.delete(key, expect).await
    }

    async fn watch(
        &self,
        key: &str,
        after: StoreVersion,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        self.inner.watch(key, after, wait).await
    }

    async fn grant_lease(&self, ttl: Duration) -> Result<LeaseId, StoreError> {
        self.inner.grant_lease(ttl).await
    }

    async fn renew_lease(&self, lease: LeaseId) -> Result<(), StoreError> {
        self.inner.renew_lease(lease).await
    }
}

#[derive(Debug)]
struct State {
    homes: Vec<ClaimHandle>,
    baselines: Vec<CasAgent>,
    incarnations: u64,
    attempts: u64,
    rng: StdRng,
}

/// The agents of a pool with their entries and callers; clones share the same state.
#[derive(Clone, Debug)]
pub struct Fleet {
    scheme: ClaimScheme,
    pub store: Arc<CountingStore>,
    state: Arc<Mutex<State>>,
    ledger: Arc<Mutex<Ledger>>,
    start: Instant,
}

impl Fleet {
    /// Starts a fleet with all its agents; must be called within a runtime.
    #[must_use]
    pub fn spawn(scheme: ClaimScheme, seed: u64) -> Self {
        let inner = MemoryStore::open(MemoryStoreConfig {
            latency: STORE_LATENCY,
            ..MemoryStoreConfig::default()
        });
        let bytes = AtomicU64::new(0);
        let fleet = Self {
            scheme,
            store: Arc::new(CountingStore { inner, bytes }),
            state: Arc::new(Mutex::new(State {
                homes: Vec::new(),
                baselines: Vec::new(),
                incarnations: 0,
                attempts: 0,
                rng: StdRng::seed_from_u64(seed),
            })),
            ledger: Arc::default(),
            start: Instant::now(),
        };
        for slot in 0..AGENTS {
            let home = fleet.start_home(slot);
            fleet.state().homes.push(home);
            let baseline = CasAgent::new(fleet.store.clone(), seed ^ slot as u64);
            fleet.state().baselines.push(baseline);
        }
        fleet
    }

    /// Locks the ledger.
    pub fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns `true` with the given probability.
    pub fn chance(&self, probability: f64) -> bool {
        self.state().rng.random_bool(probability)
    }

    /// Returns a random number below `bound`.
    pub fn random_below(&self, bound: usize) -> usize {
        self.state().rng.random_range(0..bound)
    }

    /// Crashes an agent and starts a new process in its slot.
    pub fn kill(&self, slot: usize) {
        let home = self.start_home(slot);
        let baseline = CasAgent::new(self.store.clone(), slot as u64 + 1_000);
        let mut state = self.state();
        std::mem::replace(&mut state.homes[slot], home).abort();
        state.baselines[slot] = baseline;
    }

    /// Returns a new key: chosen by the caller, or a ticket issued by a random agent.
    pub fn key(&self, n: u64) -> IdempotencyKey {
        if self.scheme == ClaimScheme::Tickets {
            let slot = self.random_below(AGENTS);
            let home = self.state().homes[slot].clone();
            return home.mint(&account(), &entry(), &format!("k{n}")).key();
        }
        let issued = START_UNIX_MS + self.start.elapsed().as_millis() as u64;
        IdempotencyKey::new(&format!("{issued}-{n}"))
    }

    /// Returns whether the process that issued a ticket still runs; `true` for other keys.
    pub fn is_home_running(&self, key: &IdempotencyKey) -> bool {
        let KeyForm::Ticket(ticket) = KeyForm::of(key) else {
            return true;
        };
        self.state().homes[agent_index(&ticket.home.vm)].home() == ticket.home
    }

    /// Sends a request through an entry and returns how it ended.
    pub async fn call(&self, key: &IdempotencyKey) -> CallStep {
        let attempt = {
            let mut state = self.state();
            state.attempts += 1;
            state.attempts
        };
        let end = match timeout(CALL_TIMEOUT, self.call_candidates(key, attempt)).await {
            Ok(end) => end,
            Err(_) => CallStep::Unknown(UnknownReason::AgentLost),
        };
        self.record(key, attempt, &end);
        end
    }

    fn record(&self, key: &IdempotencyKey, attempt: u64, end: &CallStep) {
        let mut ledger = self.ledger();
        let name = match end {
            CallStep::Answer(_) => {
                ledger.answered += 1;
                return;
            }
            CallStep::NotRun(reason) => {
                ledger.refused.push((key.as_str().to_owned(), attempt));
                format!("not_run_{reason}")
            }
            CallStep::Unknown(reason) => {
                ledger.unknown += 1;
                format!("unknown_{reason}")
            }
            CallStep::Send { .. } => return,
        };
        *ledger.reasons.entry(name).or_default() += 1;
    }

    async fn call_candidates(&self, key: &IdempotencyKey, attempt: u64) -> CallStep {
        let names = (&account(), &entry(), key);
        let mut candidates = candidates(&pool(), self.partitions(), names, &live_agents());
        if self.scheme == ClaimScheme::Cas {
            candidates.truncate(1);
        }
        let mut claim_call = ClaimCall::new(candidates);
        loop {
            match claim_call.next_step() {
                CallStep::Send { vm, recall } => {
                    sleep(NETWORK_DELAY).await;
                    let end = self.call_agent(&vm, recall, key, attempt).await;
                    sleep(NETWORK_DELAY).await;
                    claim_call.on_outcome(end);
                }
                end => return end,
            }
        }
    }

    async fn call_agent(
        &self,
        vm: &VmName,
        recall: Option<Incarnation>,
        key: &IdempotencyKey,
        attempt: u64,
    ) -> ClaimOutcome {
        let slot = agent_index(vm);
        let run = self.run(key, attempt);
        if self.scheme == ClaimScheme::Cas {
            let agent = self.state().baselines[slot].clone();
            return agent.execute(key, run).await;
        }
        let home = self.state().homes[slot].clone();
        let req = ClaimRequest {
            account: account(),
            entry: entry(),
            key: key.clone(),
            content: Digest::of(b"body"),
            timeout: CALL_TIMEOUT - 2 * NETWORK_DELAY,
            recall,
        };
        home.execute(req, move || run).await
    }

    /// Returns a run at the upstream; the ledger counts it when it starts.
    fn run(
        &self,
        key: &IdempotencyKey,
        attempt: u64,
    ) -> impl Future<Output = RunOutcome> + Send + 'static {
        let (ledger, key, received_at) = (self.ledger.clone(), key.clone(), Instant::now());
        async move {
            {
                let mut ledger = ledger.lock().unwrap_or_else(PoisonError::into_inner);
                let runs = ledger.runs.entry(key.as_str().to_owned()).or_default();
                runs.attempts.push(attempt);
                ledger.added_latency.push(received_at.elapsed());
            }
            sleep(SERVICE_TIME).await;
            RunOutcome::Answer(Bytes::from(vec![b'a'; ANSWER_BYTES]))
        }
    }

    fn start_home(&self, slot: usize) -> ClaimHandle {
        let incarnation = {
            let mut state = self.state();
            state.incarnations += 1;
            Incarnation(state.incarnations)
        };
        let secret = TicketSecret::new(b"experiment");
        let mut cfg = ClaimsConfig::new(pool(), vm(slot), incarnation, secret);
        cfg.partitions = self.partitions();
        cfg.start_unix_ms = START_UNIX_MS + self.start.elapsed().as_millis() as u64;
        let home = ClaimService::spawn(cfg, self.store.clone());
        home.set_live_agents(live_agents());
        home
    }

    fn partitions(&self) -> u32 {
        match self.scheme {
            ClaimScheme::Grouped(partitions) => partitions,
            ClaimScheme::Cas | ClaimScheme::Tickets => PARTITIONS,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Runs a future to completion on one thread with a paused clock.
///
/// # Errors
///
/// Fails if the runtime cannot be built or the thread panics.
pub async fn run_with_paused_clock<T: Send + 'static, F: Future<Output = T> + 'static>(
    make: impl FnOnce() -> F + Send + 'static,
) -> eyre::Result<T> {
    let run = move || -> eyre::Result<T> {
        let mut builder = tokio::runtime::Builder::new_current_thread();
        let runtime = builder.enable_all().start_paused(true).build()?;
        Ok(runtime.block_on(make()))
    };
    tokio::task::spawn_blocking(run).await?
}

fn account() -> AccountName {
    "account".into()
}

fn entry() -> EntryName {
    "capture".into()
}

fn pool() -> PoolName {
    "deposits".into()
}

fn vm(slot: usize) -> VmName {
    VmName::new(&format!("vm-{slot}"))
}

fn agent_index(vm: &VmName) -> usize {
    let number = vm.as_str().trim_start_matches("vm-").parse();
    number.unwrap_or_default()
}

fn live_agents() -> Vec<VmName> {
    (0..AGENTS).map(vm).collect()
}
