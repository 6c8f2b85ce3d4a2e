//! Entry-side decisions: endpoint answers, limits, queues, picking and retries.
//!
//! Everything here is a plain state machine: events and the time go in, decisions come out. Time
//! is the [`Duration`](std::time::Duration) since the process started; randomness is handed in.
//!
//! The tour, in the order a request meets the machines:
//!
//! - [`endpoints`]: which entries an account should use ([`endpoints::EndpointSelector`]).
//! - [`limits`]: rates and requests in flight per account and catalog entry over the whole fleet
//!   ([`limits::Limiter`]).
//! - [`capacity`]: what a pool has left and which classes that still serves
//!   ([`capacity::CapacityView`]).
//! - [`queue`]: requests that wait for a slot of a pool ([`queue::WaitQueue`]).
//! - [`picking`]: the upstream that gets a request ([`picking::Router`]).
//! - [`retry`]: whether a failed attempt is followed by another ([`retry::RetryBudget`]).
//! - [`rendezvous`]: the hashing that several of them share.
#![forbid(unsafe_code)]

pub mod capacity;
pub mod endpoints;
pub mod limits;
pub mod picking;
pub mod queue;
pub mod rendezvous;
pub mod retry;

/// Everything an entry daemon needs.
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
        AttemptEnd, FailedAttempt, GiveUp, RetryBudget, RetryConfig, RetryDecision,
    };
}
