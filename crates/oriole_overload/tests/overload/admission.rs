//! Single decisions of the admission.

use std::time::Duration;

use oriole_overload::stream_admission::{
    Conditions, Decision, HoldReason, MAX_WAITING, Standstill, StreamAdmission, StreamDemand,
};

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

const NOW: Duration = ms(60_000);

const ADMIT: Decision = Decision::Admit { is_probe: false };

const FREE: Conditions = Conditions {
    running: 300.0,
    limit: Some(500.0),
    slots: 630,
    standstill: None,
    view_age: ms(100),
    daemons: 1,
    point: 0.5,
};

const FULL: Conditions = Conditions {
    running: 560.0,
    ..FREE
};

const STOPPED: Conditions = Conditions {
    standstill: Some(Standstill { lasted: ms(500) }),
    ..FREE
};

fn demand(id: u64, priority: u8, account: u64) -> StreamDemand {
    StreamDemand {
        id,
        priority,
        account,
        tokens: 1,
        objective: ms(1000),
        received_at: NOW,
    }
}

/// An admission that has admitted many requests of priorities 0 and 2.
fn busy_admission() -> StreamAdmission {
    let mut admission = StreamAdmission::default();
    for id in 0..100 {
        let at = NOW - ms(20 * (100 - id));
        let decision = admission.offer(at, demand(id, 2 * (id % 2) as u8, 0), &FREE);
        assert_eq!(decision, ADMIT);
        admission.finish(0, 1, ms(2000));
    }
    admission
}

#[test]
fn offer_without_limit_admits_all() {
    let mut admission = StreamAdmission::default();
    let unlimited = Conditions {
        limit: None,
        running: 10_000.0,
        ..FREE
    };
    for id in 0..1000 {
        let decision = admission.offer(NOW, demand(id, id as u8, 0), &unlimited);
        assert_eq!(decision, ADMIT);
    }
}

/// Between the limits of the classes only the urgent ones start.
#[test]
fn offer_over_last_share_only_urgent_starts() {
    let mut admission = busy_admission();
    let between = Conditions {
        running: 500.0,
        ..FREE
    };
    assert_eq!(admission.offer(NOW, demand(200, 0, 1), &between), ADMIT);
    let held = admission.offer(NOW, demand(201, 2, 1), &between);
    assert!(matches!(
        held,
        Decision::Wait {
            reason: HoldReason::Pace,
            position: 0
        }
    ));
}

#[test]
fn poll_most_urgent_starts_first() {
    let mut admission = busy_admission();
    assert!(matches!(
        admission.offer(NOW, demand(201, 2, 1), &FULL),
        Decision::Wait { .. }
    ));
    assert!(matches!(
        admission.offer(NOW, demand(202, 0, 1), &FULL),
        Decision::Wait { position: 0, .. }
    ));
    let one_left = Conditions {
        running: 549.5,
        ..FREE
    };
    let later = NOW + ms(20);
    assert!(matches!(
        admission.poll(later, 201, &one_left),
        Decision::Wait { .. }
    ));
    let decisions = [ms(220), ms(440)].map(|at| admission.poll(NOW + at, 202, &one_left));
    assert!(decisions.contains(&ADMIT), "{decisions:?}");
}

/// A flood of one account must not keep another account's request waiting behind it.
#[test]
fn poll_flood_of_one_account_others_go_first() {
    let mut admission = busy_admission();
    for id in 1000..1050 {
        admission.offer(NOW, demand(id, 0, 7), &FREE);
    }
    for id in 200..220 {
        let held = admission.offer(NOW, demand(id, 0, 7), &FULL);
        assert!(matches!(held, Decision::Wait { .. }), "{held:?}");
    }
    let held = admission.offer(NOW, demand(300, 0, 8), &FULL);
    assert!(
        matches!(held, Decision::Wait { position: 0, .. }),
        "{held:?}"
    );
    assert_eq!(admission.poll(NOW + ms(10), 300, &FREE), ADMIT);
}

#[test]
fn poll_start_is_too_late_is_refused() {
    let mut admission = busy_admission();
    assert!(matches!(
        admission.offer(NOW, demand(201, 2, 1), &FULL),
        Decision::Wait { .. }
    ));
    let Decision::Refuse {
        reason,
        retry_after,
    } = admission.poll(NOW + ms(500), 201, &FULL)
    else {
        panic!("not refused");
    };
    assert_eq!(reason, HoldReason::Pace);
    assert!(
        (ms(500)..=ms(2000)).contains(&retry_after),
        "{retry_after:?}"
    );
    assert_eq!(admission.waiting(), 0);
}

#[test]
fn offer_queue_is_full_most_urgent_replaces_least() {
    let mut admission = busy_admission();
    for id in 0..200 {
        admission.offer(NOW, demand(1000 + id, 2, 1), &STOPPED);
    }
    assert_eq!(admission.waiting(), MAX_WAITING);
    let held = admission.offer(NOW, demand(500, 0, 1), &STOPPED);
    assert!(
        matches!(held, Decision::Wait { position: 0, .. }),
        "{held:?}"
    );
    assert_eq!(admission.waiting(), MAX_WAITING);
}

#[test]
fn offer_standstill_probes_waits_then_refuses() {
    let mut admission = busy_admission();
    let probe = Decision::Admit { is_probe: true };
    assert_eq!(admission.offer(NOW, demand(1, 2, 1), &STOPPED), probe);
    let waits = admission.offer(NOW, demand(2, 2, 1), &STOPPED);
    assert!(matches!(
        waits,
        Decision::Wait {
            reason: HoldReason::Standstill,
            ..
        }
    ));
    assert_eq!(admission.poll(NOW + ms(400), 2, &STOPPED), probe);
    let long = Conditions {
        standstill: Some(Standstill { lasted: ms(1500) }),
        ..FREE
    };
    let refused = admission.offer(NOW + ms(410), demand(3, 0, 1), &long);
    let Decision::Refuse {
        reason: HoldReason::Standstill,
        retry_after,
    } = refused
    else {
        panic!("{refused:?}");
    };
    assert!(
        (ms(750)..=ms(2250)).contains(&retry_after),
        "{retry_after:?}"
    );
}

/// A class that gets less than 40 % of its requests served has some start above the limit.
#[test]
fn offer_starved_class_starts_above_the_limit() {
    let mut admission = busy_admission();
    let mut admitted = 0;
    for i in 0..1000 {
        let at = NOW + ms(6000 + i * 10);
        let mut demand = demand(2000 + i, 2, 1);
        demand.received_at = at;
        demand.objective = ms(0);
        let full = Conditions {
            running: 600.0,
            point: (i * 37 % 100) as f64 / 100.0,
            ..FREE
        };
        admitted += u32::from(admission.offer(at, demand, &full) == ADMIT);
    }
    // At most 5 % of the limit per second, which is 25 over 10 s, and the rates at the begin.
    assert!((100..=280).contains(&admitted), "{admitted}");
}
