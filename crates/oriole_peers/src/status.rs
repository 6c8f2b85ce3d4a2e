//! What processes tell each other once a second.

use std::time::Duration;

use bytes::Bytes;
use oriole_types::ids::{Incarnation, Revision};
use oriole_wire::frame::Load;
use prost::Message;

/// Name of the agents' service that trades notes.
pub const LOAD_SERVICE: &str = "load";

/// What a process tells another of the configuration and of suspect content.
#[derive(Clone, PartialEq, Message)]
pub struct PeerStatus {
    /// Revision of the configuration that the sender holds.
    #[prost(uint64, tag = "1")]
    pub revision: u64,
    /// Time since the store confirmed that revision, in milliseconds, plus 1; 0 if it never did.
    #[prost(uint64, tag = "2")]
    pub confirmed_age_ms: u64,
    /// Suspect and quarantined content as JSON; empty if nothing is new.
    #[prost(bytes = "bytes", tag = "3")]
    pub poison: Bytes,
}

/// An agent's answer: its load, and a note of its own.
#[derive(Clone, PartialEq, Message)]
pub struct AgentStatus {
    /// Load of the upstream.
    #[prost(message, optional, tag = "1")]
    pub load: Option<Load>,
    /// The agent's note.
    #[prost(message, optional, tag = "2")]
    pub status: Option<PeerStatus>,
    /// Incarnation of the agent.
    #[prost(uint64, tag = "3")]
    pub incarnation: u64,
    /// The agent's clock, in milliseconds since its start.
    #[prost(uint64, tag = "4")]
    pub clock_ms: u64,
    /// State of the model group that the agent coordinates, as JSON; empty if it coordinates none.
    #[prost(bytes = "bytes", tag = "5")]
    pub group: Bytes,
}

impl PeerStatus {
    /// A note about the configuration.
    #[must_use]
    pub fn new(revision: Revision, confirmed: Option<Duration>) -> Self {
        Self {
            revision: revision.0,
            confirmed_age_ms: encode_age(confirmed),
            poison: Bytes::new(),
        }
    }

    /// Time since the store confirmed the sender's revision.
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

/// An age as frames carry it: milliseconds plus 1, and 0 for none.
#[must_use]
pub fn encode_age(age: Option<Duration>) -> u64 {
    age.map_or(0, |age| {
        u64::try_from(age.as_millis())
            .unwrap_or(u64::MAX)
            .saturating_add(1)
    })
}

/// Reads an age from a frame.
#[must_use]
pub fn decode_age(code: u64) -> Option<Duration> {
    code.checked_sub(1).map(Duration::from_millis)
}
