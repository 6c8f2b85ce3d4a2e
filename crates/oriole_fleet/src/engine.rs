//! Expert-parallel engines, each a rank of a group that runs in lock-step.

use async_trait::async_trait;
use oriole_types::domain_type;

domain_type! {
    /// Limits on the expert maps of a service's groups.
    pub struct ExpertLimits {
        /// Layer sets that are placed separately.
        pub layer_sets: usize,
        /// Experts of a layer set.
        pub experts: usize,
        /// Experts of a layer set that one rank holds at most.
        pub max_experts_per_rank: usize,
        /// Experts of a layer set that may be new to a rank in one change of maps.
        pub max_new_experts_per_rank: usize,
        /// Share of a token's work that experts do.
        pub expert_share: f64,
        /// Time to copy one expert, in seconds.
        pub copy_s: f64,
    }
}

/// Experts of each rank, by layer set and rank.
pub type RankMap = Vec<Vec<Vec<u16>>>;

/// What an engine tells of itself.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Group that the engine belongs to.
    pub group: String,
    /// Run of the group; a re-formed group has another.
    pub epoch: u64,
    /// Rank in the group.
    pub rank: usize,
    /// Number of ranks.
    pub ranks: usize,
    /// Whether the group runs.
    pub group_running: bool,
    /// Last pass that was begun.
    pub pass: u64,
    /// Version of the map in use.
    pub map_version: u64,
    /// Version whose experts have been copied whole, if any.
    pub prepared_version: Option<u64>,
    /// Version that the rank will change to by itself, if any.
    pub armed_version: Option<u64>,
    /// Pass that the rank holds back, if any.
    pub held_pass: Option<u64>,
    /// Orders that it has accepted since its start.
    pub accepted_orders: u64,
    /// Requests that run at this rank.
    pub running_requests: u32,
    /// How many times as long as usual this rank takes.
    pub slowdown: f64,
}

/// How often each expert was chosen by this rank's requests since its start.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpertCounts {
    /// Run of the group.
    pub epoch: u64,
    /// Last pass that is counted.
    pub pass: u64,
    /// Counts by layer set and expert, one after the other.
    pub counts: Vec<u64>,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Copy the experts of a map.
    Prepare {
        /// Version, higher than any the rank has had.
        version: u64,
        /// Orders that the engine had accepted before: one that is carried out late, after others,
        /// has no effect.
        expected_orders: u64,
        /// The map.
        map: RankMap,
    },
    /// Change to a prepared map as a pass begins.
    Arm {
        /// Version.
        version: u64,
        /// Pass.
        pass: u64,
    },
    /// Do not let the group begin a pass until it is let go.
    Hold {
        /// Pass.
        pass: u64,
    },
    /// Let a pass begin that was held.
    Go {
        /// Pass.
        pass: u64,
    },
}

/// How an order ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is in force or has begun.
    Accepted,
    /// It does not fit the engine's state and had no effect.
    Refused,
}

/// Why a call to an engine gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// No answer came: an order may have been carried out, or may be later.
    #[error("no answer came: {0}")]
    NoAnswer(String),
    /// The answer cannot be read.
    #[error("the answer cannot be read: {0}")]
    Malformed(String),
}

/// An engine as agents use it. Each call ends in bounded time.
#[async_trait]
pub trait ExpertEngine: Send + Sync + 'static {
    /// Reads the engine's state.
    ///
    /// # Errors
    ///
    /// Fails if no answer comes or it cannot be read.
    async fn report(&self) -> Result<EngineReport, EngineError>;

    /// Reads how often experts were chosen.
    ///
    /// # Errors
    ///
    /// As [`ExpertEngine::report`].
    async fn expert_counts(&self) -> Result<ExpertCounts, EngineError>;

    /// Reads the map in use: the experts of this rank, by layer set.
    ///
    /// # Errors
    ///
    /// As [`ExpertEngine::report`].
    async fn current_experts(&self) -> Result<Vec<Vec<u16>>, EngineError>;

    /// Gives an order that has no effect in another run of the group.
    ///
    /// # Errors
    ///
    /// [`EngineError::NoAnswer`] if it may have been carried out, or may be later.
    async fn order(&self, epoch: u64, order: &EngineOrder) -> Result<OrderOutcome, EngineError>;
}
