//! What operators see of a group.

use oriole_placement::map::{MapId, Move};
use oriole_placement::planner::PlanReason;
use oriole_types::ids::{Fence, GroupName};

use crate::messages::RankId;

oriole_types::value_type! {
    /// What a group's coordinator is doing.
    #[derive(Default)]
    pub enum GroupPhase {
        /// Learning from the ranks what is in force.
        #[default]
        Gathering,
        /// Following the load; no switch is under way.
        Steady,
        /// Ranks read the weights of the next map.
        Staging,
        /// Ranks vote on the next map.
        Deciding,
    }
}

oriole_types::domain_type! {
    /// A switch that has come to an end.
    pub struct LastSwitch {
        /// Map that was proposed.
        pub map: MapId,
        /// Why.
        pub reason: PlanReason,
        /// Whether the map came into force.
        pub committed: bool,
        /// Why it did not, in one or two words.
        pub failure: Option<String>,
        /// Expected step time before, relative to a perfect balance.
        pub skew_before: f32,
        /// Expected step time after, relative to a perfect balance.
        pub skew_after: f32,
        /// Number of experts read from the weight store.
        pub move_count: usize,
        /// The first of them.
        pub moves: Vec<Move>,
    }
}

oriole_types::domain_type! {
    /// State of a group as its coordinator sees it.
    pub struct GroupStatus {
        /// Name of the group.
        pub group: GroupName,
        /// Fencing number of the coordinator.
        pub fence: Fence,
        /// What it is doing.
        pub phase: GroupPhase,
        /// Map in force; none before the first.
        pub map: Option<MapId>,
        /// Highest step that a rank reported.
        pub step: u64,
        /// Expected step time under the map in force, relative to a perfect balance.
        pub skew: f32,
        /// Ranks that are slower than the others for longer than a stall.
        pub stragglers: Vec<usize>,
        /// Ranks from which no fresh report has come.
        pub silent: Vec<RankId>,
        /// The last switch.
        pub last_switch: Option<LastSwitch>,
    }
}
