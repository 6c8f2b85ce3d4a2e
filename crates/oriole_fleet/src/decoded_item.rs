//! Decoded items of the store.

use std::net::SocketAddr;

use crate::configuration::Configuration;
use crate::upstream::Upstream;

/// A store item as the adapter decodes it.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedItem {
    /// The operator's configuration.
    Configuration(Box<Configuration>),
    /// The entry of an upstream.
    Upstream(Box<Upstream>),
    /// Name of an evacuated failure domain: its upstreams get no new requests.
    Evacuated(String),
    /// The address at which an entry daemon accepts connections from its peers.
    Peer {
        /// Name of the entry daemon.
        name: String,
        /// Address for its peers.
        address: SocketAddr,
    },
    /// A malformed item, with the reason; it is not used.
    Unreadable(String),
    /// An item that the daemons don't use.
    Other,
}
