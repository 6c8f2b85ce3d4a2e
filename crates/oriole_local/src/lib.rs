//! Whole deployment in one process on loopback.
#![forbid(unsafe_code)]
