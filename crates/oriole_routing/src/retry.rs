//! Whether a failed attempt is retried.
//!
//! A request is retried only if it did not run or is idempotent. A budget keeps all retries of an
//! entry to a small fraction of its requests, so that retries can't sustain an overload.

use std::time::Duration;

use metrics::counter;
use oriole_types::prelude::*;
use rand::{Rng, RngExt};

/// Settings of a [`RetryBudget`].
#[derive(Clone, Debug)]
pub struct RetryConfig {
    /// Retries that each new request adds to the budget.
    pub retries_per_request: f64,
    /// Largest and initial size of the budget, in retries.
    pub max_saved_retries: f64,
    /// Most attempts of one request, the first included.
    pub max_attempts: Attempt,
    /// Backoff after the first attempt. It doubles with each attempt; half of it is random.
    pub initial_backoff: Duration,
    /// Longest backoff, unless the refusal asked for a longer wait.
    pub max_backoff: Duration,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            retries_per_request: 0.08,
            max_saved_retries: 20.0,
            max_attempts: 4,
            initial_backoff: Duration::from_millis(5),
            max_backoff: Duration::from_secs(1),
        }
    }
}

/// How an attempt without a complete answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// The request did not run.
    NotRun {
        /// Reason given in the refusal.
        reason: RefusalReason,
        /// Wait that the refusal asked for, if it did.
        retry_after: Option<Duration>,
    },
    /// The request may have run.
    Unknown(UnknownReason),
}

/// A failed attempt of a request, for which the [`RetryBudget`] decides on a retry.
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Attempts made so far.
    pub attempts: Attempt,
    /// Priority of the request; part of the budget is reserved for more urgent ones.
    pub priority: Priority,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// How the last attempt ended.
    pub end: AttemptEnd,
    /// Time by which the complete answer is due.
    pub deadline: Duration,
    /// Time that another attempt is expected to take.
    pub service_time: Duration,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Retry after a wait.
    Retry {
        /// Time to wait before the next attempt.
        after: Duration,
    },
    /// Don't retry: report the end of the last attempt to the caller.
    GiveUp(GiveUpReason),
}

/// Why a request is not retried.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUpReason {
    /// The request may have run and is not idempotent.
    NotIdempotent,
    /// The refusal would not change on another attempt.
    NotRetryable,
    /// The request has used all its attempts.
    AttemptsSpent,
    /// Another attempt would end after the deadline.
    Deadline,
    /// The retry budget of the entry is exhausted.
    BudgetSpent,
}

impl GiveUpReason {
    /// Name of the reason in metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotIdempotent => "not_idempotent",
            Self::NotRetryable => "final",
            Self::AttemptsSpent => "attempts",
            Self::Deadline => "deadline",
            Self::BudgetSpent => "budget",
        }
    }
}

/// Limits the retries of one entry to a fraction of its requests.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryConfig,
    available: f64,
}

impl RetryBudget {
    /// A full budget.
    #[must_use]
    pub fn new(cfg: RetryConfig) -> Self {
        Self {
            available: cfg.max_saved_retries,
            cfg,
        }
    }

    /// Adds the share of a new request to the budget. Call it once per request, before the first
    /// attempt.
    pub fn record_request(&mut self) {
        self.available =
            (self.available + self.cfg.retries_per_request).min(self.cfg.max_saved_retries);
    }

    /// Retries left in the budget; fractional.
    #[must_use]
    pub fn available_retries(&self) -> f64 {
        self.available
    }

    /// Decides whether to retry, and takes a granted retry from the budget.
    pub fn decide(
        &mut self,
        now: Duration,
        attempt: &FailedAttempt,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        match self.try_retry(now, attempt, rng) {
            Ok(after) => {
                counter!("oriole_retry_total", "reason" => end_reason(attempt.end)).increment(1);
                RetryDecision::Retry { after }
            }
            Err(give_up) => {
                counter!("oriole_retry_refused_total", "reason" => give_up.as_str()).increment(1);
                RetryDecision::GiveUp(give_up)
            }
        }
    }

    fn try_retry(
        &mut self,
        now: Duration,
        attempt: &FailedAttempt,
        rng: &mut impl Rng,
    ) -> Result<Duration, GiveUpReason> {
        let retry_after = check_retryable(attempt)?;
        if attempt.attempts >= self.cfg.max_attempts {
            return Err(GiveUpReason::AttemptsSpent);
        }
        let after = self.backoff(attempt.attempts, rng).max(retry_after);
        if now + after + attempt.service_time > attempt.deadline {
            return Err(GiveUpReason::Deadline);
        }
        if self.available < 1.0 + self.reserved_for_more_urgent(attempt.priority) {
            return Err(GiveUpReason::BudgetSpent);
        }
        self.available -= 1.0;
        Ok(after)
    }

    /// Retries that requests of this priority must leave for more urgent ones.
    fn reserved_for_more_urgent(&self, priority: Priority) -> f64 {
        let share = match priority {
            Priority::High => 0.0,
            Priority::Normal => 0.1,
            Priority::Low => 0.25,
        };
        self.cfg.max_saved_retries * share
    }

    fn backoff(&self, attempts: Attempt, rng: &mut impl Rng) -> Duration {
        const MAX_DOUBLINGS: u32 = 10;
        let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        let upper = (self.cfg.initial_backoff * (1 << doublings)).min(self.cfg.max_backoff);
        upper.mul_f64(0.5 + 0.5 * rng.random::<f64>())
    }
}

/// Checks that another attempt is safe and may succeed; returns the wait asked for by the refusal.
fn check_retryable(attempt: &FailedAttempt) -> Result<Duration, GiveUpReason> {
    match attempt.end {
        AttemptEnd::NotRun { reason, .. } if !is_retryable(reason) => {
            Err(GiveUpReason::NotRetryable)
        }
        // The limit is that of one upstream, and the others may have room now.
        AttemptEnd::NotRun {
            reason: RefusalReason::UpstreamLimit,
            ..
        } => Ok(Duration::ZERO),
        AttemptEnd::NotRun { retry_after, .. } => Ok(retry_after.unwrap_or_default()),
        AttemptEnd::Unknown(UnknownReason::Deadline) => Err(GiveUpReason::Deadline),
        AttemptEnd::Unknown(_) if attempt.idempotent => Ok(Duration::ZERO),
        AttemptEnd::Unknown(_) => Err(GiveUpReason::NotIdempotent),
    }
}

/// Whether another upstream, or the same one a little later, may accept the request.
fn is_retryable(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::NoCapacity
            | RefusalReason::QueueFull
            | RefusalReason::Deadline
            | RefusalReason::UpstreamCold
            | RefusalReason::UpstreamFull
            | RefusalReason::UpstreamLimit
            | RefusalReason::Draining
            | RefusalReason::SuspectBusy
            | RefusalReason::NoConfiguration
            | RefusalReason::StoreUnavailable
            | RefusalReason::NotHome
            | RefusalReason::UpstreamUnreachable
            | RefusalReason::AgentUnreachable
            | RefusalReason::AgentStarting
    )
}

fn end_reason(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::NotRun { reason, .. } => reason.as_str(),
        AttemptEnd::Unknown(reason) => reason.as_str(),
    }
}
