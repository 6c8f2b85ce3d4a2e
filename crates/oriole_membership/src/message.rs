//! Messages between failure detectors.

use oriole_types::prelude::*;
use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies a VM in a message by the hash of its name, which is shorter than the name.
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

/// Kind of a message.
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
    /// Answers a probe; `target` is the process that answered.
    Ack = 1,
    /// Asks the receiver to probe `target` and to forward the answer.
    ProbeRequest = 2,
}

/// State of a process in an update, in ascending order of precedence.
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
    /// It answers.
    Alive = 0,
    /// It did not answer a probe; it can refute the suspicion.
    Suspect = 1,
    /// It did not refute the suspicion in time.
    Dead = 2,
    /// It announced that it is leaving.
    Leaving = 3,
}

/// Update of the state of one process.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize, prost::Message)]
pub struct Update {
    /// The VM, as a [`VmId`].
    #[prost(fixed64, tag = "1")]
    pub vm: u64,
    /// Run of the process that the update is about, as an [`Incarnation`]; 0 if it is not known.
    #[prost(fixed64, tag = "2")]
    pub run: u64,
    /// Number of the update within the run; only the process itself increments it.
    #[prost(uint32, tag = "3")]
    pub counter: u32,
    /// State of the process, as an [`UpdateState`].
    #[prost(enumeration = "UpdateState", tag = "4")]
    pub state: i32,
}

/// A message between detectors.
#[derive(Clone, PartialEq, Eq, Hash, Serialize, Deserialize, prost::Message)]
pub struct Message {
    /// Kind of the message, as a [`MessageKind`].
    #[prost(enumeration = "MessageKind", tag = "1")]
    pub kind: i32,
    /// Number of the probe, chosen by its sender.
    #[prost(uint32, tag = "2")]
    pub seq: u32,
    /// The process that is probed or has answered, as a [`VmId`].
    #[prost(fixed64, tag = "3")]
    pub target: u64,
    /// Run of the sender, or in an answer that of the process that answered.
    #[prost(fixed64, tag = "4")]
    pub run: u64,
    /// Number of the newest update of that run about itself.
    #[prost(uint32, tag = "5")]
    pub counter: u32,
    /// Updates to spread, among them one about the receiver if the sender does not see it alive.
    #[prost(message, repeated, tag = "6")]
    pub updates: Vec<Update>,
}
