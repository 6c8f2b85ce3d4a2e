//! Simulated faults of the in-process store.

use std::fmt;
use std::str::FromStr;

oriole_types::value_type! {
    /// A fault of the store that lasts until it is switched off.
    #[derive(Default)]
    pub enum StoreFault {
        /// No fault.
        #[default]
        Up,
        /// Refuses every call; nothing is written.
        Down,
        /// Answers calls with a higher latency.
        Slow,
        /// Writes take effect but their answers are lost; reads work.
        LoseAnswers,
    }
}

oriole_types::value_type! {
    /// A fault of a single write, queued by a test.
    pub enum WriteFault {
        /// No fault, so that the next fault in the queue applies to a later write.
        Pass,
        /// The write takes effect but its answer is lost.
        LoseAnswer,
        /// The request is lost and not written. The caller cannot distinguish this from
        /// [`WriteFault::LoseAnswer`].
        LoseRequest,
    }
}

/// The text is not the name of a [`StoreFault`].
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("unknown store fault {0:?}: expected up, down, slow or lose_answers")]
pub struct ParseFaultError(pub String);

impl StoreFault {
    /// Name of the fault.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Up => "up",
            Self::Down => "down",
            Self::Slow => "slow",
            Self::LoseAnswers => "lose_answers",
        }
    }
}

impl fmt::Display for StoreFault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

impl FromStr for StoreFault {
    type Err = ParseFaultError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::Up, Self::Down, Self::Slow, Self::LoseAnswers]
            .into_iter()
            .find(|fault| fault.as_str() == text)
            .ok_or_else(|| ParseFaultError(text.to_owned()))
    }
}
