//! The task of a follower, which makes the calls that the machine decides on.

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

use super::calls::{
    CallError, CallOutcome, PeerQuery, StoreCall, StoreState, query_peer, query_store,
};
use super::config::FollowerConfig;
use super::machine::{Action, Event, PeerState, SpreadMachine};
use super::members::Member;
use super::peer::ConfigPeer;
use super::shared::Shared;
use super::status::{ConfigEvent, ConfigSource};
use crate::stored::{Snapshot, SnapshotError};

/// Revision and version of the root at the last read. The next watch starts from this version.
#[derive(Default)]
struct StoredRoot {
    revision: Revision,
    version: StoreVersion,
}

/// The task of a follower.
pub(super) struct Task {
    cfg: FollowerConfig,
    machine: SpreadMachine,
    rng: StdRng,
    shared: Arc<Shared>,
    store: Arc<dyn Store>,
    peers: Arc<dyn ConfigPeer>,
    stored_root: StoredRoot,
    /// Whether the last answer of a peer could not be used, so that the next query must request the
    /// complete catalog.
    whole_needed: bool,
    calls: FuturesUnordered<BoxFuture<'static, CallOutcome>>,
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
            stored_root: StoredRoot::default(),
            whole_needed: false,
            calls: FuturesUnordered::new(),
            cfg,
        }
    }

    pub(super) async fn run(mut self, members: Vec<Member>, mut inputs: mpsc::Receiver<Event>) {
        let mut event = Event::Members(members);
        loop {
            let now = self.shared.now();
            let actions = self.machine.handle(event, now, &mut self.rng);
            for action in actions {
                self.start_call(action);
            }
            self.publish(now);
            let wake_at = self.shared.started_at + self.machine.wake_at(now);
            event = tokio::select! {
                biased;
                Some(outcome) = self.calls.next(), if !self.calls.is_empty() => {
                    self.finish_call(outcome)
                }
                input = inputs.recv() => match input {
                    Some(input) => input,
                    None => return,
                },
                () = sleep_until(wake_at) => Event::Tick,
            };
        }
    }

    fn start_call(&mut self, action: Action) {
        let held = Arc::clone(&self.shared.state().snapshot);
        let call: BoxFuture<'static, CallOutcome> = match action {
            Action::ReadStore { timeout } => {
                let store = Arc::clone(&self.store);
                Box::pin(query_store(store, held, StoreCall::Read, timeout))
            }
            Action::WatchStore { wait, timeout } => {
                let after = self.stored_root.version;
                let store = Arc::clone(&self.store);
                let call = StoreCall::Watch { after, wait };
                Box::pin(query_store(store, held, call, wait + timeout))
            }
            Action::QueryPeer { peer, reason, wait } => {
                let peers = Arc::clone(&self.peers);
                let query = PeerQuery {
                    peer,
                    reason,
                    wait,
                    time_limit: wait + self.cfg.spread.peer_timeout,
                    whole: self.whole_needed,
                };
                Box::pin(query_peer(peers, held, query))
            }
        };
        self.calls.push(call);
    }

    fn finish_call(&mut self, outcome: CallOutcome) -> Event {
        match outcome {
            CallOutcome::Store(result) => {
                let revision = self.on_store_result(result);
                let held = self.held();
                Event::StoreCallFinished { revision, held }
            }
            CallOutcome::Peer {
                peer,
                reason,
                result,
            } => {
                let answer = self.on_peer_result(result);
                let held = self.held();
                Event::PeerCallFinished {
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

    fn on_store_result(&mut self, result: Result<StoreState, CallError>) -> Option<Revision> {
        let state = self.value_or_report(result, ConfigSource::Store)?;
        if let StoreState::Root {
            revision,
            version,
            newer,
        } = state
        {
            self.stored_root = StoredRoot { revision, version };
            if let Some(snapshot) = newer {
                self.install_if_allowed(snapshot, ConfigSource::Store);
            }
        }
        let stored = self.stored_root.revision;
        let held = self.held();
        if stored < held {
            counter!("oriole_config_refused_total", "reason" => "store_reverted").increment(1);
            self.emit(ConfigEvent::StoreReverted { stored, held });
        }
        Some(stored)
    }

    fn on_peer_result(
        &mut self,
        result: Result<(PeerState, Option<Snapshot>), CallError>,
    ) -> Option<PeerState> {
        if let Err(CallError::Unusable(_)) = result {
            self.whole_needed = true;
        }
        let (state, snapshot) = self.value_or_report(result, ConfigSource::Peer)?;
        self.whole_needed = false;
        if let Some(snapshot) = snapshot {
            self.install_if_allowed(snapshot, ConfigSource::Peer);
        }
        Some(state)
    }

    fn value_or_report<T>(&self, result: Result<T, CallError>, source: ConfigSource) -> Option<T> {
        match result {
            Ok(value) => Some(value),
            Err(CallError::NoAnswer) => {
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
        self.emit(ConfigEvent::Refused { source, reason });
    }

    /// Installs a snapshot if the install rule allows it.
    fn install_if_allowed(&self, snapshot: Snapshot, source: ConfigSource) {
        let revision = snapshot.revision();
        if !self.cfg.install_rule.should_install(self.held(), revision) {
            counter!("oriole_config_refused_total", "reason" => "not_newer").increment(1);
            return;
        }
        let catalog = Arc::clone(snapshot.catalog());
        self.shared.state().install(snapshot, source);
        self.shared.catalog.send_replace(Some(catalog));
        counter!("oriole_config_installs_total", "reason" => source.as_str()).increment(1);
        self.emit(ConfigEvent::Installed { revision, source });
    }

    /// Publishes the state of the machine, and emits an event when the configuration becomes stale or
    /// is confirmed again.
    fn publish(&self, now: Duration) {
        let mut state = self.shared.state();
        state.confirmed_at = self.machine.confirmed_at();
        state.relay = self.machine.is_relay();
        let revision = state.snapshot.revision();
        let age = state.confirmed_age(now);
        let stale = age.unwrap_or(now) > self.shared.stale_after;
        let changed = stale != state.stale_reported;
        state.stale_reported = stale;
        drop(state);
        gauge!("oriole_config_revision").set(revision.0 as f64);
        gauge!("oriole_config_age_seconds").set(age.unwrap_or(now).as_secs_f64());
        match (changed, stale) {
            (true, true) => self.emit(ConfigEvent::Stale { age }),
            (true, false) => self.emit(ConfigEvent::Confirmed { revision }),
            (false, _) => {}
        }
    }

    /// Emits an event. It is dropped if there are no receivers.
    fn emit(&self, event: ConfigEvent) {
        let _ = self.shared.events.send(event);
    }
}
