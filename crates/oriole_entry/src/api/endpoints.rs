//! The addresses that a caller should use.

use std::sync::Arc;

use dropshot::{Body, HttpError, RequestContext, endpoint};
use http::{HeaderValue, Response, header};
use oriole_routing::endpoints::EndpointInputs;
use oriole_types::ids::AccountName;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use super::Context;
use crate::answer::Refusal;
use crate::intake::authenticate;
use crate::state::EntryState;

/// The addresses that a caller should use.
#[derive(Debug, Serialize, schemars::JsonSchema)]
pub struct EndpointsBody {
    /// Addresses, best first.
    pub endpoints: Vec<EndpointBody>,
    /// Time for which the answer may be cached, in milliseconds.
    pub ttl_ms: u32,
    /// Revision of the configuration that the answer is based on.
    pub revision: u64,
}

/// Address of one entry.
#[derive(Debug, Serialize, schemars::JsonSchema)]
pub struct EndpointBody {
    /// Address to connect to, as `ip:port`.
    pub address: String,
    /// Failure domain of the entry.
    pub domain: String,
}

/// List the addresses that the account should use, best first.
#[endpoint { method = GET, path = "/v1/endpoints" }]
pub(crate) async fn get_endpoints(
    cx: RequestContext<Context>,
) -> Result<Response<Body>, HttpError> {
    let state = cx.context();
    let caller = xxh3_64(cx.request.remote_addr().ip().to_string().as_bytes());
    match answer(state, cx.request.headers(), caller) {
        Ok(body) => Ok(json_response(&body)),
        Err(refusal) => Ok(state.refusal_response(state.next_request_id(), &refusal)),
    }
}

fn answer(
    state: &Arc<EntryState>,
    headers: &http::HeaderMap,
    caller: u64,
) -> Result<EndpointsBody, Refusal> {
    let catalog = state.catalog()?;
    let account: AccountName = authenticate(&catalog, headers)?;
    let list = state.fleet.vm_list();
    let (unavailable, headroom) = (state.fleet.unavailable_entries(), state.headroom());
    let inputs = EndpointInputs {
        list: &list,
        catalog: &catalog,
        unavailable: &unavailable,
        headroom: &headroom,
    };
    let answer = state.endpoints.answer(&inputs, &account, caller);
    let endpoints = answer
        .endpoints
        .into_iter()
        .map(|e| EndpointBody {
            address: e.address.to_string(),
            domain: e.domain.to_string(),
        })
        .collect();
    Ok(EndpointsBody {
        endpoints,
        ttl_ms: answer.ttl_ms,
        revision: catalog.revision.0,
    })
}

/// Creates a JSON response.
pub(crate) fn json_response(body: &impl Serialize) -> Response<Body> {
    let text = serde_json::to_vec(body).unwrap_or_default();
    let mut response = Response::new(Body::from(text));
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}
