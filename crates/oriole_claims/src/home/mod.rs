//! The state machine of a home: it takes events and returns actions, without any I/O of its own.
//!
//! A run starts only for a key that is bound to this incarnation: either its ticket names the
//! incarnation, or its claim is durable in the store under the incarnation. A binding never
//! changes, so a process may be paused at any point and still act correctly when it continues.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use oriole_types::ids::VmName;
use rand::SeedableRng;
use rand::rngs::StdRng;

use crate::config::ClaimsConfig;
use crate::key::ClaimKey;
use crate::layout::Layout;
use crate::partition::{Partition, PendingClaim, StoreCall, StoreOutcome};
use crate::request::{CallId, ClaimOutcome, ClaimRequest, HomeRef, RunOutcome};
use crate::table::Table;

mod calls;
mod partitions;
mod requests;
mod runs;

oriole_types::value_type! {
    /// What a store call concerns. At most one call per target is in flight.
    pub enum StoreTarget {
        /// The layout of the pool.
        Layout,
        /// The partition with this number.
        Partition(u32),
    }
}

/// An input of a home.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request arrived.
    Request(CallId, ClaimRequest),
    /// A run ended.
    RunEnded(ClaimKey, RunOutcome),
    /// A store call ended.
    Store(StoreTarget, StoreOutcome),
    /// The view of the pool changed: the VMs whose agents accept new requests.
    LiveAgents(Vec<VmName>),
    /// Time has passed without another event.
    Tick,
}

/// What the driver of a home must do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run the request of a call at the upstream and report the outcome as [`Event::RunEnded`].
    Run(CallId, ClaimKey),
    /// Answer a call.
    Reply(CallId, ClaimOutcome),
    /// Make a store call and report the outcome as [`Event::Store`].
    Store(StoreTarget, StoreCall),
}

/// A request that has not ended.
#[derive(Clone, Copy, Debug)]
struct Call {
    key: ClaimKey,
    deadline: Duration,
    /// When it becomes too late to start a run for the call.
    latest_start: Duration,
    /// When the call is ended if it has no outcome by then.
    timeout_at: Duration,
    /// Whether the run of the key was started on behalf of this call.
    started_run: bool,
}

/// The state of a home. All times are durations since the start of its process.
#[derive(Debug)]
pub struct ClaimHome {
    cfg: ClaimsConfig,
    home: HomeRef,
    /// VMs whose agents accept new requests; `None` before the first [`Event::LiveAgents`].
    live: Option<Vec<VmName>>,
    layout: Layout,
    layout_in_flight: bool,
    /// Earliest time of the next store call for the layout.
    next_layout_call_at: Duration,
    /// Empty until the layout is known.
    partitions: Vec<Partition>,
    /// Claims whose partition is unknown until the layout is.
    awaiting_layout: Vec<PendingClaim>,
    table: Table,
    calls: HashMap<CallId, Call>,
    /// [`Call::timeout_at`] of every open call.
    timeouts: BTreeSet<(Duration, CallId)>,
    rng: StdRng,
    /// Actions to return from the current [`ClaimHome::handle`].
    actions: Vec<Action>,
}

impl ClaimHome {
    /// Creates the home of a process that has just started.
    #[must_use]
    pub fn new(cfg: ClaimsConfig) -> Self {
        Self {
            home: cfg.home(),
            live: None,
            layout: Layout::Unread,
            layout_in_flight: false,
            next_layout_call_at: Duration::ZERO,
            partitions: Vec::new(),
            awaiting_layout: Vec::new(),
            table: Table::default(),
            calls: HashMap::new(),
            timeouts: BTreeSet::new(),
            rng: StdRng::seed_from_u64(cfg.seed),
            actions: Vec::new(),
            cfg,
        }
    }

    /// The VM and incarnation of this home.
    #[must_use]
    pub fn home(&self) -> &HomeRef {
        &self.home
    }

    /// The state of all partitions; empty until the layout is known.
    #[must_use]
    pub fn partitions(&self) -> &[Partition] {
        &self.partitions
    }

    /// The records of this home's keys.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Handles one event and returns the actions that follow. `now` is the time since the start of
    /// the process.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Request(call, req) => self.on_request(now, call, &req),
            Event::RunEnded(key, outcome) => self.on_run_ended(key, outcome),
            Event::Store(StoreTarget::Layout, outcome) => self.on_layout(now, outcome),
            Event::Store(StoreTarget::Partition(id), outcome) => self.on_store(now, id, outcome),
            Event::LiveAgents(live) => self.on_live_agents(live),
            Event::Tick => {}
        }
        self.end_timed_out_calls(now);
        self.table.expire(now, self.record_retention());
        self.call_store(now);
        std::mem::take(&mut self.actions)
    }

    /// When the next [`Event::Tick`] is due if no other event arrives before.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        let calls = self.timeouts.first().map(|(at, _)| *at);
        let store = self
            .partitions
            .iter()
            .filter_map(Partition::next_deadline)
            .min();
        let layout = self.wants_layout().then_some(self.next_layout_call_at);
        calls.into_iter().chain(store).chain(layout).min()
    }

    /// How long records are kept: longer than any key is accepted.
    fn record_retention(&self) -> Duration {
        self.cfg.limits.retention + 2 * self.cfg.limits.max_issue_ahead
    }
}
