//! What is asked of a home and the ends of it.

use std::time::Duration;

use bytes::Bytes;
use oriole_types::digest::Digest;
use oriole_types::ids::{AccountName, EntryName, IdempotencyKey, Incarnation, VmName};
use oriole_types::outcome::{RefusalReason, UnknownReason};

oriole_types::number_type! {
    /// Number of one request at a home; the driver gives it.
    pub struct CallId
}

oriole_types::domain_type! {
    /// One run of one agent.
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
    /// Account that requests.
    pub account: AccountName,
    /// Entry that is requested.
    pub entry: EntryName,
    /// The caller's key.
    pub key: IdempotencyKey,
    /// Digest of entry name and body.
    pub content: Digest,
    /// Time left until the caller's deadline.
    pub timeout: Duration,
    /// The incarnation that a partition's owner named as the key's home; such a request asks only
    /// for what that incarnation remembers and makes no claim.
    pub recall: Option<Incarnation>,
}

/// How a run at the upstream ended.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RunOutcome {
    /// With the whole answer.
    Answer(Bytes),
    /// Nothing reached the upstream and nothing will.
    NotRun(RefusalReason),
    /// The upstream may have run it.
    Unknown(UnknownReason),
}

/// How a request at a home ended.
///
/// `NotRun` speaks of this attempt: it did not run and never will. What earlier attempts under the
/// same key did is told only by `FirstRun`, `Replay` and `Unknown`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ClaimOutcome {
    /// This attempt ran; its answer.
    FirstRun(Bytes),
    /// An earlier attempt ran; its answer.
    Replay(Bytes),
    /// This attempt did not run and never will.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// The agent to ask instead, if this one knows it.
        home: Option<VmName>,
    },
    /// This attempt did not run here; another incarnation holds the key's claim and alone can say
    /// more. Ask it with [`ClaimRequest::recall`].
    Elsewhere(HomeRef),
    /// An attempt under this key may have run.
    Unknown(UnknownReason),
}

impl ClaimOutcome {
    /// A refusal with no other agent to ask.
    #[must_use]
    pub fn not_run(reason: RefusalReason) -> Self {
        Self::NotRun { reason, home: None }
    }

    /// Name of the end in metrics and golden files.
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
