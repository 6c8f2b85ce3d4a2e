//! The calls that a follower makes, each a future that ends in bounded time.

use std::sync::Arc;
use std::time::Duration;

use oriole_store::prelude::*;
use oriole_types::prelude::*;
use tokio::time::timeout;

use super::machine::{AskReason, PeerSays};
use super::peer::{ConfigPeer, Contents, PeerAnswer};
use crate::stored::{ROOT_KEY, Root, Snapshot, SnapshotError, read_parts};

/// How a call ended.
pub(super) enum CallEnd {
    /// A call to the store.
    Store(Result<StoreSays, CallError>),
    /// A question to a peer.
    Peer {
        peer: VmName,
        reason: AskReason,
        end: Result<(PeerSays, Option<Snapshot>), CallError>,
    },
}

/// What the store holds.
pub(super) enum StoreSays {
    /// What it held when it was last asked.
    Unchanged,
    /// A root, or nothing, which has revision zero.
    Root {
        revision: Revision,
        version: StoreVersion,
        /// The revision as a whole, if it is newer than the one held.
        newer: Option<Snapshot>,
    },
}

/// Why a call gave nothing.
#[derive(Debug)]
pub(super) enum CallError {
    /// No answer.
    Unanswered,
    /// An answer that cannot be used.
    Unusable(SnapshotError),
}

impl From<SnapshotError> for CallError {
    fn from(e: SnapshotError) -> Self {
        Self::Unusable(e)
    }
}

/// Which call to the store.
#[derive(Clone, Copy)]
pub(super) enum StoreCall {
    Read,
    Watch { after: StoreVersion, wait: Duration },
}

pub(super) async fn ask_store(
    store: Arc<dyn Store>,
    held: Arc<Snapshot>,
    call: StoreCall,
    longest: Duration,
) -> CallEnd {
    let end = timeout(longest, read_newer(&*store, &held, call)).await;
    CallEnd::Store(end.unwrap_or(Err(CallError::Unanswered)))
}

async fn read_newer(
    store: &dyn Store,
    held: &Snapshot,
    call: StoreCall,
) -> Result<StoreSays, CallError> {
    let stored = match call {
        StoreCall::Read => store.get(ROOT_KEY).await,
        StoreCall::Watch { after, wait } => store.watch(ROOT_KEY, after, wait).await,
    };
    let stored = stored.map_err(|_| CallError::Unanswered)?;
    match (stored, call) {
        (None, StoreCall::Watch { .. }) => Ok(StoreSays::Unchanged),
        (None, StoreCall::Read) => Ok(nothing(StoreVersion::default())),
        // The root was removed.
        (Some(stored), _) if stored.value.is_empty() => Ok(nothing(stored.version)),
        (Some(stored), _) => read_parts_of(store, held, &stored).await,
    }
}

fn nothing(version: StoreVersion) -> StoreSays {
    StoreSays::Root {
        revision: Revision::default(),
        version,
        newer: None,
    }
}

async fn read_parts_of(
    store: &dyn Store,
    held: &Snapshot,
    stored: &Versioned,
) -> Result<StoreSays, CallError> {
    let root = Root::decode(&stored.value);
    let root = root.map_err(|e| SnapshotError::Undecodable(e.to_string()))?;
    let revision = root.revision;
    let version = stored.version;
    let mut newer = None;
    if revision > held.revision() {
        let parts = read_parts(store, held.missing(&root)).await;
        let parts = parts.map_err(|_| CallError::Unanswered)?;
        newer = Some(held.advance(Arc::new(root), parts)?);
    }
    Ok(StoreSays::Root {
        revision,
        version,
        newer,
    })
}

/// A question to a peer.
pub(super) struct Question {
    pub(super) peer: VmName,
    pub(super) reason: AskReason,
    pub(super) wait: Duration,
    /// Longest time for the answer.
    pub(super) longest: Duration,
    /// Whether the whole catalog is wanted, because changes could not be applied.
    pub(super) whole: bool,
}

pub(super) async fn ask_peer(
    peers: Arc<dyn ConfigPeer>,
    held: Arc<Snapshot>,
    question: Question,
) -> CallEnd {
    let Question { peer, reason, .. } = question;
    let have = match reason {
        // Above every revision, so that the answer is without contents.
        AskReason::Probe => Revision(u64::MAX),
        _ if question.whole => Revision::default(),
        _ => held.revision(),
    };
    let answer = peers.fetch(&peer, have, question.wait);
    let answer = timeout(question.longest, answer).await;
    let end = match answer {
        Ok(Ok(answer)) => take(&held, answer),
        _ => Err(CallError::Unanswered),
    };
    CallEnd::Peer { peer, reason, end }
}

fn take(held: &Snapshot, answer: PeerAnswer) -> Result<(PeerSays, Option<Snapshot>), CallError> {
    let says = PeerSays {
        revision: answer.revision,
        confirmed_age: answer.confirmed_age,
    };
    let Some(bytes) = answer.contents else {
        return Ok((says, None));
    };
    let newer = match Contents::decode(&bytes)? {
        Contents::Whole(bundle) => held.advance(bundle.root, bundle.parts)?,
        Contents::Changes(delta) => delta.apply(held)?,
    };
    let says = PeerSays {
        revision: newer.revision(),
        ..says
    };
    Ok((says, Some(newer)))
}
