//! Requests that wait for a slot of a pool.
//!
//! - [`wait_queue`]: the queue of one pool, bounded and fair across accounts.
//! - [`rate`]: smoothed rates, from which waiting times are forecast.

mod account_queue;
mod class;
pub mod rate;
mod shares;
pub mod wait_queue;

pub use wait_queue::{Offer, Popped, QueueConfig, QueueRefusal, QueueRequest, Ticket, WaitQueue};
