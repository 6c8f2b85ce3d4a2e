//! How one process asks another for the configuration.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use oriole_types::ids::{Revision, VmName};

/// What a process answers when it is asked.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerAnswer {
    /// Revision it holds; zero if none.
    pub revision: Revision,
    /// Time since that revision was last confirmed by the store, directly or through others.
    pub confirmed_age: Option<Duration>,
    /// What the asker lacks, if the revision is above the one it has. At most a few times the size
    /// of the changed parts if the asker's revision is recent, else the whole catalog.
    pub bundle: Option<Bytes>,
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
