//! What ranks and coordinator of a group say to each other.

use std::sync::Arc;

use oriole_placement::map::{ExpertMap, MapId, MapVersion};
use oriole_types::ids::{Fence, Incarnation};

/// Index of a rank in its group.
pub type RankId = u16;

oriole_types::value_type! {
    /// Number of a switch: the coordinator's fencing number, then the version of the next map.
    #[derive(Default)]
    pub struct SwitchId {
        /// Fencing number of the coordinator that proposed it.
        pub fence: Fence,
        /// Version of the next map.
        pub version: MapVersion,
        /// Ordinal of the try, for one coordinator and version.
        pub attempt: u32,
    }
}

oriole_types::value_type! {
    /// A switch that a coordinator proposes.
    pub struct Proposal {
        /// Its number.
        pub switch: SwitchId,
        /// Map that must be in force before it; none for a group's first map.
        pub base: Option<MapId>,
        /// Map that is in force after it.
        pub next: MapId,
        /// First step under the next map.
        pub at_step: u64,
        /// Rank that counts the votes and decides.
        pub closer: RankId,
    }
}

oriole_types::value_type! {
    /// Sender or receiver of a message.
    pub enum Party {
        /// The agent of a rank.
        Rank(RankId),
        /// The coordinator with this fencing number.
        Coordinator(Fence),
    }
}

oriole_types::domain_type! {
    /// What a rank tells its coordinator.
    #[derive(Default)]
    pub struct RankReport {
        /// Next step of its engine.
        pub next_step: u64,
        /// Map that its engine uses now.
        pub active: Option<MapId>,
        /// Newest switch that it knows to be decided for its next map.
        pub committed: Option<Proposal>,
        /// Whether it waits for the outcome of a switch.
        pub undecided: Option<Proposal>,
        /// Whether it has learnt all it must know after a restart.
        pub synced: bool,
        /// Maps whose weights its engine holds whole.
        pub staged: Vec<MapId>,
        /// Map whose weights its engine is reading.
        pub loading: Option<MapId>,
        /// Map whose weights its engine could not load.
        pub failed: Option<MapId>,
        /// Tokens that each slot took since the last report, layer by layer; empty if not known.
        pub tokens: Vec<Vec<f32>>,
        /// Load over busy time since the last report, relative to a usual rank.
        pub speed: Option<f32>,
        /// The map in force, if the coordinator asked for it.
        pub map: Option<Arc<ExpertMap>>,
    }
}

oriole_types::domain_type! {
    /// What an agent that knows more tells one that has just started.
    pub struct Welcome {
        /// Run of the agent that asked.
        pub to: Incarnation,
        /// Runs of all agents as the sender knows them, by rank.
        pub view: Vec<Option<Incarnation>>,
        /// Highest fencing number the sender has seen.
        pub fence: Fence,
        /// Newest switch that the sender knows to be decided for its next map.
        pub committed: Option<Proposal>,
        /// Bodies of the maps of that switch.
        pub maps: Vec<Arc<ExpertMap>>,
    }
}

oriole_types::domain_type! {
    /// A message within a group.
    pub enum GroupMessage {
        /// Coordinator to rank: report, with the map in force if asked for.
        Poll {
            /// Whether the report shall carry the map in force.
            want_map: bool,
        },
        /// Rank to coordinator: the report.
        Report(Box<RankReport>),
        /// Coordinator to rank: read the weights of a map in the background.
        Prepare(Arc<ExpertMap>),
        /// Coordinator to rank: vote on a switch.
        Propose(Proposal),
        /// Rank to closer: the vote on a switch.
        Vote {
            /// The switch.
            proposal: Proposal,
            /// Whether the rank can use the next map and has stopped short of its first step.
            yes: bool,
        },
        /// Closer to ranks and coordinator: the outcome of a switch.
        Outcome {
            /// The switch.
            proposal: Proposal,
            /// Whether the next map is in force from its first step.
            commit: bool,
        },
        /// Rank to rank: the sender has started without memory.
        Hello,
        /// Rank to rank: the answer to `Hello`.
        Welcome(Box<Welcome>),
        /// Rank to rank: the sender needs the body of a map.
        WantMap(MapId),
        /// Rank to rank: the body of a map.
        HaveMap(Arc<ExpertMap>),
        /// Rank to rank: the sender takes the receiver's run for an older one.
        StaleRun(Incarnation),
        /// Rank to coordinator: a higher fencing number has been seen.
        StaleFence(Fence),
    }
}

oriole_types::domain_type! {
    /// A message with its sender.
    pub struct Envelope {
        /// Who sent it.
        pub from: Party,
        /// Run of the sender.
        pub incarnation: Incarnation,
        /// The message.
        pub message: GroupMessage,
    }
}
