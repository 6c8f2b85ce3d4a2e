//! Small stand-ins for the platform, the model engines and the plain services, for tests and local
//! deployments.
//!
//! Modules:
//!
//! - [`engine`]: a model engine that streams tokens and can be cold, warm, stalled or crashed.
//! - [`group`]: a model group: engines that run their steps in lockstep, under expert maps.
//! - [`service`]: a plain service whose [`ledger`] counts executions per idempotency key.
//! - [`health`]: the state of an engine or service, its requests in flight and its crashes.
//! - [`vm_list`]: the platform's VM list, which shows changes after a lag.
//! - [`store`]: the platform's key-value store over HTTP.
//! - [`faults`]: the control address, at which a test driver reads the ledger and the upstreams and
//!   injects faults.
//! - [`server`]: the small HTTP server under all of them but the store.
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

/// The types that most users of this crate need.
pub mod prelude {
    pub use crate::engine::{Engine, EngineConfig};
    pub use crate::faults::{ControlServer, Fault, FaultError, FaultInjector};
    pub use crate::group::{GroupConfig, LockStep};
    pub use crate::health::{HealthConfig, HealthState, UpstreamView};
    pub use crate::ledger::Ledger;
    pub use crate::service::{Service, ServiceConfig};
    pub use crate::vm_list::{VmListConfig, VmListServer};
}
