//! Faults that can be switched on at the in-process store.

use std::fmt;
use std::str::FromStr;

oriole_types::value_type! {
    /// How the store misbehaves.
    #[derive(Default)]
    pub enum StoreFault {
        /// Not at all.
        #[default]
        Up,
        /// Refuses every call; nothing is written.
        Down,
        /// Answers late.
        Slow,
        /// Writes take effect and their answers are lost; reads work.
        LoseAnswers,
    }
}

oriole_types::value_type! {
    /// A fault of one write, scripted by a test.
    pub enum WriteFault {
        /// None: the fault that follows is for a later write.
        Pass,
        /// The write takes effect; its answer is lost.
        LoseAnswer,
        /// The write is lost on its way, which its caller cannot tell from a lost answer.
        LoseRequest,
    }
}

/// No fault has this name.
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
