//! Types shared by every oriole process.
//!
//! Modules:
//!
//! - [`derives`]: macros that declare types with a common set of derives.
//! - [`ids`]: typed names and numbers ([`ids::VmName`], [`ids::RequestId`], ...).
//! - [`catalog`]: the operators' configuration ([`catalog::Catalog`]).
//! - [`fleet`]: the platform's VM list and the load reports of upstreams.
//! - [`outcome`]: the outcome of a request and the reasons for a refusal or an unknown outcome.
//! - [`digest`]: content digests of bodies, keys and documents.
//! - [`error`]: errors with the step that failed and the peer that was involved.
//! - [`request`]: the head of a request that an entry sends to an agent.
#![forbid(unsafe_code)]

#[macro_use]
pub mod derives;
pub mod catalog;
pub mod digest;
pub mod error;
pub mod fleet;
pub mod ids;
pub mod outcome;
pub mod request;

/// The types and macros that other crates usually need.
pub mod prelude {
    pub use crate::catalog::{
        Block, Catalog, CatalogEntry, ClientAccount, FailureDomain, Group, Pool, PoolKind,
        Priority, RequestClass, ServiceState,
    };
    pub use crate::digest::Digest;
    pub use crate::error::{Peer, StepError};
    pub use crate::fleet::{LoadReport, VmList, VmRecord, VmRole, VmState};
    pub use crate::ids::{
        AccountName, Attempt, DomainName, EntryName, Fence, GroupName, IdempotencyKey, Incarnation,
        ModelName, PoolName, RequestId, Revision, VmName,
    };
    pub use crate::outcome::{Outcome, RefusalReason, UnknownReason};
    pub use crate::request::RequestHead;
    pub use crate::{domain_type, name_type, number_type, value_type};
}
