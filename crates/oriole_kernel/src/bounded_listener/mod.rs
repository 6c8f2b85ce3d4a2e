//! Listeners that clients without authentication cannot exhaust.
//!
//! They serve short queries, such as those for readiness and metrics. [`spawn_http`] answers HTTP
//! queries; [`accept`] bounds the connections of listeners with another protocol. [`slots`] decides
//! which connections are accepted and closed.

pub mod slots;
mod stream;
mod tracker;

use std::convert::Infallible;
use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::time::Duration;

use bytes::Bytes;
use http::request::Parts;
use http::{Request, Response, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::{Body as _, Incoming};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use self::slots::{CloseReason, ConnectionLimits};
use self::stream::{TrackedBody, TrackedStream};
use self::tracker::Connections;
pub use self::tracker::Tracker;
use crate::bounded_stream::{BoundedStream, FRAMING_FACTOR};

/// Maximum size of a request's head, in bytes: the lowest limit that the HTTP library accepts. The
/// heads of queries have some 100 bytes.
pub const MAX_HEAD_BYTES: usize = 8 * 1024;

/// Maximum size of a request's body, in bytes. Queries have none; one that is sent is ignored.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// Pause after a failed accept, to avoid a busy loop while file descriptors are exhausted.
const ACCEPT_RETRY_PAUSE: Duration = Duration::from_millis(20);

/// Answers HTTP queries.
pub trait QueryHandler: Send + Sync + 'static {
    /// Answers a query by its head.
    fn answer(&self, head: &Parts) -> Response<Full<Bytes>>;
}

impl<F> QueryHandler for F
where
    F: Fn(&Parts) -> Response<Full<Bytes>> + Send + Sync + 'static,
{
    fn answer(&self, head: &Parts) -> Response<Full<Bytes>> {
        self(head)
    }
}

/// Starts to answer HTTP queries until `stop` is cancelled. `name` is the listener's name in metrics.
pub fn spawn_http(
    listener: TcpListener,
    name: &'static str,
    limits: ConnectionLimits,
    handler: Arc<dyn QueryHandler>,
    stop: &CancellationToken,
) {
    let serve = move |stream, _from, tracker| {
        let handler = Arc::clone(&handler);
        async move {
            if let Err(reason) = serve_http(stream, Arc::new(tracker), handler).await {
                count_closed(name, reason);
            }
        }
    };
    let on_error = |_: &std::io::Error| {};
    tokio::spawn(accept(listener, limits, stop.clone(), on_error, serve));
}

/// Counts a connection that was closed because of a limit.
pub fn count_closed(listener: &'static str, reason: CloseReason) {
    let reason = reason.as_str();
    metrics::counter!("oriole_listener_closed_total", "listener" => listener, "reason" => reason)
        .increment(1);
}

/// Accepts connections until `stop` is cancelled, and spawns `serve` for each. `serve` reports to the
/// tracker what happens on the connection, and runs within [`Tracker::run`]. It is dropped when
/// `stop` is cancelled.
pub async fn accept<S, F, E>(
    listener: TcpListener,
    limits: ConnectionLimits,
    stop: CancellationToken,
    on_error: E,
    serve: S,
) where
    S: Fn(TcpStream, SocketAddr, Tracker) -> F,
    F: Future<Output = ()> + Send + 'static,
    E: Fn(&std::io::Error),
{
    let connections = Connections::new(limits);
    let accept_all = async {
        loop {
            let (stream, from) = match listener.accept().await {
                Ok(accepted) => accepted,
                Err(e) => {
                    on_error(&e);
                    tokio::time::sleep(ACCEPT_RETRY_PAUSE).await;
                    continue;
                }
            };
            let tracker = connections.slot().await;
            tokio::spawn(
                stop.clone()
                    .run_until_cancelled_owned(serve(stream, from, tracker)),
            );
        }
    };
    stop.run_until_cancelled(accept_all).await;
}

async fn serve_http(
    stream: TcpStream,
    tracker: Arc<Tracker>,
    handler: Arc<dyn QueryHandler>,
) -> Result<(), CloseReason> {
    let response_taken = Arc::new(AtomicBool::new(false));
    let max_request_bytes = MAX_HEAD_BYTES + FRAMING_FACTOR * MAX_BODY_BYTES;
    let stream = TrackedStream::new(
        BoundedStream::new(stream, max_request_bytes),
        Arc::clone(&tracker),
        Arc::clone(&response_taken),
    );
    let service = service_fn(|req| {
        let (tracker, handler) = (Arc::clone(&tracker), Arc::clone(&handler));
        let response_taken = Arc::clone(&response_taken);
        async move {
            let response = respond(&*handler, &tracker, req).await;
            Ok::<_, Infallible>(response.map(|body| TrackedBody::new(body, response_taken)))
        }
    });
    let connection = http1::Builder::new()
        // The tracker limits the times.
        .header_read_timeout(None)
        .max_buf_size(MAX_HEAD_BYTES)
        .serve_connection(TokioIo::new(stream), service);
    // An error of the connection needs no handling: the peer sends its query again.
    tracker.run(connection).await.map(|_| ())
}

async fn respond(
    handler: &dyn QueryHandler,
    tracker: &Tracker,
    req: Request<Incoming>,
) -> Response<Full<Bytes>> {
    let (head, body) = req.into_parts();
    let is_short = skip_body(body).await;
    tracker.request();
    if is_short {
        return handler.answer(&head);
    }
    let mut response = Response::new(Full::default());
    *response.status_mut() = StatusCode::PAYLOAD_TOO_LARGE;
    response
}

/// Receives a body without keeping it; `false` if it is too large.
async fn skip_body(mut body: Incoming) -> bool {
    if body.size_hint().lower() > MAX_BODY_BYTES as u64 {
        return false;
    }
    let mut received = 0;
    while let Some(Ok(frame)) = body.frame().await {
        received += frame.data_ref().map_or(0, Bytes::len);
        if received > MAX_BODY_BYTES {
            return false;
        }
    }
    true
}
