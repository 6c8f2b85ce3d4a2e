//! Errors of store calls.

use oriole_types::error::{Peer, StepError};

/// Why a store call failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum StoreError {
    /// The value does not match the [`Precondition`](crate::store::Precondition); nothing was
    /// written.
    #[error("the value has another version than expected")]
    Conflict,
    /// The call did not reach the store or was refused by it; nothing was written.
    #[error("the store is unavailable")]
    Unavailable,
    /// The store refused the call because of its rate limit; nothing was written.
    #[error("the store refuses calls beyond its rate")]
    RateLimited,
    /// The call budget of this process is exhausted; nothing was sent.
    #[error("the call budget is spent")]
    BudgetSpent,
    /// A write was sent but not answered; it may have taken effect.
    #[error("no answer came: the write may have taken effect")]
    Ambiguous,
    /// The value exceeds the size limit; nothing was written.
    #[error("the value is larger than the store holds")]
    TooLarge,
    /// The lease has expired or never existed.
    #[error("the lease has lapsed")]
    LeaseLapsed,
    /// The store's answer is not valid.
    #[error("the store's answer cannot be read: {0}")]
    Malformed(String),
}

impl StoreError {
    /// Wraps the error with the step that failed.
    #[must_use]
    pub fn at(self, step: &'static str) -> StepError<Self> {
        StepError::new(step, Peer::Store, self)
    }

    /// Whether a write that failed with this error may have taken effect.
    #[must_use]
    pub fn may_have_written(&self) -> bool {
        matches!(self, Self::Ambiguous | Self::Malformed(_))
    }
}
