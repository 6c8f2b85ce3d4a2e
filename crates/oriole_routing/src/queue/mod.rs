//! Requests that wait for a slot of a pool.
//!
//! - [`wait_queue`]: the queue itself, bounded and fair across accounts.
//! - [`lane`]: one account's requests of one class, in order of their deadlines.
//! - [`rate`]: measured rates, from which waiting times are forecast.

pub mod lane;
pub mod rate;
pub mod wait_queue;

pub use wait_queue::{Offer, Popped, QueueConfig, QueueRefusal, Ticket, WaitQueue, Waiting};
