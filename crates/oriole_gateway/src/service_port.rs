//! Answers readiness and endpoint queries.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::request::Parts;
use http::{HeaderValue, Response, StatusCode, header};
use http_body_util::Full;
use oriole_kernel::bounded_listener;
use oriole_kernel::bounded_listener::slots::ConnectionLimits;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::endpoints::{self, Candidate};
use crate::gateway::Gateway;
use crate::mesh::message::Readiness;

/// Accepts connections and answers queries until `stop` is cancelled. `name` is the listener's name in
/// metrics.
pub fn spawn(
    gateway: &Arc<Gateway>,
    listener: TcpListener,
    name: &'static str,
    stop: &CancellationToken,
) {
    let gateway = gateway.clone();
    let handler = Arc::new(move |head: &Parts| response(&gateway, head));
    let limits = ConnectionLimits::default();
    bounded_listener::spawn_http(listener, name, limits, handler, stop);
}

fn response(gateway: &Gateway, head: &Parts) -> Response<Full<Bytes>> {
    if gateway.dialect.is_readiness_query(&head.uri) {
        return status(match gateway.readiness() {
            Readiness::Ready => StatusCode::OK,
            Readiness::Starting | Readiness::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        });
    }
    if let Some(query) = gateway.dialect.endpoint_query(&head.uri) {
        return endpoint_response(gateway, &query.domain);
    }
    status(StatusCode::NOT_FOUND)
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

fn endpoint_response(gateway: &Gateway, domain: &str) -> Response<Full<Bytes>> {
    let addresses = endpoints::choose(candidates(gateway), domain, &mut rand::rng());
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let body = gateway
        .dialect
        .endpoint_answer(&addresses, endpoints::RESPONSE_TTL);
    let mut response = Response::new(Full::new(body));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}

fn candidates(gateway: &Gateway) -> Vec<Candidate> {
    let now = gateway.clock.now();
    let members = gateway.members();
    let mut candidates: Vec<Candidate> = members
        .ready(now)
        .filter_map(|m| {
            let address: SocketAddr = m.record.caller_address.parse().ok()?;
            Some(Candidate {
                address,
                domain: m.record.domain.clone(),
            })
        })
        .collect();
    drop(members);
    if gateway.readiness() == Readiness::Ready {
        candidates.push(Candidate {
            address: gateway.cfg.listen.callers,
            domain: gateway.cfg.domain.clone(),
        });
    }
    candidates
}
