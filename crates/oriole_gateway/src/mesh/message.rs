//! Messages between entry daemons.

/// Whether callers may use an entry daemon.
#[derive(Clone, Copy, Debug, PartialEq, Eq, prost::Enumeration)]
#[repr(i32)]
pub enum Readiness {
    /// It does not know enough of the fleet to serve requests yet.
    Starting = 0,
    /// It serves requests.
    Ready = 1,
    /// It is shutting down.
    Leaving = 2,
}

/// State of an entry daemon, sent by itself or relayed by another.
#[derive(Clone, PartialEq, prost::Message)]
pub struct MemberRecord {
    /// Name of the VM.
    #[prost(string, tag = "1")]
    pub name: String,
    /// Random number of this run of the process.
    #[prost(uint64, tag = "2")]
    pub incarnation: u64,
    /// Counter that increases with each heartbeat of the run.
    #[prost(uint64, tag = "3")]
    pub heartbeat: u64,
    /// Address on which it receives heartbeats and pull requests.
    #[prost(string, tag = "4")]
    pub peer_address: String,
    /// Address that callers connect to.
    #[prost(string, tag = "5")]
    pub caller_address: String,
    /// Failure domain of the VM.
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
    /// Number of requests.
    #[prost(uint32, tag = "2")]
    pub requests: u32,
}

/// A heartbeat; fits a datagram.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Heartbeat {
    /// Record of the sender.
    #[prost(message, optional, tag = "1")]
    pub from: Option<MemberRecord>,
    /// Highest revisions in the sender's fleet view, by watched prefix.
    #[prost(uint64, repeated, tag = "2")]
    pub view_revisions: Vec<u64>,
    /// Requests that the sender has in flight.
    #[prost(message, repeated, tag = "3")]
    pub in_flight: Vec<InFlight>,
    /// Relayed records of other members.
    #[prost(message, repeated, tag = "4")]
    pub relayed: Vec<MemberRecord>,
    /// How recently the store confirmed the sender's fleet view, by watched prefix.
    #[prost(message, repeated, tag = "5")]
    pub confirmations: Vec<ConfirmationRecord>,
    /// Crashes of upstreams and the requests and prompt parts that may have caused them.
    #[prost(message, repeated, tag = "6")]
    pub suspects: Vec<SuspectRecord>,
    /// Claims to try suspected requests and parts.
    #[prost(message, repeated, tag = "7")]
    pub claims: Vec<ClaimRecord>,
    /// Limits that upstreams announce.
    #[prost(message, repeated, tag = "8")]
    pub limits: Vec<LimitRecord>,
    /// The sender's idea of the time that all daemons share, in milliseconds.
    #[prost(uint64, tag = "9")]
    pub fleet_time_ms: u64,
    /// Pace of groups as the sender's own streams show it.
    #[prost(message, repeated, tag = "10")]
    pub pace: Vec<PaceRecord>,
}

/// Pace of one group as the streams of one daemon show it.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PaceRecord {
    /// Hash of the group's name and epoch.
    #[prost(fixed64, tag = "1")]
    pub group: u64,
    /// Mean pause between events over the last 500 ms, in milliseconds.
    #[prost(uint32, tag = "2")]
    pub pause_ms: u32,
    /// Number of pauses in the mean.
    #[prost(uint32, tag = "3")]
    pub pauses: u32,
    /// Time since the last event in milliseconds.
    #[prost(uint32, tag = "4")]
    pub last_event_age_ms: u32,
    /// Streams that have had an event.
    #[prost(uint32, tag = "5")]
    pub running: u32,
}

/// A limit that an upstream announces, or its end.
#[derive(Clone, PartialEq, prost::Message)]
pub struct LimitRecord {
    /// Hash of the instance and its run.
    #[prost(fixed64, tag = "1")]
    pub upstream: u64,
    /// Requests per second from all daemons; missing if the upstream no longer names a limit.
    #[prost(double, optional, tag = "2")]
    pub per_s: Option<f64>,
    /// Time of the fleet at which the upstream said so, in milliseconds.
    #[prost(uint64, tag = "3")]
    pub heard_at_ms: u64,
}

/// A crash of an upstream that was about to answer a request with this content or prompt part.
#[derive(Clone, PartialEq, prost::Message)]
pub struct SuspectRecord {
    /// Digest of the request's content or of the part.
    #[prost(bytes = "bytes", tag = "1")]
    pub digest: bytes::Bytes,
    /// Instance of the upstream.
    #[prost(string, tag = "2")]
    pub instance: String,
    /// Start of the upstream's run in Unix milliseconds; zero if it is not known.
    #[prost(uint64, tag = "3")]
    pub run: u64,
    /// Whether it has passed at another upstream since.
    #[prost(bool, tag = "4")]
    pub is_excused: bool,
    /// Time since the crash in milliseconds.
    #[prost(uint64, tag = "5")]
    pub age_ms: u64,
    /// Whether the digest is that of a whole request.
    #[prost(bool, tag = "6")]
    pub is_request: bool,
}

/// A daemon's claim to try a suspected request or part.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ClaimRecord {
    /// Digest of the request's content or of the part.
    #[prost(bytes = "bytes", tag = "1")]
    pub part: bytes::Bytes,
    /// Random number of the claim; the lowest wins.
    #[prost(fixed64, tag = "2")]
    pub number: u64,
    /// Time since the claim in milliseconds.
    #[prost(uint64, tag = "3")]
    pub age_ms: u64,
}

/// A confirmation by the store that a daemon holds all items of a prefix.
#[derive(Clone, PartialEq, prost::Message)]
pub struct ConfirmationRecord {
    /// Digest of the items.
    #[prost(fixed64, tag = "1")]
    pub digest: u64,
    /// Time since the confirmation in milliseconds; missing if there was none.
    #[prost(uint32, optional, tag = "2")]
    pub age_ms: Option<u32>,
    /// Run of the daemon whose listing confirmed the items.
    #[prost(fixed64, tag = "3")]
    pub incarnation: u64,
    /// Number of that listing.
    #[prost(uint64, tag = "4")]
    pub number: u64,
}

/// Requests the items that changed after the given revisions.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PullRequest {
    /// Revisions by watched prefix.
    #[prost(uint64, repeated, tag = "1")]
    pub since: Vec<u64>,
}

/// A store item from the sender's fleet view.
#[derive(Clone, PartialEq, prost::Message)]
pub struct PulledItem {
    /// Key of the item.
    #[prost(string, tag = "1")]
    pub key: String,
    /// Revision of the item's last change.
    #[prost(uint64, tag = "2")]
    pub revision: u64,
    /// Value; `None` if the key was removed.
    #[prost(bytes = "bytes", optional, tag = "3")]
    pub value: Option<bytes::Bytes>,
}

/// Reply to a [`PullRequest`].
#[derive(Clone, PartialEq, prost::Message)]
pub struct PullReply {
    /// The changed items.
    #[prost(message, repeated, tag = "1")]
    pub items: Vec<PulledItem>,
}
