//! Carries out the decisions of the memory budget: cuts off holders, logs and counts.

pub mod connection;
pub mod tracked_stream;

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use metrics::{counter, gauge};
use oriole_memory::prelude::*;
use tokio::sync::Notify;

use self::connection::CallerConnection;
use crate::decision_log::LogEvent;
use crate::forward::read_ahead::SlowReader;
use crate::gateway::Gateway;
use crate::settings::GatewaySettings;

/// Memory that a connection takes without a request, in bytes. Measured as resident memory per
/// connection, with 1,000 of them: 15.8 KB when idle, 21.5 KB after the first bytes of a head, 28.9 KB
/// with 14 KB of a head. All connections together get a quarter of the VM's memory, so that even
/// with unfinished heads of the largest size they stay within half of it.
pub const CONNECTION_BYTES: u64 = 20 * 1024;

/// Memory that a running request takes beside its head, body and response, in bytes: its task, its
/// upstream connection, and the read buffer that its head keeps. Measured as resident memory, with
/// 1,000 of them: 43.7 KB with the caller's connection.
pub const REQUEST_BYTES: u64 = 24 * 1024;

/// Share of the allowed file descriptors that is reserved for files, upstreams, the store and
/// peers.
const RESERVED_DESCRIPTOR_SHARE: f64 = 0.4;

/// Limits of the budget for a daemon's settings.
#[must_use]
pub fn budget_config(cfg: &GatewaySettings) -> BudgetConfig {
    let by_descriptors = f64::from(cfg.max_descriptors) * (1.0 - RESERVED_DESCRIPTOR_SHARE);
    let by_memory = BudgetConfig::connections_for_memory(cfg.memory_mb, CONNECTION_BYTES);
    BudgetConfig::for_memory(cfg.memory_mb, by_memory.min(by_descriptors as usize))
}

/// What the daemon holds for callers and upstreams.
pub struct Memory {
    state: Mutex<State>,
    /// Notified when a connection ends or waits for a request again.
    connection_freed: Notify,
}

struct State {
    budget: MemoryBudget,
    /// The connection that each holder belongs to, by index of the holder.
    connections: Vec<Option<Arc<CallerConnection>>>,
}

impl State {
    fn assign(&mut self, id: HolderId, connection: &Arc<CallerConnection>) {
        let index = id.index();
        if self.connections.len() <= index {
            self.connections.resize(index + 1, None);
        }
        self.connections[index] = Some(connection.clone());
    }
}

/// A charge that is logged.
struct LoggedCharge<'a> {
    request: &'a str,
    kind: Kind,
    held: u64,
    age: Duration,
}

impl Memory {
    /// An empty budget.
    #[must_use]
    pub fn new(cfg: BudgetConfig) -> Self {
        gauge!("oriole_memory_budget_bytes").set(cfg.budget as f64);
        Self {
            state: Mutex::new(State {
                budget: MemoryBudget::new(cfg),
                connections: Vec::new(),
            }),
            connection_freed: Notify::new(),
        }
    }

    /// Bytes held by all, and the budget.
    pub fn totals(&self) -> (u64, u64) {
        let budget = &self.lock().budget;
        (budget.held(), budget.config().budget)
    }

    /// Sets the gauges. Done once a second instead of with each charge, to keep charges cheap.
    pub fn update_gauges(&self) {
        let state = self.lock();
        for kind in Kind::ALL {
            gauge!("oriole_memory_held_bytes", "kind" => kind.as_str())
                .set(state.budget.held_by(kind) as f64);
        }
    }

    /// Waits until a new connection may be accepted, then counts it. Connections without a running
    /// request are closed for it. Returns `None` if there is no memory for it.
    pub async fn accept(gateway: &Arc<Gateway>) -> Option<Arc<CallerConnection>> {
        loop {
            let freed = gateway.memory.connection_freed.notified();
            let owner = Owner::of(Kind::Connection);
            let now = gateway.clock.now();
            let opened = gateway
                .memory
                .lock()
                .budget
                .open(now, owner, CONNECTION_BYTES);
            match opened {
                Ok(opened) => {
                    let connection = CallerConnection::new(gateway.clone(), opened.id);
                    gateway.memory.lock().assign(opened.id, &connection);
                    free_victims(gateway, &opened.cut_off).await;
                    return Some(connection);
                }
                // Further callers wait in the listen queue until a request ends.
                Err(Shortage::Connections) => freed.await,
                Err(shortage) => {
                    let charge = LoggedCharge {
                        request: "",
                        kind: Kind::Connection,
                        held: 0,
                        age: Duration::ZERO,
                    };
                    log_refused(gateway, &charge, shortage);
                    counter!("oriole_connections_closed_total", "reason" => "no_memory")
                        .increment(1);
                    return None;
                }
            }
        }
    }

    /// Records that a holder received a byte, or that its caller took one.
    fn progressed(&self, now: Duration, ids: impl IntoIterator<Item = HolderId>) {
        let mut state = self.lock();
        for id in ids {
            state.budget.progressed(now, id);
        }
    }

    fn set_class(&self, now: Duration, id: HolderId, class: Class) {
        self.lock().budget.set_class(now, id, class);
    }

    fn close(&self, id: HolderId) {
        let mut state = self.lock();
        if state.budget.is_open(id) {
            state.budget.close(id);
            // Freed after the lock is released, since it may be the last reference.
            let connection = state.connections[id.index()].take();
            drop(state);
            drop(connection);
        }
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Memory that is held for a connection until dropped.
pub struct Holding {
    gateway: Arc<Gateway>,
    kind: Kind,
    id: HolderId,
}

impl Holding {
    /// Opens a holder of a connection. Returns it, and whether others were cut off for it.
    ///
    /// # Errors
    ///
    /// Returns why there is no room.
    fn open(
        connection: &Arc<CallerConnection>,
        owner: Owner,
        fixed: u64,
    ) -> Result<(Self, bool), Shortage> {
        let gateway = connection.gateway();
        let now = gateway.clock.now();
        let opened = {
            let mut state = gateway.memory.lock();
            let opened = state.budget.open(now, owner, fixed);
            if let Ok(opened) = &opened {
                let victims = take_victims(&mut state, &opened.cut_off);
                state.assign(opened.id, connection);
                Ok((opened.id, victims))
            } else {
                opened.map(|o| (o.id, Vec::new()))
            }
        };
        let kind = owner.kind;
        match opened {
            Ok((id, victims)) => {
                let has_victims = !victims.is_empty();
                cut_off(gateway, victims);
                let gateway = gateway.clone();
                Ok((Self { gateway, kind, id }, has_victims))
            }
            Err(shortage) => {
                let charge = LoggedCharge {
                    request: &connection.request_id(),
                    kind,
                    held: 0,
                    age: Duration::ZERO,
                };
                log_refused(gateway, &charge, shortage);
                Err(shortage)
            }
        }
    }

    /// Adds bytes. Returns whether others were cut off for them; these free their memory when their
    /// tasks run next.
    ///
    /// # Errors
    ///
    /// Returns why there is no room.
    pub fn charge_now(&self, bytes: usize) -> Result<bool, Shortage> {
        let gateway = &self.gateway;
        let now = gateway.clock.now();
        let (charged, connection) = {
            let mut state = gateway.memory.lock();
            match state.budget.charge(now, self.id, bytes as u64) {
                Ok(victims) if victims.is_empty() => return Ok(false),
                Ok(victims) => (Ok(take_victims(&mut state, &victims)), None),
                Err(Shortage::Gone) => return Err(Shortage::Gone),
                Err(shortage) => {
                    let held = state.budget.held_by_holder(self.id);
                    let age = state.budget.age(now, self.id).unwrap_or_default();
                    let connection = state.connections[self.id.index()].clone();
                    (Err((shortage, held, age)), connection)
                }
            }
        };
        match charged {
            Ok(victims) => {
                cut_off(gateway, victims);
                Ok(true)
            }
            Err((shortage, held, age)) => {
                let request = connection.map(|c| c.request_id()).unwrap_or_default();
                let charge = LoggedCharge {
                    request: &request,
                    kind: self.kind,
                    held,
                    age,
                };
                log_refused(gateway, &charge, shortage);
                Err(shortage)
            }
        }
    }

    /// Adds bytes, and waits until those that were cut off for them have freed their memory.
    ///
    /// # Errors
    ///
    /// Returns why there is no room.
    pub async fn charge(&self, bytes: usize) -> Result<(), Shortage> {
        if self.charge_now(bytes)? {
            // The tasks of the victims are ready already, so they run before this one goes on.
            tokio::task::yield_now().await;
        }
        Ok(())
    }

    /// Takes bytes off.
    pub fn release(&self, bytes: usize) {
        self.gateway
            .memory
            .lock()
            .budget
            .release(self.id, bytes as u64);
    }

    /// Changes how far the holder is.
    pub fn set_class(&self, class: Class) {
        let now = self.gateway.clock.now();
        self.gateway.memory.set_class(now, self.id, class);
    }

    /// Identifier of the holder in the budget.
    pub fn id(&self) -> HolderId {
        self.id
    }
}

impl Drop for Holding {
    fn drop(&mut self) {
        self.gateway.memory.close(self.id);
    }
}

/// A holder that is cut off, and its connection.
type Victim = (CutOff, Arc<CallerConnection>);

fn take_victims(state: &mut State, cut_off: &[CutOff]) -> Vec<Victim> {
    cut_off
        .iter()
        .filter_map(|c| Some((*c, state.connections[c.id.index()].take()?)))
        .collect()
}

async fn free_victims(gateway: &Arc<Gateway>, cut: &[CutOff]) {
    if cut.is_empty() {
        return;
    }
    let victims = take_victims(&mut gateway.memory.lock(), cut);
    cut_off(gateway, victims);
    tokio::task::yield_now().await;
}

fn cut_off(gateway: &Gateway, victims: Vec<Victim>) {
    for (victim, connection) in victims {
        let reason = victim.reason.as_str();
        let kind = victim.kind.as_str();
        counter!("oriole_memory_cut_off_total", "kind" => kind, "reason" => reason).increment(1);
        let (held, budget) = gateway.memory.totals();
        gateway.log.event(&LogEvent::MemoryCutOff {
            request: &connection.request_id(),
            kind,
            reason,
            bytes: victim.bytes,
            held,
            budget,
            age: victim.age,
        });
        connection.cut_off(victim.kind, reason);
    }
}

/// Cuts off a caller whose event stream holds up its upstream.
fn cut_off_slow_reader(connection: &CallerConnection, reader: SlowReader) {
    let gateway = connection.gateway();
    let (kind, reason) = (Kind::Stream, "slow_reader");
    counter!("oriole_memory_cut_off_total", "kind" => kind.as_str(), "reason" => reason)
        .increment(1);
    let (held, budget) = gateway.memory.totals();
    gateway.log.event(&LogEvent::MemoryCutOff {
        request: &connection.request_id(),
        kind: kind.as_str(),
        reason,
        bytes: reader.bytes,
        held,
        budget,
        age: reader.age,
    });
    connection.cut_off(kind, reason);
}

fn log_refused(gateway: &Gateway, charge: &LoggedCharge<'_>, shortage: Shortage) {
    let kind = charge.kind.as_str();
    counter!("oriole_memory_refused_total", "kind" => kind).increment(1);
    let (held, budget) = gateway.memory.totals();
    gateway.log.event(&LogEvent::MemoryRefused {
        request: charge.request,
        kind,
        reason: shortage.as_str(),
        bytes: charge.held,
        held,
        budget,
        age: charge.age,
    });
}
