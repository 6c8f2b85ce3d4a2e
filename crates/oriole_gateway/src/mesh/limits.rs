//! Translates the limits of upstreams between the limiter and heartbeats.

use std::time::Duration;

use oriole_admission::fleet_limit::{FleetLimits, LimitNotice};

use super::message::{Heartbeat, LimitRecord};
use crate::forward::limits;
use crate::gateway::Gateway;

/// Most limits in one heartbeat, so that it fits a datagram.
const MAX_LIMIT_RECORDS: usize = 24;

/// Adds what this daemon knows to a heartbeat. `number` counts heartbeats.
pub fn fill(gateway: &Gateway, number: u64, heartbeat: &mut Heartbeat) {
    let now = gateway.clock.now();
    let traffic = gateway.traffic();
    let notices = traffic.limits.notices(number, MAX_LIMIT_RECORDS);
    let records = notices.iter().map(|notice| LimitRecord {
        upstream: notice.upstream,
        per_s: notice.per_s,
        heard_at_ms: notice.at.as_millis() as u64,
    });
    heartbeat.limits = records.collect();
    heartbeat.fleet_time_ms = traffic.limits.fleet_time(now).as_millis() as u64;
}

/// Takes in what a peer knows.
pub fn merge(gateway: &Gateway, heartbeat: &Heartbeat) {
    let now = gateway.clock.now();
    let peer_time = Duration::from_millis(heartbeat.fleet_time_ms);
    gateway.traffic().limits.adopt_fleet_time(now, peer_time);
    for record in &heartbeat.limits {
        if record
            .per_s
            .is_some_and(|per_s| !FleetLimits::is_valid(per_s))
        {
            continue;
        }
        let notice = LimitNotice {
            upstream: record.upstream,
            per_s: record.per_s,
            at: Duration::from_millis(record.heard_at_ms),
        };
        let change = gateway.traffic().limits.merge(now, notice);
        if let Some(change) = change {
            let upstream = format!("{:016x}", record.upstream);
            limits::log(gateway, &upstream, change, "peer");
            gateway.mesh_wake.notify_one();
        }
    }
}
