//! The whole decision of an agent: events go in, actions come out.
//!
//! A run starts only for a key whose record says [`crate::table::Phase::Held`], and a record is only held if the
//! key's ticket names this incarnation or its claim is durable in this incarnation's name. Both
//! facts never change, so a process that was paused between any two lines still acts on a truth.

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
mod requests;
mod runs;
mod store;

oriole_types::value_type! {
    /// Part of the home's state that has at most one store call on its way.
    pub enum StoreTarget {
        /// The layout.
        Layout,
        /// A partition.
        Partition(u32),
    }
}

/// What happens to a home.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A request came.
    Request(CallId, ClaimRequest),
    /// A run ended.
    RunEnded(ClaimKey, RunOutcome),
    /// A store call ended.
    Store(StoreTarget, StoreOutcome),
    /// The pool's agents that take new work, as this home knows them.
    LiveAgents(Vec<VmName>),
    /// Time passed.
    Tick,
}

/// What a home wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run the request of a call at the upstream and report [`Event::RunEnded`].
    Run(CallId, ClaimKey),
    /// End a call.
    Reply(CallId, ClaimOutcome),
    /// Make a store call and report [`Event::Store`].
    Store(StoreTarget, StoreCall),
}

/// A request that has not ended.
#[derive(Clone, Copy, Debug)]
struct Call {
    key: ClaimKey,
    deadline: Duration,
    /// When it is too late to start the call's run.
    last_start: Duration,
    /// When the call ends if nothing else happens.
    limit: Duration,
    starter: bool,
}

/// An agent's at-most-once state.
#[derive(Debug)]
pub struct ClaimHome {
    cfg: ClaimsConfig,
    home: HomeRef,
    live: Option<Vec<VmName>>,
    layout: Layout,
    layout_busy: bool,
    layout_at: Duration,
    partitions: Vec<Partition>,
    /// Claims that wait for the layout.
    unplaced: Vec<PendingClaim>,
    table: Table,
    calls: HashMap<CallId, Call>,
    limits: BTreeSet<(Duration, CallId)>,
    rng: StdRng,
    actions: Vec<Action>,
}

impl ClaimHome {
    /// A home at the start of its process.
    #[must_use]
    pub fn new(cfg: ClaimsConfig) -> Self {
        Self {
            home: cfg.home(),
            live: None,
            layout: Layout::Unread,
            layout_busy: false,
            layout_at: Duration::ZERO,
            partitions: Vec::new(),
            unplaced: Vec::new(),
            table: Table::default(),
            calls: HashMap::new(),
            limits: BTreeSet::new(),
            rng: StdRng::seed_from_u64(cfg.seed),
            actions: Vec::new(),
            cfg,
        }
    }

    /// The incarnation that this home is.
    #[must_use]
    pub fn home(&self) -> &HomeRef {
        &self.home
    }

    /// The state of the partitions, once the layout is known.
    #[must_use]
    pub fn partitions(&self) -> &[Partition] {
        &self.partitions
    }

    /// What this incarnation remembers.
    #[must_use]
    pub fn table(&self) -> &Table {
        &self.table
    }

    /// Takes in one event and returns what is to be done.
    pub fn handle(&mut self, now: Duration, event: Event) -> Vec<Action> {
        match event {
            Event::Request(call, req) => self.on_request(now, call, &req),
            Event::RunEnded(key, end) => self.on_run_ended(key, end),
            Event::Store(StoreTarget::Layout, end) => self.on_layout(now, end),
            Event::Store(StoreTarget::Partition(id), end) => self.on_store(now, id, end),
            Event::LiveAgents(live) => self.on_live(live),
            Event::Tick => {}
        }
        self.end_overdue(now);
        self.table.expire(now, self.record_retention());
        self.call_store(now);
        std::mem::take(&mut self.actions)
    }

    /// When the home next has something to do, if nothing else happens.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Duration> {
        let calls = self.limits.first().map(|(at, _)| *at);
        let store = self
            .partitions
            .iter()
            .filter_map(Partition::next_deadline)
            .min();
        let layout = self.wants_layout().then_some(self.layout_at);
        calls.into_iter().chain(store).chain(layout).min()
    }

    /// Records outlive the time for which keys are accepted.
    fn record_retention(&self) -> Duration {
        self.cfg.limits.retention + 2 * self.cfg.limits.max_issue_ahead
    }
}
