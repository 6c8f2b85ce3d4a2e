//! Time since the start of the process.

use std::time::Duration;

use tokio::time::Instant;

/// Measures the time since it was started, with tokio's clock.
///
/// It supplies the time that state machines take as a parameter. Tests can pause and advance tokio's
/// clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    start: Instant,
}

impl Clock {
    /// Creates a clock that starts at zero now.
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
