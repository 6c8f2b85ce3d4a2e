//! State of a group as shown to operators.

use oriole_placement::map::{MapId, Move};
use oriole_placement::planner::PlanReason;
use oriole_types::ids::{Fence, GroupName};

use crate::messages::RankId;

oriole_types::value_type! {
    /// Current activity of a group's coordinator.
    #[derive(Default)]
    pub enum GroupPhase {
        /// Collecting reports to find out which map is in force.
        #[default]
        Gathering,
        /// Watching the load; no switch is in progress.
        Steady,
        /// Ranks are reading the weights of the next map.
        Staging,
        /// Ranks are voting on the next map.
        Deciding,
    }
}

oriole_types::domain_type! {
    /// A finished switch, committed or not.
    pub struct LastSwitch {
        /// Map that the switch was meant to put into force.
        pub map: MapId,
        /// Why the planner changed the map.
        pub reason: PlanReason,
        /// Whether the map came into force.
        pub committed: bool,
        /// Reason for a failure, such as `load_failed`; `None` if committed.
        pub failure: Option<String>,
        /// Expected step time under the previous map, relative to a perfect balance.
        pub skew_before: f32,
        /// Expected step time under the proposed map, relative to a perfect balance.
        pub skew_after: f32,
        /// Number of expert copies that the switch reads from the weight store.
        pub move_count: usize,
        /// The first few of these moves.
        pub moves: Vec<Move>,
    }
}

oriole_types::domain_type! {
    /// State of a group as known to its coordinator.
    pub struct GroupStatus {
        /// Name of the group.
        pub group: GroupName,
        /// Fencing number of the coordinator.
        pub fence: Fence,
        /// Current activity of the coordinator.
        pub phase: GroupPhase,
        /// Map in force; `None` before the first.
        pub map: Option<MapId>,
        /// Highest step that a rank reported.
        pub step: u64,
        /// Expected step time under the map in force, relative to a perfect balance.
        pub skew: f32,
        /// Ranks that have been slower than the others for longer than a short stall.
        pub stragglers: Vec<usize>,
        /// Ranks without a recent report.
        pub silent: Vec<RankId>,
        /// The last finished switch; `None` before the first under this coordinator.
        pub last_switch: Option<LastSwitch>,
    }
}
