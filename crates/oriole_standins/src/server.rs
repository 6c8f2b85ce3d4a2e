//! A small HTTP/1.1 server on an ephemeral loopback port, which can be cut like a crashed process.

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

/// Body of an answer.
pub type Body = BoxBody<Bytes, Infallible>;

/// What a stand-in does with one request.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// Answers one request.
    async fn handle(&self, req: Request<Incoming>) -> Response<Body>;
}

/// Switch that cuts every connection of a server and refuses new ones while it is down.
#[derive(Clone, Debug, Default)]
pub struct ConnectionSwitch {
    inner: Arc<Mutex<SwitchState>>,
}

#[derive(Debug, Default)]
struct SwitchState {
    down: bool,
    reset: CancellationToken,
}

impl ConnectionSwitch {
    /// Resets every connection; new ones are reset too until [`ConnectionSwitch::restore`].
    pub fn cut(&self) {
        let mut state = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        state.down = true;
        state.reset.cancel();
        state.reset = CancellationToken::new();
    }

    /// Accepts connections again.
    pub fn restore(&self) {
        let mut state = self.inner.lock().unwrap_or_else(PoisonError::into_inner);
        state.down = false;
    }

    /// The token of connections that start now, or none while the server is down.
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

    /// Address it listens at.
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
        // Without lingering, closing resets the connection as the end of a process would.
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

/// Reads a whole body; `None` if it is too large or breaks off.
pub async fn read_body(body: Incoming) -> Option<Bytes> {
    let body = Limited::new(body, MAX_BODY_BYTES).collect().await.ok()?;
    Some(body.to_bytes())
}

/// The answer of a process that has crashed: none. The cut of the connection ends the wait.
pub async fn no_answer() -> Response<Body> {
    std::future::pending().await
}

/// An answer with a JSON body.
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

/// An error answer: `{"error":"..."}`.
pub fn error(status: StatusCode, message: &str) -> Response<Body> {
    #[derive(Serialize)]
    struct ErrorBody<'a> {
        error: &'a str,
    }
    json(status, &ErrorBody { error: message })
}
