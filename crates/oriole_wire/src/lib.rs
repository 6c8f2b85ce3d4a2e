//! Frames between oriole processes.
//!
//! A process that offers frames binds a [`server::WireServer`] with a [`server::Handler`]; a process
//! that uses them connects a [`channel::Channel`]. Over one TCP connection a channel carries many
//! exchanges (a request and its answer) and calls (one message each way).
//!
//! The tour:
//!
//! - [`frame`]: the messages, as prost derives.
//! - [`codec`]: length-delimited framing with a size limit.
//! - [`secret`] and [`handshake`]: both sides prove that they hold the fleet secret.
//! - [`channel`] and [`exchange`]: the connecting side.
//! - [`server`] and [`reply`]: the accepting side.
//! - [`reader`]: frames as they arrive, each within a time.
//! - [`checksum`]: the running checksum by which a whole answer is recognised.
//! - [`error`]: why a connection or an exchange ended.
//!
//! Each frame of an exchange carries request, attempt and position. A frame of an attempt that has
//! ended is dropped and counted. The receiver of an answer grants credit, so buffers are bounded.
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

/// Everything that daemons usually need from this crate.
pub mod prelude {
    pub use crate::channel::{Channel, ChannelConfig};
    pub use crate::error::WireError;
    pub use crate::exchange::{Exchange, ExchangeEvent};
    pub use crate::frame::{Load, Open};
    pub use crate::reply::{Reply, ReplyError};
    pub use crate::secret::FleetSecrets;
    pub use crate::server::{Handler, PeerInfo, WireServer, WireServerConfig};
}
