//! Single decisions of the gate, the poison ledger, the fence gate and the confirmation tracker.

use std::collections::BTreeSet;
use std::time::Duration;

use oriole_admission::poison::{CrashId, home_of_suspect};
use oriole_admission::prelude::*;
use oriole_types::prelude::*;
use rstest::rstest;

const T0: Duration = Duration::from_secs(10);

fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

fn open_gate(cfg: GateConfig) -> Gate {
    let mut gate = Gate::new(cfg, T0);
    gate.set_service_state(T0, ServiceState::InService);
    gate.upstream_connected(T0, 0);
    gate.confirm_configuration(T0, &Confirmation::fresh("a".into()));
    gate
}

fn offer(n: u64) -> Offer {
    Offer::new(WorkId(n), Digest::of(&n.to_be_bytes()), T0 + ms(60_000))
}

fn reason(decision: Decision) -> Option<RefusalReason> {
    match decision {
        Decision::Refuse(refusal) => Some(refusal.reason),
        Decision::Admit | Decision::Queue => None,
    }
}

fn report(made_at: Duration, cold: bool) -> UpstreamReport {
    UpstreamReport {
        made_at,
        in_flight: 0,
        cold: Some(cold),
    }
}

/// A gate whose upstream is known to be warm, with 5 ms per token.
fn warm_gate() -> (Gate, Duration) {
    let mut gate = open_gate(GateConfig::default());
    gate.offer(T0, offer(1000));
    gate.upstream_report(T0, report(T0, false));
    let mut now = T0;
    for _ in 0..40 {
        now += ms(5);
        gate.output(now, WorkId(1000), 1);
    }
    gate.upstream_report(now, report(now, false));
    for _ in 0..80 {
        now += ms(5);
        gate.output(now, WorkId(1000), 1);
    }
    assert_eq!(gate.load_report(now).limit, 16);
    (gate, now)
}

#[test]
fn offer_before_any_service_state_is_refused() {
    let mut gate = Gate::new(GateConfig::default(), T0);
    gate.upstream_connected(T0, 0);
    gate.confirm_configuration(T0, &Confirmation::fresh("a".into()));
    assert_eq!(
        reason(gate.offer(T0, offer(1))),
        Some(RefusalReason::NoConfiguration)
    );
}

#[test]
fn offer_before_the_upstream_is_connected_is_refused() {
    let mut gate = Gate::new(GateConfig::default(), T0);
    gate.set_service_state(T0, ServiceState::InService);
    gate.confirm_configuration(T0, &Confirmation::fresh("a".into()));
    assert_eq!(
        reason(gate.offer(T0, offer(1))),
        Some(RefusalReason::AgentStarting)
    );
}

#[test]
fn offer_counts_requests_of_an_earlier_agent() {
    let mut gate = open_gate(GateConfig::default());
    gate.upstream_connected(T0, 1);
    assert_eq!(gate.offer(T0, offer(1)), Decision::Admit);
    assert_eq!(gate.offer(T0, offer(2)), Decision::Queue);
    let one_left = UpstreamReport {
        made_at: T0 + ms(20),
        in_flight: 1,
        cold: Some(true),
    };
    let actions = gate.upstream_report(T0 + ms(30), one_left);
    assert_eq!(actions, [Action::Start(WorkId(2))]);
}

#[test]
fn offer_at_the_time_of_a_warm_report_counts_as_exposed() {
    let (mut gate, now) = warm_gate();
    gate.finished(now, WorkId(1000), FinishKind::Complete);
    gate.upstream_report(now + ms(1), report(now + ms(1), false));
    let now = now + ms(1);
    let admitted = (1..9).filter(|n| gate.offer(now, offer(*n)) == Decision::Admit);
    assert_eq!(admitted.count(), 2);
    assert_eq!(gate.upstream_report(now, report(now, false)), []);
}

#[test]
fn output_received_late_is_no_evidence() {
    let (mut gate, now) = warm_gate();
    (1..9).for_each(|n| {
        gate.offer(now, offer(n));
    });
    // A pause of 100 ms, a burst of delayed outputs, then one whose gap looks like the warm pace.
    let mut started = Vec::new();
    for at in [100, 100, 101, 110] {
        gate.tick(now + ms(at - at % 5));
        started.extend(gate.output(now + ms(at), WorkId(1000), 1));
        started.extend(gate.tick(now + ms(at + 4)));
    }
    assert_eq!(started, []);
    assert_eq!(gate.output(now + ms(115), WorkId(1000), 1), []);
    let started = gate.output(now + ms(120), WorkId(1000), 1);
    assert_eq!(started.len(), 2);
}

#[test]
fn output_at_cold_pace_is_no_evidence_after_a_busy_time() {
    let (mut gate, mut now) = warm_gate();
    let receive = |gate: &mut Gate, now: &mut Duration, gap: u64| {
        let end = *now + ms(gap);
        while *now + ms(5) < end {
            *now += ms(5);
            gate.tick(*now);
        }
        *now = end;
        gate.output(*now, WorkId(1000), 1)
    };
    // A busy machine lengthens most gaps, so that their mean comes near the pace of a cold upstream.
    for n in 0..200 {
        receive(&mut gate, &mut now, if n % 16 == 0 { 5 } else { 12 });
        gate.upstream_report(now, report(now, false));
    }
    (1..9).for_each(|n| {
        gate.offer(now, offer(n));
    });
    for _ in 0..20 {
        assert_eq!(receive(&mut gate, &mut now, 20), []);
    }
}

#[test]
fn tick_collapses_on_silence() {
    let (mut gate, now) = warm_gate();
    for at in (5..=30).step_by(5) {
        gate.tick(now + ms(at));
        assert_eq!(gate.load_report(now).limit, 16);
    }
    gate.tick(now + ms(35));
    assert_eq!(gate.load_report(now).limit, 2);
}

#[rstest]
#[case::high(Priority::High, 8)]
#[case::normal(Priority::Normal, 6)]
#[case::low(Priority::Low, 4)]
fn offer_leaves_room_for_more_urgent_classes(#[case] priority: Priority, #[case] queued: usize) {
    let mut gate = open_gate(GateConfig {
        queue_capacity: 8,
        warm_concurrency: 2,
        ..GateConfig::default()
    });
    let decisions = (0..20).map(|n| gate.offer(T0, offer(n).with_priority(priority)));
    let decisions: Vec<_> = decisions.collect();
    assert_eq!(
        decisions.iter().filter(|d| **d == Decision::Queue).count(),
        queued
    );
    assert_eq!(reason(decisions[19]), Some(RefusalReason::UpstreamCold));
}

#[test]
fn tick_sheds_queue_of_cold_upstream() {
    let (mut gate, now) = warm_gate();
    let queued = (1..40).filter(|n| gate.offer(now, offer(*n)) == Decision::Queue);
    assert_eq!(queued.count(), 37);
    let actions = gate.upstream_report(now, report(now + ms(1), true));
    assert_eq!(actions, []);
    let actions = gate.tick(now + ms(5));
    assert_eq!(actions.len(), 37 - 8);
    let cold =
        |a: &Action| matches!(a, Action::Refuse(_, r) if r.reason == RefusalReason::UpstreamCold);
    assert!(actions.iter().all(cold));
}

#[test]
fn offer_that_cannot_start_in_time_is_refused_at_once() {
    let mut gate = open_gate(GateConfig::default());
    gate.offer(T0, offer(1));
    gate.finished(T0 + ms(1000), WorkId(1), FinishKind::Complete);
    let now = T0 + ms(1000);
    (2..6).for_each(|n| {
        gate.offer(now, offer(n));
    });
    // Two run and two wait, for a second each: low-priority work behind them starts after 1.5 s.
    let mut urgent = offer(6).with_priority(Priority::Low);
    urgent.deadline = now + ms(1400);
    assert_eq!(
        reason(gate.offer(now, urgent.clone())),
        Some(RefusalReason::Deadline)
    );
    urgent.deadline = now + ms(1600);
    assert_eq!(gate.offer(now, urgent), Decision::Queue);
}

#[test]
fn service_warms_by_whole_answers() {
    let mut gate = open_gate(GateConfig {
        kind: PoolKind::Service,
        ..GateConfig::default()
    });
    gate.upstream_report(T0, report(T0, false));
    for n in 0..40 {
        let at = T0 + ms(10 * n);
        assert_eq!(gate.offer(at, offer(n)), Decision::Admit);
        gate.finished(at + ms(10), WorkId(n), FinishKind::Complete);
        gate.upstream_report(at + ms(10), report(at + ms(10), false));
    }
    let load = gate.load_report(T0 + ms(400));
    assert!(load.limit > 2, "{load:?}");
    let admitted = (100..116).filter(|n| gate.offer(T0 + ms(401), offer(*n)) == Decision::Admit);
    assert_eq!(admitted.count(), 2);
}

#[test]
fn released_content_runs_alone_instead_of_being_refused() {
    let content = Digest::of(b"x");
    let mut ledger = PoisonLedger::default();
    for (number, solo) in [(1, false), (2, true)] {
        let id = CrashId {
            vm: "vm-1".into(),
            number,
        };
        ledger.record_crash(T0, &id, &BTreeSet::from([content]), solo);
    }
    assert_eq!(ledger.status(&content), ContentStatus::Quarantined);
    ledger.set_released([&content]);
    assert_eq!(ledger.status(&content), ContentStatus::Suspect);
}

#[test]
fn allowed_upstreams_narrow_with_each_crash() {
    let content = Digest::of(b"x");
    let pool: Vec<_> = (0..16).map(|n| VmName::new(&format!("vm-{n}"))).collect();
    let mut ledger = PoisonLedger::default();
    let mut seen = vec![ledger.allowed_upstreams(&content, &pool)];
    for (number, solo) in [(1, false), (2, true)] {
        let id = CrashId {
            vm: "vm-1".into(),
            number,
        };
        ledger.record_crash(T0, &id, &BTreeSet::from([content]), solo);
        seen.push(ledger.allowed_upstreams(&content, &pool));
    }
    let homes = homes(&content, &pool);
    let narrowed = [homes.clone(), vec![homes[0]], vec![]].map(AllowedUpstreams::Only);
    assert_eq!(seen, narrowed);
    let other = Digest::of(b"y");
    ledger.record_completion(&other, false);
    assert_eq!(
        ledger.allowed_upstreams(&other, &pool),
        AllowedUpstreams::Any
    );
}

#[test]
fn suspect_runs_away_from_its_home_only_if_pinned() {
    let mut gate = open_gate(GateConfig::default());
    let pool = ["upstream", "other"].map(VmName::new);
    gate.set_pool(&pool);
    let away = (0..99).find(|n| homes(&offer(*n).content, &pool)[0] == &pool[1]);
    let mut offer = offer(away.unwrap());
    let id = CrashId {
        vm: "other".into(),
        number: 1,
    };
    let contents = BTreeSet::from([offer.content]);
    gate.poison_mut().record_crash(T0, &id, &contents, false);
    assert_eq!(
        reason(gate.offer(T0, offer.clone())),
        Some(RefusalReason::NotHome)
    );
    offer.pinned = true;
    assert_eq!(gate.offer(T0, offer), Decision::Admit);
    // It runs alone nevertheless.
    let other = Offer::new(WorkId(1000), Digest::of(b"beside"), T0 + ms(60_000));
    assert_eq!(gate.offer(T0, other), Decision::Queue);
}

#[test]
fn upstream_without_cold_reports_warms_by_its_best_pace() {
    let mut gate = open_gate(GateConfig::default());
    let mut now = T0;
    for n in 0..30 {
        gate.confirm_configuration(now, &Confirmation::fresh("a".into()));
        assert_eq!(gate.offer(now, offer(n)), Decision::Admit);
        for _ in 0..10 {
            now += ms(5);
            gate.output(now, WorkId(n), 1);
        }
        gate.finished(now, WorkId(n), FinishKind::Complete);
    }
    assert!(gate.load_report(now).limit > 2);
}

#[test]
fn merge_in_any_order_gives_the_same_status() {
    let content = Digest::of(b"x");
    let mut parts = Vec::new();
    for (number, solo) in [(1, false), (2, false), (3, true)] {
        let mut ledger = PoisonLedger::default();
        let id = CrashId {
            vm: VmName::new("vm-1"),
            number,
        };
        ledger.record_crash(T0, &id, &BTreeSet::from([content]), solo);
        parts.push(ledger.digest_since(T0, 0).0);
    }
    let mut forward = PoisonLedger::default();
    let mut backward = PoisonLedger::default();
    for part in parts.iter().chain(&parts) {
        forward.merge(T0, part);
    }
    for part in parts.iter().rev() {
        backward.merge(T0, part);
    }
    assert_eq!(
        forward.digest_since(T0, 0).0,
        backward.digest_since(T0, 0).0
    );
    assert_eq!(forward.status(&content), ContentStatus::Quarantined);
    assert!(!forward.merge(T0, &parts[0]));
}

#[test]
fn digest_since_sends_each_change_once() {
    let mut ledger = PoisonLedger::default();
    let mut known = PoisonLedger::default();
    for n in 0..200u64 {
        let id = CrashId {
            vm: "vm-1".into(),
            number: n,
        };
        ledger.record_crash(
            T0,
            &id,
            &BTreeSet::from([Digest::of(&n.to_be_bytes())]),
            false,
        );
    }
    let mut version = 0;
    let mut messages = 0;
    while version < ledger.version() {
        let (digest, up_to) = ledger.digest_since(T0, version);
        known.merge(T0, &digest);
        version = up_to;
        messages += 1;
    }
    assert_eq!(messages, 4);
    for n in 0..200u64 {
        assert_eq!(
            known.status(&Digest::of(&n.to_be_bytes())),
            ContentStatus::Suspect
        );
    }
}

#[test]
fn homes_move_only_with_the_upstream_that_left() {
    let all: Vec<_> = (0..16).map(|n| VmName::new(&format!("vm-{n}"))).collect();
    let fewer = &all[..15];
    for n in 0..500u64 {
        let content = Digest::of(&n.to_be_bytes());
        let before = homes(&content, &all);
        assert_eq!(home_of_suspect(&content, &all), before.first().copied());
        if !before.contains(&&all[15]) {
            assert_eq!(homes(&content, fewer), before);
        }
    }
}

#[rstest]
#[case::store_read_recently(1000, &["a"], true)]
#[case::store_down_for_all(60_000, &["a", "b"], true)]
#[case::partitioned_with_its_domain(60_000, &["a"], false)]
fn may_admit_distinguishes_outage_from_partition(
    #[case] age_ms: u64,
    #[case] reachable: &[&str],
    #[case] admits: bool,
) {
    let mut tracker = ConfirmationTracker::new(ms(1500));
    let domains: [DomainName; 3] = ["a", "b", "c"].map(DomainName::new);
    tracker.set_domains(&domains);
    let now = T0 + ms(100_000);
    for domain in reachable {
        let age = Some(ms(age_ms));
        let domain = (*domain).into();
        tracker.record(now, &Confirmation { domain, age });
    }
    assert_eq!(tracker.may_admit(now), admits);
    assert!(!tracker.may_admit(now + ms(1600)));
}

#[test]
fn check_refuses_all_before_the_highest_number_is_known() {
    let mut fence = FenceGate::default();
    assert_eq!(fence.check(Fence(9)), Err(FenceRefusal::Unknown));
    fence.observe(Fence(7));
    fence.observe(Fence(5));
    let highest = Fence(7);
    assert_eq!(fence.check(Fence(6)), Err(FenceRefusal::Old { highest }));
    assert_eq!(fence.check(Fence(7)), Ok(()));
    assert_eq!(fence.check(Fence(8)), Ok(()));
    let highest = Fence(8);
    assert_eq!(fence.check(Fence(7)), Err(FenceRefusal::Old { highest }));
}
