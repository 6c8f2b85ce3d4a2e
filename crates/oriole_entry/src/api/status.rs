//! The status, metrics and OpenAPI document of the process.

use std::sync::atomic::Ordering;
use std::time::Duration;

use dropshot::{Body, HttpError, RequestContext, endpoint};
use http::{HeaderValue, Response, header};
use oriole_types::prelude::*;
use serde::Serialize;

use super::Context;
use super::endpoints::json_response;
use crate::groups::GroupBody;
use crate::state::EntryState;

/// Status of an entry.
#[derive(Debug, Serialize, schemars::JsonSchema)]
pub struct StatusBody {
    /// Name of the VM.
    pub name: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// `serving`, `leaving` or `no_configuration`.
    pub state: String,
    /// Revision of the newest configuration; 0 if there is none.
    pub revision: u64,
    /// Time since the store confirmed that revision, in milliseconds; absent if it never did.
    pub config_age_ms: Option<u64>,
    /// Whether the revision has not been confirmed for too long.
    pub config_stale: bool,
    /// Whether the process reads the store on behalf of its peers.
    pub config_relay: bool,
    /// Requests that are running or waiting.
    pub running: usize,
    /// Requests that wait for an upstream.
    pub waiting: usize,
    /// This entry's estimate of the capacity of each pool.
    pub pools: Vec<PoolStatus>,
    /// The upstreams that this entry serves.
    pub upstreams: Vec<UpstreamStatus>,
    /// Model groups whose coordinators have reported to this entry recently.
    pub groups: Vec<GroupBody>,
}

/// Estimated capacity of a pool.
#[derive(Debug, Serialize, schemars::JsonSchema)]
pub struct PoolStatus {
    /// Name of the pool.
    pub name: String,
    /// Number of upstreams that accept new work.
    pub upstreams: u32,
    /// Limit of requests in flight of all upstreams when warm.
    pub stated: u64,
    /// Current limit of requests in flight of the upstreams in service.
    pub left: u64,
    /// Estimated requests in flight.
    pub in_flight: u64,
}

/// State of an upstream, as this entry knows it.
#[derive(Debug, Serialize, schemars::JsonSchema)]
pub struct UpstreamStatus {
    /// Name of the VM.
    pub name: String,
    /// Pool that the upstream serves.
    pub pool: String,
    /// Failure domain of the VM.
    pub domain: String,
    /// Whether the catalog and the VM list allow new work.
    pub in_service: bool,
    /// Whether it is in cold start.
    pub cold: bool,
    /// Whether the agent accepts no new work.
    pub leaving: bool,
    /// Current limit of requests in flight.
    pub limit: u32,
    /// Requests in flight at its last report.
    pub in_flight: u32,
}

/// Status of the entry, its pools and upstreams.
#[endpoint { method = GET, path = "/v1/status" }]
pub(crate) async fn get_status(cx: RequestContext<Context>) -> Result<Response<Body>, HttpError> {
    Ok(json_response(&status_body(cx.context())))
}

/// Metrics in the Prometheus text format.
#[endpoint { method = GET, path = "/metrics" }]
pub(crate) async fn get_metrics(_cx: RequestContext<Context>) -> Result<Response<Body>, HttpError> {
    let mut response = Response::new(Body::from(oriole_kernel::telemetry::render()));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("text/plain; version=0.0.4"),
    );
    Ok(response)
}

/// This interface as an OpenAPI document.
#[endpoint { method = GET, path = "/v1/openapi.json" }]
pub(crate) async fn get_openapi(_cx: RequestContext<Context>) -> Result<Response<Body>, HttpError> {
    let document = super::openapi()
        .map_err(|e| HttpError::for_internal_error(format!("OpenAPI document: {e}")))?;
    Ok(json_response(&document))
}

fn status_body(state: &EntryState) -> StatusBody {
    let catalog = state.catalog.borrow().clone();
    let config = state.config.status();
    StatusBody {
        name: state.name.to_string(),
        domain: state.domain.to_string(),
        state: state_name(state, catalog.is_some()).into(),
        revision: state.revision().0,
        config_age_ms: config.confirmed_age.map(millis),
        config_stale: config.stale,
        config_relay: config.relay,
        running: state.running_requests.load(Ordering::Relaxed),
        waiting: state.routing.waiting(),
        pools: pool_statuses(state),
        upstreams: upstream_statuses(state, catalog.as_deref()),
        groups: state.groups.bodies(),
    }
}

fn millis(age: Duration) -> u64 {
    u64::try_from(age.as_millis()).unwrap_or(u64::MAX)
}

fn state_name(state: &EntryState, configured: bool) -> &'static str {
    if state.draining.load(Ordering::Relaxed) {
        "leaving"
    } else if configured {
        "serving"
    } else {
        "no_configuration"
    }
}

fn pool_statuses(state: &EntryState) -> Vec<PoolStatus> {
    let view = state.routing.capacity();
    view.pools()
        .map(|(name, c)| PoolStatus {
            name: name.to_string(),
            upstreams: c.upstreams,
            stated: c.stated,
            left: c.left,
            in_flight: c.in_flight,
        })
        .collect()
}

fn upstream_statuses(state: &EntryState, catalog: Option<&Catalog>) -> Vec<UpstreamStatus> {
    let loads = state.fleet.loads();
    state
        .fleet
        .served_vms(&state.name)
        .iter()
        .map(|record| {
            let load = loads.get(&record.name).copied().unwrap_or_default();
            upstream_status(record, load, catalog)
        })
        .collect()
}

fn upstream_status(
    record: &VmRecord,
    load: LoadReport,
    catalog: Option<&Catalog>,
) -> UpstreamStatus {
    let pool = match &record.role {
        VmRole::Upstream { pool } => pool.to_string(),
        VmRole::Entry => String::new(),
    };
    let allowed_by_operators =
        catalog.is_some_and(|c| c.is_in_service(&record.name, &record.domain));
    UpstreamStatus {
        name: record.name.to_string(),
        pool,
        domain: record.domain.to_string(),
        in_service: allowed_by_operators && record.state == VmState::Live,
        cold: load.cold,
        leaving: load.leaving,
        limit: load.limit,
        in_flight: load.in_flight,
    }
}
