//! Small stand-ins for the platform, the model engines and the plain services.
//!
//! The tour:
//!
//! - [`engine`]: a model engine that streams tokens, warms up, stalls, turns cold and crashes.
//! - [`group`]: a model group: engines that step together under expert maps.
//! - [`service`]: a plain service whose [`ledger`] counts executions per idempotency key.
//! - [`health`]: the health that engines and services share: states, work in flight, overload.
//! - [`vm_list`]: the platform's VM list, with a lag.
//! - [`store`]: the platform's key-value store over HTTP.
//! - [`faults`]: the control address of an outside driver: ledger, upstreams, faults.
//! - [`server`]: the small HTTP server that carries all of them.
#![forbid(unsafe_code)]

pub mod engine;
pub mod faults;
pub mod group;
pub mod health;
pub mod ledger;
pub mod server;
pub mod service;
pub mod store;
pub mod vm_list;

/// Everything that other crates usually need from this one.
pub mod prelude {
    pub use crate::engine::{Engine, EngineConfig};
    pub use crate::faults::{ControlServer, Fault, FaultError, FaultInjector};
    pub use crate::group::{GroupConfig, LockStep};
    pub use crate::health::{HealthConfig, HealthState, UpstreamView};
    pub use crate::ledger::Ledger;
    pub use crate::service::{Service, ServiceConfig};
    pub use crate::vm_list::{VmListConfig, VmListServer};
}
