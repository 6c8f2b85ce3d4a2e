//! A small event loop that drives the entry's machines against fakes of upstreams.
//!
//! It has no sockets and no threads: callers, entries and upstreams exchange messages that take
//! the stated time. Each entry has its own view, fed only by what its own attempts bring back and
//! by the digests of its peers. Contenders differ in the entry alone.
//!
//! - [`setup`]: sizes, load and faults of a run.
//! - [`simulation`]: the event loop.
//! - [`candidate`]: what an entry does: the real machines, or one of two simple balancers.
//! - [`callers`]: which entry a caller sends to.
//! - [`upstream`]: what an upstream with its agent does.
//! - [`slots`]: a warm upstream with slots.
//! - [`engine`]: an engine that can be cold, behind the agent's real gate.
//! - [`outcome`]: what became of the requests.

pub mod callers;
pub mod candidate;
pub mod engine;
pub mod outcome;
pub mod setup;
pub mod simulation;
pub mod slots;
pub mod upstream;

pub use candidate::Candidate;
pub use outcome::Outcomes;
pub use setup::{Fault, Setup, Traffic};
pub use simulation::run;
