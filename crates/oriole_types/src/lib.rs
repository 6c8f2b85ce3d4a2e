//! Vocabulary shared by every oriole process.
//!
//! The tour:
//!
//! - [`derives`]: the macros that attach the common derive sets.
//! - [`ids`]: names and numbers that identify things ([`ids::VmName`], [`ids::RequestId`], ...).
//! - [`catalog`]: the operators' catalog as every process holds it ([`catalog::Catalog`]).
//! - [`fleet`]: what the platform's VM list says, and the load an upstream reports.
//! - [`outcome`]: the three ends of a request and the reasons of a refusal.
//! - [`digest`]: content digests of bodies, keys and documents.
//! - [`error`]: errors that carry the step and the peer at which they arose.
//! - [`request`]: what an entry tells an agent about one request.
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

/// Everything that other crates usually need from this one.
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
