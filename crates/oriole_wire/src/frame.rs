//! The messages between processes.
//!
//! Field tags are part of the protocol: never reuse a tag for another field.

use std::fmt;

use bytes::Bytes;
use oriole_types::catalog::Priority;
use oriole_types::digest::{Digest, ParseDigestError};
use oriole_types::fleet::LoadReport;
use oriole_types::request::RequestHead;
use prost::Message as _;

/// Version of the protocol; peers with another version are refused.
pub const PROTOCOL_VERSION: u32 = 1;

/// The unit that is sent over a connection.
#[derive(Clone, PartialEq, prost::Message)]
#[prost(skip_debug)]
pub struct Frame {
    /// The message; a frame without one is malformed.
    #[prost(oneof = "Body", tags = "1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12")]
    pub body: Option<Body>,
}

/// The message of a frame.
#[derive(Clone, PartialEq, prost::Oneof)]
pub enum Body {
    /// First frame of the client.
    #[prost(message, tag = "1")]
    Hello(Hello),
    /// The server's answer to [`Body::Hello`], with its proof.
    #[prost(message, tag = "2")]
    Challenge(Challenge),
    /// The client's proof.
    #[prost(message, tag = "3")]
    Proof(Proof),
    /// Starts an exchange.
    #[prost(message, tag = "4")]
    Open(Open),
    /// A part of an answer.
    #[prost(message, tag = "5")]
    Chunk(Chunk),
    /// End of a complete answer.
    #[prost(message, tag = "6")]
    End(End),
    /// The request did not run, and this attempt will not run later.
    #[prost(message, tag = "7")]
    Refused(Refused),
    /// The request may have run.
    #[prost(message, tag = "8")]
    Failed(Failed),
    /// The client cancels the attempt.
    #[prost(message, tag = "9")]
    Cancel(Cancel),
    /// The client can receive more chunks.
    #[prost(message, tag = "10")]
    Credit(Credit),
    /// A call.
    #[prost(message, tag = "11")]
    Call(Call),
    /// The answer to a call.
    #[prost(message, tag = "12")]
    CallReply(CallReply),
}

/// First frame of the client.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Hello {
    /// The client's [`PROTOCOL_VERSION`].
    #[prost(uint32, tag = "1")]
    pub version: u32,
    /// Name of the client's VM.
    #[prost(string, tag = "2")]
    pub name: String,
    /// Failure domain of the client's VM.
    #[prost(string, tag = "3")]
    pub domain: String,
    /// Incarnation of the client process.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
    /// Random bytes that both proofs include.
    #[prost(bytes = "bytes", tag = "5")]
    pub nonce: Bytes,
    /// Identifier of the secret that both proofs use.
    #[prost(uint64, tag = "6")]
    pub secret_id: u64,
}

/// The server's answer to a hello.
#[derive(Clone, PartialEq, prost::Message)]
#[prost(skip_debug)]
pub struct Challenge {
    /// Random bytes that both proofs include.
    #[prost(bytes = "bytes", tag = "1")]
    pub nonce: Bytes,
    /// The server's proof that it knows the secret.
    #[prost(bytes = "bytes", tag = "2")]
    pub proof: Bytes,
    /// Name of the server's VM.
    #[prost(string, tag = "3")]
    pub name: String,
    /// Incarnation of the server process.
    #[prost(uint64, tag = "4")]
    pub incarnation: u64,
}

/// The client's proof.
#[derive(Clone, PartialEq, prost::Message)]
#[prost(skip_debug)]
pub struct Proof {
    /// The proof that the client knows the secret.
    #[prost(bytes = "bytes", tag = "1")]
    pub proof: Bytes,
}

/// Starts an exchange: head and body of a request.
#[derive(Clone, PartialEq, prost::Message)]
#[prost(skip_debug)]
pub struct Open {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Ordinal of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Catalog entry.
    #[prost(string, tag = "3")]
    pub entry: String,
    /// Client account.
    #[prost(string, tag = "4")]
    pub account: String,
    /// Whether the request may run more than once.
    #[prost(bool, tag = "5")]
    pub idempotent: bool,
    /// Priority; 0 is the most urgent.
    #[prost(uint32, tag = "6")]
    pub priority: u32,
    /// Whether the answer is streamed.
    #[prost(bool, tag = "7")]
    pub stream: bool,
    /// The caller's idempotency key; empty if there is none.
    #[prost(string, tag = "8")]
    pub key: String,
    /// Digest of entry name and body.
    #[prost(bytes = "bytes", tag = "9")]
    pub content: Bytes,
    /// Time left until the caller's deadline, in milliseconds.
    #[prost(uint32, tag = "10")]
    pub timeout_ms: u32,
    /// Number of items already delivered, from which a stream is resumed; 0 for a new stream.
    #[prost(uint64, tag = "11")]
    pub resume_from: u64,
    /// The request's body.
    #[prost(bytes = "bytes", tag = "12")]
    pub body: Bytes,
    /// Revision of the sender's configuration.
    #[prost(uint64, tag = "13")]
    pub revision: u64,
    /// Time since the store last confirmed that this revision is current, in milliseconds, plus 1;
    /// 0 if it never did.
    #[prost(uint64, tag = "14")]
    pub confirmed_age_ms: u64,
    /// If not 0, the request only asks for the answer of the key's earlier request, which the agent
    /// with this incarnation holds in memory.
    #[prost(uint64, tag = "15")]
    pub recall: u64,
    /// Whether the sender knows that a request with this content has completed before, so that the
    /// content is not suspected of crashing upstreams.
    #[prost(bool, tag = "16")]
    pub proven: bool,
}

/// A part of an answer.
#[derive(Clone, PartialEq, prost::Message)]
#[prost(skip_debug)]
pub struct Chunk {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Ordinal of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Position of the first item, counted over the whole answer.
    #[prost(uint64, tag = "3")]
    pub position: u64,
    /// Number of items in `data`: tokens of a stream, or 1 for an answer that is not streamed.
    #[prost(uint32, tag = "4")]
    pub items: u32,
    /// The items, one per line.
    #[prost(bytes = "bytes", tag = "5")]
    pub data: Bytes,
}

/// End of a complete answer.
#[derive(Clone, PartialEq, prost::Message)]
pub struct End {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Ordinal of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Position after the last item.
    #[prost(uint64, tag = "3")]
    pub position: u64,
    /// [`Checksum`](crate::checksum::Checksum) of the attempt's chunks.
    #[prost(fixed64, tag = "4")]
    pub checksum: u64,
    /// Load of the upstream.
    #[prost(message, optional, tag = "5")]
    pub load: Option<Load>,
    /// Whether this is the answer of an earlier request with the same key.
    #[prost(bool, tag = "6")]
    pub replayed: bool,
    /// Revision of the sender's configuration.
    #[prost(uint64, tag = "7")]
    pub revision: u64,
}

/// The request did not run, and this attempt will not run later.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Refused {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Ordinal of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Code of the [`RefusalReason`](oriole_types::outcome::RefusalReason).
    #[prost(uint32, tag = "3")]
    pub reason: u32,
    /// Time after which to retry, in milliseconds; 0 if not known.
    #[prost(uint32, tag = "4")]
    pub retry_after_ms: u32,
    /// VM to which the request should be sent instead; empty if there is none.
    #[prost(string, tag = "5")]
    pub redirect_to: String,
    /// Load of the upstream.
    #[prost(message, optional, tag = "6")]
    pub load: Option<Load>,
    /// Revision of the sender's configuration.
    #[prost(uint64, tag = "7")]
    pub revision: u64,
    /// Incarnation of that VM that holds the answer for the key in memory; 0 if there is none.
    #[prost(uint64, tag = "8")]
    pub recall: u64,
}

/// The request may have run.
#[derive(Clone, PartialEq, prost::Message)]
pub struct Failed {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Ordinal of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Code of the [`UnknownReason`](oriole_types::outcome::UnknownReason).
    #[prost(uint32, tag = "3")]
    pub reason: u32,
    /// Load of the upstream.
    #[prost(message, optional, tag = "4")]
    pub load: Option<Load>,
    /// Revision of the sender's configuration.
    #[prost(uint64, tag = "5")]
    pub revision: u64,
}

/// The client cancels the attempt, as it no longer reads the answer.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Cancel {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Ordinal of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
}

/// The client can receive more chunks.
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Credit {
    /// Number of the request.
    #[prost(uint64, tag = "1")]
    pub request: u64,
    /// Ordinal of the attempt.
    #[prost(uint32, tag = "2")]
    pub attempt: u32,
    /// Number of additional chunks that the server may send.
    #[prost(uint32, tag = "3")]
    pub chunks: u32,
}

/// A call: one request message and one reply.
#[derive(Clone, PartialEq, prost::Message)]
#[prost(skip_debug)]
pub struct Call {
    /// Number of the call, unique within its connection.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Name of the called service.
    #[prost(string, tag = "2")]
    pub service: String,
    /// The request message, in an encoding defined by the service.
    #[prost(bytes = "bytes", tag = "3")]
    pub payload: Bytes,
}

/// The answer to a call.
#[derive(Clone, PartialEq, prost::Message)]
#[prost(skip_debug)]
pub struct CallReply {
    /// Number of the call.
    #[prost(uint64, tag = "1")]
    pub call: u64,
    /// Error text if the call was refused; else empty.
    #[prost(string, tag = "2")]
    pub error: String,
    /// The answer, in an encoding defined by the service.
    #[prost(bytes = "bytes", tag = "3")]
    pub payload: Bytes,
}

/// Load of an upstream; the protocol form of [`LoadReport`].
#[derive(Clone, Copy, PartialEq, prost::Message)]
pub struct Load {
    /// Number of requests running at the upstream.
    #[prost(uint32, tag = "1")]
    pub in_flight: u32,
    /// Number of requests queued at the agent.
    #[prost(uint32, tag = "2")]
    pub queued: u32,
    /// Maximum number of requests in flight that the agent currently admits.
    #[prost(uint32, tag = "3")]
    pub limit: u32,
    /// Smoothed time from admission to the end of the answer, in milliseconds.
    #[prost(uint32, tag = "4")]
    pub service_ms: u32,
    /// Whether the upstream is in cold start.
    #[prost(bool, tag = "5")]
    pub cold: bool,
    /// Whether the upstream takes no new work.
    #[prost(bool, tag = "6")]
    pub leaving: bool,
    /// Age of the report, in milliseconds since the agent created it.
    #[prost(uint32, tag = "7")]
    pub age_ms: u32,
}

impl From<LoadReport> for Load {
    fn from(r: LoadReport) -> Self {
        Self {
            in_flight: r.in_flight,
            queued: r.queued,
            limit: r.limit,
            service_ms: r.service_ms,
            cold: r.cold,
            leaving: r.leaving,
            age_ms: r.age_ms,
        }
    }
}

impl From<Load> for LoadReport {
    fn from(l: Load) -> Self {
        Self {
            in_flight: l.in_flight,
            queued: l.queued,
            limit: l.limit,
            service_ms: l.service_ms,
            cold: l.cold,
            leaving: l.leaving,
            age_ms: l.age_ms,
        }
    }
}

impl Open {
    /// Creates the message from a request's head and body. The caller sets `revision`,
    /// `confirmed_age_ms`, `recall` and `proven`.
    #[must_use]
    pub fn new(request: u64, attempt: u32, head: &RequestHead, body: Bytes) -> Self {
        Self {
            request,
            attempt,
            entry: head.entry.to_string(),
            account: head.account.to_string(),
            idempotent: head.idempotent,
            priority: head.priority as u32,
            stream: head.stream,
            key: head
                .key
                .as_ref()
                .map_or_else(String::new, ToString::to_string),
            content: Bytes::copy_from_slice(&head.content.0),
            timeout_ms: head.timeout_ms,
            resume_from: head.resume_from,
            body,
            ..Self::default()
        }
    }

    /// Extracts the head of the request.
    ///
    /// # Errors
    ///
    /// Fails if the content digest is malformed.
    pub fn head(&self) -> Result<RequestHead, ParseDigestError> {
        Ok(RequestHead {
            entry: self.entry.as_str().into(),
            account: self.account.as_str().into(),
            idempotent: self.idempotent,
            priority: priority_from_code(self.priority),
            stream: self.stream,
            key: (!self.key.is_empty()).then(|| self.key.as_str().into()),
            content: Digest::from_slice(&self.content)?,
            timeout_ms: self.timeout_ms,
            resume_from: self.resume_from,
        })
    }
}

fn priority_from_code(code: u32) -> Priority {
    match code {
        0 => Priority::High,
        1 => Priority::Normal,
        _ => Priority::Low,
    }
}

impl Body {
    /// Label of the message in metrics.
    #[must_use]
    pub fn kind(&self) -> &'static str {
        match self {
            Self::Hello(_) => "hello",
            Self::Challenge(_) => "challenge",
            Self::Proof(_) => "proof",
            Self::Open(_) => "open",
            Self::Chunk(_) => "chunk",
            Self::End(_) => "end",
            Self::Refused(_) => "refused",
            Self::Failed(_) => "failed",
            Self::Cancel(_) => "cancel",
            Self::Credit(_) => "credit",
            Self::Call(_) => "call",
            Self::CallReply(_) => "call_reply",
        }
    }
}

/// Shows only kind and length. Frames contain callers' bodies, idempotency keys and proofs, which must
/// not be logged.
impl fmt::Debug for Frame {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let kind = self.body.as_ref().map_or("empty", Body::kind);
        write!(f, "Frame({kind}, {} bytes)", self.encoded_len())
    }
}

/// Implements `Debug` with only the name and length, for messages with content that must not be
/// logged.
macro_rules! redacted_debug {
    ($($name:ident),*) => {
        $(impl fmt::Debug for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                write!(f, concat!(stringify!($name), "({} bytes)"), self.encoded_len())
            }
        })*
    };
}

redacted_debug!(Challenge, Proof, Open, Chunk, Call, CallReply);

impl From<Body> for Frame {
    fn from(body: Body) -> Self {
        Self { body: Some(body) }
    }
}
