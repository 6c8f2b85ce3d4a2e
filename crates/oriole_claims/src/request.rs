//! Requests to a home and their outcomes.

use std::time::Duration;

use bytes::Bytes;
use oriole_types::digest::Digest;
use oriole_types::ids::{AccountName, EntryName, IdempotencyKey, Incarnation, VmName};
use oriole_types::outcome::{RefusalReason, UnknownReason};

oriole_types::number_type! {
    /// Number of a request at its home, assigned by the driver of the home.
    pub struct CallId
}

oriole_types::domain_type! {
    /// A home: one incarnation of the agent on one VM.
    #[derive(Eq, PartialOrd, Ord, Hash)]
    pub struct HomeRef {
        /// VM of the agent.
        pub vm: VmName,
        /// Incarnation of the agent's process.
        pub incarnation: Incarnation,
    }
}

/// One request under an idempotency key.
#[derive(Clone, Debug, PartialEq)]
pub struct ClaimRequest {
    /// Account that sends the request.
    pub account: AccountName,
    /// Entry that the request is for.
    pub entry: EntryName,
    /// The caller's idempotency key.
    pub key: IdempotencyKey,
    /// Digest of entry name and body.
    pub content: Digest,
    /// Time left until the caller's deadline.
    pub timeout: Duration,
    /// Set for a recall: the incarnation that the partition's owner named as the home of the key. A
    /// recall is answered from that home's records and never makes a claim.
    pub recall: Option<Incarnation>,
}

/// Outcome of a run at the upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// The upstream gave this complete answer.
    Answer(Bytes),
    /// The request has not reached the upstream and never will.
    NotRun(RefusalReason),
    /// The upstream may have run the request.
    Unknown(UnknownReason),
}

/// Outcome of a request at a home.
///
/// `NotRun` concerns this attempt alone: it did not run and never will. Only `FirstRun`, `Replay`
/// and `Unknown` say anything about earlier attempts under the same key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This attempt ran and got this answer.
    FirstRun(Bytes),
    /// An earlier attempt under the same key ran and got this answer.
    Replay(Bytes),
    /// This attempt did not run and never will.
    NotRun {
        /// Why it did not run.
        reason: RefusalReason,
        /// VM of the agent to send the request to instead, if this one knows it.
        home: Option<VmName>,
    },
    /// This attempt did not run here. The key is bound to another home, which alone knows the
    /// outcome; send it the request with [`ClaimRequest::recall`].
    Elsewhere(HomeRef),
    /// An attempt under this key may have run.
    Unknown(UnknownReason),
}

impl ClaimOutcome {
    /// A refusal that names no other agent.
    #[must_use]
    pub fn not_run(reason: RefusalReason) -> Self {
        Self::NotRun { reason, home: None }
    }

    /// Name of the outcome in metrics.
    #[must_use]
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::FirstRun(_) => "first_run",
            Self::Replay(_) => "replay",
            Self::NotRun { reason, .. } => reason.as_str(),
            Self::Elsewhere(_) => "elsewhere",
            Self::Unknown(reason) => reason.as_str(),
        }
    }
}
