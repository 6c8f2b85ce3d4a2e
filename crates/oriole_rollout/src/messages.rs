//! Messages between the ranks and the coordinator of a group.

use std::sync::Arc;

use oriole_placement::map::{ExpertMap, MapId, MapVersion};
use oriole_types::ids::{Fence, Incarnation};

/// Index of a rank in its group.
pub type RankId = u16;

oriole_types::value_type! {
    /// Identifies one attempt at a switch. Ordered by fencing number, map version and attempt.
    #[derive(Default)]
    pub struct SwitchId {
        /// Fencing number of the coordinator that proposed it.
        pub fence: Fence,
        /// Version of the next map.
        pub version: MapVersion,
        /// Number of the attempt, counted per coordinator.
        pub attempt: u32,
    }
}

oriole_types::value_type! {
    /// A switch proposed by a coordinator.
    pub struct Proposal {
        /// Identifies the switch.
        pub switch: SwitchId,
        /// Map that must be in force before the switch; `None` if no engine uses a map yet.
        pub base: Option<MapId>,
        /// Map that is in force after the switch.
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
    /// State of a rank, sent to the coordinator in reply to a `Poll`.
    #[derive(Default)]
    pub struct RankReport {
        /// Next step that the engine will start; 0 until its state is known.
        pub next_step: u64,
        /// Map that the engine uses now; `None` if it uses none.
        pub active: Option<MapId>,
        /// Newest committed switch that the rank knows of.
        pub committed: Option<Proposal>,
        /// Switch whose outcome the rank is waiting for.
        pub undecided: Option<Proposal>,
        /// Whether the rank has recovered the state it needs after a restart.
        pub synced: bool,
        /// Maps whose weights are completely loaded.
        pub staged: Vec<MapId>,
        /// Map whose weights the engine is reading.
        pub loading: Option<MapId>,
        /// Map whose weights the engine failed to load.
        pub failed: Option<MapId>,
        /// Tokens that each slot processed since the last report, by layer; empty if unknown.
        pub tokens: Vec<Vec<f32>>,
        /// Load per busy time since the last report, relative to a typical rank; `None` if unknown.
        pub speed: Option<f32>,
        /// The map in force, if the coordinator requested it and the rank has it.
        pub map: Option<Arc<ExpertMap>>,
    }
}

oriole_types::domain_type! {
    /// State that a running agent sends to one that has just started.
    pub struct Welcome {
        /// Run of the agent that sent the `Hello`.
        pub to: Incarnation,
        /// Live runs of all agents as known to the sender, by rank; `None` if never seen.
        pub view: Vec<Option<Incarnation>>,
        /// Highest fencing number the sender has seen.
        pub fence: Fence,
        /// Newest committed switch that the sender knows of.
        pub committed: Option<Proposal>,
        /// The next and the base map of that switch, as far as the sender has them.
        pub maps: Vec<Arc<ExpertMap>>,
    }
}

oriole_types::domain_type! {
    /// A message within a group.
    pub enum GroupMessage {
        /// Coordinator to rank: request for a report.
        Poll {
            /// Whether the report should include the map in force.
            want_map: bool,
        },
        /// Rank to coordinator: the reply to `Poll`.
        Report(Box<RankReport>),
        /// Coordinator to rank: read the weights of a map in the background.
        Prepare(Arc<ExpertMap>),
        /// Coordinator to rank, or closer to rank: vote on a switch.
        Propose(Proposal),
        /// Rank to closer: the vote on a switch.
        Vote {
            /// The switch.
            proposal: Proposal,
            /// Whether the rank can use the next map and has stopped before its first step.
            yes: bool,
        },
        /// Closer to ranks and coordinator: the outcome of a switch.
        Outcome {
            /// The switch.
            proposal: Proposal,
            /// `true` if the next map comes into force, `false` if the switch is aborted.
            commit: bool,
        },
        /// Rank to rank: the sender has started without any state.
        Hello,
        /// Rank to rank: the answer to `Hello`.
        Welcome(Box<Welcome>),
        /// Rank to rank: request for a map.
        WantMap(MapId),
        /// Rank to rank: the reply to `WantMap`.
        HaveMap(Arc<ExpertMap>),
        /// Rank to rank: the sender knows a newer run of the receiver than this one.
        StaleRun(Incarnation),
        /// Rank to coordinator: the sender has seen this higher fencing number.
        StaleFence(Fence),
    }
}

oriole_types::domain_type! {
    /// A message with its sender.
    pub struct Envelope {
        /// Sender.
        pub from: Party,
        /// Run of the sender.
        pub incarnation: Incarnation,
        /// Content.
        pub message: GroupMessage,
    }
}
