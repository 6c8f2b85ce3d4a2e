//! Expert map switch that never mixes maps within one step.
#![forbid(unsafe_code)]
