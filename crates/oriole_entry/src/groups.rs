//! Model groups as their coordinators describe them.

use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use oriole_placement::planner::PlanReason;
use oriole_rollout::status::{GroupPhase, GroupStatus, LastSwitch};
use oriole_types::prelude::*;
use serde::Serialize;
use tokio::time::Instant;

/// Time after which a description that is not renewed is dropped.
const STATUS_TTL: Duration = Duration::from_mins(1);

/// The newest description of each group.
#[derive(Default)]
pub struct GroupStatuses {
    received: Mutex<BTreeMap<GroupName, ReceivedStatus>>,
}

struct ReceivedStatus {
    from: VmName,
    received_at: Instant,
    status: GroupStatus,
}

/// A group as its coordinator sees it.
#[derive(Debug, Serialize, schemars::JsonSchema)]
pub struct GroupBody {
    /// Name of the group.
    pub name: String,
    /// VM whose agent coordinates it.
    pub coordinator: String,
    /// Fencing number of the coordinator.
    pub fence: u64,
    /// Time since the coordinator was last heard, in milliseconds.
    pub age_ms: u64,
    /// `gathering`, `steady`, `staging` or `deciding`.
    pub phase: String,
    /// Version of the map in force; absent before the first.
    pub map_version: Option<u64>,
    /// Digest of the map in force; absent before the first.
    pub map_digest: Option<String>,
    /// Highest step that a rank reported.
    pub step: u64,
    /// Expected step time, relative to a perfect balance.
    pub skew: f32,
    /// Ranks that are slow for longer than a stall.
    pub stragglers: Vec<usize>,
    /// Ranks without a fresh report.
    pub silent: Vec<u16>,
    /// The last change of the map.
    pub last_switch: Option<SwitchBody>,
}

/// A change of a group's map that has come to an end.
#[derive(Debug, Serialize, schemars::JsonSchema)]
pub struct SwitchBody {
    /// Version of the map.
    pub map_version: u64,
    /// Why: `first_map`, `shares`, `drift` or `speed`.
    pub reason: String,
    /// Whether the map came into force.
    pub committed: bool,
    /// Why it did not.
    pub failure: Option<String>,
    /// Expected step time before, relative to a perfect balance.
    pub skew_before: f32,
    /// Expected step time after, relative to a perfect balance.
    pub skew_after: f32,
    /// Experts read from the weight store.
    pub move_count: usize,
    /// The first of them.
    pub moves: Vec<MoveBody>,
}

/// An expert that a rank read.
#[derive(Debug, Serialize, schemars::JsonSchema)]
pub struct MoveBody {
    /// Layer.
    pub layer: u16,
    /// Rank that read it.
    pub rank: u16,
    /// Expert.
    pub expert: u16,
    /// Expert that it replaced.
    pub evicted: u16,
}

impl GroupStatuses {
    /// Takes in what an agent says of the group that it coordinates, as JSON; empty says nothing.
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

    /// All groups of which a coordinator was heard lately.
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
