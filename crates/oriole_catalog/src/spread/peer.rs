//! Queries for the configuration between processes.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use oriole_types::ids::{Revision, VmName};

use crate::stored::{Bundle, Delta, SnapshotError};

/// Answer of a process to a query for its configuration.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerAnswer {
    /// Revision that the process holds; zero if none.
    pub revision: Revision,
    /// Time since the store last confirmed that revision, directly or through peers; `None` if it
    /// never did.
    pub confirmed_age: Option<Duration>,
    /// Encoded update, if the revision is newer than the requester's: the changed items if the
    /// requester's revision is recent, else the complete catalog.
    pub contents: Option<Bytes>,
}

/// Decoded contents of an answer.
#[derive(Clone, Debug, PartialEq)]
pub(super) enum Contents {
    Whole(Bundle),
    Changes(Delta),
}

/// First byte of an encoded complete revision.
const WHOLE: u8 = b'W';
/// First byte of an encoded delta.
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

/// A peer did not answer; the text says why.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{0}")]
pub struct PeerError(pub String);

/// Sends queries to other processes, which answer with
/// [`ConfigFollower::serve`](super::follower::ConfigFollower::serve).
#[async_trait]
pub trait ConfigPeer: Send + Sync + 'static {
    /// Queries a peer for a newer revision than `have`. The peer waits for one up to `wait`.
    async fn fetch(
        &self,
        peer: &VmName,
        have: Revision,
        wait: Duration,
    ) -> Result<PeerAnswer, PeerError>;
}

/// A [`ConfigPeer`] that reaches no peer, so that every process watches the store itself.
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
        Err(PeerError("peers cannot be reached".into()))
    }
}
