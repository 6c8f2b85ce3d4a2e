//! The whole decision of an agent: events go in, actions come out.
//!
//! A run starts only for a key whose record says [`Phase::Held`], and a record is only held if the
//! key's ticket names this incarnation or its claim is durable in this incarnation's name. Both
//! facts never change, so a process that was paused between any two lines still acts on a truth.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use metrics::counter;
use oriole_types::digest::Digest;
use oriole_types::ids::VmName;
use oriole_types::outcome::{RefusalReason, UnknownReason};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::config::{ClaimsConfig, millis};
use crate::key::{ClaimKey, KeyForm};
use crate::layout::{self, Layout};
use crate::partition::{Claimed, Notice, Partition, Pending, StoreCall, StoreEnd};
use crate::request::{CallId, ClaimEnd, ClaimRequest, HomeRef, RunEnd};
use crate::route::soft_owner;
use crate::table::{Phase, Table};
use crate::ticket::Ticket;
use crate::value::layout_key;

oriole_types::value_type! {
    /// Part of the home's state that has at most one store call on its way.
    pub enum Lane {
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
    RunEnded(ClaimKey, RunEnd),
    /// A store call ended.
    Store(Lane, StoreEnd),
    /// The pool's agents that take new work, as this home knows them.
    Live(Vec<VmName>),
    /// Time passed.
    Tick,
}

/// What a home wants done.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Run the request of a call at the upstream and report [`Event::RunEnded`].
    Run(CallId, ClaimKey),
    /// End a call.
    Reply(CallId, ClaimEnd),
    /// Make a store call and report [`Event::Store`].
    Store(Lane, StoreCall),
}

/// A request that has not ended.
#[derive(Clone, Copy, Debug)]
struct Call {
    key: ClaimKey,
    deadline: Duration,
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
    unplaced: Vec<Pending>,
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
            Event::Store(Lane::Layout, end) => self.on_layout(now, end),
            Event::Store(Lane::Partition(id), end) => self.on_store(now, id, end),
            Event::Live(live) => self.on_live(live),
            Event::Tick => {}
        }
        self.end_overdue(now);
        self.table.expire(now, self.record_retention());
        self.call_store(now);
        std::mem::take(&mut self.actions)
    }

    /// When the home next has something to do, if nothing else happens.
    #[must_use]
    pub fn wake_at(&self) -> Option<Duration> {
        let calls = self.limits.first().map(|(at, _)| *at);
        let store = self.partitions.iter().filter_map(Partition::wake_at).min();
        let layout = self.wants_layout().then_some(self.layout_at);
        calls.into_iter().chain(store).chain(layout).min()
    }

    /// Records outlive the time for which keys are accepted.
    fn record_retention(&self) -> Duration {
        self.cfg.limits.retention + 2 * self.cfg.limits.issue_ahead
    }

    fn on_request(&mut self, now: Duration, call: CallId, req: &ClaimRequest) {
        if req.recall.is_some_and(|i| i != self.home.incarnation) {
            self.reply(call, ClaimEnd::Unknown(UnknownReason::HomeLost));
            return;
        }
        let key = ClaimKey::of(&req.account, &req.entry, &req.key);
        self.add_call(now, call, key, req.timeout);
        if self.table.get(key).is_some() {
            self.join(now, call, key, &req.content);
            return;
        }
        if req.recall.is_some() {
            self.end_call(call, ClaimEnd::Unknown(UnknownReason::AnswerLost));
            return;
        }
        match KeyForm::of(&req.key) {
            KeyForm::Malformed => self.refuse(call, RefusalReason::RequestInvalid),
            KeyForm::Ticket(ticket) => self.on_ticket(now, call, key, req, &ticket),
            KeyForm::Stamped(ms) => self.on_opaque(now, call, key, req, Some(ms)),
            KeyForm::Plain => self.on_opaque(now, call, key, req, None),
        }
    }

    /// A request whose key this incarnation remembers.
    fn join(&mut self, now: Duration, call: CallId, key: ClaimKey, content: &Digest) {
        let Some(record) = self.table.get_mut(key) else {
            return;
        };
        if record.content != *content {
            self.refuse(call, RefusalReason::KeyReused);
            return;
        }
        let end = match &record.phase {
            Phase::Claiming | Phase::Running => {
                record.waiting.push_back(call);
                None
            }
            Phase::Held => {
                record.waiting.push_back(call);
                self.start(now, key);
                return;
            }
            Phase::Done(answer) => Some(ClaimEnd::Replay(answer.clone())),
            Phase::Lost(reason) => Some(ClaimEnd::Unknown(*reason)),
        };
        match end {
            Some(end) => self.end_call(call, end),
            None => self.limit_joined(key, call),
        }
    }

    /// A call that joined a run waits until its deadline, not only for the store.
    fn limit_joined(&mut self, key: ClaimKey, call: CallId) {
        let running = |r: &crate::table::Record| r.phase == Phase::Running;
        if self.table.get(key).is_some_and(running) {
            self.extend_to_deadline(call);
        }
    }

    fn on_ticket(
        &mut self,
        now: Duration,
        call: CallId,
        key: ClaimKey,
        req: &ClaimRequest,
        ticket: &Ticket,
    ) {
        if !ticket.is_genuine(&self.cfg.secret, &req.account, &req.entry) {
            self.refuse(call, RefusalReason::RequestInvalid);
        } else if ticket.home.vm != self.home.vm {
            let home = Some(ticket.home.vm.clone());
            let reason = RefusalReason::NotHome;
            self.end_call(call, ClaimEnd::NotRun { reason, home });
        } else if ticket.home != self.home {
            self.end_call(call, ClaimEnd::Unknown(UnknownReason::HomeLost));
        } else if let Some(reason) = self.ticket_refusal(now, ticket) {
            self.refuse(call, reason);
        } else {
            self.table.insert(now, key, req.content, Phase::Held);
            self.join(now, call, key, &req.content);
        }
    }

    /// Why a ticket of this incarnation may not start a run. The home forgets a ticket's record
    /// only after the ticket's expiry on this same clock, so nothing forgotten is accepted again.
    fn ticket_refusal(&self, now: Duration, ticket: &Ticket) -> Option<RefusalReason> {
        let now_ms = millis(now);
        if ticket.issued_ms > now_ms {
            return Some(RefusalReason::RequestInvalid);
        }
        if now_ms - ticket.issued_ms > millis(self.cfg.limits.retention) {
            return Some(RefusalReason::KeyExpired);
        }
        self.new_key_refusal()
    }

    fn new_key_refusal(&self) -> Option<RefusalReason> {
        let Some(live) = &self.live else {
            return Some(RefusalReason::AgentStarting);
        };
        if !live.contains(&self.home.vm) {
            return Some(RefusalReason::Draining);
        }
        (self.table.len() >= self.cfg.limits.max_records).then_some(RefusalReason::QueueFull)
    }

    fn on_opaque(
        &mut self,
        now: Duration,
        call: CallId,
        key: ClaimKey,
        req: &ClaimRequest,
        issued_ms: Option<u64>,
    ) {
        let pending = Pending {
            key,
            content: content_check(&req.content),
            issued_ms,
            carried: false,
        };
        let Some(partitions) = self.layout.partitions() else {
            self.unplaced.push(pending);
            self.table.insert(now, key, req.content, Phase::Claiming);
            self.join(now, call, key, &req.content);
            return;
        };
        let id = key.partition(partitions);
        if let Some(end) = self.opaque_end(now, id, &pending) {
            self.end_call(call, end);
            return;
        }
        self.table.insert(now, key, req.content, Phase::Claiming);
        self.join(now, call, key, &req.content);
        self.partitions[id as usize].claim(pending);
    }

    /// The end of a request whose key this home has no record of, if it needs no new claim.
    fn opaque_end(&self, now: Duration, id: u32, pending: &Pending) -> Option<ClaimEnd> {
        if self.live.is_none() {
            return Some(ClaimEnd::not_run(RefusalReason::AgentStarting));
        }
        let partition = &self.partitions[id as usize];
        if partition.is_ready() {
            return self.claimed_end(now, partition, pending);
        }
        let soft = self.soft_owner(id);
        if soft != Some(&self.home.vm) {
            let home = soft.cloned();
            let reason = RefusalReason::NotHome;
            return Some(ClaimEnd::NotRun { reason, home });
        }
        self.new_claim_refusal(now, pending).map(ClaimEnd::not_run)
    }

    /// The same for a partition this home owns.
    fn claimed_end(&self, now: Duration, partition: &Partition, new: &Pending) -> Option<ClaimEnd> {
        if let Some(claimed) = partition.lookup(new.key) {
            return Some(self.known_end(claimed, new.content));
        }
        if new.issued_ms.is_some_and(|ms| ms < partition.floor_ms()) {
            return Some(ClaimEnd::not_run(RefusalReason::KeyExpired));
        }
        self.new_claim_refusal(now, new).map(ClaimEnd::not_run)
    }

    fn known_end(&self, claimed: Claimed, content: u32) -> ClaimEnd {
        if claimed.content != content {
            return ClaimEnd::not_run(RefusalReason::KeyReused);
        }
        match claimed.home {
            // The claim is this incarnation's, and its record is gone.
            Some(home) if home == self.home => ClaimEnd::Unknown(UnknownReason::AnswerLost),
            Some(home) if home.vm == self.home.vm => ClaimEnd::Unknown(UnknownReason::HomeLost),
            Some(home) => ClaimEnd::Elsewhere(home),
            None => ClaimEnd::Unknown(UnknownReason::HomeLost),
        }
    }

    fn new_claim_refusal(&self, now: Duration, new: &Pending) -> Option<RefusalReason> {
        if let Some(issued_ms) = new.issued_ms {
            let limits = &self.cfg.limits;
            let wall_ms = self.cfg.wall_ms(now);
            if issued_ms + millis(limits.retention) < wall_ms {
                return Some(RefusalReason::KeyExpired);
            }
            if issued_ms > wall_ms + millis(limits.issue_ahead) {
                return Some(RefusalReason::RequestInvalid);
            }
        }
        self.new_key_refusal()
    }

    fn on_run_ended(&mut self, key: ClaimKey, end: RunEnd) {
        let Some(record) = self.table.get_mut(key) else {
            return;
        };
        let waiting = std::mem::take(&mut record.waiting);
        match end {
            RunEnd::Answer(answer) => {
                let limits = &self.cfg.limits;
                let (one, all) = (limits.max_answer_bytes, limits.answers_bytes);
                self.table.keep_answer(key, answer.clone(), one, all);
                for call in waiting {
                    let starter = self.calls.get(&call).is_some_and(|c| c.starter);
                    let end = if starter {
                        ClaimEnd::FirstRun
                    } else {
                        ClaimEnd::Replay
                    };
                    self.end_call(call, end(answer.clone()));
                }
            }
            RunEnd::NotRun(reason) => {
                record.phase = Phase::Held;
                self.end_calls(waiting, &ClaimEnd::not_run(reason));
            }
            RunEnd::Unknown(reason) => {
                record.phase = Phase::Lost(reason);
                self.end_calls(waiting, &ClaimEnd::Unknown(reason));
            }
        }
    }

    fn start_all(&mut self, now: Duration, keys: Vec<ClaimKey>) {
        for key in keys {
            self.start(now, key);
        }
    }

    /// Starts the run of a key that is bound to this incarnation, for the first call that waits.
    fn start(&mut self, now: Duration, key: ClaimKey) {
        self.end_overdue(now);
        let Some(record) = self.table.get_mut(key) else {
            return;
        };
        if !matches!(record.phase, Phase::Claiming | Phase::Held) {
            return;
        }
        let Some(&first) = record.waiting.front() else {
            record.phase = Phase::Held;
            return;
        };
        record.phase = Phase::Running;
        let waiting: Vec<CallId> = record.waiting.iter().copied().collect();
        for call in waiting {
            self.extend_to_deadline(call);
        }
        if let Some(call) = self.calls.get_mut(&first) {
            call.starter = true;
        }
        self.actions.push(Action::Run(first, key));
    }

    fn on_live(&mut self, live: Vec<VmName>) {
        self.live = Some(live);
        for id in 0..self.partitions.len() {
            self.place(id);
        }
    }

    /// Acts on the view of who should own a partition.
    fn place(&mut self, id: usize) {
        let soft = self.soft_owner(id as u32).cloned();
        let partition = &mut self.partitions[id];
        if partition.is_ready() {
            return;
        }
        if soft.as_ref() == Some(&self.home.vm) {
            partition.want();
            return;
        }
        let keys = partition.give_up();
        self.end_keys(keys, RefusalReason::NotHome, soft);
    }

    fn soft_owner(&self, id: u32) -> Option<&VmName> {
        soft_owner(&self.cfg.pool, id, self.live.as_ref()?)
    }

    fn on_layout(&mut self, now: Duration, end: StoreEnd) {
        self.layout_busy = false;
        self.layout = match &end {
            StoreEnd::Read(end) => self.layout.after_read(end),
            StoreEnd::Write(end) => self.layout.after_write(self.cfg.partitions, end),
            StoreEnd::Delete(_) => self.layout,
        };
        if matches!(end, StoreEnd::Read(Err(_)) | StoreEnd::Write(Err(_))) {
            self.layout_at = now + self.cfg.limits.retry_min * 4;
        }
        if let Some(partitions) = self.layout.partitions() {
            self.lay_out(now, partitions);
        }
    }

    fn lay_out(&mut self, now: Duration, partitions: u32) {
        let new = |id| Partition::new(id, self.home.clone());
        self.partitions = (0..partitions).map(new).collect();
        for id in 0..self.partitions.len() {
            self.place(id);
        }
        for pending in std::mem::take(&mut self.unplaced) {
            let id = pending.key.partition(partitions);
            match self.opaque_end(now, id, &pending) {
                Some(end) => self.end_claim(pending.key, &end),
                None => self.partitions[id as usize].claim(pending),
            }
        }
    }

    fn on_store(&mut self, now: Duration, id: u32, end: StoreEnd) {
        let jitter: f64 = self.rng.random();
        let Some(partition) = self.partitions.get_mut(id as usize) else {
            return;
        };
        for notice in partition.on_store(now, end, &self.cfg, jitter) {
            match notice {
                Notice::Durable(keys) => self.start_all(now, keys),
                Notice::Ready => self.look_up_pending(now, id as usize),
            }
        }
        self.drop_abandoned(id as usize);
        if !self.partitions[id as usize].is_ready() {
            self.place(id as usize);
        }
    }

    /// Takes back claims that came back from a failed commit after all their callers had left.
    fn drop_abandoned(&mut self, id: usize) {
        let table = &self.table;
        let abandoned = |key| table.get(key).is_none_or(|r| r.waiting.is_empty());
        let pending = self.partitions[id].pending().map(|p| p.key);
        let keys: Vec<ClaimKey> = pending.filter(|key| abandoned(*key)).collect();
        for key in keys {
            self.partitions[id].withdraw(key);
            self.table.remove(key);
        }
    }

    /// Starts pending claims that a commit carried after all, and ends those of keys that turn out
    /// to be claimed before or too old.
    fn look_up_pending(&mut self, now: Duration, id: usize) {
        let pending: Vec<Pending> = self.partitions[id].pending().collect();
        for new in pending {
            let partition = &self.partitions[id];
            let claimed = partition.lookup(new.key).and_then(|c| c.home);
            if new.carried && claimed.as_ref() == Some(&self.home) {
                self.partitions[id].withdraw(new.key);
                self.start(now, new.key);
                continue;
            }
            if let Some(end) = self.claimed_end(now, partition, &new) {
                self.partitions[id].withdraw(new.key);
                self.end_claim(new.key, &end);
            }
        }
    }

    fn wants_layout(&self) -> bool {
        !self.layout_busy && self.layout.partitions().is_none()
    }

    fn call_store(&mut self, now: Duration) {
        if self.wants_layout() && now >= self.layout_at {
            self.layout_busy = true;
            let call = self.layout_call();
            self.actions.push(Action::Store(Lane::Layout, call));
        }
        let interval = self.commit_interval();
        for (id, partition) in (0..).zip(&mut self.partitions) {
            if let Some(call) = partition.poll(now, &self.cfg, interval) {
                self.actions.push(Action::Store(Lane::Partition(id), call));
            }
        }
    }

    fn layout_call(&self) -> StoreCall {
        let key = layout_key(&self.cfg.pool);
        match self.layout {
            Layout::Absent => StoreCall::Write {
                key,
                value: layout::encode(self.cfg.partitions),
                expect: layout::EXPECT,
            },
            Layout::Unread | Layout::Known(_) => StoreCall::Read { key },
        }
    }

    /// Least time between two commits of one partition, so that all homes of the pool together
    /// stay within its budget.
    fn commit_interval(&self) -> Duration {
        let partitions = self.partitions.len() as f64;
        Duration::from_secs_f64(partitions / self.cfg.limits.pool_commits_per_s)
    }

    fn add_call(&mut self, now: Duration, id: CallId, key: ClaimKey, timeout: Duration) {
        let deadline = now + timeout;
        let limit = deadline.min(now + self.cfg.limits.store_patience);
        let call = Call {
            key,
            deadline,
            limit,
            starter: false,
        };
        self.calls.insert(id, call);
        self.limits.insert((limit, id));
    }

    fn extend_to_deadline(&mut self, id: CallId) {
        if let Some(call) = self.calls.get_mut(&id) {
            self.limits.remove(&(call.limit, id));
            call.limit = call.deadline;
            self.limits.insert((call.limit, id));
        }
    }

    fn end_overdue(&mut self, now: Duration) {
        while let Some(&(limit, id)) = self.limits.first()
            && limit <= now
        {
            self.limits.remove(&(limit, id));
            self.end_late(now, id);
        }
    }

    fn end_late(&mut self, now: Duration, id: CallId) {
        let Some(&Call { key, deadline, .. }) = self.calls.get(&id) else {
            return;
        };
        let running = self.leave(key, id);
        let end = if running {
            ClaimEnd::Unknown(UnknownReason::Deadline)
        } else if deadline <= now {
            ClaimEnd::not_run(RefusalReason::Deadline)
        } else {
            ClaimEnd::not_run(RefusalReason::StoreUnavailable)
        };
        self.end_call(id, end);
    }

    /// Takes a call off its key; whether the key's run is on its way.
    fn leave(&mut self, key: ClaimKey, id: CallId) -> bool {
        let Some(record) = self.table.get_mut(key) else {
            return false;
        };
        record.waiting.retain(|c| *c != id);
        let idle = record.phase == Phase::Claiming && record.waiting.is_empty();
        let running = record.phase == Phase::Running;
        if idle && self.withdraw(key) {
            self.table.remove(key);
        }
        running
    }

    /// Takes back a claim that no commit has carried.
    fn withdraw(&mut self, key: ClaimKey) -> bool {
        match self.layout.partitions() {
            Some(n) => self.partitions[key.partition(n) as usize].withdraw(key),
            None => {
                self.unplaced.retain(|p| p.key != key);
                true
            }
        }
    }

    fn end_keys(&mut self, keys: Vec<ClaimKey>, reason: RefusalReason, home: Option<VmName>) {
        for key in keys {
            let home = home.clone();
            self.end_claim(key, &ClaimEnd::NotRun { reason, home });
        }
    }

    /// Ends all calls of a claim that is not this home's and forgets it.
    fn end_claim(&mut self, key: ClaimKey, end: &ClaimEnd) {
        if let Some(record) = self.table.remove(key) {
            self.end_calls(record.waiting, end);
        }
    }

    fn end_calls(&mut self, calls: impl IntoIterator<Item = CallId>, end: &ClaimEnd) {
        for call in calls {
            self.end_call(call, end.clone());
        }
    }

    fn refuse(&mut self, call: CallId, reason: RefusalReason) {
        self.end_call(call, ClaimEnd::not_run(reason));
    }

    fn end_call(&mut self, id: CallId, end: ClaimEnd) {
        if let Some(call) = self.calls.remove(&id) {
            self.limits.remove(&(call.limit, id));
        }
        self.reply(id, end);
    }

    fn reply(&mut self, id: CallId, end: ClaimEnd) {
        counter!("oriole_claims_ends_total", "reason" => end.as_str()).increment(1);
        self.actions.push(Action::Reply(id, end));
    }
}

fn content_check(content: &Digest) -> u32 {
    let mut buf = [0; 4];
    buf.copy_from_slice(&content.0[..4]);
    u32::from_be_bytes(buf)
}
