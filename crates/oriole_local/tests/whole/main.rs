//! Whole deployments over real sockets: caller sessions, faults and model groups.

mod bodies;
mod common;
mod faults;
mod groups;
mod limit;
mod poison;
mod sessions;
