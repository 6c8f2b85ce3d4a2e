//! The orders that an agent gives its own engine, and the engine's state.
//!
//! What an engine has to do: it reads weights in the background and never starts a step at or
//! beyond its hold. Orders that decide which map it runs are compare-and-swap: they name the run
//! of the engine and the number of such orders it has obeyed, and have no effect if either has
//! changed. So an order of a dead agent that arrives late does nothing once its successor has been
//! obeyed, whether or not the engine checks fencing numbers.

use std::sync::Arc;

use oriole_placement::map::{ExpertMap, MapId};
use oriole_types::ids::{Fence, Incarnation};

use crate::messages::{Proposal, SwitchId};

oriole_types::value_type! {
    /// A step that an engine does not start until it is told how to go on.
    pub struct Hold {
        /// Switch the engine waits for.
        pub switch: SwitchId,
        /// First step it does not start.
        pub at_step: u64,
    }
}

oriole_types::domain_type! {
    /// State of an engine as it answers it.
    pub struct EngineState {
        /// Run of the engine; a restarted engine has another, and holds nothing.
        pub run: Incarnation,
        /// Number of compare-and-swap orders it has obeyed in this run.
        pub sequence: u64,
        /// Highest fencing number it has obeyed.
        pub fence: Fence,
        /// Next step it will start.
        pub next_step: u64,
        /// Map it uses; none until it is started.
        pub active: Option<MapId>,
        /// Switch it will carry out by itself.
        pub armed: Option<Proposal>,
        /// Newest switch it was told to be decided, by `Arm` or `Start`.
        pub decided: Option<Proposal>,
        /// Step it does not start.
        pub hold: Option<Hold>,
        /// Maps whose weights it holds whole.
        pub staged: Vec<MapId>,
        /// Map whose weights it is reading.
        pub loading: Option<MapId>,
        /// Map whose last load failed; what was read of it is freed.
        pub failed: Option<MapId>,
    }
}

oriole_types::domain_type! {
    /// What an engine is ordered to do.
    pub enum EngineOp {
        /// Read the weights of a map in the background.
        Stage(Arc<ExpertMap>),
        /// Free the weights of a map that is neither active nor armed.
        Unstage(MapId),
        /// Change nothing: counts as an order, so that earlier senders' orders lose their effect.
        Adopt,
        /// Do not start a step; no effect if it has been started.
        Hold(Hold),
        /// Lift the switch's hold and change to its map, which is held whole, at its step.
        Arm(Proposal),
        /// Lift the hold.
        Release(SwitchId),
        /// Use a map that is held whole; no effect on an engine that uses one.
        Start {
            /// Map.
            map: MapId,
            /// Newest switch that is decided.
            decided: Proposal,
        },
    }
}

oriole_types::domain_type! {
    /// An order with what it is checked against.
    pub struct EngineOrder {
        /// Run of the engine that is meant.
        pub run: Incarnation,
        /// Number of orders the engine must have obeyed; not checked for weights.
        pub expect: u64,
        /// Fencing number.
        pub fence: Fence,
        /// What to do.
        pub op: EngineOp,
    }
}

impl EngineOp {
    /// Whether the order is compare-and-swap.
    #[must_use]
    pub fn is_checked(&self) -> bool {
        !matches!(self, Self::Stage(_) | Self::Unstage(_))
    }
}
