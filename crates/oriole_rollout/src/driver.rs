//! Tasks that run the state machines: one per rank's agent and one per candidate coordinator.
//!
//! The tasks own the state machines and the clock. The caller provides the store and
//! implementations of [`GroupTransport`] for messages and [`Engine`] for the engine.

mod coordinator_task;
mod rank_task;

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use oriole_placement::map::{ExpertMap, MapId};

use crate::engine::{EngineOrder, EngineState};
use crate::messages::{Envelope, Party};

pub use coordinator_task::{CoordinatorHandle, CoordinatorSettings, spawn_coordinator};
pub use rank_task::{RankHandle, spawn_rank};

/// Interval at which the state machines are ticked.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Maximum number of messages waiting for a state machine; further ones are dropped.
pub(crate) const INBOX_CAPACITY: usize = 1_024;

/// Carries messages between the agents of a group and its coordinator.
pub trait GroupTransport: Send + Sync + 'static {
    /// Sends a message. It may get lost; the call must not block.
    fn send(&self, to: Party, envelope: Envelope);
}

/// A call to the engine failed; an order may still have been obeyed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the engine gave no answer: {0}")]
pub struct EngineError(pub String);

/// Access to the engine of one rank.
///
/// Implementations must bound the duration of each call. Calls are made one at a time.
#[async_trait]
pub trait Engine: Send + Sync + 'static {
    /// Sends an order and returns the resulting state.
    async fn order(&self, order: EngineOrder) -> Result<EngineState, EngineError>;

    /// Reads the state.
    async fn state(&self) -> Result<EngineState, EngineError>;

    /// Reads back a staged map; `None` if the engine does not have it.
    async fn read_map(&self, id: MapId) -> Result<Option<Arc<ExpertMap>>, EngineError>;
}
