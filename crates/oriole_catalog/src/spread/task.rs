//! The task of a follower: carries out what the machine decides.

use std::sync::Arc;
use std::time::Duration;

use futures::StreamExt as _;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use metrics::{counter, gauge};
use oriole_store::prelude::*;
use oriole_types::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::sync::mpsc;
use tokio::time::sleep_until;

use super::calls::{CallEnd, CallError, Question, StoreCall, StoreSays, ask_peer, ask_store};
use super::config::FollowerConfig;
use super::machine::{Action, Event, PeerSays, SpreadMachine};
use super::members::Member;
use super::peer::ConfigPeer;
use super::shared::Shared;
use super::status::{ConfigEvent, ConfigSource};
use crate::stored::{Snapshot, SnapshotError};

/// What the store held when it was last read; the watch goes on from there.
#[derive(Default)]
struct Seen {
    revision: Revision,
    version: StoreVersion,
}

/// The running task.
pub(super) struct Task {
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
    pub(super) fn new(
        cfg: FollowerConfig,
        me: Member,
        shared: Arc<Shared>,
        store: Arc<dyn Store>,
        peers: Arc<dyn ConfigPeer>,
    ) -> Self {
        let seed = cfg.seed.unwrap_or_else(rand::random);
        Self {
            machine: SpreadMachine::new(cfg.spread, me),
            rng: StdRng::seed_from_u64(seed),
            shared,
            store,
            peers,
            seen: Seen::default(),
            whole_wanted: false,
            calls: FuturesUnordered::new(),
            cfg,
        }
    }

    pub(super) async fn run(mut self, members: Vec<Member>, mut orders: mpsc::Receiver<Event>) {
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
