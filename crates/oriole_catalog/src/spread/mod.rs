//! Distributes the catalog to every process.
//!
//! - [`machine`]: decides which process or store to query and when; without I/O or a clock.
//! - [`follower`]: [`follower::ConfigFollower`], a daemon's handle of the running task.
//! - [`members`]: selects the relays by rendezvous hash.
//! - [`peer`]: queries between processes and their answers.
//! - [`status`]: the state of the configuration in a process.
//!
//! A few relays in each failure domain watch the store; every other process long-polls one of them.
//! Each process also reads the store directly from time to time, and queries a peer whose messages
//! show a newer revision. A process never installs an older revision than the one it holds.

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
