//! Charges requests and their bodies to the entry's memory budget.
//!
//! Decisions are those of [`MemoryBudget`]; this module carries them out.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use oriole_kernel::clock::Clock;
use oriole_memory::prelude::*;
use oriole_types::ids::{AccountName, RequestId};
use oriole_types::outcome::RefusalReason;
use slog::{Logger, info};
use tokio_util::sync::CancellationToken;
use xxhash_rust::xxh3::xxh3_64;

use crate::answer::Refusal;
use crate::api::errors::request_id_text;

/// Cost of a request without its body, in bytes: the HTTP library's buffers of 8 KiB for reading and
/// writing, the head (usually below 1 KiB), and a task, rounded up.
const REQUEST_BYTES: u64 = 32 * 1024;

/// Retry advice to callers that are refused for lack of memory, in milliseconds. Bodies that stopped
/// short are cut off after this time.
const RETRY_AFTER_MS: u32 = 1_000;

/// The memory budget of an entry.
pub struct RequestMemory {
    clock: Clock,
    log: Logger,
    state: Mutex<State>,
}

struct State {
    budget: MemoryBudget,
    /// Requests that may be cut off.
    requests: HashMap<HolderId, Held>,
}

struct Held {
    request: RequestId,
    cut_off: CancellationToken,
}

impl RequestMemory {
    /// Creates an empty budget for a VM with `memory_mb` MB.
    #[must_use]
    pub fn new(memory_mb: u64, clock: Clock, log: Logger) -> Arc<Self> {
        // Connections are not counted here.
        let cfg = BudgetConfig::for_memory(memory_mb, usize::MAX);
        metrics::gauge!("oriole_memory_budget_bytes").set(cfg.budget as f64);
        info!(log, "memory budget"; "step" => "start",
            "memory_mb" => memory_mb, "budget" => cfg.budget);
        Arc::new(Self {
            clock,
            log,
            state: Mutex::new(State {
                budget: MemoryBudget::new(cfg),
                requests: HashMap::new(),
            }),
        })
    }

    /// Counts a request whose body is about to be read.
    ///
    /// # Errors
    ///
    /// Refuses the request if there is no room for it.
    pub fn open(
        self: &Arc<Self>,
        request: RequestId,
        account: &AccountName,
    ) -> Result<HeldRequest, Refusal> {
        let owner = Owner {
            account: Some(xxh3_64(account.as_str().as_bytes())),
            ..Owner::of(Kind::Request)
        };
        let mut state = self.state();
        let opened = state.budget.open(self.clock.now(), owner, REQUEST_BYTES);
        let opened = opened.map_err(|shortage| self.refuse(&state, request, 0, shortage))?;
        self.cut_off(&mut state, &opened.cut_off);
        let cut_off = CancellationToken::new();
        let held = Held {
            request,
            cut_off: cut_off.clone(),
        };
        state.requests.insert(opened.id, held);
        set_held_gauge(&state);
        drop(state);
        Ok(HeldRequest {
            memory: Arc::clone(self),
            request,
            id: opened.id,
            cut_off,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Signals requests that they are cut off, and counts and logs them.
    fn cut_off(&self, state: &mut State, cut_off: &[CutOff]) {
        for victim in cut_off {
            let (kind, reason) = (victim.kind.as_str(), victim.reason.as_str());
            metrics::counter!("oriole_memory_cut_off_total", "kind" => kind, "reason" => reason)
                .increment(1);
            let Some(held) = state.requests.remove(&victim.id) else {
                continue;
            };
            held.cut_off.cancel();
            info!(self.log, "request cut off for memory";
                "request_id" => request_id_text(held.request),
                "step" => "memory",
                "kind" => kind,
                "reason" => reason,
                "bytes" => victim.bytes,
                "held" => state.budget.held(),
                "budget" => state.budget.config().budget,
                "age_ms" => victim.age.as_millis() as u64,
            );
        }
    }

    /// Counts and logs a charge that is refused.
    fn refuse(&self, state: &State, request: RequestId, bytes: u64, shortage: Shortage) -> Refusal {
        let kind = Kind::Request.as_str();
        metrics::counter!("oriole_memory_refused_total", "kind" => kind).increment(1);
        info!(self.log, "request refused for memory";
            "request_id" => request_id_text(request),
            "step" => "memory",
            "kind" => kind,
            "reason" => shortage.as_str(),
            "bytes" => bytes,
            "held" => state.budget.held(),
            "budget" => state.budget.config().budget,
        );
        refusal()
    }
}

fn set_held_gauge(state: &State) {
    let kind = Kind::Request;
    metrics::gauge!("oriole_memory_held_bytes", "kind" => kind.as_str())
        .set(state.budget.held_by(kind) as f64);
}

fn refusal() -> Refusal {
    let message = "this entry has too little memory for the request now";
    Refusal::new(RefusalReason::Memory, message).with_retry_after_ms(RETRY_AFTER_MS)
}

/// A request that counts toward the budget until it is dropped.
pub struct HeldRequest {
    memory: Arc<RequestMemory>,
    request: RequestId,
    id: HolderId,
    cut_off: CancellationToken,
}

impl HeldRequest {
    /// Charges bytes before they are allocated. Other requests may be cut off for them.
    ///
    /// # Errors
    ///
    /// Refuses the request if there is no room, or if it was cut off.
    pub async fn charge(&self, bytes: usize) -> Result<(), Refusal> {
        let is_cut_off = {
            let mut state = self.memory.state();
            let now = self.memory.clock.now();
            let charged = state.budget.charge(now, self.id, bytes as u64);
            let cut_off = charged.map_err(|shortage| {
                let held = state.budget.held_by_holder(self.id);
                self.memory.refuse(&state, self.request, held, shortage)
            })?;
            self.memory.cut_off(&mut state, &cut_off);
            set_held_gauge(&state);
            !cut_off.is_empty()
        };
        if is_cut_off {
            // Lets the others free their memory first.
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    /// Takes off bytes that were freed.
    pub fn release(&self, bytes: usize) {
        let mut state = self.memory.state();
        state.budget.release(self.id, bytes as u64);
        set_held_gauge(&state);
    }

    /// Bytes of the body have arrived.
    pub fn on_received(&self) {
        let now = self.memory.clock.now();
        self.memory.state().budget.progressed(now, self.id);
    }

    /// The request is about to run. It is not cut off any more.
    ///
    /// # Errors
    ///
    /// Refuses the request if it was cut off.
    pub fn start_running(&self) -> Result<(), Refusal> {
        let now = self.memory.clock.now();
        let mut state = self.memory.state();
        if !state.budget.is_open(self.id) {
            return Err(refusal());
        }
        state.budget.set_class(now, self.id, Class::Running);
        Ok(())
    }

    /// Waits until the request is cut off; returns the refusal.
    pub async fn cut_off(&self) -> Refusal {
        self.cut_off.cancelled().await;
        refusal()
    }
}

impl Drop for HeldRequest {
    fn drop(&mut self) {
        let mut state = self.memory.state();
        state.budget.close(self.id);
        state.requests.remove(&self.id);
        set_held_gauge(&state);
    }
}
