//! Bounds over all daemons hold through each daemon's share, without communication between them.

use std::time::Duration;

use oriole_gateway::traffic::cold_limiter::{ColdBounds, ColdLimiter, Turn};
use oriole_gateway::traffic::retry_budget::{RetryBounds, RetryBudget};
use proptest::prelude::*;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use rstest::rstest;

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

/// All upstreams of a service restart at once and are cold, in fleets with more daemons than a cold upstream
/// takes requests. Guards against daemons that may send to none of them and refuse every request.
#[rstest]
#[case::daemons_71(71, 63)]
#[case::daemons_340(340, 820)]
fn cold_limiter_whole_service_is_cold_every_daemon_may_send(
    #[case] daemons: usize,
    #[case] upstreams: u64,
) {
    let mut rng = StdRng::seed_from_u64(1);
    let hashes: Vec<u64> = (0..upstreams).map(|_| rng.random()).collect();
    let allowed = |daemon: usize, hash: u64| {
        let turn = Turn::new(daemon, daemons, hash);
        ColdLimiter::default().allows(Duration::ZERO, &COLD_BOUNDS, 14.0, turn)
    };
    for daemon in 0..daemons {
        assert!(
            hashes.iter().any(|hash| allowed(daemon, *hash)),
            "daemon {daemon} may send to no upstream"
        );
    }
    for hash in &hashes {
        let senders = (0..daemons).filter(|daemon| allowed(*daemon, *hash));
        assert_eq!(senders.count(), 26, "14 x 1.5 + 5 requests, one a daemon");
    }
}

proptest! {
    #[test]
    fn cold_limiter_sum_stays_within_the_bound(
        daemons in 1..400usize,
        per_s in 0.0..80.0f64,
        upstream_hash in any::<u64>(),
        attempts in prop::collection::vec((any::<prop::sample::Index>(), 0..30u64), 1..400),
    ) {
        let mut shares: Vec<ColdLimiter> = (0..daemons).map(|_| ColdLimiter::default()).collect();
        let mut now = Duration::ZERO;
        let mut sent = Vec::new();
        for (daemon, wait) in attempts {
            now += Duration::from_millis(wait);
            let daemon = daemon.index(daemons);
            let turn = Turn::new(daemon, daemons, upstream_hash);
            if shares[daemon].allows(now, &COLD_BOUNDS, per_s, turn) {
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
