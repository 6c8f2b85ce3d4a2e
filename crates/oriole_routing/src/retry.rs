//! Whether a failed attempt is followed by another.
//!
//! A request is sent again only if it did not run, or may run more than once. All retries of an
//! entry together stay a small part of its requests, so that retries cannot keep an overload going.

use std::time::Duration;

use metrics::counter;
use oriole_types::prelude::*;
use rand::{Rng, RngExt};

/// Settings of a [`RetryBudget`].
#[derive(Clone, Debug)]
pub struct RetryConfig {
    /// Retries that each request pays for.
    pub retries_per_request: f64,
    /// Most retries that may be saved up; the budget starts with as many.
    pub saved_retries: f64,
    /// Most attempts of one request.
    pub max_attempts: Attempt,
    /// First backoff; doubles with each attempt, and half of it is random.
    pub backoff: Duration,
    /// Longest backoff, unless the refusal asked for a longer one.
    pub backoff_max: Duration,
}

impl Default for RetryConfig {
    fn default() -> Self {
        Self {
            retries_per_request: 0.08,
            saved_retries: 20.0,
            max_attempts: 4,
            backoff: Duration::from_millis(5),
            backoff_max: Duration::from_secs(1),
        }
    }
}

/// How an attempt ended without a whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptEnd {
    /// It did not run.
    NotRun {
        /// Why.
        reason: RefusalReason,
        /// Time after which a new try makes sense.
        retry_after: Option<Duration>,
    },
    /// It may have run.
    Unknown(UnknownReason),
}

/// What is asked of the [`RetryBudget`].
#[derive(Clone, Copy, Debug)]
pub struct FailedAttempt {
    /// Attempts made so far.
    pub attempts: Attempt,
    /// Urgency: less urgent requests leave a part of the budget to the others.
    pub priority: Priority,
    /// Whether the request may run more than once.
    pub idempotent: bool,
    /// How the last attempt ended.
    pub end: AttemptEnd,
    /// Time by which the whole answer must be given.
    pub deadline: Duration,
    /// Time that another attempt will need.
    pub service_time: Duration,
}

/// What to do after a failed attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try again after some time.
    Retry {
        /// How long to wait.
        after: Duration,
    },
    /// Tell the caller how the last attempt ended.
    GiveUp(GiveUp),
}

/// Why a request is not tried again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum GiveUp {
    /// It may have run, and may not run twice.
    NotIdempotent,
    /// Another attempt would be refused as well.
    Final,
    /// It was tried often enough.
    Attempts,
    /// There is no time left.
    Deadline,
    /// Too many requests are being retried.
    Budget,
}

impl GiveUp {
    /// The name of the reason in metrics and logs.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotIdempotent => "not_idempotent",
            Self::Final => "final",
            Self::Attempts => "attempts",
            Self::Deadline => "deadline",
            Self::Budget => "budget",
        }
    }
}

/// The retries that an entry may still make.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    cfg: RetryConfig,
    tokens: f64,
}

impl RetryBudget {
    /// A budget with its savings in full.
    #[must_use]
    pub fn new(cfg: RetryConfig) -> Self {
        Self {
            tokens: cfg.saved_retries,
            cfg,
        }
    }

    /// Notes a new request; call it once a request, before its first attempt.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.cfg.retries_per_request).min(self.cfg.saved_retries);
    }

    /// Retries that could be made now.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// Decides whether to try again; a retry is paid for at once.
    pub fn decide(
        &mut self,
        now: Duration,
        ask: &FailedAttempt,
        rng: &mut impl Rng,
    ) -> RetryDecision {
        match self.try_retry(now, ask, rng) {
            Ok(after) => {
                counter!("oriole_retry_total", "reason" => reason_of(ask.end)).increment(1);
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
        ask: &FailedAttempt,
        rng: &mut impl Rng,
    ) -> Result<Duration, GiveUp> {
        let retry_after = may_run_again(ask)?;
        if ask.attempts >= self.cfg.max_attempts {
            return Err(GiveUp::Attempts);
        }
        let after = self.backoff(ask.attempts, rng).max(retry_after);
        if now + after + ask.service_time > ask.deadline {
            return Err(GiveUp::Deadline);
        }
        if self.tokens < 1.0 + self.reserve_against(ask.priority) {
            return Err(GiveUp::Budget);
        }
        self.tokens -= 1.0;
        Ok(after)
    }

    /// Retries that are left to more urgent requests.
    fn reserve_against(&self, priority: Priority) -> f64 {
        let part = match priority {
            Priority::High => 0.0,
            Priority::Normal => 0.1,
            Priority::Low => 0.25,
        };
        self.cfg.saved_retries * part
    }

    fn backoff(&self, attempts: Attempt, rng: &mut impl Rng) -> Duration {
        const MAX_DOUBLINGS: u32 = 10;
        let doublings = attempts.saturating_sub(1).min(MAX_DOUBLINGS);
        let longest = (self.cfg.backoff * (1 << doublings)).min(self.cfg.backoff_max);
        longest.mul_f64(0.5 + 0.5 * rng.random::<f64>())
    }
}

/// Whether another attempt is safe and may end better; gives the wait the refusal asked for.
fn may_run_again(ask: &FailedAttempt) -> Result<Duration, GiveUp> {
    match ask.end {
        AttemptEnd::NotRun { reason, .. } if !is_worth_retrying(reason) => Err(GiveUp::Final),
        AttemptEnd::NotRun { retry_after, .. } => Ok(retry_after.unwrap_or_default()),
        AttemptEnd::Unknown(UnknownReason::Deadline) => Err(GiveUp::Deadline),
        AttemptEnd::Unknown(_) if ask.idempotent => Ok(Duration::ZERO),
        AttemptEnd::Unknown(_) => Err(GiveUp::NotIdempotent),
    }
}

/// Whether another upstream, or the same one a little later, may take the request.
fn is_worth_retrying(reason: RefusalReason) -> bool {
    matches!(
        reason,
        RefusalReason::NoCapacity
            | RefusalReason::QueueFull
            | RefusalReason::Deadline
            | RefusalReason::UpstreamCold
            | RefusalReason::UpstreamFull
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

fn reason_of(end: AttemptEnd) -> &'static str {
    match end {
        AttemptEnd::NotRun { reason, .. } => reason.as_str(),
        AttemptEnd::Unknown(reason) => reason.as_str(),
    }
}
