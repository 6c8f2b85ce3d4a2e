//! The events of an answer, which ends with exactly one outcome.

use bytes::Bytes;
use oriole_types::outcome::{Outcome, RefusalReason, UnknownReason};

/// A refusal: the request did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Reason code.
    pub reason: RefusalReason,
    /// Time after which a retry may succeed, in milliseconds; 0 if it is not known.
    pub retry_after_ms: u32,
    /// Explanation for the caller.
    pub message: String,
}

impl Refusal {
    /// Creates a refusal that does not say when to retry.
    #[must_use]
    pub fn new(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            reason,
            retry_after_ms: 0,
            message: message.into(),
        }
    }

    /// Sets the time after which a retry may succeed, in milliseconds.
    #[must_use]
    pub fn with_retry_after_ms(mut self, ms: u32) -> Self {
        self.retry_after_ms = ms;
        self
    }
}

/// An event of an answer. The last event is `Complete`, `NotRun` or `Unknown`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEvent {
    /// The next items of the answer.
    Items {
        /// Position of the first item.
        position: u64,
        /// Number of items.
        items: u32,
        /// The items, one per line.
        data: Bytes,
    },
    /// The answer is complete.
    Complete {
        /// Number of items in the complete answer.
        position: u64,
        /// Whether this is the stored answer of an earlier request with the same idempotency key.
        replayed: bool,
    },
    /// The request did not run.
    NotRun(Refusal),
    /// The request may have run.
    Unknown {
        /// Why the outcome is unknown.
        reason: UnknownReason,
    },
}

impl AnswerEvent {
    /// The final outcome; `None` for items.
    #[must_use]
    pub fn outcome(&self) -> Option<Outcome> {
        match self {
            Self::Items { .. } => None,
            Self::Complete { .. } => Some(Outcome::Complete),
            Self::NotRun(_) => Some(Outcome::NotRun),
            Self::Unknown { .. } => Some(Outcome::Unknown),
        }
    }
}

/// The explanation of an unknown outcome for the caller.
#[must_use]
pub fn unknown_message(reason: UnknownReason) -> &'static str {
    match reason {
        UnknownReason::UpstreamFailed => "the upstream failed while it ran the request",
        UnknownReason::AgentLost => "the connection was lost after the request was sent",
        UnknownReason::Deadline => "the deadline passed while the request ran",
        UnknownReason::HomeLost => "the process that held the key is gone",
        UnknownReason::AnswerLost => "the request ran, and its answer is lost",
        UnknownReason::Incomplete => "the answer arrived incomplete",
    }
}
