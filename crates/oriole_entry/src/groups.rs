//! Status of the model groups, as reported by their coordinators.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use oriole_placement::planner::PlanReason;
use oriole_rollout::status::{GroupPhase, GroupStatus, LastSwitch};
use oriole_types::prelude::*;
use serde::Serialize;
use tokio::time::Instant;

/// Time after which a status that is not renewed is dropped.
const STATUS_TTL: Duration = Duration::from_mins(1);

/// The newest status of each group.
#[derive(Default)]
pub struct GroupStatuses {
    received: Mutex<BTreeMap<GroupName, ReceivedStatus>>,
}

struct ReceivedStatus {
    from: VmName,
    received_at: Instant,
    status: GroupStatus,
}

/// Status of a group, as its coordinator reports it.
#[derive(Debug, Serialize, schemars::JsonSchema)]
pub struct GroupBody {
    /// Name of the group.
    pub name: String,
    /// VM whose agent coordinates it.
    pub coordinator: String,
    /// Fencing number of the coordinator.
    pub fence: u64,
    /// Time since the coordinator's last report, in milliseconds.
    pub age_ms: u64,
    /// `gathering`, `steady`, `staging` or `deciding`.
    pub phase: String,
    /// Version of the active map; absent before the first map.
    pub map_version: Option<u64>,
    /// Digest of the active map; absent before the first map.
    pub map_digest: Option<String>,
    /// Highest step that a rank reported.
    pub step: u64,
    /// Expected step time relative to that of a perfect balance.
    pub skew: f32,
    /// Ranks that have been slower than the others for longer than a short stall.
    pub stragglers: Vec<usize>,
    /// Ranks without a recent report.
    pub silent: Vec<u16>,
    /// The last finished change of the map.
    pub last_switch: Option<SwitchBody>,
}

/// A finished change of a group's map.
#[derive(Debug, Serialize, schemars::JsonSchema)]
pub struct SwitchBody {
    /// Version of the map.
    pub map_version: u64,
    /// What caused the change: `first_map`, `shares`, `drift` or `speed`.
    pub reason: String,
    /// Whether the map became active.
    pub committed: bool,
    /// Why the map did not become active; absent if it did.
    pub failure: Option<String>,
    /// Expected step time before the change, relative to that of a perfect balance.
    pub skew_before: f32,
    /// Expected step time after the change, relative to that of a perfect balance.
    pub skew_after: f32,
    /// Number of experts that ranks loaded from the weight store.
    pub move_count: usize,
    /// The first of these moves.
    pub moves: Vec<MoveBody>,
}

/// An expert that a rank loaded.
#[derive(Debug, Serialize, schemars::JsonSchema)]
pub struct MoveBody {
    /// Layer of the expert.
    pub layer: u16,
    /// Rank that loaded it.
    pub rank: u16,
    /// Index of the expert in its layer.
    pub expert: u16,
    /// Expert that it replaced.
    pub evicted: u16,
}

impl GroupStatuses {
    /// Records the status of the group that an agent coordinates. `json` is empty if it coordinates
    /// none. A status with a lower fencing number than the known one is ignored.
    pub fn record_status(&self, from: &VmName, json: &[u8]) {
        if json.is_empty() {
            return;
        }
        let Ok(status) = serde_json::from_slice::<GroupStatus>(json) else {
            metrics::counter!("oriole_group_refusals_total", "reason" => "malformed").increment(1);
            return;
        };
        let mut received = self.lock();
        let known = received.get(&status.group);
        if known.is_some_and(|s| s.status.fence > status.fence) {
            return;
        }
        let name = status.group.clone();
        let newer = ReceivedStatus {
            from: from.clone(),
            received_at: Instant::now(),
            status,
        };
        received.insert(name, newer);
    }

    /// All groups whose coordinator has reported recently.
    #[must_use]
    pub fn bodies(&self) -> Vec<GroupBody> {
        let mut received = self.lock();
        received.retain(|_, s| s.received_at.elapsed() < STATUS_TTL);
        received.values().map(group_body).collect()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<GroupName, ReceivedStatus>> {
        self.received.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn group_body(received: &ReceivedStatus) -> GroupBody {
    let status = &received.status;
    GroupBody {
        name: status.group.to_string(),
        coordinator: received.from.to_string(),
        fence: status.fence.0,
        age_ms: u64::try_from(received.received_at.elapsed().as_millis()).unwrap_or(u64::MAX),
        phase: phase_name(status.phase).into(),
        map_version: status.map.map(|m| m.version.0),
        map_digest: status.map.map(|m| m.digest.to_string()),
        step: status.step,
        skew: status.skew,
        stragglers: status.stragglers.clone(),
        silent: status.silent.clone(),
        last_switch: status.last_switch.as_ref().map(switch_body),
    }
}

fn phase_name(phase: GroupPhase) -> &'static str {
    match phase {
        GroupPhase::Gathering => "gathering",
        GroupPhase::Steady => "steady",
        GroupPhase::Staging => "staging",
        GroupPhase::Deciding => "deciding",
    }
}

fn switch_body(last: &LastSwitch) -> SwitchBody {
    let moves = last.moves.iter().map(|m| MoveBody {
        layer: m.layer,
        rank: m.rank,
        expert: m.expert,
        evicted: m.evicted,
    });
    SwitchBody {
        map_version: last.map.version.0,
        reason: reason_name(last.reason).into(),
        committed: last.committed,
        failure: last.failure.clone(),
        skew_before: last.skew_before,
        skew_after: last.skew_after,
        move_count: last.move_count,
        moves: moves.collect(),
    }
}

fn reason_name(reason: PlanReason) -> &'static str {
    match reason {
        PlanReason::FirstMap => "first_map",
        PlanReason::Shares => "shares",
        PlanReason::Drift => "drift",
        PlanReason::Speed => "speed",
    }
}
