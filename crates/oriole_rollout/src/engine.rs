//! The orders that an agent sends to its own engine, and the engine's state.
//!
//! An engine reads weights in the background and never starts a step at or beyond its hold. Orders
//! that determine which map it runs are compare-and-swap: they name the run of the engine and the
//! number of such orders it has obeyed, and have no effect if either has changed. A delayed order
//! of a crashed agent therefore does nothing once an order of its successor has been obeyed,
//! whether or not the engine checks fencing numbers.

use std::sync::Arc;

use oriole_placement::map::{ExpertMap, MapId};
use oriole_types::ids::{Fence, Incarnation};

use crate::messages::{Proposal, SwitchId};

oriole_types::value_type! {
    /// A step that an engine does not start until the hold is lifted.
    pub struct Hold {
        /// Switch whose outcome the engine waits for.
        pub switch: SwitchId,
        /// First step that the engine does not start.
        pub at_step: u64,
    }
}

oriole_types::domain_type! {
    /// State of an engine, as returned by each call.
    pub struct EngineState {
        /// Run of the engine. A restarted engine has a new one and has no weights loaded.
        pub run: Incarnation,
        /// Number of compare-and-swap orders obeyed in this run.
        pub sequence: u64,
        /// Highest fencing number of an obeyed order.
        pub fence: Fence,
        /// Next step that the engine will start.
        pub next_step: u64,
        /// Map that the engine uses; `None` before its first map.
        pub active: Option<MapId>,
        /// Switch that the engine will perform by itself once it reaches the step.
        pub armed: Option<Proposal>,
        /// Newest committed switch, as received with `Arm` or `Start`.
        pub decided: Option<Proposal>,
        /// Step before which the engine stops; `None` if it may continue.
        pub hold: Option<Hold>,
        /// Maps whose weights are completely loaded.
        pub staged: Vec<MapId>,
        /// Map whose weights the engine is reading.
        pub loading: Option<MapId>,
        /// Map whose last load failed; the partly read weights are freed.
        pub failed: Option<MapId>,
    }
}

oriole_types::domain_type! {
    /// The operation of an order.
    pub enum EngineOp {
        /// Read the weights of a map in the background.
        Stage(Arc<ExpertMap>),
        /// Free the weights of a map that is neither active nor armed.
        Unstage(MapId),
        /// Change nothing. Counts as an order, so that pending orders of earlier senders have no
        /// effect any more.
        Adopt,
        /// Stop before a step; no effect if it has been started.
        Hold(Hold),
        /// Lift the hold of a switch and change to its map, which must be staged, at its step.
        Arm(Proposal),
        /// Lift the hold of a switch and keep the current map.
        Release(SwitchId),
        /// Start using a staged map; no effect on an engine that already uses one.
        Start {
            /// Map to use.
            map: MapId,
            /// Newest committed switch.
            decided: Proposal,
        },
    }
}

oriole_types::domain_type! {
    /// An order with the values it is checked against.
    pub struct EngineOrder {
        /// Run of the engine that the order is for.
        pub run: Incarnation,
        /// Expected [`EngineState::sequence`]; not checked for `Stage` and `Unstage`.
        pub expect: u64,
        /// Highest fencing number known to the agent.
        pub fence: Fence,
        /// Operation.
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
