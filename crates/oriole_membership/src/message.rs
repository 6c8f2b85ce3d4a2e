//! What detectors send to one another.

use oriole_types::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// A VM in a message: the hash of its name, which is shorter than the name.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct VmId(pub u64);

impl From<&VmName> for VmId {
    fn from(name: &VmName) -> Self {
        Self(xxh3_64(name.as_str().as_bytes()))
    }
}

/// What a message asks or answers.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    prost::Enumeration,
)]
#[repr(i32)]
pub enum MessageKind {
    /// Asks the receiver to answer.
    Probe = 0,
    /// Answers a probe; `target` is who answered.
    Ack = 1,
    /// Asks the receiver to probe `target` and to pass the answer on.
    ProbeRequest = 2,
}

/// State of a process in an update, in rising order of precedence.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    prost::Enumeration,
)]
#[repr(i32)]
pub enum UpdateState {
    /// It lives.
    Alive = 0,
    /// It did not answer; it may refute.
    Suspect = 1,
    /// It did not refute in time.
    Dead = 2,
    /// It says itself that it is leaving.
    Leaving = 3,
}

/// News about one process.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, prost::Message)]
pub struct Update {
    /// The VM, as a [`VmId`].
    #[prost(fixed64, tag = "1")]
    pub vm: u64,
    /// The run of the process that the news is about, as an [`Incarnation`].
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// Number of the news within the run; only the process itself raises it.
    #[prost(uint32, tag = "3")]
    pub counter: u32,
    /// State.
    #[prost(enumeration = "UpdateState", tag = "4")]
    pub state: i32,
}

/// A message between detectors.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize, prost::Message)]
pub struct Message {
    /// What it asks or answers.
    #[prost(enumeration = "MessageKind", tag = "1")]
    pub kind: i32,
    /// Number of the probe.
    #[prost(uint32, tag = "2")]
    pub seq: u32,
    /// Who shall be probed or has answered, as a [`VmId`].
    #[prost(fixed64, tag = "3")]
    pub target: u64,
    /// Run of the sender, or in an answer of the process that answered.
    #[prost(fixed64, tag = "4")]
    pub run: u64,
    /// Number of the newest news of that run about itself.
    #[prost(uint32, tag = "5")]
    pub counter: u32,
    /// News.
    #[prost(message, repeated, tag = "6")]
    pub updates: Vec<Update>,
}
