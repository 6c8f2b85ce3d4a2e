//! What peers are told of crashes, over restarts and lost messages.

use std::time::Duration;

use oriole_admission::poison::{
    CrashId, CrashReport, PoisonDigest, PoisonLedger, PoisonOutbox, PoisonRecord,
};
use oriole_types::prelude::*;

const NOW: Duration = Duration::from_secs(1);
const FIRST_RUN: Incarnation = Incarnation(1);
const SECOND_RUN: Incarnation = Incarnation(2);

fn ledger() -> PoisonLedger {
    let crash = CrashReport {
        id: CrashId {
            vm: "upstream-1".into(),
            number: 1,
        },
        solo: false,
        excused: false,
        age_ms: 0,
    };
    let record = PoisonRecord {
        content: Digest::of(b"body"),
        crashes: vec![crash],
    };
    let mut ledger = PoisonLedger::default();
    ledger.merge(
        NOW,
        &PoisonDigest {
            records: vec![record],
        },
    );
    ledger
}

fn told(outbox: &mut PoisonOutbox, run: Incarnation) -> usize {
    let digest = outbox.next_digest(NOW, &ledger(), &"peer".into(), run);
    digest.records.len()
}

#[test]
fn next_tells_once() {
    let mut outbox = PoisonOutbox::default();
    assert_eq!(told(&mut outbox, FIRST_RUN), 1);
    assert_eq!(told(&mut outbox, FIRST_RUN), 0);
}

/// A peer that came back after a restart was not told what it had been told before.
#[test]
fn next_tells_restarted_peer_again() {
    let mut outbox = PoisonOutbox::default();
    assert_eq!(told(&mut outbox, FIRST_RUN), 1);
    assert_eq!(told(&mut outbox, SECOND_RUN), 1);
}

#[test]
fn lost_is_told_again() {
    let mut outbox = PoisonOutbox::default();
    assert_eq!(told(&mut outbox, FIRST_RUN), 1);
    outbox.delivery_failed(&"peer".into());
    assert_eq!(told(&mut outbox, FIRST_RUN), 1);
}
