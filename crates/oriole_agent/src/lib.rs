//! Agent daemon: the only sender of work and orders to one upstream.
#![forbid(unsafe_code)]

pub mod upstream;
