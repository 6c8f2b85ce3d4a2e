//! Translates suspected prompt parts between the part screen and heartbeats.

use std::time::Duration;

use bytes::Bytes;
use oriole_admission::poison::{Claim, CrashId, CrashReport, PoisonDigest, PoisonRecord};
use oriole_types::digest::Digest;
use oriole_types::ids::VmName;

use super::message::{ClaimRecord, Heartbeat, SuspectRecord};
use crate::gateway::Gateway;

/// Most parts in one heartbeat, so that it fits a datagram.
const MAX_PARTS_PER_HEARTBEAT: usize = 24;

/// Most crashes in one heartbeat, so that it fits a datagram.
const MAX_SUSPECT_RECORDS: usize = 64;

/// Most claims in one heartbeat, so that it fits a datagram.
const MAX_CLAIM_RECORDS: usize = 32;

/// Adds what this daemon knows to a heartbeat. `number` counts heartbeats.
pub fn fill(gateway: &Gateway, number: u64, heartbeat: &mut Heartbeat) {
    let now = gateway.clock.now();
    let screen = gateway.part_screen();
    let digest = screen.digest(now, number, MAX_PARTS_PER_HEARTBEAT);
    let suspects = digest.records.iter().flat_map(|record| {
        record.crashes.iter().map(|crash| SuspectRecord {
            part: Bytes::copy_from_slice(&record.content.0),
            instance: crash.id.vm.to_string(),
            run: crash.id.number,
            is_excused: crash.excused,
            age_ms: crash.age_ms,
        })
    });
    heartbeat.suspects = suspects.take(MAX_SUSPECT_RECORDS).collect();
    let claims = screen.live_claims(now).map(|claim| ClaimRecord {
        part: Bytes::copy_from_slice(&claim.part.0),
        number: claim.number,
        age_ms: now.saturating_sub(claim.at).as_millis() as u64,
    });
    heartbeat.claims = claims.take(MAX_CLAIM_RECORDS).collect();
}

/// Takes in what a peer knows.
pub fn merge(gateway: &Gateway, heartbeat: &Heartbeat) {
    if heartbeat.suspects.is_empty() && heartbeat.claims.is_empty() {
        return;
    }
    let now = gateway.clock.now();
    let records = heartbeat.suspects.iter().filter_map(|suspect| {
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
            content: Digest::from_slice(&suspect.part).ok()?,
            crashes: vec![report],
        })
    });
    let digest = PoisonDigest {
        records: records.collect(),
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
