//! The task that runs a home: it carries out the home's actions and reports their outcomes.
//!
//! ```no_run
//! # use std::{sync::Arc, time::Duration};
//! # use oriole_claims::prelude::*;
//! # async fn f(cfg: ClaimsConfig, store: Arc<dyn oriole_store::store::Store>, req: ClaimRequest) {
//! let claims = ClaimService::spawn(cfg, store);
//! claims.set_live_agents(vec!["vm-1".into()]);
//! let outcome = claims
//!     .execute(req, || async { RunOutcome::Answer("done".into()) })
//!     .await;
//! # }
//! ```

use std::collections::HashMap;
use std::fmt;
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use oriole_store::store::{Precondition, Store};
use oriole_types::ids::{AccountName, EntryName, VmName};
use oriole_types::outcome::{RefusalReason, UnknownReason};
use tokio::sync::{mpsc, oneshot};
use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::config::{ClaimsConfig, millis};
use crate::home::{Action, ClaimHome, Event, StoreTarget};
use crate::key::ClaimKey;
use crate::partition::{StoreCall, StoreOutcome};
use crate::request::{CallId, ClaimOutcome, ClaimRequest, HomeRef, RunOutcome};
use crate::ticket::Ticket;

/// Number of requests waiting for the task at which further ones are refused.
const QUEUE_LEN: usize = 4096;

/// Longest time between two events of a home.
const MAX_SLEEP: Duration = Duration::from_secs(60);

type Run = Box<dyn FnOnce() -> Pin<Box<dyn Future<Output = RunOutcome> + Send>> + Send>;

/// A request on its way to the task.
struct Command {
    req: ClaimRequest,
    run: Run,
    tx: oneshot::Sender<ClaimOutcome>,
}

/// Starts the tasks of homes.
#[derive(Debug)]
pub struct ClaimService;

impl ClaimService {
    /// Starts the task of a home. It ends once all handles are dropped.
    #[must_use]
    pub fn spawn(cfg: ClaimsConfig, store: Arc<dyn Store>) -> ClaimHandle {
        let (tx, rx) = mpsc::channel(QUEUE_LEN);
        let (live_tx, live_rx) = mpsc::unbounded_channel();
        let start = Instant::now();
        let task = Task::new(cfg.clone(), store, start);
        let task = tokio::spawn(task.run(rx, live_rx));
        ClaimHandle {
            cfg: Arc::new(cfg),
            start,
            tx,
            live_tx,
            task: task.abort_handle(),
        }
    }
}

/// Handle of a running home.
#[derive(Clone)]
pub struct ClaimHandle {
    cfg: Arc<ClaimsConfig>,
    start: Instant,
    tx: mpsc::Sender<Command>,
    live_tx: mpsc::UnboundedSender<Vec<VmName>>,
    task: AbortHandle,
}

impl fmt::Debug for ClaimHandle {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "ClaimHandle({:?})", self.cfg.home())
    }
}

impl ClaimHandle {
    /// Runs a request unless its key has run before; returns the outcome.
    ///
    /// `run` sends the request to the upstream. It is called at most once, and never after this
    /// method returned a refusal. A run continues if the returned future is dropped, and its answer
    /// is kept for later requests with the same key.
    pub async fn execute<F, Fut>(&self, req: ClaimRequest, run: F) -> ClaimOutcome
    where
        F: FnOnce() -> Fut + Send + 'static,
        Fut: Future<Output = RunOutcome> + Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let run: Run = Box::new(move || Box::pin(run()));
        match self.tx.try_send(Command { req, run, tx }) {
            Ok(()) => rx
                .await
                .unwrap_or(ClaimOutcome::Unknown(UnknownReason::HomeLost)),
            Err(mpsc::error::TrySendError::Full(_)) => {
                ClaimOutcome::not_run(RefusalReason::QueueFull)
            }
            Err(mpsc::error::TrySendError::Closed(_)) => {
                ClaimOutcome::not_run(RefusalReason::Draining)
            }
        }
    }

    /// The VM and incarnation of this home.
    #[must_use]
    pub fn home(&self) -> HomeRef {
        self.cfg.home()
    }

    /// Updates which VMs of the pool have agents that accept new requests. This home's own VM is
    /// among them unless it drains.
    pub fn set_live_agents(&self, live: Vec<VmName>) {
        // A send fails only after the task ended, when the update no longer matters.
        let _ = self.live_tx.send(live);
    }

    /// Ends the task at once, like a crash of its process: its records are lost, runs and store
    /// calls in flight continue, and waiting calls end as unknown.
    pub fn abort(&self) {
        self.task.abort();
    }

    /// The home's clock: milliseconds since its start. An entry may mint tickets with an older
    /// reading; they then expire a little earlier.
    #[must_use]
    pub fn clock_ms(&self) -> u64 {
        millis(self.start.elapsed())
    }

    /// Mints a ticket bound to this incarnation.
    #[must_use]
    pub fn mint(&self, account: &AccountName, entry: &EntryName, suffix: &str) -> Ticket {
        let (secret, home) = (&self.cfg.secret, self.cfg.home());
        Ticket::mint(secret, home, self.clock_ms(), account, entry, suffix)
    }
}

struct Task {
    home: ClaimHome,
    store: Arc<dyn Store>,
    start: Instant,
    next_call: CallId,
    /// Open calls. The run is `None` once it has been started.
    calls: HashMap<CallId, (Option<Run>, oneshot::Sender<ClaimOutcome>)>,
    events_tx: mpsc::UnboundedSender<Event>,
    events_rx: mpsc::UnboundedReceiver<Event>,
}

impl Task {
    fn new(cfg: ClaimsConfig, store: Arc<dyn Store>, start: Instant) -> Self {
        let (events_tx, events_rx) = mpsc::unbounded_channel();
        Self {
            home: ClaimHome::new(cfg),
            store,
            start,
            next_call: CallId::default(),
            calls: HashMap::new(),
            events_tx,
            events_rx,
        }
    }

    async fn run(
        mut self,
        mut rx: mpsc::Receiver<Command>,
        mut live_rx: mpsc::UnboundedReceiver<Vec<VmName>>,
    ) {
        let mut event = Event::Tick;
        loop {
            let now = self.start.elapsed();
            for action in self.home.handle(now, event) {
                self.perform(action);
            }
            let next_deadline = self.start
                + self
                    .home
                    .next_deadline()
                    .unwrap_or(now + MAX_SLEEP)
                    .min(now + MAX_SLEEP);
            // A fixed order saves drawing random numbers. It cannot delay timeouts, since the home
            // ends timed-out calls on every event.
            event = tokio::select! {
                biased;
                Some(event) = self.events_rx.recv() => event,
                Some(live) = live_rx.recv() => Event::LiveAgents(live),
                command = rx.recv() => match command {
                    Some(command) => self.register_call(command),
                    None => return,
                },
                () = tokio::time::sleep_until(next_deadline) => Event::Tick,
            };
        }
    }

    fn register_call(&mut self, command: Command) -> Event {
        let call = self.next_call;
        self.next_call = call.next();
        self.calls.insert(call, (Some(command.run), command.tx));
        Event::Request(call, command.req)
    }

    fn perform(&mut self, action: Action) {
        match action {
            Action::Run(call, key) => self.start_run(call, key),
            Action::Reply(call, outcome) => self.reply(call, outcome),
            Action::Store(target, call) => self.call_store(target, call),
        }
    }

    fn start_run(&mut self, call: CallId, key: ClaimKey) {
        let run = self.calls.get_mut(&call).and_then(|(run, _)| run.take());
        let tx = self.events_tx.clone();
        tokio::spawn(async move {
            let outcome = match run {
                // A separate task turns a panic of the run into an outcome.
                Some(run) => tokio::spawn(async move { run().await })
                    .await
                    .unwrap_or(RunOutcome::Unknown(UnknownReason::UpstreamFailed)),
                None => RunOutcome::NotRun(RefusalReason::Cancelled),
            };
            // A send fails only after the task ended, when no call waits any more.
            let _ = tx.send(Event::RunEnded(key, outcome));
        });
    }

    fn reply(&mut self, call: CallId, outcome: ClaimOutcome) {
        if let Some((_, tx)) = self.calls.remove(&call) {
            // A send fails only if the caller has stopped waiting.
            let _ = tx.send(outcome);
        }
    }

    fn call_store(&self, target: StoreTarget, call: StoreCall) {
        let store = self.store.clone();
        let tx = self.events_tx.clone();
        tokio::spawn(async move {
            let outcome = execute_store_call(&*store, call).await;
            let _ = tx.send(Event::Store(target, outcome));
        });
    }
}

async fn execute_store_call(store: &dyn Store, call: StoreCall) -> StoreOutcome {
    match call {
        StoreCall::Read { key } => StoreOutcome::Read(store.get(&key).await),
        StoreCall::Write {
            key,
            value,
            precondition,
        } => StoreOutcome::Write(store.put(&key, value, precondition).await),
        StoreCall::Delete { key } => {
            StoreOutcome::Delete(store.delete(&key, Precondition::Any).await)
        }
    }
}
