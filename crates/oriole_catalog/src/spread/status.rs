//! What a process says about the configuration it holds.

use std::time::Duration;

use oriole_types::ids::Revision;

oriole_types::value_type! {
    /// Where a revision came from.
    pub enum ConfigSource {
        /// The store.
        Store,
        /// Another process.
        Peer,
    }
}

impl ConfigSource {
    /// Name of the source in metrics.
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
    /// Time since the store last confirmed it, directly or through peers; absent if never.
    pub confirmed_age: Option<Duration>,
    /// Whether nothing confirmed it for long.
    pub stale: bool,
    /// Whether the process watches the store for its peers.
    pub relay: bool,
    /// Where the revision came from.
    pub source: Option<ConfigSource>,
    /// Why the last newer revision could not be used, if so.
    pub refusal: Option<String>,
}

/// Something worth a line in the log.
#[derive(Clone, Debug, PartialEq)]
pub enum ConfigEvent {
    /// A revision is in force now.
    Installed {
        /// Revision.
        revision: Revision,
        /// Where it came from.
        source: ConfigSource,
    },
    /// Nothing confirmed the configuration for long.
    Stale {
        /// Time since the last confirmation.
        age: Option<Duration>,
    },
    /// The configuration is confirmed again.
    Confirmed {
        /// Revision.
        revision: Revision,
    },
    /// A newer revision cannot be used.
    Refused {
        /// Where it came from.
        source: ConfigSource,
        /// Why.
        reason: String,
    },
    /// The store holds an older revision than this process; it is not taken.
    StoreReverted {
        /// Revision in the store.
        stored: Revision,
        /// Revision in force.
        held: Revision,
    },
}
