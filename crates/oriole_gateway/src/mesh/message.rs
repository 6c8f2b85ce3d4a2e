//! Messages between entry daemons.

/// State of an entry daemon that callers may or may not use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Readiness {
    /// It knows too little to serve.
    Starting = 0,
    /// It serves.
    Ready = 1,
    /// It is leaving.
    Leaving = 2,
}

/// An entry daemon as it tells of itself, or as another passes it on.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberRecord {
    /// VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Random number of this run of the process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Grows with each heartbeat of the run.
    #[prost(uint64, tag = "3")]
    pub heartbeat: u64,
    /// Where it hears its peers.
    #[prost(string, tag = "4")]
    pub peer_address: String,
    /// Where callers connect.
    #[prost(string, tag = "5")]
    pub caller_address: String,
    /// Failure domain.
    #[prost(string, tag = "6")]
    pub domain: String,
    /// Whether callers may use it.
    #[prost(enumeration = "Readiness", tag = "7")]
    pub readiness: i32,
}

/// Requests in flight at one upstream.
#[derive(Clone, PartialEq, prost::Message)]
pub struct InFlight {
    /// Hash of the instance.
    #[prost(fixed64, tag = "1")]
    pub instance: u64,
    /// Requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// One heartbeat; fits a datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// The sender.
    #[prost(message, optional, tag = "1")]
    pub from: Option<MemberRecord>,
    /// Revisions up to which the sender's belief reaches, by watched prefix.
    #[prost(uint64, repeated, tag = "2")]
    pub view_revisions: Vec<u64>,
    /// What the sender has in flight.
    #[prost(message, repeated, tag = "3")]
    pub in_flight: Vec<InFlight>,
    /// Other members that the sender knows.
    #[prost(message, repeated, tag = "4")]
    pub relayed: Vec<MemberRecord>,
}

/// Asks a peer for the items that changed after some revisions.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PullRequest {
    /// Revisions by watched prefix.
    #[prost(uint64, repeated, tag = "1")]
    pub since: Vec<u64>,
}

/// An item of the belief.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PulledItem {
    /// Key.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Value; none if the key was removed.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<bytes::Bytes>,
}

/// Items that changed after the revision asked for.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PullReply {
    /// Items.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<PulledItem>,
}
