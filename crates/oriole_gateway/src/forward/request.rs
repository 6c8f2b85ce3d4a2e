//! A caller's request, checked against the configuration.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, header};
use http_body_util::{BodyExt as _, Limited};
use hyper::body::{Body as _, Incoming};
use oriole_fleet::prelude::*;
use rand::RngExt as _;

use super::head::Outgoing;
use crate::gateway::Gateway;
use crate::refusal::Refusal;

/// A proper request with what is needed to send it to upstreams.
pub struct Asked {
    /// Attempt id of the caller.
    pub id: String,
    /// Account, if the route asks for one.
    pub account: Option<Account>,
    /// Route.
    pub route: Route,
    /// Service that serves it.
    pub service: String,
    /// Configuration that it was checked against.
    pub cfg: Arc<Configuration>,
    /// Time at which it came.
    pub came: Duration,
    /// Time until which the caller waits, if it told.
    pub deadline: Option<Duration>,
    /// Time at which an answer must be given in any case.
    pub limit: Duration,
    /// Last event that the caller holds.
    pub last_event: Option<u64>,
    /// The request as upstreams get it.
    pub outgoing: Outgoing,
}

/// What is known of a request that is turned away before it was checked in full.
pub struct TurnedAway {
    /// Attempt id, if there is one.
    pub id: String,
    /// Route, if there is one.
    pub route: String,
    /// Why.
    pub refusal: Refusal,
}

/// Checks a request and reads its body.
///
/// # Errors
///
/// Tells why it is turned away; it has not run then.
pub async fn read(gateway: &Gateway, req: Request<Incoming>) -> Result<Asked, TurnedAway> {
    let came = gateway.clock.now();
    let names = gateway.dialect.headers();
    let text = |name| -> Option<String> {
        let value = req.headers().get(name)?;
        value.to_str().ok().map(str::to_owned)
    };
    let id = text(&names.attempt).unwrap_or_default();
    let turned_away = |route: &str, refusal| TurnedAway {
        id: id.clone(),
        route: route.to_owned(),
        refusal,
    };
    let cfg = gateway.belief().configuration().cloned();
    let cfg = cfg.ok_or_else(|| turned_away("", Refusal::NotReady))?;
    if id.is_empty() {
        return Err(turned_away("", Refusal::Malformed));
    }
    let host = text(&header::HOST).unwrap_or_default();
    let route = cfg.routes.find(&host, req.uri().path()).cloned();
    let route = route.ok_or_else(|| turned_away("", Refusal::NoRoute))?;
    let account = match gateway.dialect.account_key(req.headers()) {
        _ if route.public || cfg.accounts.is_empty() => None,
        Some(key) => cfg.accounts.find(key).cloned(),
        None => None,
    };
    if account.is_none() && !route.public && !cfg.accounts.is_empty() {
        return Err(turned_away(&route.name, Refusal::UnknownKey));
    }
    let waits = text(&names.deadline_ms)
        .and_then(|v| v.trim().parse::<f64>().ok())
        .filter(|ms| ms.is_finite() && *ms >= 0.0)
        .map(|ms| Duration::from_secs_f64(ms / 1000.0));
    let deadline = waits.map(|w| came + w);
    let limit = (came + route.timeout).min(deadline.unwrap_or(Duration::MAX));
    let last_event = text(&names.last_event_id).and_then(|v| v.trim().parse().ok());
    let (parts, body) = req.into_parts();
    let body = read_body(body, cfg.limits.max_body_bytes, route.timeout)
        .await
        .map_err(|refusal| turned_away(&route.name, refusal))?;
    let priority = account
        .as_ref()
        .and_then(|a| a.priority)
        .unwrap_or(route.priority);
    let account_name = account.as_ref().map(|a| a.name.as_str());
    let outgoing = Outgoing::new(parts, body, names, account_name, priority);
    let service = route.pick_service(rand::rng().random()).to_owned();
    Ok(Asked {
        id,
        account,
        service,
        cfg,
        came,
        deadline,
        limit,
        last_event,
        outgoing,
        route,
    })
}

async fn read_body(body: Incoming, limit: u64, timeout: Duration) -> Result<Bytes, Refusal> {
    if body.is_end_stream() {
        return Ok(Bytes::new());
    }
    if body.size_hint().lower() > limit {
        return Err(Refusal::TooLarge);
    }
    let limited = Limited::new(body, usize::try_from(limit).unwrap_or(usize::MAX));
    match tokio::time::timeout(timeout, limited.collect()).await {
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(e)) if e.is::<http_body_util::LengthLimitError>() => Err(Refusal::TooLarge),
        Ok(Err(_)) => Err(Refusal::Malformed),
        Err(_) => Err(Refusal::BodyTimeout),
    }
}
