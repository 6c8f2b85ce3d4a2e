//! Errors and the exit codes that scripts can use.

use oriole_catalog::document::DocumentErrors;
use oriole_catalog::stored::{ChangeError, RepositoryError};
use oriole_types::error::StepError;
use oriole_types::ids::Revision;

use crate::http_get::GetError;

/// How a command ended, as its exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
#[repr(u8)]
pub enum ExitStatus {
    /// Done.
    Done = 0,
    /// Failed for a reason that has no code of its own.
    Failed = 1,
    /// The input is invalid; nothing was changed.
    Invalid = 2,
    /// Somebody else changed the same; nothing was changed.
    Conflict = 3,
    /// The store or the VM list does not answer; nothing was changed.
    Unavailable = 4,
    /// Nobody knows whether the change was accepted.
    Unsettled = 5,
    /// The change is accepted and durable, but was not seen in force everywhere in time.
    NotInForce = 6,
    /// There is no such thing; nothing was changed.
    NotFound = 7,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CtlError {
    /// A file cannot be read.
    #[error("{file}: {source}")]
    File {
        /// File.
        file: String,
        /// Why.
        source: std::io::Error,
    },
    /// The settings are invalid.
    #[error("{0}")]
    Settings(String),
    /// The document is invalid.
    #[error(transparent)]
    Document(#[from] DocumentErrors),
    /// An argument is invalid.
    #[error("{0}")]
    Argument(String),
    /// There is nothing of that name.
    #[error("no {what} {name:?}; known: {}", names(.known))]
    NotFound {
        /// What was looked for.
        what: &'static str,
        /// Its name.
        name: String,
        /// Names there are.
        known: Vec<String>,
    },
    /// The change was not accepted.
    #[error(transparent)]
    Change(#[from] ChangeError),
    /// The stored catalog cannot be read.
    #[error(transparent)]
    Repository(#[from] RepositoryError),
    /// The VM list does not answer.
    #[error(transparent)]
    VmList(#[from] StepError<GetError>),
    /// The change is accepted, but was not seen in force everywhere in time.
    #[error("accepted as revision {revision}, not in force in time at: {}", .missing.join(", "))]
    NotInForce {
        /// Revision.
        revision: Revision,
        /// Entries that do not hold it or do not answer.
        missing: Vec<String>,
    },
    /// The reply cannot be written.
    #[error("cannot write the reply: {0}")]
    Reply(String),
}

impl CtlError {
    /// The exit code.
    #[must_use]
    pub fn exit_status(&self) -> ExitStatus {
        match self {
            Self::File { .. }
            | Self::Settings(_)
            | Self::Document(_)
            | Self::Argument(_)
            | Self::Change(ChangeError::Invalid(_)) => ExitStatus::Invalid,
            Self::Change(ChangeError::Conflict { .. } | ChangeError::TooManyConflicts) => {
                ExitStatus::Conflict
            }
            Self::Change(ChangeError::Unsettled { .. }) => ExitStatus::Unsettled,
            Self::Change(ChangeError::Repository(e)) | Self::Repository(e) => repository_exit(e),
            Self::VmList(_) => ExitStatus::Unavailable,
            Self::NotInForce { .. } => ExitStatus::NotInForce,
            Self::NotFound { .. } => ExitStatus::NotFound,
            Self::Reply(_) => ExitStatus::Failed,
        }
    }
}

fn repository_exit(e: &RepositoryError) -> ExitStatus {
    match e {
        RepositoryError::Store(_) => ExitStatus::Unavailable,
        RepositoryError::NoRevision(_) => ExitStatus::NotFound,
        RepositoryError::Snapshot { .. } => ExitStatus::Failed,
    }
}

fn names(known: &[String]) -> String {
    if known.is_empty() {
        return "none".to_owned();
    }
    known.join(", ")
}
