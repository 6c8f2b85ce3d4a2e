//! Which records are sent to a peer, across its restarts and lost messages.

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

/// Number of records in the next message to the peer.
fn sent_records(outbox: &mut PoisonOutbox, run: Incarnation) -> usize {
    let digest = outbox.next_digest(NOW, &ledger(), &"peer".into(), run);
    digest.records.len()
}

#[test]
fn next_digest_sends_each_record_once() {
    let mut outbox = PoisonOutbox::default();
    assert_eq!(sent_records(&mut outbox, FIRST_RUN), 1);
    assert_eq!(sent_records(&mut outbox, FIRST_RUN), 0);
}

/// Guards against a restarted peer that never receives the records sent to its earlier run.
#[test]
fn next_digest_sends_all_to_restarted_peer() {
    let mut outbox = PoisonOutbox::default();
    assert_eq!(sent_records(&mut outbox, FIRST_RUN), 1);
    assert_eq!(sent_records(&mut outbox, SECOND_RUN), 1);
}

#[test]
fn delivery_failed_sends_again() {
    let mut outbox = PoisonOutbox::default();
    assert_eq!(sent_records(&mut outbox, FIRST_RUN), 1);
    outbox.delivery_failed(&"peer".into());
    assert_eq!(sent_records(&mut outbox, FIRST_RUN), 1);
}
