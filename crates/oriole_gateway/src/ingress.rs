//! Accepts and serves connections from callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use oriole_kernel::bounded_stream::{BoundedStream, FRAMING_FACTOR};
use oriole_kernel::sockets::TcpTimeouts;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::forward;
use crate::gateway::{CountGuard, Gateway};

/// Share of the allowed file descriptors that is reserved for files, upstreams, the store and
/// peers.
const RESERVED_DESCRIPTOR_SHARE: f64 = 0.4;

/// Lowest limit on the size of a request head that the HTTP library accepts, in bytes.
const MIN_HEAD_BYTES: usize = 8192;

/// Accepts connections from callers until `stop` is cancelled.
pub fn spawn(gateway: &Arc<Gateway>, listener: TcpListener, stop: &CancellationToken) {
    let allowed = f64::from(gateway.cfg.max_descriptors) * (1.0 - RESERVED_DESCRIPTOR_SHARE);
    let slots = Arc::new(tokio::sync::Semaphore::new(allowed as usize));
    let (gateway, stop) = (gateway.clone(), stop.clone());
    tokio::spawn(async move {
        loop {
            // When no slot is free, further callers wait in the listen queue.
            let Ok(slot) = slots.clone().acquire_owned().await else {
                return;
            };
            let accepted = tokio::select! {
                () = stop.cancelled() => return,
                accepted = listener.accept() => accepted,
            };
            match accepted {
                Ok((stream, _)) => {
                    let connection = serve(gateway.clone(), stream, stop.clone());
                    tokio::spawn(async move {
                        connection.await;
                        drop(slot);
                    });
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

async fn serve(gateway: Arc<Gateway>, stream: TcpStream, stop: CancellationToken) {
    let _open = CountGuard::new(&gateway, |g| &g.open_connections);
    if TcpTimeouts::default().apply(&stream).is_err() {
        // The caller has already disconnected.
        return;
    }
    let limits = {
        let view = gateway.fleet_view();
        view.configuration().map(|c| c.limits.clone())
    }
    .unwrap_or_default();
    let handler = service_fn(move |req| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(forward::serve(gateway, req).await) }
    });
    let max_head_bytes = limits.max_head_bytes.max(MIN_HEAD_BYTES);
    let max_body_bytes = usize::try_from(limits.max_body_bytes).unwrap_or(usize::MAX);
    let max_request_bytes = max_body_bytes
        .saturating_mul(FRAMING_FACTOR)
        .saturating_add(max_head_bytes);
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library also applies this timeout between requests, so the longer limit is used for
        // both.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(max_head_bytes)
        .half_close(false)
        .serve_connection(
            TokioIo::new(BoundedStream::new(stream, max_request_bytes)),
            handler,
        );
    tokio::select! {
        // If the caller disconnects, its responses are dropped, which ends its requests.
        _ = connection => {}
        () = stop.cancelled() => {}
    }
}
