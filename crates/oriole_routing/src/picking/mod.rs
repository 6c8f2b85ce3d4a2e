//! Choosing the upstream that gets a request.
//!
//! An entry knows each upstream by what its agent said some time ago and by what the entry itself
//! has running there. The [`Router`] samples two upstreams by the room they seem to have, adds the
//! one that may hold the request's prefix, and takes the one expected to finish first. It never
//! goes beyond the capacity it believes in: the agent would refuse.
//!
//! - [`router`]: the machine itself.
//! - [`config`]: its settings.
//! - [`upstream`]: what is known of one upstream and the estimates drawn from it.
//! - [`health`]: ejection of upstreams that fail.
//! - [`prefix`]: guesses about prompt prefixes that upstreams hold.

mod choose;
pub mod config;
pub mod health;
mod pool;
pub mod prefix;
pub mod router;
pub mod upstream;

pub use config::RouterConfig;
pub use router::{PickRequest, Router};
