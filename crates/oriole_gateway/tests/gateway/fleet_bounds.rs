//! Bounds over all daemons hold through each daemon's share, without communication between them.

use std::time::Duration;

use oriole_gateway::traffic::cold_limiter::{ColdBounds, ColdLimiter};
use oriole_gateway::traffic::retry_budget::{RetryBounds, RetryBudget};
use proptest::prelude::*;

use crate::fake::secs;

const RETRY_BOUNDS: RetryBounds = RetryBounds {
    ratio: 0.2,
    allowance: 196.0,
    window: Duration::from_secs(10),
};

const COLD_BOUNDS: ColdBounds = ColdBounds {
    overage: 1.5,
    allowance: 5.0,
};

/// All requests of many callers fail, at all daemons at the same time.
#[test]
fn retry_budget_all_fail_stays_within_the_bound() {
    let daemons = 17;
    let mut shares: Vec<_> = (0..daemons)
        .map(|_| RetryBudget::new(RETRY_BOUNDS))
        .collect();
    let mut retries = Vec::new();
    let mut requests = Vec::new();
    for tick in 0..3000 {
        let now = secs(f64::from(tick) * 0.01);
        for share in &mut shares {
            share.record_request(now);
            requests.push(now);
            for _ in 0..3 {
                if share.try_spend_retry(now, daemons) {
                    retries.push(now);
                }
            }
        }
    }
    for start in 0..20 {
        let (from, to) = (secs(f64::from(start)), secs(f64::from(start) + 10.0));
        let within = |times: &[Duration]| times.iter().filter(|t| (from..to).contains(*t)).count();
        let allowed = 0.2 * within(&requests) as f64 + 196.0;
        assert!(
            within(&retries) as f64 <= allowed + 1.0,
            "window from {start} s"
        );
    }
    assert!(!retries.is_empty());
}

proptest! {
    #[test]
    fn cold_limiter_sum_stays_within_the_bound(
        daemons in 1..400usize,
        per_s in 0.0..80.0f64,
        attempts in prop::collection::vec((any::<prop::sample::Index>(), 0..30u64), 1..400),
    ) {
        let mut shares: Vec<ColdLimiter> = (0..daemons).map(|_| ColdLimiter::default()).collect();
        let mut now = Duration::ZERO;
        let mut sent = Vec::new();
        for (daemon, wait) in attempts {
            now += Duration::from_millis(wait);
            let daemon = daemon.index(daemons);
            if shares[daemon].allows(now, &COLD_BOUNDS, per_s, daemons, daemon) {
                shares[daemon].record_sent(now);
                sent.push(now);
            }
        }
        let bound = (per_s * 1.5 + 5.0).floor() as usize;
        for from in &sent {
            let end = *from + Duration::from_secs(1);
            let count = sent.iter().filter(|t| (*from..end).contains(*t)).count();
            prop_assert!(count <= bound, "{} of {}", count, bound);
        }
    }
}
