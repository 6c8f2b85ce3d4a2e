//! Validates a caller's request against the configuration.

use std::sync::Arc;
use std::time::Duration;

use http::{Request, header};
use hyper::body::{Body as _, Incoming};
use oriole_fleet::bounded;
use oriole_fleet::prelude::*;
use oriole_memory::prelude::{BlockBuffer, Blocks};
use oriole_types::digest::Digest;
use rand::RngExt as _;

use super::headers::OutgoingRequest;
use crate::gateway::Gateway;
use crate::memory::Holding;
use crate::memory::connection::CallerConnection;
use crate::refusal::Refusal;

/// Most shared parts of one prompt that are looked at; bounds the work on a request.
const MAX_SHARED_PARTS: usize = 32;

/// A valid request with everything needed to send it to upstreams.
pub struct CheckedRequest {
    /// Connection of the caller.
    pub caller: Arc<CallerConnection>,
    /// Memory of the request, which is held until no attempt needs its body any more.
    _holding: Holding,
    /// Attempt id given by the caller.
    pub id: String,
    /// Client account; `None` if the route is public or no accounts are configured.
    pub account: Option<Account>,
    /// Route that matches the request.
    pub route: Route,
    /// Service chosen from the route.
    pub service: String,
    /// Configuration that the request was checked against.
    pub cfg: Arc<Configuration>,
    /// Time of arrival.
    pub received_at: Duration,
    /// Time until which the caller waits, if it states one.
    pub caller_deadline: Option<Duration>,
    /// Time by which the caller must have its response: the route's timeout or the caller's
    /// deadline, whichever is earlier.
    pub respond_by: Duration,
    /// Id of the last event that the caller has, if it resumes a stream.
    pub last_event_id: Option<u64>,
    /// Digest of method, host, target, client account and body; the same when the caller sends the
    /// request again under another attempt id.
    pub content: Digest,
    /// Digests of the parts of its prompt that other requests may share.
    pub shared_parts: Vec<Digest>,
    /// Priority of its account or route; zero is the most urgent.
    pub priority: u8,
    /// The request as it is sent to upstreams.
    pub outgoing: OutgoingRequest,
}

/// What is known of a request that was refused during validation.
pub struct RejectedRequest {
    /// Attempt id; empty if the request has none.
    pub id: String,
    /// Name of the route; empty if none was found.
    pub route: String,
    /// Why it was refused.
    pub refusal: Refusal,
}

/// Validates a request and reads its body.
///
/// # Errors
///
/// Returns why the request is refused. It has not run in that case.
pub async fn read(
    caller: &Arc<CallerConnection>,
    req: Request<Incoming>,
) -> Result<CheckedRequest, RejectedRequest> {
    let gateway = caller.gateway();
    let received_at = gateway.clock.now();
    let names = gateway.dialect.headers();
    let header_text = |name| -> Option<String> {
        let value = req.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let id = header_text(&names.attempt).unwrap_or_default();
    let reject = |route: &str, refusal| RejectedRequest {
        id: id.clone(),
        route: route.to_owned(),
        refusal,
    };
    let cfg = gateway.fleet_view().configuration().cloned();
    let cfg = cfg.ok_or_else(|| reject("", Refusal::NotReady))?;
    if id.is_empty() {
        return Err(reject("", Refusal::Malformed));
    }
    let host = header_text(&header::HOST).unwrap_or_default();
    let route = cfg.routes.find(&host, req.uri().path()).cloned();
    let route = route.ok_or_else(|| reject("", Refusal::NoRoute))?;
    let account = match gateway.dialect.account_key(req.headers()) {
        _ if route.public || cfg.accounts.is_empty() => None,
        Some(key) => cfg.accounts.find(key).cloned(),
        None => None,
    };
    if account.is_none() && !route.public && !cfg.accounts.is_empty() {
        return Err(reject(&route.name, Refusal::UnknownKey));
    }
    let caller_timeout = header_text(&names.deadline_ms)
        .and_then(|v| v.trim().parse::<f64>().ok())
        .filter(|ms| ms.is_finite() && *ms >= 0.0)
        .map(bounded::duration_from_ms);
    let caller_deadline = caller_timeout.map(|w| received_at + w);
    let respond_by = (received_at + route.timeout).min(caller_deadline.unwrap_or(Duration::MAX));
    let last_event_id = header_text(&names.last_event_id).and_then(|v| v.trim().parse().ok());
    let shared_parts = shared_part_digests(gateway, &req);
    let (parts, body) = req.into_parts();
    let max_body_bytes = cfg.limits.max_body_bytes;
    if body.size_hint().lower() > max_body_bytes {
        return Err(reject(&route.name, Refusal::TooLarge));
    }
    let reject_unread = |refusal| reject(&route.name, refusal);
    let holder = account.as_ref().map(|a| a.name.as_str());
    let holding = caller.open_request(&id, holder, head_bytes(&parts)).await;
    let holding = holding.map_err(reject_unread)?;
    let reading = read_body(caller, &holding, body, max_body_bytes);
    let body = match tokio::time::timeout(route.timeout, reading).await {
        Ok(read) => read.map_err(reject_unread)?,
        Err(_) => return Err(reject_unread(Refusal::BodyTimeout)),
    };
    caller.on_request_read(&holding).map_err(reject_unread)?;
    let priority = account
        .as_ref()
        .and_then(|a| a.priority)
        .unwrap_or(route.priority);
    let account_name = account.as_ref().map(|a| a.name.as_str());
    let content = content_digest(&parts, &host, account_name, &body);
    let outgoing = OutgoingRequest::new(parts, body, names, account_name, priority);
    let service = route.pick_service(rand::rng().random()).to_owned();
    Ok(CheckedRequest {
        caller: caller.clone(),
        _holding: holding,
        id,
        account,
        service,
        cfg,
        received_at,
        caller_deadline,
        respond_by,
        last_event_id,
        content,
        shared_parts,
        priority,
        outgoing,
        route,
    })
}

fn shared_part_digests(gateway: &Gateway, req: &Request<Incoming>) -> Vec<Digest> {
    let parts = gateway.dialect.shared_prompt_parts(req.headers());
    let parts = parts.into_iter().take(MAX_SHARED_PARTS);
    parts.map(|id| Digest::of(id.as_bytes())).collect()
}

fn content_digest(
    parts: &http::request::Parts,
    host: &str,
    account: Option<&str>,
    body: &Blocks,
) -> Digest {
    let target = parts.uri.path_and_query().map_or("", |t| t.as_str());
    let fields = [
        parts.method.as_str().as_bytes(),
        host.as_bytes(),
        target.as_bytes(),
        account.unwrap_or_default().as_bytes(),
    ];
    Digest::of_fields_and_parts(&fields, body.len(), body.iter().map(AsRef::as_ref))
}

/// Bytes of a head that are kept with the request.
fn head_bytes(parts: &http::request::Parts) -> usize {
    let headers = parts.headers.iter();
    let headers: usize = headers.map(|(n, v)| n.as_str().len() + v.len()).sum();
    headers + parts.uri.path_and_query().map_or(0, |t| t.as_str().len())
}

/// Reads a body into blocks, which are charged before they are allocated.
async fn read_body(
    caller: &CallerConnection,
    holding: &Holding,
    mut body: Incoming,
    limit: u64,
) -> Result<Blocks, Refusal> {
    let mut buf = BlockBuffer::with_length(body.size_hint().exact());
    while let Some(frame) = caller.next_frame(&mut body).await? {
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if (buf.len() + data.len()) as u64 > limit {
            return Err(Refusal::TooLarge);
        }
        let missing = buf.missing_capacity(data.len());
        if missing > 0 {
            let charged = holding.charge(missing).await;
            charged.map_err(|_| Refusal::Memory)?;
        }
        buf.extend(&data);
    }
    Ok(buf.freeze())
}
