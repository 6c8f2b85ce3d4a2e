//! Operators' command line: oriolectl.
#![forbid(unsafe_code)]
