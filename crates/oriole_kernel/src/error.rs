//! Errors of this crate.

use oriole_types::error::{Peer, StepError};

/// Why a process could not be built or started.
#[derive(Debug, thiserror::Error)]
pub enum KernelError {
    /// The name is already registered.
    #[error("service {name:?} is registered twice")]
    Duplicate {
        /// Name of the service.
        name: String,
    },
    /// No service is registered under the name.
    #[error("service {name:?} is not registered")]
    NotRegistered {
        /// Name of the service.
        name: String,
    },
    /// The service does not have the requested type.
    #[error("service {name:?} is not a {expected}")]
    WrongType {
        /// Name of the service.
        name: String,
        /// The requested type.
        expected: &'static str,
    },
    /// The dependencies of services form a cycle.
    #[error("services wait for each other: {names}")]
    DependencyCycle {
        /// Names of the services that could not be ordered, separated by commas.
        names: String,
    },
    /// A service failed to start.
    #[error("service {name:?} did not start: {message}")]
    Start {
        /// Name of the service.
        name: String,
        /// Error text of the service.
        message: String,
    },
    /// The settings file cannot be read or is not valid.
    #[error("{path}: {message}")]
    Settings {
        /// Path of the file.
        path: String,
        /// Line and key of the error, and the allowed values.
        message: String,
    },
}

impl KernelError {
    /// Wraps the error with the step that failed.
    #[must_use]
    pub fn at(self, step: &'static str) -> StepError<Self> {
        StepError::new(step, Peer::Local, self)
    }
}
