//! Admission at one upstream: cold start, drain, poison quarantine and fencing.
#![forbid(unsafe_code)]
