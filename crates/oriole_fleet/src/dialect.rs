//! Names and formats on the wire.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderName, Uri};

use crate::decoded_item::DecodedItem;

/// Header names of requests and answers, by what each holds.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Identity of one client attempt; upstreams echo it.
    pub attempt: HeaderName,
    /// Milliseconds for which the sender waits.
    pub deadline_ms: HeaderName,
    /// Event after which a stream goes on.
    pub last_event_id: HeaderName,
    /// An upstream's signature of its answer.
    pub signature: HeaderName,
    /// Client account that a request belongs to.
    pub account: HeaderName,
    /// Upstream run that a request is meant for; any other refuses it.
    pub expect_instance: HeaderName,
    /// Present if the upstream did not run the request.
    pub not_run: HeaderName,
    /// Urgency of a request at the upstream.
    pub priority: HeaderName,
}

/// A caller's question where to connect.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointQuery {
    /// Failure domain that the caller is in.
    pub domain: String,
}

/// What an adapter translates. It decides nothing.
pub trait Dialect: Send + Sync + 'static {
    /// Header names.
    fn headers(&self) -> &HeaderNames;

    /// The key with which a caller shows its account.
    fn account_key<'a>(&self, headers: &'a HeaderMap) -> Option<&'a str>;

    /// Whether a request asks if the process is ready.
    fn is_readiness_query(&self, uri: &Uri) -> bool;

    /// Reads a caller's question where to connect; `None` if the request is another one.
    fn endpoint_query(&self, uri: &Uri) -> Option<EndpointQuery>;

    /// Body of the answer where to connect: addresses, and how long the answer may be kept.
    fn endpoint_answer(&self, addresses: &[SocketAddr], keep: Duration) -> Bytes;

    /// Key prefixes that the daemons read and watch.
    fn watched_prefixes(&self) -> &[&'static str];

    /// Key of the operator's configuration.
    fn configuration_key(&self) -> &'static str;

    /// Prefix of the upstreams' entries.
    fn upstreams_prefix(&self) -> &'static str;

    /// Prefix of the entry daemons' peer addresses.
    fn peers_prefix(&self) -> &'static str;

    /// Meaning of an item.
    fn decode(&self, key: &str, value: &[u8]) -> DecodedItem;

    /// Key and value under which an entry daemon tells where it hears its peers.
    fn encode_peer(&self, name: &str, address: SocketAddr) -> (String, Bytes);
}
