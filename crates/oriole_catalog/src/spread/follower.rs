//! The task that keeps a process's configuration up to date.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use futures::StreamExt as _;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use metrics::{counter, gauge};
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::sync::{broadcast, mpsc, watch};
use tokio::time::{Instant, sleep_until, timeout_at};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::calls::{CallEnd, CallError, Question, StoreCall, StoreSays, ask_peer, ask_store};
use super::config::FollowerConfig;
use super::machine::{Action, Event, PeerSays, SpreadMachine};
use super::members::Member;
use super::peer::{ConfigPeer, Contents, PeerAnswer};
use super::status::{ConfigEvent, ConfigSource, ConfigStatus};
use crate::stored::{Delta, Snapshot, SnapshotError};

/// Earlier revisions kept, so that peers can be brought up by what changed alone.
const KEPT_REVISIONS: usize = 8;
/// Events kept for slow readers.
const KEPT_EVENTS: usize = 64;
/// Orders that may wait for the task.
const QUEUED_ORDERS: usize = 256;

/// A process's configuration, kept up to date by a task; clones share it. The task ends when the
/// last clone is dropped.
///
/// Hold one per process. Until [`ConfigFollower::current`] gives a catalog the process must not
/// serve. Answer peers with [`ConfigFollower::serve`], and pass the revision that any peer shows
/// to [`ConfigFollower::hint`].
///
/// ```no_run
/// # async fn run(store: std::sync::Arc<dyn oriole_store::store::Store>) {
/// use oriole_catalog::prelude::*;
/// use std::sync::Arc;
/// let me = Member { name: "entry-1".into(), domain: "gela".into() };
/// let follower =
///     ConfigFollower::spawn(FollowerConfig::default(), me, store, Arc::new(NoPeers));
/// let catalog = follower.ready().await;
/// # }
/// ```
#[derive(Clone)]
pub struct ConfigFollower {
    shared: Arc<Shared>,
    orders: mpsc::Sender<Event>,
    _stop: Arc<DropGuard>,
}

/// What the task and the handles share.
struct Shared {
    opened_at: Instant,
    stale_after: Duration,
    state: Mutex<State>,
    catalog: watch::Sender<Option<Arc<Catalog>>>,
    events: broadcast::Sender<ConfigEvent>,
}

#[derive(Default)]
struct State {
    snapshot: Arc<Snapshot>,
    earlier: VecDeque<Arc<Snapshot>>,
    /// Encoded contents by the revision they start from.
    bundles: BTreeMap<Revision, Bytes>,
    confirmed_at: Option<Duration>,
    relay: bool,
    source: Option<ConfigSource>,
    refusal: Option<String>,
    said_stale: bool,
}

impl ConfigFollower {
    /// Starts the task. Without members it watches the store itself.
    #[must_use]
    pub fn spawn(
        cfg: FollowerConfig,
        me: Member,
        store: Arc<dyn Store>,
        peers: Arc<dyn ConfigPeer>,
    ) -> Self {
        Self::spawn_among(cfg, me, Vec::new(), store, peers)
    }

    /// Starts the task in a fleet that is known already.
    #[must_use]
    pub fn spawn_among(
        cfg: FollowerConfig,
        me: Member,
        members: Vec<Member>,
        store: Arc<dyn Store>,
        peers: Arc<dyn ConfigPeer>,
    ) -> Self {
        let shared = Arc::new(Shared {
            opened_at: Instant::now(),
            stale_after: cfg.spread.stale_after,
            state: Mutex::default(),
            catalog: watch::Sender::new(None),
            events: broadcast::Sender::new(KEPT_EVENTS),
        });
        let (orders, rx) = mpsc::channel(QUEUED_ORDERS);
        let stop = CancellationToken::new();
        let seed = cfg.seed.unwrap_or_else(rand::random);
        let task = Task {
            machine: SpreadMachine::new(cfg.spread, me),
            rng: StdRng::seed_from_u64(seed),
            shared: Arc::clone(&shared),
            store,
            peers,
            seen: Seen::default(),
            whole_wanted: false,
            calls: FuturesUnordered::new(),
            cfg,
        };
        let running = task.run(members, rx);
        let stopped = stop.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = stopped.cancelled() => {}
                () = running => {}
            }
        });
        Self {
            shared,
            orders,
            _stop: Arc::new(stop.drop_guard()),
        }
    }

    /// The catalog in force; `None` while the process must not serve.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Catalog>> {
        self.shared.catalog.borrow().clone()
    }

    /// The catalog in force as it changes.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<Catalog>>> {
        self.shared.catalog.subscribe()
    }

    /// Waits for the first configuration.
    pub async fn ready(&self) -> Arc<Catalog> {
        let mut catalog = self.subscribe();
        loop {
            if let Some(catalog) = catalog.borrow_and_update().clone() {
                return catalog;
            }
            // The sender lives in `self`.
            let _ = catalog.changed().await;
        }
    }

    /// Things worth a line in the log, as they happen.
    #[must_use]
    pub fn events(&self) -> broadcast::Receiver<ConfigEvent> {
        self.shared.events.subscribe()
    }

    /// Tells who belongs to the fleet; call it whenever the VM list changes.
    pub fn set_members(&self, members: Vec<Member>) {
        self.order(Event::Members(members));
    }

    /// Tells which revision a peer showed in any message. Cheap unless it is newer.
    pub fn hint(&self, revision: Revision, peer: &VmName) {
        if revision > self.revision() {
            let peer = peer.clone();
            self.order(Event::Hint { revision, peer });
        }
    }

    /// Revision in force; zero while there is none. Put it on messages to peers.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.shared.state().snapshot.revision()
    }

    /// State of the configuration.
    #[must_use]
    pub fn status(&self) -> ConfigStatus {
        self.shared.status()
    }

    /// Answers a peer that holds a revision and waits for a newer one.
    pub async fn serve(&self, have: Revision, wait: Duration) -> PeerAnswer {
        let deadline = Instant::now() + wait;
        let mut catalog = self.subscribe();
        loop {
            catalog.mark_unchanged();
            if self.revision() > have || wait.is_zero() {
                break;
            }
            if !matches!(timeout_at(deadline, catalog.changed()).await, Ok(Ok(()))) {
                break;
            }
        }
        self.shared.answer(have)
    }

    /// A full queue means that the task will look around soon anyway.
    fn order(&self, event: Event) {
        let _ = self.orders.try_send(event);
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Duration {
        self.opened_at.elapsed()
    }

    fn status(&self) -> ConfigStatus {
        let now = self.now();
        let state = self.state();
        let confirmed_age = state.age(now);
        ConfigStatus {
            revision: state.snapshot.revision(),
            confirmed_age,
            stale: confirmed_age.unwrap_or(now) > self.stale_after,
            relay: state.relay,
            source: state.source,
            refusal: state.refusal.clone(),
        }
    }

    fn answer(&self, have: Revision) -> PeerAnswer {
        let now = self.now();
        let mut state = self.state();
        let revision = state.snapshot.revision();
        PeerAnswer {
            revision,
            confirmed_age: state.age(now),
            bundle: (revision > have).then(|| state.bundle(have)).flatten(),
        }
    }
}

impl State {
    fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|t| now.saturating_sub(t))
    }

    fn bundle(&mut self, have: Revision) -> Option<Bytes> {
        if let Some(bytes) = self.bundles.get(&have) {
            return Some(bytes.clone());
        }
        let known = self.earlier.iter().find(|s| s.revision() == have);
        let delta = known.and_then(|old| Delta::between(old, &self.snapshot));
        let contents = match delta {
            Some(delta) => Contents::Changes(delta),
            None => Contents::Whole(self.snapshot.bundle()),
        };
        let bytes = contents.encode().ok()?;
        self.bundles.insert(have, bytes.clone());
        Some(bytes)
    }

    fn install(&mut self, snapshot: Snapshot, source: ConfigSource) {
        let before = std::mem::replace(&mut self.snapshot, Arc::new(snapshot));
        self.earlier.push_front(before);
        self.earlier.truncate(KEPT_REVISIONS);
        self.bundles.clear();
        self.source = Some(source);
        self.refusal = None;
    }
}

/// What the store held when it was last read; the watch goes on from there.
#[derive(Default)]
struct Seen {
    revision: Revision,
    version: StoreVersion,
}

/// The running task.
struct Task {
    cfg: FollowerConfig,
    machine: SpreadMachine,
    rng: StdRng,
    shared: Arc<Shared>,
    store: Arc<dyn Store>,
    peers: Arc<dyn ConfigPeer>,
    seen: Seen,
    /// Whether the last changes of a peer could not be applied.
    whole_wanted: bool,
    calls: FuturesUnordered<BoxFuture<'static, CallEnd>>,
}

impl Task {
    async fn run(mut self, members: Vec<Member>, mut orders: mpsc::Receiver<Event>) {
        let mut event = Event::Members(members);
        loop {
            let now = self.shared.now();
            let actions = self.machine.handle(event, now, &mut self.rng);
            for action in actions {
                self.begin(action);
            }
            self.publish(now);
            let wake_at = self.shared.opened_at + self.machine.wake_at(now);
            event = tokio::select! {
                biased;
                Some(end) = self.calls.next(), if !self.calls.is_empty() => self.ended(end),
                order = orders.recv() => match order {
                    Some(order) => order,
                    None => return,
                },
                () = sleep_until(wake_at) => Event::Tick,
            };
        }
    }

    fn begin(&mut self, action: Action) {
        let held = Arc::clone(&self.shared.state().snapshot);
        let call: BoxFuture<'static, CallEnd> = match action {
            Action::ReadStore { timeout } => {
                let store = Arc::clone(&self.store);
                Box::pin(ask_store(store, held, StoreCall::Read, timeout))
            }
            Action::WatchStore { wait, timeout } => {
                let after = self.seen.version;
                let store = Arc::clone(&self.store);
                let call = StoreCall::Watch { after, wait };
                Box::pin(ask_store(store, held, call, wait + timeout))
            }
            Action::AskPeer { peer, reason, wait } => {
                let peers = Arc::clone(&self.peers);
                let question = Question {
                    peer,
                    reason,
                    wait,
                    longest: wait + self.cfg.spread.peer_timeout,
                    whole: self.whole_wanted,
                };
                Box::pin(ask_peer(peers, held, question))
            }
        };
        self.calls.push(call);
    }

    fn ended(&mut self, end: CallEnd) -> Event {
        match end {
            CallEnd::Store(end) => {
                let revision = self.store_ended(end);
                let held = self.held();
                Event::StoreEnded { revision, held }
            }
            CallEnd::Peer { peer, reason, end } => {
                let answer = self.peer_ended(end);
                let held = self.held();
                Event::PeerEnded {
                    peer,
                    reason,
                    answer,
                    held,
                }
            }
        }
    }

    fn held(&self) -> Revision {
        self.shared.state().snapshot.revision()
    }

    fn store_ended(&mut self, end: Result<StoreSays, CallError>) -> Option<Revision> {
        let says = self.usable(end, ConfigSource::Store)?;
        if let StoreSays::Root {
            revision,
            version,
            newer,
        } = says
        {
            self.seen = Seen { revision, version };
            if let Some(snapshot) = newer {
                self.offer(snapshot, ConfigSource::Store);
            }
        }
        let stored = self.seen.revision;
        let held = self.held();
        if stored < held {
            counter!("oriole_config_refused_total", "reason" => "store_reverted").increment(1);
            self.say(ConfigEvent::StoreReverted { stored, held });
        }
        Some(stored)
    }

    fn peer_ended(
        &mut self,
        end: Result<(PeerSays, Option<Snapshot>), CallError>,
    ) -> Option<PeerSays> {
        if let Err(CallError::Unusable(_)) = end {
            self.whole_wanted = true;
        }
        let (says, snapshot) = self.usable(end, ConfigSource::Peer)?;
        self.whole_wanted = false;
        if let Some(snapshot) = snapshot {
            self.offer(snapshot, ConfigSource::Peer);
        }
        Some(says)
    }

    fn usable<T>(&self, end: Result<T, CallError>, source: ConfigSource) -> Option<T> {
        match end {
            Ok(value) => Some(value),
            Err(CallError::Unanswered) => {
                counter!("oriole_config_calls_failed_total", "reason" => source.as_str())
                    .increment(1);
                None
            }
            Err(CallError::Unusable(e)) => {
                self.refuse(&e, source);
                None
            }
        }
    }

    fn refuse(&self, e: &SnapshotError, source: ConfigSource) {
        counter!("oriole_config_refused_total", "reason" => e.reason()).increment(1);
        let reason = e.to_string();
        self.shared.state().refusal = Some(reason.clone());
        self.say(ConfigEvent::Refused { source, reason });
    }

    /// Installs a snapshot if the rule allows it.
    fn offer(&self, snapshot: Snapshot, source: ConfigSource) {
        let revision = snapshot.revision();
        if !self.cfg.rule.installs(self.held(), revision) {
            counter!("oriole_config_refused_total", "reason" => "not_newer").increment(1);
            return;
        }
        let catalog = Arc::clone(snapshot.catalog());
        self.shared.state().install(snapshot, source);
        self.shared.catalog.send_replace(Some(catalog));
        counter!("oriole_config_installs_total", "reason" => source.as_str()).increment(1);
        self.say(ConfigEvent::Installed { revision, source });
    }

    /// Publishes what the machine knows, and says when confirmation stays out or comes back.
    fn publish(&self, now: Duration) {
        let mut state = self.shared.state();
        state.confirmed_at = self.machine.confirmed_at();
        state.relay = self.machine.is_relay();
        let revision = state.snapshot.revision();
        let age = state.age(now);
        let stale = age.unwrap_or(now) > self.shared.stale_after;
        let changed = stale != state.said_stale;
        state.said_stale = stale;
        drop(state);
        gauge!("oriole_config_revision").set(revision.0 as f64);
        gauge!("oriole_config_age_seconds").set(age.unwrap_or(now).as_secs_f64());
        match (changed, stale) {
            (true, true) => self.say(ConfigEvent::Stale { age }),
            (true, false) => self.say(ConfigEvent::Confirmed { revision }),
            (false, _) => {}
        }
    }

    /// Nobody may listen.
    fn say(&self, event: ConfigEvent) {
        let _ = self.shared.events.send(event);
    }
}
