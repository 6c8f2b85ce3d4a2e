//! State of the configuration in a process, and events about it.

use std::time::Duration;

use oriole_types::ids::Revision;

oriole_types::value_type! {
    /// Source of a revision.
    pub enum ConfigSource {
        /// The store.
        Store,
        /// Another process.
        Peer,
    }
}

impl ConfigSource {
    /// Returns the label of the source in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Store => "store",
            Self::Peer => "peer",
        }
    }
}

/// State of the configuration in a process.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigStatus {
    /// Revision in force; zero while there is none.
    pub revision: Revision,
    /// Time since the store last confirmed it, directly or through peers; `None` if it never did.
    pub confirmed_age: Option<Duration>,
    /// Whether the last confirmation is older than the limit for stale configurations.
    pub stale: bool,
    /// Whether the process is a relay, which watches the store for its peers.
    pub relay: bool,
    /// Source of the revision; `None` while there is none.
    pub source: Option<ConfigSource>,
    /// Why a newer revision was refused; `None` once a revision has been installed after it.
    pub refusal: Option<String>,
}

/// An event that should be logged.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigEvent {
    /// A revision was installed.
    Installed {
        /// Installed revision.
        revision: Revision,
        /// Source of the revision.
        source: ConfigSource,
    },
    /// The last confirmation became older than the limit for stale configurations.
    Stale {
        /// Time since the last confirmation; `None` if there was none.
        age: Option<Duration>,
    },
    /// The configuration is confirmed again.
    Confirmed {
        /// Revision in force.
        revision: Revision,
    },
    /// A newer revision was refused because it cannot be used.
    Refused {
        /// Source of the revision.
        source: ConfigSource,
        /// Why it cannot be used.
        reason: String,
    },
    /// The store holds an older revision than this process. It is not installed.
    StoreReverted {
        /// Revision in the store.
        stored: Revision,
        /// Revision in force.
        held: Revision,
    },
}
