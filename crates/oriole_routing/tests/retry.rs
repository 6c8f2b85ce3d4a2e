//! Tests of the retry decisions.

mod common;

use common::*;
use oriole_routing::prelude::*;
use oriole_types::prelude::*;
use rstest::rstest;

fn not_run(reason: RefusalReason) -> AttemptEnd {
    AttemptEnd::NotRun {
        reason,
        retry_after: None,
    }
}

fn failed_attempt(end: AttemptEnd) -> FailedAttempt {
    FailedAttempt {
        attempts: 1,
        priority: Priority::High,
        idempotent: false,
        end,
        deadline: secs(10),
        service_time: ms(100),
    }
}

fn decide(attempt: &FailedAttempt) -> RetryDecision {
    RetryBudget::new(RetryConfig::default()).decide(secs(1), attempt, &mut rng(1))
}

#[rstest]
#[case::full(RefusalReason::UpstreamFull, None)]
#[case::unreachable(RefusalReason::AgentUnreachable, None)]
#[case::quarantined(RefusalReason::Quarantined, Some(GiveUpReason::NotRetryable))]
#[case::key_reused(RefusalReason::KeyReused, Some(GiveUpReason::NotRetryable))]
fn decide_not_run(#[case] reason: RefusalReason, #[case] give_up: Option<GiveUpReason>) {
    let decision = decide(&failed_attempt(not_run(reason)));
    match give_up {
        Some(expected) => assert_eq!(decision, RetryDecision::GiveUp(expected)),
        None => assert!(matches!(decision, RetryDecision::Retry { .. })),
    }
}

#[test]
fn decide_unknown_only_if_idempotent() {
    let lost = failed_attempt(AttemptEnd::Unknown(UnknownReason::AgentLost));
    assert_eq!(
        decide(&lost),
        RetryDecision::GiveUp(GiveUpReason::NotIdempotent)
    );
    let idempotent = FailedAttempt {
        idempotent: true,
        ..lost
    };
    assert!(matches!(decide(&idempotent), RetryDecision::Retry { .. }));
}

#[test]
fn decide_limits() {
    let attempts_spent = FailedAttempt {
        attempts: 4,
        ..failed_attempt(not_run(RefusalReason::UpstreamFull))
    };
    assert_eq!(
        decide(&attempts_spent),
        RetryDecision::GiveUp(GiveUpReason::AttemptsSpent)
    );
    let late = FailedAttempt {
        deadline: ms(1050),
        ..failed_attempt(not_run(RefusalReason::UpstreamFull))
    };
    assert_eq!(decide(&late), RetryDecision::GiveUp(GiveUpReason::Deadline));
}

#[test]
fn decide_honours_retry_after() {
    let retry_after = Some(secs(3));
    let end = AttemptEnd::NotRun {
        reason: RefusalReason::UpstreamCold,
        retry_after,
    };
    assert!(
        matches!(decide(&failed_attempt(end)), RetryDecision::Retry { after } if after >= secs(3))
    );
}

#[test]
fn decide_budget_bounds_attempts() {
    let mut budget = RetryBudget::new(RetryConfig::default());
    let (requests, mut attempts, mut rng) = (10_000, 0, rng(1));
    for _ in 0..requests {
        budget.record_request();
        attempts += 1;
        let mut attempt = failed_attempt(not_run(RefusalReason::UpstreamFull));
        while let RetryDecision::Retry { .. } = budget.decide(secs(1), &attempt, &mut rng) {
            attempts += 1;
            attempt.attempts += 1;
        }
    }
    assert!(
        attempts * 10 <= requests * 11,
        "{attempts} attempts for {requests} requests"
    );
}
