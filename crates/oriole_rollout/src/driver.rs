//! Tasks that run the machines: one for each rank's agent, one for each candidate coordinator.
//!
//! The tasks own the machines and the time; what they need from outside are two traits, one for
//! messages and one for the engine, and the store.

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

/// Interval of ticks.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Messages that wait for a machine; more are lost.
pub(crate) const INBOX_CAPACITY: usize = 1_024;

/// Carries messages between the agents of a group and its coordinator.
pub trait GroupTransport: Send + Sync + 'static {
    /// Sends a message; it may get lost, and must not block.
    fn send(&self, to: Party, envelope: Envelope);
}

/// The call to the engine failed; the order may have been obeyed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the engine gave no answer: {0}")]
pub struct EngineError(pub String);

/// One rank's engine as its agent reaches it.
///
/// Each call ends in bounded time. Calls are made one after the other.
#[async_trait]
pub trait Engine: Send + Sync + 'static {
    /// Gives an order and returns the state after it.
    async fn order(&self, order: EngineOrder) -> Result<EngineState, EngineError>;

    /// Reads the state.
    async fn state(&self) -> Result<EngineState, EngineError>;

    /// Reads back the body of a map whose weights the engine holds.
    async fn read_map(&self, id: MapId) -> Result<Option<Arc<ExpertMap>>, EngineError>;
}
