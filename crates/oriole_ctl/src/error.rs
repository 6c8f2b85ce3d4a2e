//! Errors and their exit statuses, which scripts rely on.

use oriole_catalog::document::DocumentErrors;
use oriole_catalog::stored::{ChangeError, RepositoryError};
use oriole_types::error::StepError;
use oriole_types::ids::Revision;

use crate::http_get::GetError;

/// Outcome of a command; its number is the exit code of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize)]
#[serde(rename_all = "snake_case")]
#[repr(u8)]
pub enum ExitStatus {
    /// The command succeeded.
    Done = 0,
    /// The command failed for a reason without a code of its own.
    Failed = 1,
    /// The input is invalid; nothing was changed.
    Invalid = 2,
    /// Another operator changed the same item concurrently; nothing was changed.
    Conflict = 3,
    /// The store or the VM list does not answer; nothing was changed.
    Unavailable = 4,
    /// It is not known whether the change was accepted.
    Unsettled = 5,
    /// The change is accepted and durable, but some entries did not use it in time.
    NotInForce = 6,
    /// The named item or revision does not exist; nothing was changed.
    NotFound = 7,
}

/// Why a command failed.
#[derive(Debug, thiserror::Error)]
pub enum CtlError {
    /// A file cannot be read.
    #[error("{file}: {source}")]
    File {
        /// Path of the file.
        file: String,
        /// Cause.
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
    /// No item has that name.
    #[error("no {what} {name:?}; known: {}", join_or_none(.known))]
    NotFound {
        /// Kind of item, such as `block` or `failure domain`.
        what: &'static str,
        /// The name that was given.
        name: String,
        /// Existing names.
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
    /// The change is accepted, but some entries did not use it in time.
    #[error("accepted as revision {revision}, not in force in time at: {}", .missing.join(", "))]
    NotInForce {
        /// Revision that was accepted.
        revision: Revision,
        /// Entries that use an older revision or do not answer, each with the reason. If the VM
        /// list could not be read, the error instead.
        missing: Vec<String>,
    },
    /// The reply cannot be serialized.
    #[error("cannot write the reply: {0}")]
    Reply(String),
}

impl CtlError {
    /// The exit status for this error.
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
            Self::Change(ChangeError::Repository(e)) | Self::Repository(e) => {
                repository_exit_status(e)
            }
            Self::VmList(_) => ExitStatus::Unavailable,
            Self::NotInForce { .. } => ExitStatus::NotInForce,
            Self::NotFound { .. } => ExitStatus::NotFound,
            Self::Reply(_) => ExitStatus::Failed,
        }
    }
}

fn repository_exit_status(e: &RepositoryError) -> ExitStatus {
    match e {
        RepositoryError::Store(_) => ExitStatus::Unavailable,
        RepositoryError::NoRevision(_) => ExitStatus::NotFound,
        RepositoryError::Snapshot { .. } => ExitStatus::Failed,
    }
}

fn join_or_none(known: &[String]) -> String {
    if known.is_empty() {
        return "none".to_owned();
    }
    known.join(", ")
}
