//! Requests that wait for a slot of a pool.
//!
//! - [`wait_queue`]: the queue itself, bounded and fair across accounts.
//! - [`rate`]: measured rates, from which waiting times are forecast.

mod class;
mod lane;
pub mod rate;
mod shares;
pub mod wait_queue;

pub use wait_queue::{Offer, Popped, QueueConfig, QueueRefusal, QueueRequest, Ticket, WaitQueue};
