//! Errors with the step that failed and the peer that was involved.

use std::fmt;

/// The peer involved in a failed step.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub enum Peer {
    /// This process; no peer was involved.
    Local,
    /// The platform's key-value service.
    Store,
    /// The platform's VM list.
    VmList,
    /// An agent, by VM name or address.
    Agent(String),
    /// An entry daemon, by VM name or address.
    Entry(String),
    /// An upstream, by VM name.
    Upstream(String),
    /// A caller, by account name or address.
    Caller(String),
}

impl fmt::Display for Peer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Local => f.write_str("this process"),
            Self::Store => f.write_str("store"),
            Self::VmList => f.write_str("VM list"),
            Self::Agent(name) => write!(f, "agent {name}"),
            Self::Entry(name) => write!(f, "entry {name}"),
            Self::Upstream(name) => write!(f, "upstream {name}"),
            Self::Caller(name) => write!(f, "caller {name}"),
        }
    }
}

/// An error with the step that failed and the peer that was involved.
///
/// It wraps a crate's own error enum when a task logs or returns it.
///
/// ```
/// use oriole_types::error::{Peer, StepError};
/// let e = StepError::new("read root", Peer::Store, std::fmt::Error);
/// assert!(e.to_string().starts_with("read root with store: "));
/// ```
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{step} with {peer}: {source}")]
pub struct StepError<E: std::error::Error + 'static> {
    /// The step that failed, such as `read root`.
    pub step: &'static str,
    /// The peer involved.
    pub peer: Peer,
    /// The cause.
    pub source: E,
}

impl<E: std::error::Error + 'static> StepError<E> {
    /// Wraps an error.
    pub fn new(step: &'static str, peer: Peer, source: E) -> Self {
        Self { step, peer, source }
    }
}
