//! The handle of the task that keeps a process's configuration up to date.

use std::sync::Arc;
use std::time::Duration;

use oriole_store::prelude::*;
use oriole_types::prelude::*;
use tokio::sync::{broadcast, mpsc, watch};
use tokio::time::{Instant, timeout_at};
use tokio_util::sync::{CancellationToken, DropGuard};

use super::config::FollowerConfig;
use super::machine::Event;
use super::members::Member;
use super::peer::{ConfigPeer, PeerAnswer};
use super::shared::Shared;
use super::status::{ConfigEvent, ConfigStatus};
use super::task::Task;

/// Orders that may wait for the task.
const INPUT_QUEUE_CAPACITY: usize = 256;

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
    inputs: mpsc::Sender<Event>,
    _stop: Arc<DropGuard>,
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
        Self::spawn_with_members(cfg, me, Vec::new(), store, peers)
    }

    /// Starts the task in a fleet that is known already.
    #[must_use]
    pub fn spawn_with_members(
        cfg: FollowerConfig,
        me: Member,
        members: Vec<Member>,
        store: Arc<dyn Store>,
        peers: Arc<dyn ConfigPeer>,
    ) -> Self {
        let shared = Arc::new(Shared::new(cfg.spread.stale_after));
        let (inputs, rx) = mpsc::channel(INPUT_QUEUE_CAPACITY);
        let stop = CancellationToken::new();
        let task = Task::new(cfg, me, Arc::clone(&shared), store, peers);
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
            inputs,
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
        self.send_input(Event::Members(members));
    }

    /// Tells which revision a peer showed in any message. Cheap unless it is newer.
    pub fn hint(&self, revision: Revision, peer: &VmName) {
        if revision > self.revision() {
            let peer = peer.clone();
            self.send_input(Event::Hint { revision, peer });
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
    fn send_input(&self, event: Event) {
        let _ = self.inputs.try_send(event);
    }
}
