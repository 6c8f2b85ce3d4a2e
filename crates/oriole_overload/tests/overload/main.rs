//! Tests of the crate: its decisions on plain values, and a small model of a fleet with one group.

mod admission;
mod fleet;
mod limit;
mod loads;
mod progress;
