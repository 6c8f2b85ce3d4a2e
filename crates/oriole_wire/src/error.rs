//! Why a connection or an exchange ended.

use oriole_types::error::{Peer, StepError};

/// What can go wrong with a connection between processes.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum WireError {
    /// The peer could not be reached, or did not answer in time.
    #[error("cannot reach the peer: {0}")]
    Unreachable(String),
    /// The connection ended.
    #[error("the connection is closed")]
    Closed,
    /// The peer does not hold a secret of this fleet.
    #[error("the peer does not prove a fleet secret")]
    Unauthenticated,
    /// A frame is larger than allowed.
    #[error("a frame is larger than {max} bytes")]
    Oversized {
        /// Largest frame, in bytes.
        max: usize,
    },
    /// A frame cannot be decoded, or is not allowed at this point.
    #[error("malformed frame: {0}")]
    Malformed(&'static str),
    /// The peer sent more than it had credit for.
    #[error("the peer exceeded its credit")]
    CreditExceeded,
    /// The peer began a frame and did not complete it in time.
    #[error("the peer did not complete a frame in time")]
    SlowSender,
    /// The peer did not take what was sent to it in time.
    #[error("the peer does not read in time")]
    SlowReader,
    /// The peer has as many connections as it may have.
    #[error("the peer has too many connections")]
    PeerConnections,
    /// The call was answered with an error.
    #[error("the peer refused the call: {0}")]
    CallRefused(String),
    /// No answer came in time.
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
            Self::SlowReader => "slow_reader",
            Self::PeerConnections => "peer_connections",
            Self::CallRefused(_) => "call_refused",
            Self::Timeout => "timeout",
        }
    }

    /// The error with the step and the peer at which it arose.
    #[must_use]
    pub fn at(self, step: &'static str, peer: Peer) -> StepError<Self> {
        StepError::new(step, peer, self)
    }
}
