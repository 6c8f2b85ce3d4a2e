//! What the entry tells a caller in the end, and the events on the way there.

use bytes::Bytes;
use oriole_types::outcome::{Outcome, RefusalReason, UnknownReason};

/// A refusal: the request did not run.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: RefusalReason,
    /// Time after which another try makes sense, in milliseconds; 0 if that is not known.
    pub retry_after_ms: u32,
    /// What the caller reads.
    pub message: String,
}

impl Refusal {
    /// A refusal with a message and no advice on when to retry.
    #[must_use]
    pub fn new(reason: RefusalReason, message: impl Into<String>) -> Self {
        Self {
            reason,
            retry_after_ms: 0,
            message: message.into(),
        }
    }

    /// The same refusal with advice on when to retry.
    #[must_use]
    pub fn with_retry_after_ms(mut self, ms: u32) -> Self {
        self.retry_after_ms = ms;
        self
    }
}

/// What happens to a request, in order; the last event is one of the three ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum AnswerEvent {
    /// The next items of the answer.
    Items {
        /// Position of the first item.
        position: u64,
        /// Number of items.
        items: u32,
        /// The items, one a line.
        data: Bytes,
    },
    /// The answer is whole.
    Complete {
        /// Number of items of the whole answer.
        position: u64,
        /// Whether it answers an earlier request with the same key.
        replayed: bool,
    },
    /// The request did not run.
    NotRun(Refusal),
    /// The request may have run.
    Unknown {
        /// Why nobody can say.
        reason: UnknownReason,
    },
}

impl AnswerEvent {
    /// The end that the event is; `None` if it is not an end.
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

/// What a caller reads of an unknown end.
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
