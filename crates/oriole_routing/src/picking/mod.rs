//! Selection of the upstream for a request.
//!
//! An entry estimates the load of each upstream from the last report of its agent and from the
//! entry's own requests there. The [`Router`] draws two upstreams at random, weighted by their free
//! slots, adds the one that probably has the request's prefix cached, and picks the one expected to
//! finish first. It doesn't exceed the estimated capacity, since the agent would refuse.
//!
//! - [`router`]: the router and the events it is fed with.
//! - [`config`]: settings of the router.
//! - [`upstream`]: state of one upstream, with estimates of its load and service time.
//! - [`health`]: ejection of failing upstreams.
//! - [`prefix`]: estimates of which upstreams have which prompt prefixes cached.

mod choose;
pub mod config;
pub mod health;
mod pool;
pub mod prefix;
pub mod router;
pub mod upstream;

pub use config::RouterConfig;
pub use router::{PickRequest, Router};
