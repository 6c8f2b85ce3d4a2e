//! Errors of connections and calls.

use oriole_types::error::{Peer, StepError};

/// Why a connection or call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The peer could not be reached in time.
    #[error("cannot reach the peer: {0}")]
    Unreachable(String),
    /// The connection has ended.
    #[error("the connection is closed")]
    Closed,
    /// The peer did not prove that it knows a fleet secret.
    #[error("the peer does not prove a fleet secret")]
    Unauthenticated,
    /// A frame exceeds the size limit.
    #[error("a frame is larger than {max} bytes")]
    Oversized {
        /// The size limit, in bytes.
        max: usize,
    },
    /// A frame cannot be encoded or decoded, or is not allowed in the current state.
    #[error("malformed frame: {0}")]
    Malformed(&'static str),
    /// The peer sent more chunks than it had credit for, or granted more credit than allowed.
    #[error("the peer exceeded its credit")]
    CreditExceeded,
    /// The peer sent a part of a frame and did not complete it in time.
    #[error("the peer did not complete a frame in time")]
    SlowSender,
    /// Unfinished frames of all peers take too much memory.
    #[error("too many bytes of unfinished frames")]
    UnfinishedFrames,
    /// All unauthenticated connections were taken, and this was the oldest.
    #[error("too many connections without a handshake")]
    TooManyUnauthenticated,
    /// All connections are taken.
    #[error("too many connections")]
    TooManyConnections,
    /// The peer did not read sent frames in time.
    #[error("the peer did not read sent frames in time")]
    SlowReader,
    /// The peer already has the maximum number of connections.
    #[error("the peer has too many connections")]
    TooManyPeerConnections,
    /// The peer answered the call with an error.
    #[error("the peer refused the call: {0}")]
    CallRefused(String),
    /// There was no answer in time.
    #[error("no answer in time")]
    Timeout,
}

impl WireError {
    /// The label of the error in metrics.
    #[must_use]
    pub fn reason(&self) -> &'static str {
        match self {
            Self::Unreachable(_) => "unreachable",
            Self::Closed => "closed",
            Self::Unauthenticated => "unauthenticated",
            Self::Oversized { .. } => "oversized",
            Self::Malformed(_) => "malformed",
            Self::CreditExceeded => "credit_exceeded",
            Self::SlowSender => "slow_sender",
            Self::UnfinishedFrames => "unfinished_frames",
            Self::TooManyUnauthenticated => "too_many_unauthenticated",
            Self::TooManyConnections => "too_many_connections",
            Self::SlowReader => "slow_reader",
            Self::TooManyPeerConnections => "peer_connections",
            Self::CallRefused(_) => "call_refused",
            Self::Timeout => "timeout",
        }
    }

    /// Wraps the error with the step that failed and the peer.
    #[must_use]
    pub fn at(self, step: &'static str, peer: Peer) -> StepError<Self> {
        StepError::new(step, peer, self)
    }
}
