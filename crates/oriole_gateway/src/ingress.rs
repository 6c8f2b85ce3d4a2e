//! Callers' connections.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::{TokioIo, TokioTimer};
use oriole_kernel::sockets::TcpTimeouts;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

use crate::forward;
use crate::gateway::{CountGuard, Gateway};

/// Descriptors kept for files, upstreams, the store and peers, as a share of those allowed.
const OTHER_DESCRIPTORS: f64 = 0.4;

/// Smallest head that the HTTP library can be told to allow, in bytes.
const MIN_HEAD_BYTES: usize = 8192;

/// Accepts callers until told to stop.
pub fn spawn(gateway: &Arc<Gateway>, listener: TcpListener, stop: &CancellationToken) {
    let allowed = f64::from(gateway.cfg.max_descriptors) * (1.0 - OTHER_DESCRIPTORS);
    let places = Arc::new(tokio::sync::Semaphore::new(allowed as usize));
    let (gateway, stop) = (gateway.clone(), stop.clone());
    tokio::spawn(async move {
        loop {
            // Callers beyond the places wait in the listener's queue.
            let Ok(place) = places.clone().acquire_owned().await else {
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
                        drop(place);
                    });
                }
                Err(e) => {
                    tell_accept_error(&gateway, &e);
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            }
        }
    });
}

fn tell_accept_error(gateway: &Gateway, e: &std::io::Error) {
    gateway.log.event(&crate::decision_log::Event::CallFailed {
        step: "accept caller",
        peer: None,
        error: &e.to_string(),
    });
}

async fn serve(gateway: Arc<Gateway>, stream: TcpStream, stop: CancellationToken) {
    let _open = CountGuard::new(&gateway, |g| &g.open_connections);
    if TcpTimeouts::default().apply(&stream).is_err() {
        // The caller is gone already.
        return;
    }
    let limits = {
        let belief = gateway.belief();
        belief.configuration().map(|c| c.limits.clone())
    }
    .unwrap_or_default();
    let handler = service_fn(move |req| {
        let gateway = gateway.clone();
        async move { Ok::<_, Infallible>(forward::serve(gateway, req).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        // The library counts the time between requests as well: the longer limit holds for both.
        .header_read_timeout(limits.idle_timeout.max(limits.head_timeout))
        .max_buf_size(limits.max_head_bytes.max(MIN_HEAD_BYTES))
        .half_close(false)
        .serve_connection(TokioIo::new(stream), handler);
    tokio::select! {
        // A caller that breaks off ends its requests through their dropped answers.
        _ = connection => {}
        () = stop.cancelled() => {}
    }
}
