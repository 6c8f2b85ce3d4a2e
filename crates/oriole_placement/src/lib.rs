//! Expert replica placement that follows drifting demand.
#![forbid(unsafe_code)]
