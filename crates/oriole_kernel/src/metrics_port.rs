//! HTTP endpoint for the metrics, in Prometheus text format.

use std::convert::Infallible;
use std::time::Duration;

use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::telemetry;

/// HTTP path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Maximum time that a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Pause after a failed accept, to avoid a busy loop.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(50);

/// Starts to serve the metrics until `stop` is cancelled.
pub fn spawn(listener: TcpListener, stop: CancellationToken) {
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                continue;
            };
            let stop = stop.clone();
            tokio::spawn(async move {
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(IDLE_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service_fn(handle_request));
                tokio::select! {
                    _ = connection => {}
                    () = stop.cancelled() => {}
                }
            });
        }
    });
}

async fn handle_request(req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut response = Response::new(Full::default());
    if req.uri().path() == METRICS_PATH {
        *response.body_mut() = Full::new(telemetry::render().into());
    } else {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    Ok(response)
}
