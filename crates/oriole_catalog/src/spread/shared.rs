//! State shared by the task of a follower and its handles.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use oriole_types::prelude::*;
use tokio::sync::{broadcast, watch};
use tokio::time::Instant;

use super::peer::{Contents, PeerAnswer};
use super::status::{ConfigEvent, ConfigSource, ConfigStatus};
use crate::stored::{Delta, Snapshot};

/// Number of earlier revisions kept to send deltas to peers that hold one of them.
const MAX_EARLIER_REVISIONS: usize = 8;
/// Number of events buffered for slow receivers.
const EVENT_CHANNEL_CAPACITY: usize = 64;

/// State shared by the task and the handles.
pub(super) struct Shared {
    pub(super) started_at: Instant,
    pub(super) stale_after: Duration,
    pub(super) state: Mutex<State>,
    pub(super) catalog: watch::Sender<Option<Arc<Catalog>>>,
    pub(super) events: broadcast::Sender<ConfigEvent>,
}

#[derive(Default)]
pub(super) struct State {
    pub(super) snapshot: Arc<Snapshot>,
    /// Earlier snapshots, newest first.
    pub(super) earlier: VecDeque<Arc<Snapshot>>,
    /// Encoded answers, by the revision of the requester.
    pub(super) encoded_by_base: BTreeMap<Revision, Bytes>,
    pub(super) confirmed_at: Option<Duration>,
    pub(super) relay: bool,
    pub(super) source: Option<ConfigSource>,
    pub(super) refusal: Option<String>,
    /// Whether the last staleness event was [`ConfigEvent::Stale`].
    pub(super) stale_reported: bool,
}

impl Shared {
    pub(super) fn new(stale_after: Duration) -> Self {
        Self {
            started_at: Instant::now(),
            stale_after,
            state: Mutex::default(),
            catalog: watch::Sender::new(None),
            events: broadcast::Sender::new(EVENT_CHANNEL_CAPACITY),
        }
    }

    pub(super) fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    pub(super) fn status(&self) -> ConfigStatus {
        let now = self.now();
        let state = self.state();
        let confirmed_age = state.confirmed_age(now);
        ConfigStatus {
            revision: state.snapshot.revision(),
            confirmed_age,
            stale: confirmed_age.unwrap_or(now) > self.stale_after,
            relay: state.relay,
            source: state.source,
            refusal: state.refusal.clone(),
        }
    }

    pub(super) fn answer(&self, have: Revision) -> PeerAnswer {
        let now = self.now();
        let mut state = self.state();
        let revision = state.snapshot.revision();
        PeerAnswer {
            revision,
            confirmed_age: state.confirmed_age(now),
            contents: (revision > have)
                .then(|| state.encoded_contents(have))
                .flatten(),
        }
    }
}

impl State {
    pub(super) fn confirmed_age(&self, now: Duration) -> Option<Duration> {
        self.confirmed_at.map(|t| now.saturating_sub(t))
    }

    pub(super) fn encoded_contents(&mut self, have: Revision) -> Option<Bytes> {
        if let Some(bytes) = self.encoded_by_base.get(&have) {
            return Some(bytes.clone());
        }
        let known = self.earlier.iter().find(|s| s.revision() == have);
        let delta = known.and_then(|old| Delta::between(old, &self.snapshot));
        let contents = match delta {
            Some(delta) => Contents::Changes(delta),
            None => Contents::Whole(self.snapshot.bundle()),
        };
        let bytes = contents.encode().ok()?;
        self.encoded_by_base.insert(have, bytes.clone());
        Some(bytes)
    }

    pub(super) fn install(&mut self, snapshot: Snapshot, source: ConfigSource) {
        let before = std::mem::replace(&mut self.snapshot, Arc::new(snapshot));
        // For a requester without a configuration the complete catalog is smaller than a delta.
        if before.revision() > Revision::default() {
            self.earlier.push_front(before);
        }
        self.earlier.truncate(MAX_EARLIER_REVISIONS);
        self.encoded_by_base.clear();
        self.source = Some(source);
        self.refusal = None;
    }
}
