//! Translates the pace of groups between the estimates and heartbeats.

use std::time::Duration;

use oriole_overload::prelude::*;

use super::message::{Heartbeat, PaceRecord};
use crate::gateway::Gateway;

/// Adds what this daemon knows to a heartbeat. `number` counts heartbeats.
pub fn fill(gateway: &Gateway, number: u64, heartbeat: &mut Heartbeat) {
    let now = gateway.clock.now();
    let records = gateway.streams().records(now, number).into_iter();
    let records = records.map(|record| PaceRecord {
        group: record.group,
        pause_ms: millis(record.pause),
        pauses: record.pauses,
        last_event_age_ms: millis(record.last_event_age),
        running: record.running,
    });
    heartbeat.pace = records.collect();
}

/// Takes in what a peer knows.
pub fn merge(gateway: &Gateway, heartbeat: &Heartbeat) {
    let Some(from) = heartbeat.from.as_ref().map(|from| from.name.as_str()) else {
        return;
    };
    if from == gateway.cfg.name {
        return;
    }
    let now = gateway.clock.now();
    for record in &heartbeat.pace {
        let record = GroupRecord {
            group: record.group,
            pause: Duration::from_millis(record.pause_ms.into()),
            pauses: record.pauses,
            last_event_age: Duration::from_millis(record.last_event_age_ms.into()),
            running: record.running,
        };
        gateway.streams().on_record(now, from, &record);
    }
}

fn millis(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
