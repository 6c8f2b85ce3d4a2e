//! Translates suspected requests and prompt parts between the part screen and heartbeats.

use std::time::Duration;

use bytes::Bytes;
use oriole_admission::poison::{
    Claim, CrashId, CrashReport, PoisonDigest, PoisonRecord, ScreenDigest,
};
use oriole_types::digest::Digest;
use oriole_types::ids::VmName;

use super::message::{ClaimRecord, Heartbeat, SuspectRecord};
use crate::gateway::Gateway;

/// Most suspected requests and most suspected parts in one heartbeat, so that it fits a datagram.
const MAX_RECORDS_PER_HEARTBEAT: usize = 24;

/// Heartbeats between two that carry suspects while nothing changes, for daemons that start late.
const SETTLED_HEARTBEATS: u64 = 5;

/// Most crashes by requests and most crashes by parts in one heartbeat, so that it fits a datagram.
const MAX_SUSPECT_RECORDS: usize = 64;

/// Most claims in one heartbeat, so that it fits a datagram.
const MAX_CLAIM_RECORDS: usize = 32;

/// Adds what this daemon knows to a heartbeat. `number` counts heartbeats.
pub fn fill(gateway: &Gateway, number: u64, heartbeat: &mut Heartbeat) {
    let now = gateway.clock.now();
    let screen = gateway.part_screen();
    let limit = if screen.is_settled(now) && !number.is_multiple_of(SETTLED_HEARTBEATS) {
        0
    } else {
        MAX_RECORDS_PER_HEARTBEAT
    };
    let digest = screen.digest(now, number, limit);
    let requests = suspect_records(&digest.requests, true).take(MAX_SUSPECT_RECORDS);
    let parts = suspect_records(&digest.parts, false).take(MAX_SUSPECT_RECORDS);
    heartbeat.suspects = requests.chain(parts).collect();
    let claims = screen.live_claims(now).map(|claim| ClaimRecord {
        part: Bytes::copy_from_slice(&claim.part.0),
        number: claim.number,
        age_ms: now.saturating_sub(claim.at).as_millis() as u64,
    });
    heartbeat.claims = claims.take(MAX_CLAIM_RECORDS).collect();
}

fn suspect_records(digest: &PoisonDigest, is_request: bool) -> impl Iterator<Item = SuspectRecord> {
    digest.records.iter().flat_map(move |record| {
        record.crashes.iter().map(move |crash| SuspectRecord {
            digest: Bytes::copy_from_slice(&record.content.0),
            instance: crash.id.vm.to_string(),
            run: crash.id.number,
            is_excused: crash.excused,
            age_ms: crash.age_ms,
            is_request,
        })
    })
}

/// Takes in what a peer knows.
pub fn merge(gateway: &Gateway, heartbeat: &Heartbeat) {
    if heartbeat.suspects.is_empty() && heartbeat.claims.is_empty() {
        return;
    }
    let now = gateway.clock.now();
    let digest = ScreenDigest {
        requests: poison_digest(heartbeat, true),
        parts: poison_digest(heartbeat, false),
    };
    let claims = heartbeat.claims.iter().filter_map(|claim| {
        Some(Claim {
            part: Digest::from_slice(&claim.part).ok()?,
            number: claim.number,
            at: now.saturating_sub(Duration::from_millis(claim.age_ms)),
        })
    });
    let claims: Vec<Claim> = claims.collect();
    gateway.part_screen().merge(now, &digest, &claims);
}

/// The crashes by whole requests, or those by parts.
fn poison_digest(heartbeat: &Heartbeat, is_request: bool) -> PoisonDigest {
    let suspects = heartbeat.suspects.iter();
    let records = suspects
        .filter(|s| s.is_request == is_request)
        .filter_map(|suspect| {
            let report = CrashReport {
                id: CrashId {
                    vm: VmName::new(&suspect.instance),
                    number: suspect.run,
                },
                solo: false,
                excused: suspect.is_excused,
                age_ms: suspect.age_ms,
            };
            Some(PoisonRecord {
                content: Digest::from_slice(&suspect.digest).ok()?,
                crashes: vec![report],
            })
        });
    PoisonDigest {
        records: records.collect(),
    }
}
