//! The platform's names and formats on the wire, as a trait.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Uri};

use crate::decoded_item::DecodedItem;

/// Names of the request and response headers, by meaning.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Unique ID of one attempt of a client; upstreams return it in their answer.
    pub attempt: HeaderName,
    /// Time that the sender will wait for the answer, in milliseconds.
    pub deadline_ms: HeaderName,
    /// ID of the last event received; a resumed stream continues after it.
    pub last_event_id: HeaderName,
    /// An upstream's signature of its answer.
    pub signature: HeaderName,
    /// Client account that a request belongs to.
    pub account: HeaderName,
    /// Instance of the upstream that a request is meant for; any other instance refuses it.
    pub expect_instance: HeaderName,
    /// Version of the weights that a caller asks for; an upstream with another version refuses the
    /// request.
    pub expect_version: HeaderName,
    /// Present if the upstream did not run the request.
    pub not_run: HeaderName,
    /// Priority of a request at the upstream; zero is the most urgent.
    pub priority: HeaderName,
}

/// A caller's request for the addresses of entry daemons.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointQuery {
    /// Failure domain of the caller; empty if it names none.
    pub domain: String,
}

/// What an upstream's answer says of the requests per second that it takes from all daemons.
#[derive(Clone, Debug, PartialEq)]
pub enum AnnouncedLimit {
    /// It names no limit.
    None,
    /// It takes this many.
    PerSecond(f64),
    /// It names something that is no number; the text is cut.
    Unreadable(String),
}

/// For how long an upstream that turned a request away wants no more of them.
#[derive(Clone, Debug, PartialEq)]
pub enum RetryAfter {
    /// It does not say.
    None,
    /// For this time, in seconds; any number.
    Seconds(f64),
    /// It says something that is no number; the text is cut.
    Unreadable(String),
}

/// Translation between the platform's wire formats and the types of this crate.
///
/// An adapter only translates; the daemons decide what to do with the result.
pub trait Dialect: Send + Sync + 'static {
    /// Names of the headers.
    fn headers(&self) -> &HeaderNames;

    /// Reads the account key from a caller's request headers.
    fn account_key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Ids of the parts of a request's prompt that other requests may share, in order. The part that
    /// belongs to the request itself is left out.
    fn shared_prompt_parts<'a>(&self, headers: &'a HeaderMap) -> Vec<&'a str>;

    /// Reads the limit that an upstream announces in the headers of an answer.
    fn announced_limit(&self, headers: &HeaderMap) -> AnnouncedLimit;

    /// Whether an upstream says in the headers of an answer that it leaves.
    fn is_leaving(&self, headers: &HeaderMap) -> bool;

    /// Reads from the headers of a refusal for how long the upstream wants no requests.
    fn retry_after(&self, headers: &HeaderMap) -> RetryAfter;

    /// Whether a request is a readiness probe.
    fn is_readiness_query(&self, uri: &Uri) -> bool;

    /// Parses a request for endpoints; `None` if it is any other request.
    fn endpoint_query(&self, uri: &Uri) -> Option<EndpointQuery>;

    /// Encodes the answer to a request for endpoints; callers may cache it for `ttl`.
    fn endpoint_answer(&self, addresses: &[SocketAddr], ttl: Duration) -> Bytes;

    /// Key prefixes that the daemons list and watch.
    fn watched_prefixes(&self) -> &[&'static str];

    /// Key of the operator's configuration.
    fn configuration_key(&self) -> &'static str;

    /// Key prefix of the upstreams' entries.
    fn upstreams_prefix(&self) -> &'static str;

    /// Key prefix of the entry daemons' peer addresses.
    fn peers_prefix(&self) -> &'static str;

    /// Decodes an item of the store.
    fn decode(&self, key: &str, value: &[u8]) -> DecodedItem;

    /// Encodes the key and value with which an entry daemon publishes its peer address.
    fn encode_peer(&self, name: &str, address: SocketAddr) -> (String, Bytes);
}
