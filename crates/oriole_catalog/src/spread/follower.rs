//! The handle of the task that keeps the configuration of a process up to date.

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

/// Capacity of the queue of events from the handles to the task.
const INPUT_QUEUE_CAPACITY: usize = 256;

/// The configuration of a process, kept up to date by a task. Clones share the task, which stops
/// when the last one is dropped.
///
/// Use one per process. The process must not serve requests until [`ConfigFollower::current`]
/// returns a catalog. Answer queries of peers with [`ConfigFollower::serve`], and pass every
/// revision seen in a message of a peer to [`ConfigFollower::hint`].
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
    /// Starts the task without known members. Until [`ConfigFollower::set_members`] names some, the
    /// process watches the store itself.
    #[must_use]
    pub fn spawn(
        cfg: FollowerConfig,
        me: Member,
        store: Arc<dyn Store>,
        peers: Arc<dyn ConfigPeer>,
    ) -> Self {
        Self::spawn_with_members(cfg, me, Vec::new(), store, peers)
    }

    /// Starts the task with the known members of the fleet.
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

    /// Returns the catalog in force; `None` while the process must not serve.
    #[must_use]
    pub fn current(&self) -> Option<Arc<Catalog>> {
        self.shared.catalog.borrow().clone()
    }

    /// Subscribes to changes of the catalog in force.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Option<Arc<Catalog>>> {
        self.shared.catalog.subscribe()
    }

    /// Waits for the first catalog and returns it.
    pub async fn ready(&self) -> Arc<Catalog> {
        let mut catalog = self.subscribe();
        loop {
            if let Some(catalog) = catalog.borrow_and_update().clone() {
                return catalog;
            }
            // This cannot fail: `self` holds the sender.
            let _ = catalog.changed().await;
        }
    }

    /// Subscribes to events that should be logged.
    #[must_use]
    pub fn events(&self) -> broadcast::Receiver<ConfigEvent> {
        self.shared.events.subscribe()
    }

    /// Sets the members of the fleet. Call it whenever the VM list changes.
    pub fn set_members(&self, members: Vec<Member>) {
        self.send_input(Event::Members(members));
    }

    /// Passes on the revision that a message of a peer contained. Cheap unless it is newer.
    pub fn hint(&self, revision: Revision, peer: &VmName) {
        if revision > self.revision() {
            let peer = peer.clone();
            self.send_input(Event::Hint { revision, peer });
        }
    }

    /// Returns the revision in force; zero while there is none. Include it in messages to peers.
    #[must_use]
    pub fn revision(&self) -> Revision {
        self.shared.state().snapshot.revision()
    }

    /// Returns the state of the configuration.
    #[must_use]
    pub fn status(&self) -> ConfigStatus {
        self.shared.status()
    }

    /// Answers a peer that holds revision `have`, after waiting up to `wait` for a newer one.
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

    /// Sends an event to the task. If the queue is full it is dropped: the task wakes up soon anyway.
    fn send_input(&self, event: Event) {
        let _ = self.inputs.try_send(event);
    }
}
