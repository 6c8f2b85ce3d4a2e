//! How one process asks another for the configuration.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use oriole_types::ids::{Revision, VmName};

use crate::stored::{Bundle, Delta, SnapshotError};

/// What a process answers when it is asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerAnswer {
    /// Revision it holds; zero if none.
    pub revision: Revision,
    /// Time since that revision was last confirmed by the store, directly or through others.
    pub confirmed_age: Option<Duration>,
    /// What the asker lacks, if the revision is above the one it has: the changed items if the
    /// asker's revision is recent, else the whole catalog.
    pub contents: Option<Bytes>,
}

/// What is in the bytes of an answer.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Contents {
    Whole(Bundle),
    Changes(Delta),
}

/// First byte of a whole revision.
const WHOLE: u8 = b'W';
/// First byte of changes.
const CHANGES: u8 = b'C';

impl Contents {
    pub(super) fn encode(&self) -> Result<Bytes, serde_json::Error> {
        let (kind, bytes) = match self {
            Self::Whole(bundle) => (WHOLE, bundle.encode()?),
            Self::Changes(delta) => (CHANGES, serde_json::to_vec(delta)?.into()),
        };
        Ok([&[kind], &*bytes].concat().into())
    }

    pub(super) fn decode(bytes: &[u8]) -> Result<Self, SnapshotError> {
        let undecodable = |e: String| SnapshotError::Undecodable(e);
        match bytes.split_first() {
            Some((&WHOLE, bytes)) => Bundle::decode(bytes).map(Self::Whole),
            Some((&CHANGES, bytes)) => serde_json::from_slice(bytes)
                .map(Self::Changes)
                .map_err(|e| undecodable(e.to_string())),
            _ => Err(undecodable("neither whole nor changes".into())),
        }
    }
}

/// A peer gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct PeerError(pub String);

/// The way to other processes. The other side answers with
/// [`ConfigFollower::serve`](super::follower::ConfigFollower::serve).
#[async_trait]
pub trait ConfigPeer: Send + Sync + 'static {
    /// Asks a peer for what is above `have`, waiting for it at most for `wait`.
    async fn fetch(
        &self,
        peer: &VmName,
        have: Revision,
        wait: Duration,
    ) -> Result<PeerAnswer, PeerError>;
}

/// No way to any peer; every process then watches the store itself.
#[derive(Clone, Copy, Debug, Default)]
pub struct NoPeers;

#[async_trait]
impl ConfigPeer for NoPeers {
    async fn fetch(
        &self,
        _peer: &VmName,
        _have: Revision,
        _wait: Duration,
    ) -> Result<PeerAnswer, PeerError> {
        Err(PeerError("no way to peers".into()))
    }
}
