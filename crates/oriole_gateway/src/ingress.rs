//! Accepts and serves connections from callers.

use std::convert::Infallible;
use std::pin::{Pin, pin};
use std::sync::Arc;
use std::task::Poll;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use oriole_kernel::bounded_stream::BoundedStream;
use oriole_kernel::sockets::TcpTimeouts;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::forward;
use crate::forward::body::AnswerBody;
use crate::gateway::{CountGuard, Gateway};
use crate::memory::Memory;
use crate::memory::connection::{CallerConnection, End};
use crate::memory::tracked_stream::TrackedStream;

/// Lowest limit on the size of a request head that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8192;

/// Bytes on the wire that one byte of a body may take: a chunk of one byte has two line ends and the
/// digit of its size.
const CHUNK_FRAMING_FACTOR: usize = 6;

/// Accepts connections from callers until `stop` is cancelled.
pub fn spawn(gateway: &Arc<Gateway>, listener: TcpListener, stop: &CancellationToken) {
    let (gateway, stop) = (gateway.clone(), stop.clone());
    tokio::spawn(async move {
        loop {
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let connection = tokio::select! {
                        () = stop.cancelled() => return,
                        connection = Memory::accept(&gateway) => connection,
                    };
                    if let Some(connection) = connection {
                        tokio::spawn(serve(connection, stream, stop.clone()));
                    }
                }
                Err(e) => {
                    log_accept_error(&gateway, &e);
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    });
}

fn log_accept_error(gateway: &Gateway, e: &std::io::Error) {
    gateway
        .log
        .event(&crate::decision_log::LogEvent::CallFailed {
            step: "accept caller",
            peer: None,
            error: &e.to_string(),
        });
}

/// Ends the accounting of a connection when dropped.
struct CloseGuard(Arc<CallerConnection>);

impl Drop for CloseGuard {
    fn drop(&mut self) {
        self.0.on_closed();
    }
}

async fn serve(caller: Arc<CallerConnection>, stream: TcpStream, stop: CancellationToken) {
    let gateway = caller.gateway();
    let _open = CountGuard::new(gateway, |g| &g.open_connections);
    let _close = CloseGuard(caller.clone());
    if TcpTimeouts::default().apply(&stream).is_err() {
        // The caller has already disconnected.
        return;
    }
    let limits = {
        let view = gateway.fleet_view();
        view.configuration().map(|c| c.limits.clone())
    }
    .unwrap_or_default();
    let handler = service_fn(|req| {
        let caller = caller.clone();
        async move {
            caller.on_request();
            let response = forward::serve(&caller, req).await;
            Ok::<_, Infallible>(response.map(|body| AnswerBody::new(body, caller)))
        }
    });
    let max_head_bytes = limits.max_head_bytes.max(MIN_HEAD_BYTES);
    let max_body_bytes = usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX);
    let max_request_bytes = max_body_bytes
        .saturating_mul(CHUNK_FRAMING_FACTOR)
        .saturating_add(max_head_bytes);
    let stream = BoundedStream::new(stream, max_request_bytes);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library also applies this timeout between requests, so the longer limit is used for
        // both.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(max_head_bytes)
        .half_close(false)
        .serve_connection(
            TokioIo::new(TrackedStream::new(stream, caller.clone())),
            handler,
        );
    let connection = pin!(connection);
    tokio::select! {
        // If the caller disconnects, its responses are dropped, which ends its requests.
        () = run(&caller, connection) => {}
        () = stop.cancelled() => {}
    }
}

/// An HTTP connection that can be closed after its present request.
trait GracefulConnection: Future {
    fn close_after_request(self: Pin<&mut Self>);
}

impl<S> GracefulConnection for http1::Connection<TokioIo<TrackedStream>, S>
where
    S: hyper::service::HttpService<hyper::body::Incoming, ResBody = AnswerBody>,
    S::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    fn close_after_request(self: Pin<&mut Self>) {
        self.graceful_shutdown();
    }
}

/// Serves the requests of a connection until it ends or is cut off.
async fn run<C: GracefulConnection>(caller: &Arc<CallerConnection>, mut connection: Pin<&mut C>) {
    let end = std::future::poll_fn(|cx| {
        if connection.as_mut().poll(cx).is_ready() {
            return Poll::Ready(None);
        }
        caller.poll_end(cx).map(Some)
    })
    .await;
    if end != Some(End::Close) {
        return;
    }
    // A request that arrived meanwhile is still answered.
    tokio::task::yield_now().await;
    let mut is_last = false;
    std::future::poll_fn(|cx| {
        if connection.as_mut().poll(cx).is_ready() || !caller.has_request() {
            return Poll::Ready(());
        }
        if !is_last {
            is_last = true;
            connection.as_mut().close_after_request();
        }
        match caller.poll_end(cx) {
            Poll::Ready(End::Abort) => Poll::Ready(()),
            _ => Poll::Pending,
        }
    })
    .await;
}
