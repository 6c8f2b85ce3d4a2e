//! What a platform declares about a fleet, and the traits through which the daemons use the
//! platform.
//!
//! Modules:
//!
//! - [`routes`]: routes by host and path prefix ([`routes::RouteTable`]).
//! - [`service`]: services that routes forward requests to.
//! - [`accounts`]: client accounts, looked up by key.
//! - [`configuration`]: one version of the operator's configuration, with all of these.
//! - [`upstream`]: upstreams as registered in the store.
//! - [`decoded_item`]: items of the store as the adapter decodes them.
//! - [`dialect`]: the platform's names and formats on the wire, as a trait.
//! - [`fleet_store`]: the platform's key-value store, as a trait.
//! - [`engine`]: expert-parallel engines, as a trait.
//! - [`bounded`]: conversion of numbers that come from outside.
#![forbid(unsafe_code)]

pub mod accounts;
pub mod bounded;
pub mod configuration;
pub mod decoded_item;
pub mod dialect;
pub mod engine;
pub mod fleet_store;
pub mod routes;
pub mod service;
pub mod upstream;

/// The items that other crates usually need.
pub mod prelude {
    pub use crate::accounts::{Account, Accounts};
    pub use crate::configuration::{Configuration, RequestLimits};
    pub use crate::decoded_item::DecodedItem;
    pub use crate::dialect::{AnnouncedLimit, Dialect, EndpointQuery, HeaderNames, RetryAfter};
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
