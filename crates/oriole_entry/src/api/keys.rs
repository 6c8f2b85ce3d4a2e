//! Minting of idempotency keys that are bound to one agent.

use std::sync::Arc;

use dropshot::{Body, HttpError, Path, RequestContext, endpoint};
use http::{HeaderMap, Response};
use oriole_claims::request::HomeRef;
use oriole_claims::ticket::Ticket;
use oriole_types::prelude::*;
use rand::seq::IndexedRandom;
use serde::Serialize;

use super::Context;
use super::endpoints::json_response;
use super::requests::RequestPath;
use crate::answer::Refusal;
use crate::intake::{authenticate, find_entry};
use crate::state::EntryState;

/// Number of characters of the random suffix that makes a minted key unique.
const KEY_SUFFIX_HEX_CHARS: usize = 16;

/// A minted key.
#[derive(Debug, Serialize, schemars::JsonSchema)]
pub struct KeyBody {
    /// The key, to send as `Idempotency-Key` with one request and its repetitions.
    pub key: String,
    /// Prefix to which the caller may append its own suffixes, one per request.
    pub prefix: String,
    /// Failure domain in which requests with the key run.
    pub domain: String,
}

/// Mint an idempotency key for an entry.
///
/// A minted key is bound to one agent, which decides about it from memory alone. Requests with such
/// a key are therefore served during an outage of the platform's store.
#[endpoint { method = POST, path = "/v1/entries/{entry}/keys" }]
pub(crate) async fn post_key(
    cx: RequestContext<Context>,
    path: Path<RequestPath>,
) -> Result<Response<Body>, HttpError> {
    let state = cx.context();
    let entry = path.into_inner().entry;
    match mint(state, &entry, cx.request.headers()) {
        Ok(body) => Ok(json_response(&body)),
        Err(refusal) => Ok(state.refusal_response(state.next_request_id(), &refusal)),
    }
}

/// Mints a key that is bound to a random agent of the entry's pool.
fn mint(state: &Arc<EntryState>, entry: &str, headers: &HeaderMap) -> Result<KeyBody, Refusal> {
    state.check_serving()?;
    let catalog = state.catalog()?;
    let account = authenticate(&catalog, headers)?;
    let (entry_name, entry) = find_entry(&catalog, entry)?;
    let members = state.fleet.pool_members(&entry.pool, &catalog);
    let homes = state.fleet.ready_homes(&members);
    let Some((vm, domain, home)) = homes.choose(&mut rand::rng()).cloned() else {
        let message = format!("no upstream of pool {} is in service", entry.pool);
        return Err(Refusal::new(RefusalReason::NoUpstream, message).with_retry_after_ms(1_000));
    };
    let home_ref = HomeRef {
        vm,
        incarnation: home.incarnation,
    };
    let suffix = format!(
        "{:0width$x}",
        rand::random::<u64>(),
        width = KEY_SUFFIX_HEX_CHARS
    );
    let ticket = Ticket::mint(
        &state.ticket_secret,
        home_ref,
        home.clock_ms,
        &account,
        &entry_name,
        &suffix,
    );
    Ok(KeyBody {
        key: ticket.key().to_string(),
        prefix: ticket.prefix(),
        domain: domain.to_string(),
    })
}
