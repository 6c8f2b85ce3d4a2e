//! Errors of the kernel.

use oriole_types::error::{Peer, StepError};

/// What can go wrong while a process is assembled, started or stopped.
#[derive(Debug, thiserror::Error)]
pub enum KernelError {
    /// Two services registered under one name.
    #[error("service {name:?} is registered twice")]
    Duplicate {
        /// The name.
        name: String,
    },
    /// No service has that name.
    #[error("service {name:?} is not registered")]
    NotRegistered {
        /// The name.
        name: String,
    },
    /// The service has another type than the one asked for.
    #[error("service {name:?} is not a {expected}")]
    WrongType {
        /// The name.
        name: String,
        /// The type asked for.
        expected: &'static str,
    },
    /// Services wait for each other in a circle.
    #[error("services wait for each other: {names}")]
    DependencyCycle {
        /// The services, separated by commas.
        names: String,
    },
    /// A service did not start.
    #[error("service {name:?} did not start: {message}")]
    Start {
        /// The name.
        name: String,
        /// What the service said.
        message: String,
    },
    /// Settings cannot be read or are not valid.
    #[error("{path}: {message}")]
    Settings {
        /// The file.
        path: String,
        /// Line, key and what is allowed.
        message: String,
    },
}

impl KernelError {
    /// The error with the step at which it arose.
    #[must_use]
    pub fn at(self, step: &'static str) -> StepError<Self> {
        StepError::new(step, Peer::Local, self)
    }
}
