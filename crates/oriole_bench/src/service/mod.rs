//! A discrete-event simulation of the entries' decision code against simulated upstreams.
//!
//! There are no sockets and no threads: messages between callers, entries and upstreams arrive
//! after a simulated delay. Each entry has its own view of the fleet, updated only by the results
//! of its own attempts, the load reports of agents and the limit digests of its peers. The
//! candidates differ only in the entry.
//!
//! - [`setup`]: sizes, load and faults of a run.
//! - [`simulation`]: the event loop.
//! - [`candidate`]: the balancers that are compared: the real code of an entry and two simple ones.
//! - [`callers`]: chooses the entry that a caller sends to.
//! - [`upstream`]: the interface of an upstream with its agent.
//! - [`slots`]: a warm upstream with a fixed number of slots.
//! - [`engine`]: an engine that can be cold, behind the agent's real gate.
//! - [`outcome`]: how the requests ended.

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
