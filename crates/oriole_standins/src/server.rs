//! A small HTTP/1.1 server on an ephemeral loopback port. It can reset all its connections, as the
//! crash of a process does.

use std::convert::Infallible;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, PoisonError};

use async_trait::async_trait;
use bytes::Bytes;
use http::{Request, Response, StatusCode};
use http_body_util::combinators::BoxBody;
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Largest request body a stand-in reads, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024 * 1024;

/// Body of a response.
pub type Body = BoxBody<Bytes, Infallible>;

/// Handles the requests of one stand-in.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Returns the response to one request.
    async fn handle(&self, req: Request<Incoming>) -> Response<Body>;
}

/// Takes a server down and up again; while it is down, connections are reset. Clones share the
/// state.
#[derive(Clone, Debug, Default)]
pub struct ConnectionSwitch {
    inner: Arc<Mutex<SwitchState>>,
}

#[derive(Debug, Default)]
struct SwitchState {
    down: bool,
    /// Cancelled by the next [`ConnectionSwitch::cut`]; shared by the connections open until then.
    reset: CancellationToken,
}

impl ConnectionSwitch {
    /// Resets all connections, and new ones until [`ConnectionSwitch::restore`].
    pub fn cut(&self) {
        let mut state = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        state.down = true;
        state.reset.cancel();
        state.reset = CancellationToken::new();
    }

    /// Lets the server keep new connections again.
    pub fn restore(&self) {
        let mut state = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        state.down = false;
    }

    /// Token that is cancelled when the connections open now are reset; `None` while the server is
    /// down.
    #[must_use]
    pub fn reset_token(&self) -> Option<CancellationToken> {
        let state = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        (!state.down).then(|| state.reset.clone())
    }
}

/// A running HTTP server.
#[derive(Debug)]
pub struct HttpServer {
    addr: SocketAddr,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl HttpServer {
    /// Binds an ephemeral loopback port and serves it.
    ///
    /// # Errors
    ///
    /// Fails if no port can be bound.
    pub async fn bind(
        handler: Arc<dyn Handler>,
        connections: ConnectionSwitch,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let addr = listener.local_addr()?;
        let stop = CancellationToken::new();
        let tasks = TaskTracker::new();
        tasks.spawn(accept(
            listener,
            handler,
            connections,
            stop.clone(),
            tasks.clone(),
        ));
        Ok(Self { addr, stop, tasks })
    }

    /// The address it listens on.
    #[must_use]
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Closes the listener and all connections, and waits until their tasks have ended.
    pub async fn shutdown(&self) {
        self.stop.cancel();
        self.tasks.close();
        self.tasks.wait().await;
    }
}

impl Drop for HttpServer {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

async fn accept(
    listener: TcpListener,
    handler: Arc<dyn Handler>,
    connections: ConnectionSwitch,
    stop: CancellationToken,
    tasks: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::task::yield_now().await;
            continue;
        };
        // With a linger time of zero, closing resets the connection, as the exit of a process does.
        stream.set_zero_linger().ok();
        stream.set_nodelay(true).ok();
        let Some(reset) = connections.reset_token() else {
            continue;
        };
        tasks.spawn(serve(stream, handler.clone(), reset, stop.clone()));
    }
}

async fn serve(
    stream: TcpStream,
    handler: Arc<dyn Handler>,
    reset: CancellationToken,
    stop: CancellationToken,
) {
    let service = service_fn(move |req| {
        let handler = handler.clone();
        async move { Ok::<_, Infallible>(handler.handle(req).await) }
    });
    let connection =
        hyper::server::conn::http1::Builder::new().serve_connection(TokioIo::new(stream), service);
    tokio::select! {
        _ = connection => {}
        () = reset.cancelled() => {}
        () = stop.cancelled() => {}
    }
}

/// Reads a whole body; `None` if it exceeds [`MAX_BODY_BYTES`] or the connection breaks.
pub async fn read_body(body: Incoming) -> Option<Bytes> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    Some(body.to_bytes())
}

/// Never returns, as a crashed process never answers; the reset of the connection ends the call.
pub async fn no_answer() -> Response<Body> {
    std::future::pending().await
}

/// A response with a JSON body.
pub fn json<T: Serialize>(status: StatusCode, value: &T) -> Response<Body> {
    let text = serde_json::to_vec(value).unwrap_or_default();
    let mut res = Response::new(Full::new(text.into()).boxed());
    *res.status_mut() = status;
    res.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    res
}

/// An error response: `{"error":"..."}`.
pub fn error(status: StatusCode, message: &str) -> Response<Body> {
    #[derive(Serialize)]
    struct ErrorBody<'a> {
        error: &'a str,
    }
    json(status, &ErrorBody { error: message })
}
