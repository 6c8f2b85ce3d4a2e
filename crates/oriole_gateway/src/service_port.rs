//! Questions about the process: whether it is ready, and where callers should connect.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::endpoints::{self, Candidate};
use crate::gateway::Gateway;
use crate::mesh::message::Readiness;

/// Time for which a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Answers until told to stop.
pub fn spawn(gateway: &Arc<Gateway>, listener: TcpListener, stop: &CancellationToken) {
    let (gateway, stop) = (gateway.clone(), stop.clone());
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(Duration::from_millis(20)).await;
                continue;
            };
            let gateway = gateway.clone();
            let stop = stop.clone();
            tokio::spawn(async move {
                let handler = service_fn(move |req| {
                    let answer = answer(&gateway, &req);
                    async move { Ok::<_, Infallible>(answer) }
                });
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(IDLE_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), handler);
                tokio::select! {
                    _ = connection => {}
                    () = stop.cancelled() => {}
                }
            });
        }
    });
}

fn answer(gateway: &Gateway, req: &Request<Incoming>) -> Response<Full<Bytes>> {
    if gateway.dialect.is_readiness_query(req.uri()) {
        return status(match gateway.readiness() {
            Readiness::Ready => StatusCode::OK,
            Readiness::Starting | Readiness::Leaving => StatusCode::SERVICE_UNAVAILABLE,
        });
    }
    if let Some(query) = gateway.dialect.endpoint_query(req.uri()) {
        return endpoint_answer(gateway, &query.domain);
    }
    status(StatusCode::NOT_FOUND)
}

fn status(status: StatusCode) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::default());
    *answer.status_mut() = status;
    answer
}

fn endpoint_answer(gateway: &Gateway, domain: &str) -> Response<Full<Bytes>> {
    let addresses = endpoints::choose(candidates(gateway), domain, &mut rand::rng());
    if addresses.is_empty() {
        return status(StatusCode::SERVICE_UNAVAILABLE);
    }
    let body = gateway.dialect.endpoint_answer(&addresses, endpoints::KEEP);
    let mut answer = Response::new(Full::new(body));
    let json = HeaderValue::from_static("application/json");
    answer.headers_mut().insert(header::CONTENT_TYPE, json);
    answer
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
