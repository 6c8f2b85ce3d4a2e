//! Spread of the catalog to every process.
//!
//! - [`machine`]: decides whom to ask and when; no I/O, no clock.
//! - [`follower`]: [`follower::ConfigFollower`], the handle of the running task that a daemon holds.
//! - [`members`]: who is a relay, by rendezvous hash.
//! - [`peer`]: how one process asks another, and what it answers.
//! - [`status`]: what a process says about the configuration it holds.
//!
//! A few relays in each failure domain hold the store's watch; all others hold a long poll at one
//! of them. Each process also reads the store directly now and then, and asks any peer that is
//! heard to hold a newer revision. What a process holds only grows.

mod calls;
pub mod config;
pub mod follower;
pub mod machine;
pub mod members;
pub mod peer;
mod shared;
mod startup;
pub mod status;
mod suspects;
mod task;
