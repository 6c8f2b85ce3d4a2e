//! The whole deployment over real sockets: callers' sessions and faults.

mod common;
mod faults;
mod groups;
mod poison;
mod sessions;
