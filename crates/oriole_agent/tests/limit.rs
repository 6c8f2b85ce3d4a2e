//! The gate of an agent whose upstream announces a limit.

use std::time::Duration;

use oriole_admission::confirmation::Confirmation;
use oriole_admission::gate::{FinishKind, GateConfig};
use oriole_agent::gate::{GateHandle, OfferFlags};
use oriole_kernel::clock::Clock;
use oriole_types::prelude::*;

/// Most requests in 4 s under a limit of one a second: half as much again, and five.
const MAX_IN_WINDOW: usize = 11;

fn open_gate() -> GateHandle {
    let cfg = GateConfig {
        kind: PoolKind::Service,
        ..GateConfig::default()
    };
    let gate = GateHandle::new(Clock::start(), cfg);
    gate.update(|gate, now| gate.set_service_state(now, ServiceState::InService));
    gate.update(|gate, now| {
        gate.upstream_connected(now, 0);
        Vec::new()
    });
    gate.confirm_configuration(&Confirmation::fresh("south".into()));
    gate
}

/// Offers a request each 10 ms and returns how many were admitted, and the last refusal.
async fn offer_for(gate: &GateHandle, time: Duration) -> (usize, Option<RefusalReason>) {
    let until = tokio::time::Instant::now() + time;
    let (mut admitted, mut refused) = (0, None);
    let mut content = 0_u64;
    while tokio::time::Instant::now() < until {
        gate.confirm_configuration(&Confirmation::fresh("south".into()));
        content += 1;
        let digest = Digest::of(&content.to_be_bytes());
        let flags = OfferFlags::default();
        match gate
            .admit(digest, Priority::Normal, Duration::MAX, flags)
            .await
        {
            Ok(work) => {
                admitted += 1;
                work.finished(FinishKind::Complete);
            }
            Err(refusal) => refused = Some(refusal.reason),
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    (admitted, refused)
}

/// An agent is the only sender of its upstream and must not send it more than it takes.
#[tokio::test(start_paused = true)]
async fn admit_keeps_announced_limit() {
    let gate = open_gate();
    let window = Duration::from_secs(4);
    let (admitted, _) = offer_for(&gate, window).await;
    assert!(admitted > 100, "{admitted} without a limit");
    gate.set_limit(Some(1.0));
    let (admitted, refused) = offer_for(&gate, window).await;
    assert!((1..=MAX_IN_WINDOW).contains(&admitted), "{admitted}");
    assert_eq!(refused, Some(RefusalReason::UpstreamLimit));
}

#[tokio::test(start_paused = true)]
async fn admit_after_end_or_restart_has_no_limit() {
    let gate = open_gate();
    gate.set_limit(Some(1.0));
    tokio::time::advance(Duration::from_secs(1)).await;
    gate.set_limit(None);
    tokio::time::advance(Duration::from_secs(4)).await;
    let (admitted, refused) = offer_for(&gate, Duration::from_secs(1)).await;
    assert!(admitted > 50 && refused.is_none(), "{admitted} {refused:?}");
    gate.set_limit(Some(1.0));
    gate.upstream_lost();
    gate.update(|gate, now| {
        gate.upstream_connected(now, 0);
        Vec::new()
    });
    let (_, refused) = offer_for(&gate, Duration::from_secs(1)).await;
    assert_ne!(refused, Some(RefusalReason::UpstreamLimit));
}

#[tokio::test(start_paused = true)]
async fn set_limit_ignores_absurd_values() {
    let gate = open_gate();
    for per_s in [0.0, -3.0, f64::NAN, 1e300] {
        gate.set_limit(Some(per_s));
    }
    let (admitted, refused) = offer_for(&gate, Duration::from_secs(1)).await;
    assert!(admitted > 50 && refused.is_none(), "{admitted} {refused:?}");
}
