//! The calls of a follower to the store and to peers. Each completes within a time limit.

use std::sync::Arc;
use std::time::Duration;

use oriole_store::prelude::*;
use oriole_types::prelude::*;
use tokio::time::timeout;

use super::machine::{PeerState, QueryReason};
use super::peer::{ConfigPeer, Contents, PeerAnswer};
use crate::stored::{ROOT_KEY, Root, Snapshot, SnapshotError, read_parts};

/// Outcome of a call.
pub(super) enum CallOutcome {
    /// Outcome of a call to the store.
    Store(Result<StoreState, CallError>),
    /// Outcome of a query to a peer.
    Peer {
        peer: VmName,
        reason: QueryReason,
        result: Result<(PeerState, Option<Snapshot>), CallError>,
    },
}

/// Answer of the store.
pub(super) enum StoreState {
    /// The root has not changed since the version that the watch started from.
    Unchanged,
    /// A root. If the store holds none, the revision is zero.
    Root {
        revision: Revision,
        version: StoreVersion,
        /// Snapshot of the revision if it is newer than the one held.
        newer: Option<Snapshot>,
    },
}

/// Why a call failed.
#[derive(Debug)]
pub(super) enum CallError {
    /// The call failed or did not complete in time.
    NoAnswer,
    /// The answer cannot be used.
    Unusable(SnapshotError),
}

impl From<SnapshotError> for CallError {
    fn from(e: SnapshotError) -> Self {
        Self::Unusable(e)
    }
}

/// Kind of a call to the store.
#[derive(Clone, Copy)]
pub(super) enum StoreCall {
    /// Reads the root.
    Read,
    /// Waits up to `wait` for a root with a later version than `after`.
    Watch { after: StoreVersion, wait: Duration },
}

pub(super) async fn query_store(
    store: Arc<dyn Store>,
    held: Arc<Snapshot>,
    call: StoreCall,
    time_limit: Duration,
) -> CallOutcome {
    let result = timeout(time_limit, read_newer(&*store, &held, call)).await;
    CallOutcome::Store(result.unwrap_or(Err(CallError::NoAnswer)))
}

async fn read_newer(
    store: &dyn Store,
    held: &Snapshot,
    call: StoreCall,
) -> Result<StoreState, CallError> {
    let stored = match call {
        StoreCall::Read => store.get(ROOT_KEY).await,
        StoreCall::Watch { after, wait } => store.watch(ROOT_KEY, after, wait).await,
    };
    let stored = stored.map_err(|_| CallError::NoAnswer)?;
    match (stored, call) {
        (None, StoreCall::Watch { .. }) => Ok(StoreState::Unchanged),
        (None, StoreCall::Read) => Ok(empty_store(StoreVersion::default())),
        // The root was deleted.
        (Some(stored), _) if stored.value.is_empty() => Ok(empty_store(stored.version)),
        (Some(stored), _) => read_newer_parts(store, held, &stored).await,
    }
}

fn empty_store(version: StoreVersion) -> StoreState {
    StoreState::Root {
        revision: Revision::default(),
        version,
        newer: None,
    }
}

async fn read_newer_parts(
    store: &dyn Store,
    held: &Snapshot,
    stored: &Versioned,
) -> Result<StoreState, CallError> {
    let root = Root::decode(&stored.value);
    let root = root.map_err(|e| SnapshotError::Undecodable(e.to_string()))?;
    let revision = root.revision;
    let version = stored.version;
    let mut newer = None;
    if revision > held.revision() {
        let parts = read_parts(store, held.missing_parts(&root)).await;
        let parts = parts.map_err(|_| CallError::NoAnswer)?;
        newer = Some(held.advance(Arc::new(root), parts)?);
    }
    Ok(StoreState::Root {
        revision,
        version,
        newer,
    })
}

/// A query to a peer.
pub(super) struct PeerQuery {
    pub(super) peer: VmName,
    pub(super) reason: QueryReason,
    pub(super) wait: Duration,
    /// Maximum time for the answer, including the wait.
    pub(super) time_limit: Duration,
    /// Whether to request the complete catalog because a delta could not be applied.
    pub(super) whole: bool,
}

pub(super) async fn query_peer(
    peers: Arc<dyn ConfigPeer>,
    held: Arc<Snapshot>,
    query: PeerQuery,
) -> CallOutcome {
    let PeerQuery { peer, reason, .. } = query;
    let have = match reason {
        // Above every revision, so that the answer has no contents.
        QueryReason::Probe => Revision(u64::MAX),
        _ if query.whole => Revision::default(),
        _ => held.revision(),
    };
    let answer = peers.fetch(&peer, have, query.wait);
    let answer = timeout(query.time_limit, answer).await;
    let result = match answer {
        Ok(Ok(answer)) => decode_answer(&held, answer),
        _ => Err(CallError::NoAnswer),
    };
    CallOutcome::Peer {
        peer,
        reason,
        result,
    }
}

fn decode_answer(
    held: &Snapshot,
    answer: PeerAnswer,
) -> Result<(PeerState, Option<Snapshot>), CallError> {
    let state = PeerState {
        revision: answer.revision,
        confirmed_age: answer.confirmed_age,
    };
    let Some(bytes) = answer.contents else {
        return Ok((state, None));
    };
    let newer = match Contents::decode(&bytes)? {
        Contents::Whole(bundle) => held.advance(bundle.root, bundle.parts)?,
        Contents::Changes(delta) => delta.apply(held)?,
    };
    let state = PeerState {
        revision: newer.revision(),
        ..state
    };
    Ok((state, Some(newer)))
}
