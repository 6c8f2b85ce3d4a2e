//! Request routing in an entry: endpoint selection, limits, queues, upstream selection, retries.
//!
//! Everything here is a plain state machine without I/O: events and the current time go in,
//! decisions come out. Times are [`Duration`](std::time::Duration)s since the process started;
//! random number generators are passed in.
//!
//! The modules, in the order in which a request passes through them:
//!
//! - [`endpoints`]: the entries that an account should connect to
//!   ([`endpoints::EndpointSelector`]).
//! - [`limits`]: fleet-wide limits per account and per catalog entry ([`limits::Limiter`]).
//! - [`capacity`]: the remaining capacity of a pool and the priorities it still admits
//!   ([`capacity::CapacityView`]).
//! - [`queue`]: requests that wait for a slot of a pool ([`queue::WaitQueue`]).
//! - [`picking`]: selection of the upstream for a request ([`picking::Router`]).
//! - [`retry`]: whether a failed attempt is retried ([`retry::RetryBudget`]).
//! - [`rendezvous`]: hashing for stable choices among named candidates.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod endpoints;
pub mod limits;
pub mod picking;
pub mod queue;
pub mod rendezvous;
pub mod retry;

/// The types that an entry daemon uses.
pub mod prelude {
    pub use crate::capacity::{CapacityView, PoolCapacity};
    pub use crate::endpoints::{
        Endpoint, EndpointAnswer, EndpointConfig, EndpointInputs, EndpointSelector,
    };
    pub use crate::limits::{LimitDigest, LimitRefusal, Limiter, LimiterConfig, Permit};
    pub use crate::picking::{PickRequest, Router, RouterConfig};
    pub use crate::queue::{
        Offer, Popped, QueueConfig, QueueRefusal, QueueRequest, Ticket, WaitQueue,
    };
    pub use crate::retry::{
        AttemptEnd, FailedAttempt, GiveUpReason, RetryBudget, RetryConfig, RetryDecision,
    };
}
