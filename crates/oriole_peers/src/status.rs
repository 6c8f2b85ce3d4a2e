//! Status messages that entries and agents exchange about once a second; less often if an entry
//! serves many upstreams.

use std::time::Duration;

use bytes::Bytes;
use oriole_types::ids::{Incarnation, Revision};
use oriole_wire::frame::Load;
use prost::Message;

/// Name of the agents' call service that receives a [`PeerStatus`] and returns an [`AgentStatus`].
pub const LOAD_SERVICE: &str = "load";

/// What a process reports to another about its configuration and about suspect content.
#[derive(Clone, PartialEq, Message)]
pub struct PeerStatus {
    /// Revision of the sender's configuration.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Time since the store last confirmed that this revision is current, in milliseconds, plus 1;
    /// 0 if it never did.
    #[prost(uint64, tag = "2")]
    pub confirmed_age_ms: u64,
    /// New information about suspect and quarantined content, as JSON; empty if there is none.
    #[prost(bytes = "bytes", tag = "3")]
    pub poison: Bytes,
}

/// An agent's answer to a [`PeerStatus`].
#[derive(Clone, PartialEq, Message)]
pub struct AgentStatus {
    /// Load of the agent's upstream.
    #[prost(message, optional, tag = "1")]
    pub load: Option<Load>,
    /// The agent's own status.
    #[prost(message, optional, tag = "2")]
    pub status: Option<PeerStatus>,
    /// [`Incarnation`] of the agent.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// Time since the start of the agent, in milliseconds.
    #[prost(uint64, tag = "4")]
    pub clock_ms: u64,
    /// Status of the model group that the agent coordinates, as JSON; empty if it coordinates none.
    #[prost(bytes = "bytes", tag = "5")]
    pub group: Bytes,
}

impl PeerStatus {
    /// Creates a status without information about suspect content. `confirmed` is the time since the
    /// store confirmed the revision.
    #[must_use]
    pub fn new(revision: Revision, confirmed: Option<Duration>) -> Self {
        Self {
            revision: revision.0,
            confirmed_age_ms: encode_age(confirmed),
            poison: Bytes::new(),
        }
    }

    /// Time since the store confirmed the sender's revision; `None` if it never did.
    #[must_use]
    pub fn confirmed_age(&self) -> Option<Duration> {
        decode_age(self.confirmed_age_ms)
    }
}

impl AgentStatus {
    /// Incarnation of the agent.
    #[must_use]
    pub fn incarnation(&self) -> Incarnation {
        Incarnation(self.incarnation)
    }
}

/// Encodes an optional age for a message: milliseconds plus 1, or 0 for `None`.
#[must_use]
pub fn encode_age(age: Option<Duration>) -> u64 {
    age.map_or(0, |age| {
        u64::try_from(age.as_millis())
            .unwrap_or(u64::MAX)
            .saturating_add(1)
    })
}

/// Decodes an age encoded by [`encode_age`].
#[must_use]
pub fn decode_age(code: u64) -> Option<Duration> {
    code.checked_sub(1).map(Duration::from_millis)
}
