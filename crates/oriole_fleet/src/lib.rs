//! What a platform declares about a fleet, and the borders through which daemons meet it.
//!
//! The tour:
//!
//! - [`routes`]: hosts, path prefixes and what a route allows ([`routes::RouteTable`]).
//! - [`service`]: what a route's requests are served by.
//! - [`accounts`]: client accounts, found by the digest of a key.
//! - [`configuration`]: one accepted version of all of these.
//! - [`upstream`]: one declared upstream.
//! - [`decoded_item`]: what one item of the store means.
//! - [`dialect`]: names and formats on the wire, as a trait object.
//! - [`fleet_store`]: the store with prefixes, as a trait object.
//! - [`engine`]: expert-parallel engines, as a trait object.
#![forbid(unsafe_code)]

pub mod accounts;
pub mod configuration;
pub mod decoded_item;
pub mod dialect;
pub mod engine;
pub mod fleet_store;
pub mod routes;
pub mod service;
pub mod upstream;

/// Everything that other crates usually need from this one.
pub mod prelude {
    pub use crate::accounts::{Account, Accounts};
    pub use crate::configuration::{Configuration, RequestLimits};
    pub use crate::decoded_item::DecodedItem;
    pub use crate::dialect::{Dialect, EndpointQuery, HeaderNames};
    pub use crate::engine::{
        EngineError, EngineOrder, EngineReport, ExpertCounts, ExpertEngine, ExpertLimits,
        OrderOutcome, RankMap,
    };
    pub use crate::fleet_store::{
        Change, FleetStore, Freshness, Item, ListPage, PutItem, WatchOutcome,
    };
    pub use crate::routes::{Route, RouteKind, RouteTable, ServiceShare};
    pub use crate::service::Service;
    pub use crate::upstream::{GroupMembership, Upstream, UpstreamState};
}
