//! Time since the process started, as the state machines take it.

use std::time::Duration;

use tokio::time::Instant;

/// The runtime's clock, counted from the start of the process.
///
/// Use it to give the time to state machines; tests pause and advance the runtime's clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// A clock that starts now.
    #[must_use]
    pub fn start() -> Self {
        let start = Instant::now();
        Self { start }
    }

    /// Time since the start.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }
}
