//! A whole deployment in one process on loopback, with a demonstration workload.
//!
//! Modules:
//!
//! - [`spec`]: the deployment to start: catalog, accounts, numbers of VMs.
//! - [`platform`]: stand-ins for the platform's store and VM list, and the upstreams.
//! - [`vm`]: a daemon on its own runtime, so that it can be killed, paused and restarted.
//! - [`deployment`]: starts and stops all of it together ([`deployment::Deployment`]).
//! - [`faults`]: injects faults that a test driver requests.
//! - [`caller`]: a small HTTP client of the entries.
//! - [`demo`]: sends a small workload and prints a table of outcomes.
#![forbid(unsafe_code)]

pub mod caller;
pub mod demo;
pub mod deployment;
pub mod faults;
pub mod platform;
pub mod spec;
pub mod vm;

/// The types that embed a deployment in another program.
pub mod prelude {
    pub use crate::caller::{Caller, CallerAnswer, CallerRequest};
    pub use crate::deployment::{Deployment, ReadyReport};
    pub use crate::spec::{DeploymentName, DeploymentSpec};
}
