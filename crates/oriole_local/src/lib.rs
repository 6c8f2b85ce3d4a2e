//! Whole deployment in one process on loopback, with a demonstration workload.
//!
//! The tour:
//!
//! - [`spec`]: what is deployed: catalog, accounts, number of VMs.
//! - [`platform`]: the platform's stand-ins and the upstreams.
//! - [`vm`]: one daemon on a runtime of its own, so that it can be killed, paused and restarted.
//! - [`deployment`]: all of it, started and stopped together ([`deployment::Deployment`]).
//! - [`faults`]: faults that an outside driver asks for.
//! - [`caller`]: a small caller, as a customer's program would be.
//! - [`demo`]: a small workload with a table of outcomes.
#![forbid(unsafe_code)]

pub mod caller;
pub mod demo;
pub mod deployment;
pub mod faults;
pub mod platform;
pub mod spec;
pub mod vm;

/// Everything that embeds a deployment.
pub mod prelude {
    pub use crate::caller::{Caller, CallerAnswer, CallerRequest};
    pub use crate::deployment::{Deployment, ReadyReport};
    pub use crate::spec::{DeploymentName, DeploymentSpec};
}
