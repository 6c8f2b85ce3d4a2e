//! The task that carries out a home's actions against a store.
//!
//! ```no_run
//! # use std::{sync::Arc, time::Duration};
//! # use oriole_claims::prelude::*;
//! # async fn f(cfg: ClaimsConfig, store: Arc<dyn oriole_store::store::Store>, req: ClaimRequest) {
//! let claims = ClaimService::spawn(cfg, store);
//! claims.set_live(vec!["vm-1".into()]);
//! let end = claims
//!     .execute(req, || async { RunEnd::Answer("done".into()) })
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
use crate::home::{Action, ClaimHome, Event, Lane};
use crate::key::ClaimKey;
use crate::partition::{StoreCall, StoreEnd};
use crate::request::{CallId, ClaimEnd, ClaimRequest, HomeRef, RunEnd};
use crate::ticket::Ticket;

/// Requests that wait for the task before further ones are refused.
const QUEUE_LEN: usize = 4096;

/// Longest sleep of the task when nothing is due.
const IDLE: Duration = Duration::from_secs(60);

type Run = Box<dyn FnOnce() -> Pin<Box<dyn Future<Output = RunEnd> + Send>> + Send>;

struct Command {
    req: ClaimRequest,
    run: Run,
    tx: oneshot::Sender<ClaimEnd>,
}

/// Starts the task.
#[derive(Debug)]
pub struct ClaimService;

impl ClaimService {
    /// Starts a home's task. It ends once all handles are dropped.
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

/// A running home.
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
    /// Runs a request at most once under its key, or says what became of the key.
    ///
    /// `run` sends the request to the upstream; it is called at most once, and never after this
    /// call ended with a refusal. A run goes on when the caller stops waiting, and its answer is
    /// kept for later callers.
    pub async fn execute<F, Fut>(&self, req: ClaimRequest, run: F) -> ClaimEnd
    where
        F: FnOnce() -> Fut + Send + 'static,
        Fut: Future<Output = RunEnd> + Send + 'static,
    {
        let (tx, rx) = oneshot::channel();
        let run: Run = Box::new(move || Box::pin(run()));
        match self.tx.try_send(Command { req, run, tx }) {
            Ok(()) => rx
                .await
                .unwrap_or(ClaimEnd::Unknown(UnknownReason::HomeLost)),
            Err(mpsc::error::TrySendError::Full(_)) => ClaimEnd::not_run(RefusalReason::QueueFull),
            Err(mpsc::error::TrySendError::Closed(_)) => ClaimEnd::not_run(RefusalReason::Draining),
        }
    }

    /// The incarnation that this home is.
    #[must_use]
    pub fn home(&self) -> HomeRef {
        self.cfg.home()
    }

    /// Tells the home which of the pool's agents take new work, itself included unless it drains.
    pub fn set_live(&self, live: Vec<VmName>) {
        // A send fails only after the task ended, and then there is nobody to tell.
        let _ = self.live_tx.send(live);
    }

    /// Ends the task at once, as the death of its process would: what it remembers is gone, runs and
    /// store calls under way take their course, and waiting calls end as unknown.
    pub fn abort(&self) {
        self.task.abort();
    }

    /// The home's clock in milliseconds. An entry that minted tickets with an older reading issues
    /// tickets that expire a little earlier.
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
    calls: HashMap<CallId, (Option<Run>, oneshot::Sender<ClaimEnd>)>,
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
                self.act(action);
            }
            let wake_at = self.start + self.home.wake_at().unwrap_or(now + IDLE).min(now + IDLE);
            // The order spares a draw at random; every event ends what is overdue as well.
            event = tokio::select! {
                biased;
                Some(event) = self.events_rx.recv() => event,
                Some(live) = live_rx.recv() => Event::Live(live),
                command = rx.recv() => match command {
                    Some(command) => self.admit(command),
                    None => return,
                },
                () = tokio::time::sleep_until(wake_at) => Event::Tick,
            };
        }
    }

    fn admit(&mut self, command: Command) -> Event {
        let call = self.next_call;
        self.next_call = call.next();
        self.calls.insert(call, (Some(command.run), command.tx));
        Event::Request(call, command.req)
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Run(call, key) => self.start_run(call, key),
            Action::Reply(call, end) => self.reply(call, end),
            Action::Store(lane, call) => self.call_store(lane, call),
        }
    }

    fn start_run(&mut self, call: CallId, key: ClaimKey) {
        let run = self.calls.get_mut(&call).and_then(|(run, _)| run.take());
        let tx = self.events_tx.clone();
        tokio::spawn(async move {
            let end = match run {
                // A task of its own turns a panic of the run into an end.
                Some(run) => tokio::spawn(async move { run().await })
                    .await
                    .unwrap_or(RunEnd::Unknown(UnknownReason::UpstreamFailed)),
                None => RunEnd::NotRun(RefusalReason::Cancelled),
            };
            // The task of the home is gone with its process; then nobody waits.
            let _ = tx.send(Event::RunEnded(key, end));
        });
    }

    fn reply(&mut self, call: CallId, end: ClaimEnd) {
        if let Some((_, tx)) = self.calls.remove(&call) {
            // A caller that stopped waiting needs no answer.
            let _ = tx.send(end);
        }
    }

    fn call_store(&self, lane: Lane, call: StoreCall) {
        let store = self.store.clone();
        let tx = self.events_tx.clone();
        tokio::spawn(async move {
            let end = carry_out(&*store, call).await;
            let _ = tx.send(Event::Store(lane, end));
        });
    }
}

async fn carry_out(store: &dyn Store, call: StoreCall) -> StoreEnd {
    match call {
        StoreCall::Read { key } => StoreEnd::Read(store.get(&key).await),
        StoreCall::Write { key, value, expect } => {
            StoreEnd::Write(store.put(&key, value, expect).await)
        }
        StoreCall::Delete { key } => StoreEnd::Delete(store.delete(&key, Precondition::Any).await),
    }
}
