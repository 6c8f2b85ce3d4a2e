//! Serves the metrics to whoever asks.

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

/// Path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Time for which a connection may stay idle.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Pause after a connection could not be accepted.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers until told to stop.
pub fn spawn(listener: TcpListener, stop: CancellationToken) {
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            let Ok((stream, _)) = accepted else {
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            };
            let stop = stop.clone();
            tokio::spawn(async move {
                let connection = http1::Builder::new()
                    .timer(TokioTimer::new())
                    .header_read_timeout(IDLE_TIMEOUT)
                    .serve_connection(TokioIo::new(stream), service_fn(answer));
                tokio::select! {
                    _ = connection => {}
                    () = stop.cancelled() => {}
                }
            });
        }
    });
}

async fn answer(req: Request<Incoming>) -> Result<Response<Full<Bytes>>, Infallible> {
    let mut answer = Response::new(Full::default());
    if req.uri().path() == METRICS_PATH {
        *answer.body_mut() = Full::new(telemetry::render().into());
    } else {
        *answer.status_mut() = StatusCode::NOT_FOUND;
    }
    Ok(answer)
}
