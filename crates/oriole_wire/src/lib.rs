//! The protocol between oriole processes.
//!
//! A server binds a [`server::WireServer`] with a [`server::Handler`]; a client connects a
//! [`channel::Channel`]. Over one TCP connection a channel carries many exchanges (a request and its
//! answer, which may be streamed) and calls (one request message and one reply) at the same time.
//!
//! Modules:
//!
//! - [`frame`]: the messages, encoded with prost.
//! - [`codec`]: length-delimited framing with a size limit.
//! - [`secret`] and [`handshake`]: both sides prove that they know the fleet secret.
//! - [`channel`] and [`exchange`]: the client side.
//! - [`server`] and [`reply`]: the server side.
//! - [`reader`]: receives frames, with a timeout per frame.
//! - [`unfinished`]: bounds the memory of frames that have arrived only in part.
//! - [`checksum`]: running checksum that verifies that an answer is complete.
//! - [`error`]: errors of connections and calls.
//!
//! Each frame of an exchange carries the request and the attempt it belongs to; chunks also carry their
//! position. Frames of an attempt that has ended are dropped and counted. The client grants credit for
//! chunks, which bounds the buffers.
#![forbid(unsafe_code)]

pub mod channel;
pub mod checksum;
pub mod codec;
pub mod error;
pub mod exchange;
pub mod frame;
pub mod handshake;
pub mod reader;
pub mod reply;
pub mod secret;
pub mod server;
pub mod unfinished;

/// The types that daemons usually need.
pub mod prelude {
    pub use crate::channel::{Channel, ChannelConfig};
    pub use crate::error::WireError;
    pub use crate::exchange::{Exchange, ExchangeEvent};
    pub use crate::frame::{Load, Open};
    pub use crate::reply::{Reply, ReplyError};
    pub use crate::secret::FleetSecrets;
    pub use crate::server::{Handler, PeerInfo, WireServer, WireServerConfig};
}
