//! At-most-once execution of requests that are not idempotent.
//!
//! Every idempotency key is bound to its home: one incarnation (one run of the process) of one
//! agent. Only the home may run the request, and only its memory holds the outcome of the run. A
//! ticket, a key issued by the fleet, names its home. Any other key is bound by a claim, which is
//! written to the store before the request runs.
//!
//! The key space of a pool is divided into partitions. A partition is owned by one home at a time,
//! which commits claims by a compare-and-swap of one value in the store, the head of the partition.
//! Each change of the owner starts a new epoch. Claims that no longer fit into the head are moved
//! into segments, which never change.
//!
//! Modules:
//!
//! - [`config`]: settings and limits of a home.
//! - [`key`]: the forms of a key, and the claim key derived from it.
//! - [`ticket`]: keys issued by the fleet, bound to one incarnation.
//! - [`request`]: requests to a home and their outcomes.
//! - [`value`]: the values stored for a partition.
//! - [`layout`]: the number of partitions of a pool.
//! - [`partition`]: ownership of a partition and commits of its claims.
//! - [`table`]: the records that a home keeps of its keys.
//! - [`home`]: the state machine of a home: events in, actions out.
//! - [`route`]: which agents an entry tries for a key, and in which order.
//! - [`call`]: how an entry tries these agents until the outcome is certain.
//! - [`service`]: the task that runs a home against a store.
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

/// The types and functions that other crates usually need.
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
