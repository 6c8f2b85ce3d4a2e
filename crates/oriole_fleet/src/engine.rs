//! Expert-parallel engines. Each engine is a rank of a group, and the ranks of a group run their
//! passes in lock-step.

use async_trait::async_trait;
use oriole_types::domain_type;

domain_type! {
    /// Limits on the expert maps of a service's groups.
    pub struct ExpertLimits {
        /// Number of layer sets; experts are placed for each separately.
        pub layer_sets: usize,
        /// Number of experts in a layer set.
        pub experts: usize,
        /// Maximum number of experts of a layer set on one rank.
        pub max_experts_per_rank: usize,
        /// Maximum number of experts of a layer set that one map change may add to a rank.
        pub max_new_experts_per_rank: usize,
        /// Share of the work for a token that is done by experts, from 0 to 1.
        pub expert_share: f64,
        /// Time to copy one expert, in seconds.
        pub copy_s: f64,
    }
}

/// An expert map: the experts of each rank, indexed by layer set, then rank.
pub type RankMap = Vec<Vec<Vec<u16>>>;

/// State of an engine, as it reports it.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EngineReport {
    /// Group that the engine belongs to.
    pub group: String,
    /// Epoch of the group; it changes when the group is formed again.
    pub epoch: u64,
    /// Rank in the group.
    pub rank: usize,
    /// Number of ranks in the group.
    pub ranks: usize,
    /// Whether the group runs.
    pub group_running: bool,
    /// Last pass that has started.
    pub pass: u64,
    /// Version of the current map.
    pub map_version: u64,
    /// Version of the map whose experts have all been copied, if any.
    pub prepared_version: Option<u64>,
    /// Version of the map that the rank is armed to switch to, if any.
    pub armed_version: Option<u64>,
    /// Pass that the rank holds, if any.
    pub held_pass: Option<u64>,
    /// Number of orders accepted since the engine started.
    pub accepted_orders: u64,
    /// Number of requests running on this rank.
    pub running_requests: u32,
    /// Ratio of the time that this rank takes to its usual time; 1 is normal speed.
    pub slowdown: f64,
}

/// How often each expert was picked by this rank's requests since the engine started.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ExpertCounts {
    /// Epoch of the group.
    pub epoch: u64,
    /// Last pass included in the counts.
    pub pass: u64,
    /// Counts of all layer sets, concatenated; within a set, indexed by expert.
    pub counts: Vec<u64>,
}

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum EngineOrder {
    /// Copies the experts of a map to the rank.
    Prepare {
        /// Version of the map; must be higher than any earlier one of the rank.
        version: u64,
        /// Number of orders that the engine must have accepted so far. It makes an order that
        /// arrives late, after others, have no effect.
        expected_orders: u64,
        /// Experts of all ranks.
        map: RankMap,
    },
    /// Switches to a prepared map at the start of a pass.
    Arm {
        /// Version of the prepared map.
        version: u64,
        /// Pass that is the first to use the map.
        pass: u64,
    },
    /// Keeps the group from starting a pass until [`EngineOrder::Go`].
    Hold {
        /// Pass to hold.
        pass: u64,
    },
    /// Releases a held pass.
    Go {
        /// Pass to release.
        pass: u64,
    },
}

/// An engine's answer to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The order has taken effect or has started.
    Accepted,
    /// The order does not fit the engine's state and had no effect.
    Refused,
}

/// Why a call to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum EngineError {
    /// No answer arrived. An order may have been executed, or may still be.
    #[error("no answer came: {0}")]
    NoAnswer(String),
    /// The answer has an unexpected status or cannot be parsed.
    #[error("the answer cannot be read: {0}")]
    Malformed(String),
}

/// Client of an engine. Every call has a timeout.
#[async_trait]
pub trait ExpertEngine: Send + Sync + 'static {
    /// Reads the engine's state.
    ///
    /// # Errors
    ///
    /// Fails if no answer arrives in time or the answer is malformed.
    async fn report(&self) -> Result<EngineReport, EngineError>;

    /// Reads how often each expert was picked.
    ///
    /// # Errors
    ///
    /// As [`ExpertEngine::report`].
    async fn expert_counts(&self) -> Result<ExpertCounts, EngineError>;

    /// Reads the experts of this rank in the current map, indexed by layer set.
    ///
    /// # Errors
    ///
    /// As [`ExpertEngine::report`].
    async fn current_experts(&self) -> Result<Vec<Vec<u16>>, EngineError>;

    /// Sends an order; it has no effect if the group is in another epoch.
    ///
    /// # Errors
    ///
    /// [`EngineError::NoAnswer`] if the order may have been executed or may still be;
    /// [`EngineError::Malformed`] on an unexpected answer.
    async fn order(&self, epoch: u64, order: &EngineOrder) -> Result<OrderOutcome, EngineError>;
}
