//! The balancers that are compared: the real code of an entry and two simple ones.

use std::collections::BTreeMap;
use std::time::Duration;

use oriole_routing::prelude::*;
use oriole_types::prelude::*;
use rand_chacha::ChaCha8Rng;

use super::setup::Setup;

/// Retries per request of a simple balancer.
const SIMPLE_MAX_RETRIES: u32 = 3;

/// Which balancer the entries run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Candidate {
    /// The real code of an entry: limiter, wait queues, router and retry budget.
    Oriole,
    /// Each upstream in turn; the next one after a refusal or failure.
    RoundRobin,
    /// The upstream with the fewest requests from this entry; chosen again after each refusal or
    /// failure.
    LeastConnections,
}

impl Candidate {
    /// All candidates.
    pub const ALL: [Self; 3] = [Self::Oriole, Self::RoundRobin, Self::LeastConnections];

    /// Returns the prefix of its figures; empty for oriole itself.
    #[must_use]
    pub fn prefix(self) -> &'static str {
        match self {
            Self::Oriole => "",
            Self::RoundRobin => "round_robin_",
            Self::LeastConnections => "least_connections_",
        }
    }
}

/// A request at an entry.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number of the request in the run.
    pub id: usize,
    /// Account that sent it.
    pub account: AccountName,
    /// Pool that serves it.
    pub pool: PoolName,
    /// Whether it may safely run more than once.
    pub idempotent: bool,
    /// Priority class.
    pub priority: Priority,
    /// Time by which the caller needs the complete answer.
    pub deadline: Duration,
    /// Hash of its key and prompt prefix, if all requests of its account share them.
    pub key: Option<u64>,
    /// Attempts made.
    pub attempts: u32,
    /// Upstreams on which an attempt failed.
    pub tried: Vec<VmName>,
}

/// How an attempt ended at the entry.
#[derive(Clone, Copy, Debug)]
pub enum AttemptResult {
    /// Complete answer.
    Answered,
    /// Refused by the agent; with the time to wait before a retry, if it named one.
    Refused(RefusalReason, Option<Duration>),
    /// The upstream failed.
    Failed,
}

/// What an entry asks the simulation to do.
pub enum Action {
    /// Send a request to an upstream.
    Send(Request, VmName),
    /// Return a request to the entry after a delay.
    RetryAfter(Request, Duration),
    /// Answer the caller that the request was not run.
    Refuse(Request, RefusalReason),
    /// Answer the caller that the request failed.
    Fail(Request),
    /// Send the answer to the caller.
    Answer(Request),
}

/// An entry that runs one of the candidates.
pub enum Entry {
    /// The real code of an entry.
    Oriole(Box<OrioleEntry>),
    /// A simple balancer.
    Simple(SimpleEntry),
}

/// An entry that runs the real code.
pub struct OrioleEntry {
    limiter: Limiter,
    queues: BTreeMap<PoolName, WaitQueue<Request>>,
    /// Router of the entry.
    pub router: Router,
    budget: RetryBudget,
    catalog: Catalog,
    permits: BTreeMap<usize, Permit>,
    rng: ChaCha8Rng,
}

/// A balancer that knows only its own requests.
pub struct SimpleEntry {
    least_connections: bool,
    upstreams: BTreeMap<PoolName, Vec<VmName>>,
    in_flight: BTreeMap<VmName, u32>,
    next: usize,
}

impl Entry {
    /// Creates the entry with index `i`.
    #[must_use]
    pub fn new(candidate: Candidate, setup: &Setup, i: usize, rng: ChaCha8Rng) -> Self {
        match candidate {
            Candidate::Oriole => Self::Oriole(Box::new(OrioleEntry::new(setup, i, rng))),
            _ => Self::Simple(SimpleEntry {
                least_connections: candidate == Candidate::LeastConnections,
                upstreams: BTreeMap::new(),
                in_flight: BTreeMap::new(),
                next: i,
            }),
        }
    }

    /// Applies a change of the fleet or the catalog.
    pub fn on_fleet_change(&mut self, now: Duration, list: &VmList, catalog: &Catalog) {
        match self {
            Self::Oriole(e) => {
                e.catalog = catalog.clone();
                e.router.on_fleet_change(now, list, catalog);
            }
            Self::Simple(e) => {
                e.upstreams.clear();
                for r in list
                    .vms
                    .iter()
                    .filter(|r| catalog.is_in_service(&r.name, &r.domain))
                {
                    if let VmRole::Upstream { pool } = &r.role {
                        e.upstreams
                            .entry(pool.clone())
                            .or_default()
                            .push(r.name.clone());
                    }
                }
            }
        }
    }

    /// Handles a new request.
    pub fn on_request(&mut self, now: Duration, req: Request) -> Vec<Action> {
        match self {
            Self::Oriole(e) => e.on_request(now, req),
            Self::Simple(e) => vec![e.send(req)],
        }
    }

    /// Handles a request whose retry delay has passed.
    pub fn on_retry_due(&mut self, now: Duration, req: Request) -> Vec<Action> {
        match self {
            Self::Oriole(e) => e.on_retry_due(now, req),
            Self::Simple(e) => vec![e.send(req)],
        }
    }

    /// Handles the end of an attempt.
    pub fn on_attempt_ended(
        &mut self,
        now: Duration,
        req: Request,
        vm: &VmName,
        result: AttemptResult,
        took: Duration,
        load: &LoadReport,
    ) -> Vec<Action> {
        match self {
            Self::Oriole(e) => e.on_attempt_ended(now, req, vm, result, took, load),
            Self::Simple(e) => vec![e.on_attempt_ended(req, vm, result)],
        }
    }

    /// Dispatches queued requests and refuses expired ones.
    pub fn tick(&mut self, now: Duration) -> Vec<Action> {
        match self {
            Self::Oriole(e) => e.dispatch(now),
            Self::Simple(_) => Vec::new(),
        }
    }

    /// Returns the limit digest for the peers; `None` for a simple balancer.
    #[must_use]
    pub fn limit_digest(&self, now: Duration) -> Option<LimitDigest> {
        match self {
            Self::Oriole(e) => Some(e.limiter.digest(now)),
            Self::Simple(_) => None,
        }
    }

    /// Applies the limit digest of a peer.
    pub fn on_peer_digest(&mut self, now: Duration, peer: &VmName, digest: &LimitDigest) {
        if let Self::Oriole(e) = self {
            e.limiter.record_peer_digest(now, peer, digest);
        }
    }

    /// Applies the load report of an agent.
    pub fn on_load_report(&mut self, now: Duration, vm: &VmName, load: &LoadReport) {
        if let Self::Oriole(e) = self {
            e.router.on_load_report(now, vm, load);
        }
    }

    /// Sets the number of entries that serve an account.
    pub fn set_account_sharers(&mut self, now: Duration, account: &AccountName, sharers: usize) {
        if let Self::Oriole(e) = self {
            e.limiter.set_account_sharers(now, account, sharers);
        }
    }
}

impl OrioleEntry {
    fn new(setup: &Setup, i: usize, rng: ChaCha8Rng) -> Self {
        let domain = super::setup::domain_name(setup.domain_of(i));
        let cfg = RouterConfig {
            cross_domain_rtt: setup.one_way * 2,
            warming_seed: (i as u64) << 32,
            ..RouterConfig::default()
        };
        let mut limiter = Limiter::new(LimiterConfig::default());
        limiter.set_catalog_entry_sharers(setup.entries);
        Self {
            limiter,
            queues: BTreeMap::new(),
            router: Router::new(cfg, domain),
            budget: RetryBudget::new(RetryConfig::default()),
            catalog: Catalog::default(),
            permits: BTreeMap::new(),
            rng,
        }
    }

    fn on_request(&mut self, now: Duration, req: Request) -> Vec<Action> {
        let entry = EntryName::new(req.pool.as_str());
        match self
            .limiter
            .admit(now, &self.catalog, &req.account, &entry, None)
        {
            Ok(permit) => self.permits.insert(req.id, permit),
            Err(refusal) => return vec![Action::Refuse(req, refusal.reason)],
        };
        let capacity = self.router.capacity(now, &req.pool);
        if let Err(reason) = capacity.admit(req.priority) {
            return vec![self.refuse(req, reason)];
        }
        self.budget.record_request();
        let queue_request = self.queue_request(&req);
        let mut out = Vec::new();
        match self.queue(&req.pool).push(now, queue_request, req) {
            Ok((_, displaced)) => {
                let displaced = displaced.map(|p| self.refuse(p.value, RefusalReason::QueueFull));
                out.extend(displaced);
            }
            Err(refused) => out.push(self.refuse(refused.value, refused.reason)),
        }
        out.extend(self.dispatch(now));
        out
    }

    fn on_retry_due(&mut self, now: Duration, req: Request) -> Vec<Action> {
        let queue_request = self.queue_request(&req);
        self.queue(&req.pool).requeue(now, queue_request, req);
        self.dispatch(now)
    }

    fn on_attempt_ended(
        &mut self,
        now: Duration,
        mut req: Request,
        vm: &VmName,
        result: AttemptResult,
        took: Duration,
        load: &LoadReport,
    ) -> Vec<Action> {
        let mut out = Vec::new();
        let end = match result {
            AttemptResult::Answered => {
                self.router.on_attempt_finished(now, vm, took, Some(load));
                self.release(&req);
                out.push(Action::Answer(req));
                out.extend(self.dispatch(now));
                return out;
            }
            AttemptResult::Refused(reason, retry_after) => {
                self.router
                    .on_attempt_refused(now, vm, reason, retry_after, Some(load));
                AttemptEnd::NotRun {
                    reason,
                    retry_after: None,
                }
            }
            AttemptResult::Failed => {
                self.router.on_attempt_failed(now, vm, Some(load));
                req.tried.push(vm.clone());
                AttemptEnd::Unknown(UnknownReason::UpstreamFailed)
            }
        };
        out.push(self.retry_or_give_up(now, req, end));
        out.extend(self.dispatch(now));
        out
    }

    fn retry_or_give_up(&mut self, now: Duration, req: Request, end: AttemptEnd) -> Action {
        let failed = FailedAttempt {
            attempts: req.attempts,
            priority: req.priority,
            idempotent: req.idempotent,
            end,
            deadline: req.deadline,
            service_time: self.service_time(),
        };
        match (self.budget.decide(now, &failed, &mut self.rng), end) {
            (RetryDecision::Retry { after }, _) => Action::RetryAfter(req, after),
            (_, AttemptEnd::NotRun { reason, .. }) => self.refuse(req, reason),
            (_, AttemptEnd::Unknown(_)) => {
                self.release(&req);
                Action::Fail(req)
            }
        }
    }

    fn queue(&mut self, pool: &PoolName) -> &mut WaitQueue<Request> {
        let queue = || WaitQueue::new(QueueConfig::default());
        self.queues.entry(pool.clone()).or_insert_with(queue)
    }

    fn dispatch(&mut self, now: Duration) -> Vec<Action> {
        let mut out = Vec::new();
        let pools: Vec<PoolName> = self.queues.keys().cloned().collect();
        for pool in pools {
            self.dispatch_pool(now, &pool, &mut out);
        }
        out
    }

    fn dispatch_pool(&mut self, now: Duration, pool: &PoolName, out: &mut Vec<Action>) {
        while let Some(expired) = self.queue(pool).pop_expired(now) {
            out.push(self.refuse(expired.value, RefusalReason::Deadline));
        }
        loop {
            let (router, rng) = (&self.router, &mut self.rng);
            let Some(queue) = self.queues.get_mut(pool) else {
                return;
            };
            let sent = queue.pop_with(now, |req| {
                let pick = PickRequest {
                    pool,
                    prefix: req.key,
                    exclude: &req.tried,
                    priority: req.priority,
                };
                match router.pick(now, &pick, rng) {
                    Ok(vm) => Offer::Take(vm),
                    Err(_) if !req.tried.is_empty() => Offer::Skip,
                    Err(_) => Offer::Stop,
                }
            });
            let Some((popped, vm)) = sent else { return };
            let mut req = popped.value;
            self.router.on_attempt_started(now, &vm, req.key);
            req.attempts += 1;
            out.push(Action::Send(req, vm));
        }
    }

    fn queue_request(&self, req: &Request) -> QueueRequest {
        QueueRequest {
            account: req.account.clone(),
            weight: 1,
            priority: req.priority,
            deadline: req.deadline,
            service_time: self.service_time(),
            key: req.key,
        }
    }

    fn service_time(&self) -> Duration {
        Duration::from_millis(300)
    }

    fn release(&mut self, req: &Request) {
        if let Some(permit) = self.permits.remove(&req.id) {
            self.limiter.release(permit);
        }
    }

    fn refuse(&mut self, req: Request, reason: RefusalReason) -> Action {
        self.release(&req);
        Action::Refuse(req, reason)
    }
}

impl SimpleEntry {
    fn send(&mut self, mut req: Request) -> Action {
        self.next += 1;
        let upstreams = self.upstreams.get(&req.pool).map_or(&[][..], Vec::as_slice);
        let in_turn = (0..upstreams.len()).map(|i| &upstreams[(self.next + i) % upstreams.len()]);
        let in_flight = |vm: &&VmName| self.in_flight.get(*vm).copied().unwrap_or(0);
        let vm = if self.least_connections {
            in_turn.min_by_key(in_flight)
        } else {
            { in_turn }.next()
        };
        let Some(vm) = vm.cloned() else {
            return Action::Refuse(req, RefusalReason::NoUpstream);
        };
        *self.in_flight.entry(vm.clone()).or_default() += 1;
        req.attempts += 1;
        Action::Send(req, vm)
    }

    fn on_attempt_ended(&mut self, req: Request, vm: &VmName, result: AttemptResult) -> Action {
        if let Some(in_flight) = self.in_flight.get_mut(vm) {
            *in_flight -= 1;
        }
        match result {
            AttemptResult::Answered => Action::Answer(req),
            AttemptResult::Failed if !req.idempotent => Action::Fail(req),
            _ if req.attempts <= SIMPLE_MAX_RETRIES => self.send(req),
            AttemptResult::Refused(reason, _) => Action::Refuse(req, reason),
            AttemptResult::Failed => Action::Fail(req),
        }
    }
}
