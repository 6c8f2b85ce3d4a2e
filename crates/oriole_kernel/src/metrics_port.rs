//! HTTP endpoint for the metrics, in Prometheus text format.

use std::sync::{Arc, Mutex, PoisonError, Weak};
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Response, StatusCode};
use http_body_util::Full;
use tokio::net::TcpListener;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::bounded_listener::slots::ConnectionLimits;
use crate::bounded_listener::{self, QueryHandler};
use crate::telemetry;

/// HTTP path of the metrics.
pub const METRICS_PATH: &str = "/metrics";

/// Time for which a response that a client has not taken yet is also sent to others, so that clients
/// that do not read cannot make the process hold a copy each.
const SHARED_FOR: Duration = Duration::from_secs(1);

/// Starts to serve the metrics until `stop` is cancelled.
pub fn spawn(listener: TcpListener, stop: CancellationToken) {
    let handler = Arc::new(MetricsHandler::default());
    let limits = ConnectionLimits::default();
    bounded_listener::spawn_http(listener, "metrics", limits, handler, &stop);
}

/// Answers queries for the metrics.
#[derive(Default)]
struct MetricsHandler {
    /// The last response, as long as a connection holds it.
    last: Mutex<Weak<Rendered>>,
}

/// The metrics at one time.
struct Rendered {
    text: String,
    at: Instant,
}

/// A share of a rendering, as the owner of a response's bytes.
struct SharedText(Arc<Rendered>);

impl AsRef<[u8]> for SharedText {
    fn as_ref(&self) -> &[u8] {
        self.0.text.as_bytes()
    }
}

impl MetricsHandler {
    fn render(&self) -> Bytes {
        let mut last = self.last.lock().unwrap_or_else(PoisonError::into_inner);
        let recent = last.upgrade().filter(|r| r.at.elapsed() < SHARED_FOR);
        let rendered = recent.unwrap_or_else(|| {
            let rendered = Arc::new(Rendered {
                text: telemetry::render(),
                at: Instant::now(),
            });
            *last = Arc::downgrade(&rendered);
            rendered
        });
        Bytes::from_owner(SharedText(rendered))
    }
}

impl QueryHandler for MetricsHandler {
    fn answer(&self, head: &Parts) -> Response<Full<Bytes>> {
        let mut response = Response::new(Full::default());
        if head.uri.path() == METRICS_PATH {
            *response.body_mut() = Full::new(self.render());
        } else {
            *response.status_mut() = StatusCode::NOT_FOUND;
        }
        response
    }
}
