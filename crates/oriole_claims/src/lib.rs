//! At-most-once execution of requests that are not idempotent.
//!
//! A claim binds a key to one incarnation of one agent, its home. Only that incarnation may run
//! the request, and only its memory knows how the run ended. A key that the fleet minted carries
//! the binding in itself; any other key is bound by a claim in the store before it runs.
//!
//! The tour:
//!
//! - [`config`]: what a home is told at its start, and the limits it keeps.
//! - [`key`]: the forms of a key, and the scoped number it is known by.
//! - [`ticket`]: keys that the fleet mints, bound to one incarnation.
//! - [`request`]: what is asked of a home and the ends of it.
//! - [`value`]: what the store holds for a partition of the key space.
//! - [`layout`]: the number of partitions, which is fixed once.
//! - [`partition`]: ownership of a partition and the commits of its claims.
//! - [`table`]: what one incarnation remembers of its claims.
//! - [`home`]: the whole decision of an agent: events go in, actions come out.
//! - [`route`]: which agents to ask for a key, as an entry decides it.
//! - [`call`]: one request's way over several agents, as an entry follows it.
//! - [`service`]: the task that carries out a home's actions against a store.
#![forbid(unsafe_code)]

pub mod call;
pub mod config;
pub mod home;
pub mod key;
pub mod layout;
pub mod partition;
pub mod request;
pub mod route;
pub mod service;
pub mod table;
pub mod ticket;
pub mod value;

/// Everything that other crates usually need from this one.
pub mod prelude {
    pub use crate::call::{CallStep, ClaimCall};
    pub use crate::config::{ClaimsConfig, ClaimsLimits};
    pub use crate::home::ClaimHome;
    pub use crate::key::{ClaimKey, KeyForm};
    pub use crate::request::{CallId, ClaimOutcome, ClaimRequest, HomeRef, RunOutcome};
    pub use crate::route::{candidates, preferred_owner};
    pub use crate::service::{ClaimHandle, ClaimService};
    pub use crate::ticket::{Ticket, TicketSecret};
}
