//! What one item of the store means.

use std::net::SocketAddr;

use crate::configuration::Configuration;
use crate::upstream::Upstream;

/// Meaning of an item.
#[derive(Clone, Debug, PartialEq)]
pub enum DecodedItem {
    /// The operator's configuration.
    Configuration(Box<Configuration>),
    /// An upstream.
    Upstream(Box<Upstream>),
    /// A failure domain whose upstreams get nothing new.
    Evacuated(String),
    /// Where an entry daemon hears its peers.
    Peer {
        /// Its VM.
        name: String,
        /// Its peer address.
        address: SocketAddr,
    },
    /// An item that cannot be understood; it names nothing to use.
    Unreadable(String),
    /// An item of no concern to the daemons.
    Other,
}
